package capacity

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

const (
	// settleDelay is the time between the start of the nodes and the first phase.
	settleDelay = 5 * time.Second
	// phaseDuration is the length of a measured phase.
	phaseDuration = 8 * time.Second
	// actionsPerPhase is the number of notes or restarts in a phase.
	actionsPerPhase = 10
	// moveRate is the load during the move, in calls/s.
	moveRate = 200
	// fleetServices is the number of services of the measured fleets.
	fleetServices = 10
)

// fleetSample holds the usage and traffic of all measured processes at one time.
type fleetSample struct {
	at      time.Time
	usage   map[model.HostID]Usage
	traffic map[model.HostID]traffic
}

// role is a group of processes whose mean is reported.
type role string

const (
	roleNode     role = "node"
	roleLeader   role = "leader"
	roleFollower role = "follower"
)

// Fleet measures nodes and control hosts as a function of the number of nodes: at rest,
// while ten notes are published, while ten nodes are restarted, and during a move under
// load.
func Fleet(ctx context.Context, w io.Writer, bin string, sizes []int) error {
	p := newSeriesSet("nodes")
	var failed error // a failed size does not keep the others from being written
	for _, n := range sizes {
		if err := measureFleet(ctx, w, p, bin, n); err != nil {
			failed = errors.Join(failed, fmt.Errorf("%d nodes: %w", n, err))
		}
	}
	return errors.Join(failed, p.write(w, TargetNodes))
}

func measureFleet(ctx context.Context, w io.Writer, p *seriesSet, bin string, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(bin, 4)
	defer f.close()
	if err != nil {
		return err
	}
	start := time.Now()
	if err := f.startNodes(ctx, n, fleetServices); err != nil {
		return err
	}
	printf(w, "%d nodes: all route after %.1f s\n", n, time.Since(start).Seconds())
	time.Sleep(settleDelay)
	phases := []struct {
		name string
		do   func() error
	}{
		{"rest", func() error { time.Sleep(phaseDuration); return nil }},
		{"ten notes", f.publishChanges},
		{"ten restarts", f.restartNodes},
		{"move", f.move},
	}
	for _, ph := range phases {
		if err := f.measurePhase(w, p, n, ph.name, ph.do); err != nil {
			return fmt.Errorf("%s: %w", ph.name, err)
		}
	}
	return nil
}

// measurePhase runs one phase and adds the mean values of each role to the series.
func (f *fleet) measurePhase(w io.Writer, p *seriesSet, n int, name string, do func() error) error {
	leader, err := f.Leader()
	if err != nil {
		return err
	}
	before, err := f.sample()
	if err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	took := after.at.Sub(before.at)
	roles := map[role][]model.HostID{roleLeader: {leader.Host}}
	for _, c := range f.Controls {
		if c.Host != leader.Host {
			roles[roleFollower] = append(roles[roleFollower], c.Host)
		}
	}
	for _, b := range f.undisturbedNodes() {
		roles[roleNode] = append(roles[roleNode], b.Host)
	}
	for _, r := range []role{roleNode, roleFollower, roleLeader} {
		add := func(what, unit string, y float64) {
			p.add(fmt.Sprintf("%s, %s: %s", name, r, what), unit, float64(n), y)
		}
		var cpu, bytes, anon, resident float64
		methods := traffic{}
		for _, h := range roles[r] {
			u := after.usage[h].Minus(before.usage[h])
			cpu += u.CPU.Seconds() / took.Seconds() * 100
			anon, resident = anon+float64(u.Anonymous)/(1<<20), resident+float64(u.Resident)/(1<<20)
			bytes += float64(after.traffic[h].total()-before.traffic[h].total()) / took.Seconds()
			for m, b := range after.traffic[h] {
				methods[m] += b - before.traffic[h][m]
			}
		}
		count := float64(len(roles[r]))
		add("CPU", "% of a core", cpu/count)
		add("frames", "B/s", bytes/count)
		add("memory (anonymous)", "MB", anon/count)
		add("memory (resident)", "MB", resident/count)
		printf(w, "%d nodes, %s, %s, %.1f s, B/s by method:", n, name, r, took.Seconds())
		for _, m := range slices.Sorted(maps.Keys(methods)) {
			printf(w, " %s %.0f", m, float64(methods[m])/took.Seconds()/count)
		}
		printf(w, "\n")
	}
	return nil
}

// undisturbedNodes returns the nodes that no phase restarts.
func (f *fleet) undisturbedNodes() []*demo.BackendServer {
	return f.Servers[:len(f.Servers)-actionsPerPhase]
}

// sample reads the usage and traffic of the control hosts and of the undisturbed nodes.
func (f *fleet) sample() (fleetSample, error) {
	s := fleetSample{at: time.Now(), usage: map[model.HostID]Usage{}, traffic: map[model.HostID]traffic{}}
	bases := map[model.HostID]string{}
	for _, c := range f.Controls {
		bases[c.Host] = "https://" + c.OperatorAddress
	}
	for _, b := range f.undisturbedNodes() {
		bases[b.Host] = b.AdminURL
	}
	var err error
	for h := range bases {
		if s.usage[h], err = f.usageOf(h); err != nil {
			return s, err
		}
	}
	for h, base := range bases {
		if s.traffic[h], err = f.trafficOf(base); err != nil {
			return s, err
		}
	}
	return s, nil
}

// runPaced runs f ten times, at equal intervals over one phase.
func runPaced(f func(i int) error) error {
	start := time.Now()
	for i := range actionsPerPhase {
		if err := f(i); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * phaseDuration / actionsPerPhase)))
	}
	return nil
}

// publishChanges publishes ten notes that each change the routes of one service.
func (f *fleet) publishChanges() error {
	return runPaced(func(i int) error {
		n := note.Note{Number: uint64(i + 2), Title: "routes of one service"}
		n.Routes.Changed = routesOf(i%fleetServices, i+1)
		return f.publishNote(n)
	})
}

// restartNodes kills and restarts the last ten nodes one after the other.
func (f *fleet) restartNodes() error {
	last := f.Servers[len(f.Servers)-actionsPerPhase:]
	return runPaced(func(i int) error {
		last[i].Node.Kill()
		return last[i].Node.Start()
	})
}

// move starts a move of the first service to v2 and sends lookups to it for one phase.
func (f *fleet) move() error {
	n := note.Note{Number: actionsPerPhase + 2, Title: "move", Moves: []note.Move{{
		Service: serviceName(0), To: "v2", By: time.Now().Add(time.Minute).UTC().Truncate(time.Second), WatchFor: time.Minute}}}
	if err := f.publishNote(n); err != nil {
		return err
	}
	var targets []string
	for _, b := range f.undisturbedNodes() {
		targets = append(targets, b.CallerURL)
	}
	ctx, cancel := context.WithTimeout(context.Background(), phaseDuration)
	defer cancel()
	load.New(load.NewReport(time.Now())).Run(ctx, []load.Flow{{
		Name: "lookup", Kind: model.KindLookup, Service: string(serviceName(0)), Method: "GET",
		Path: routesOf(0, 1)[0].PathPrefix, Rate: moveRate, Timeout: time.Second, Targets: targets,
	}})
	return nil
}
