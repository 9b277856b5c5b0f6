package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"time"

	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

// Options configures a demo run.
type Options struct {
	// Bin is the folder of the programs, Dir the folder for settings, data and logs.
	Bin, Dir string
	// Out receives the progress and the tables.
	Out io.Writer
}

// Run starts the system at the size of the Aare cooperative, puts it under load
// and failures, and writes tables of the results. It returns an error if a step
// fails or an invariant was violated.
func Run(ctx context.Context, o Options) error {
	f, err := NewFleet(o.Dir, o.Bin, []model.DataCentre{"thun", "bern-altstadt", "burgdorf"})
	if err != nil {
		return err
	}
	defer f.KillAll()
	d := &run{f: f, out: o.Out, start: time.Now(), report: load.NewReport(time.Now())}
	if err := d.execute(ctx); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, o.Dir)
	}
	return d.finish()
}

// run holds the state and the measurements of one demo run.
type run struct {
	f      *Fleet
	out    io.Writer
	start  time.Time
	report *load.Report
	// direct is a stand-in that is called directly for the baseline latency; its node
	// is never started.
	direct *BackendServer

	// moveDuration is the time from publishing the good move until its end,
	// reversalDuration that from publishing the bad move until its reversal.
	moveDuration, reversalDuration time.Duration
	// requests counts what the stand-ins accepted, coldOverload the requests that ran
	// above the concurrency limit of a cold stand-in.
	requests, coldOverload int64
	// takenOutAt and returnedAt are when the data centre was taken out and returned.
	takenOutAt, returnedAt time.Time
	// stoppedServer is the backend server whose node was stopped gracefully, and
	// plannedStopAt is when that stop began.
	stoppedServer *BackendServer
	plannedStopAt time.Time
}

// progress writes a progress line that starts with the time since the start of the run.
func (d *run) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// specsIn returns one spec for each entry of dcs, all of the same service and version.
func specsIn(service model.ServiceName, version model.ServiceVersion, flags []string, dcs ...model.DataCentre) []BackendServerSpec {
	var out []BackendServerSpec
	for _, dc := range dcs {
		out = append(out, BackendServerSpec{Service: service, Version: version, DataCentre: dc, Flags: flags})
	}
	return out
}

var (
	ledgerDataCentres = []model.DataCentre{"thun", "thun", "thun", "bern-altstadt", "bern-altstadt", "burgdorf", "burgdorf"}
	rosterDataCentres = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}
)

// execute starts the system and the load, and runs the steps under load.
func (d *run) execute(ctx context.Context) error {
	if err := d.startSystem(); err != nil {
		return err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	wg.Go(func() { load.New(d.report).Run(loadCtx, d.flows()) })
	err := d.runSteps()
	stopLoad()
	wg.Wait()
	return err
}

// startSystem starts the control hosts, version v1 of both services and the stand-in
// for direct calls, and publishes the first release note.
func (d *run) startSystem() error {
	for _, c := range d.f.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	specs := append(specsIn("ledger", "v1", nil, ledgerDataCentres...), specsIn("roster", "v1", nil, rosterDataCentres...)...)
	if _, err := d.f.AddAndStart(specs...); err != nil {
		return err
	}
	direct, err := d.f.Add(BackendServerSpec{Service: "direct", Version: "v1", DataCentre: "thun"})
	if err != nil {
		return err
	}
	d.direct = direct
	d.f.standalone = append(d.f.standalone, direct.Backend)
	d.f.Servers = d.f.Servers[:len(d.f.Servers)-1]
	if err := direct.Backend.Start(); err != nil {
		return err
	}
	if err := Eventually(10*time.Second, func() error { _, err := d.f.Leader(); return err }); err != nil {
		return err
	}
	d.progress("3 control hosts elected a leader; %d nodes started", len(d.f.Servers))
	if err := d.f.Publish(FirstNote); err != nil {
		return err
	}
	if err := Eventually(10*time.Second, d.allRoutable); err != nil {
		return err
	}
	d.progress("note 1 published; every node routes by it")
	return nil
}

// allRoutable returns an error unless every node can route by a published version.
func (d *run) allRoutable() error {
	for _, s := range d.f.Servers {
		st, err := s.Status()
		if err != nil {
			return err
		}
		if !st.Routable || st.Position.Index == 0 {
			return fmt.Errorf("node %s does not route yet", s.Host)
		}
	}
	return nil
}

// flows returns the load: lookups, writes and urgent queries through the mesh, and one
// lookup directly to a stand-in as the baseline for the latency that the mesh adds.
func (d *run) flows() []load.Flow {
	var entryURLs []string
	for _, s := range d.f.Servers {
		if s.Service == "roster" {
			entryURLs = append(entryURLs, s.CallerURL)
		}
	}
	mesh := func(name string, kind model.Kind, service, method, path string, rate float64) load.Flow {
		return load.Flow{Name: name, Kind: kind, Service: service, Method: method, Path: path, Rate: rate,
			BodyBytes: 256, Timeout: time.Second, Targets: entryURLs, MaxResends: 5}
	}
	direct := mesh("direct lookup", model.KindLookup, "direct", "GET", "/cabinets/7", 100)
	direct.Targets = []string{"http://" + d.direct.BackendAddress}
	return []load.Flow{
		direct,
		mesh("cabinet lookup", model.KindLookup, "ledger", "GET", "/cabinets/7", 600),
		mesh("restock entry", model.KindWrite, "ledger", "POST", "/restocks", 40),
		mesh("roster lookup", model.KindLookup, "roster", "GET", "/rosters/3", 100),
		mesh("urgent query", model.KindUrgent, "ledger", "GET", "/urgent/1", 20),
	}
}

// runSteps makes the changes and causes the failures while the load runs.
func (d *run) runSteps() error {
	time.Sleep(3 * time.Second)
	if err := d.moveServices(); err != nil {
		return err
	}
	if err := d.takeOutDataCentre(); err != nil {
		return err
	}
	return d.stopNodes()
}

const (
	// moveTime is the time from publishing the good move until its deadline.
	moveTime = 40 * time.Second
	// badMoveTime is the time from publishing the bad move until its deadline; the
	// move is reversed long before that.
	badMoveTime = time.Minute
)

// moveServices moves the ledger to a good version and the roster to a bad one at the
// same time, and kills the leader during the first move.
func (d *run) moveServices() error {
	bad := specsIn("roster", "v2", []string{"--bad", "at-once"}, rosterDataCentres...)
	if _, err := d.f.AddAndStart(append(specsIn("ledger", "v2", nil, ledgerDataCentres...), bad...)...); err != nil {
		return err
	}
	if err := Eventually(5*time.Second, d.allRoutable); err != nil {
		return err
	}
	moveStart := time.Now()
	if err := d.publishMove(2, "ledger", moveStart.Add(moveTime)); err != nil {
		return err
	}
	d.progress("note 2 published: all ledger traffic to v2 within %s", moveTime)
	time.Sleep(3 * time.Second)
	if err := d.killLeader(); err != nil {
		return err
	}
	badMoveStart := time.Now()
	if err := d.publishMove(3, "roster", badMoveStart.Add(badMoveTime)); err != nil {
		return err
	}
	d.progress("note 3 published: roster to v2, which fails every request")
	if err := d.expectMoveState("roster", "reversed", badMoveTime); err != nil {
		return err
	}
	d.reversalDuration = time.Since(badMoveStart)
	d.progress("roster v2 was taken back after %.1f s", d.reversalDuration.Seconds())
	if err := d.expectMoveState("ledger", "done", moveTime); err != nil {
		return err
	}
	d.moveDuration = time.Since(moveStart)
	d.progress("ledger is on v2 after %.1f s", d.moveDuration.Seconds())
	if d.moveDuration > moveTime {
		return fmt.Errorf("move of ledger took %s, its deadline was after %s", d.moveDuration, moveTime)
	}
	return nil
}

// publishMove publishes a release note that moves a service to v2 by the deadline.
func (d *run) publishMove(number int, service string, by time.Time) error {
	title := service + " to version 2"
	return d.f.Publish(fmt.Sprintf(moveNote, number, title, service, "v2", by.UTC().Format(time.RFC3339)))
}

// leaderDowntime is how long the killed leader stays down.
const leaderDowntime = 3 * time.Second

// killLeader kills the leader and restarts it after leaderDowntime.
func (d *run) killLeader() error {
	leader, err := d.f.Leader()
	if err != nil {
		return err
	}
	leader.Kill()
	d.progress("leader %s killed during the move", leader.Host)
	time.AfterFunc(leaderDowntime, func() { _ = leader.Start() })
	return nil
}

// expectMoveState waits until the move of a service has ended and returns an error
// if its final state is not the expected one.
func (d *run) expectMoveState(service, state string, limit time.Duration) error {
	got, err := d.awaitMove(service, limit)
	if err != nil {
		return err
	}
	if got != state {
		return fmt.Errorf("move of %s ended as %q, want %q", service, got, state)
	}
	return nil
}

// exitCodeReversed is the exit code of `status --watch` for a move that was reversed.
const exitCodeReversed = 4

// awaitMove waits until the move of a service has ended and returns its final state.
func (d *run) awaitMove(service string, limit time.Duration) (string, error) {
	_, err := d.f.CLI("status", service, "--watch", "--wait", limit.String())
	var exit *exec.ExitError
	switch {
	case err == nil:
		return "done", nil
	case errors.As(err, &exit) && exit.ExitCode() == exitCodeReversed:
		return "reversed", nil
	}
	return "", err
}

// takeOutDataCentre takes a data centre out of service, checks that its backend
// servers get no requests, and returns it to service.
func (d *run) takeOutDataCentre() error {
	if _, err := d.f.CLI("data-centre", "out", "burgdorf"); err != nil {
		return err
	}
	d.takenOutAt = time.Now()
	d.progress("data centre burgdorf taken out")
	time.Sleep(takeOutLimit + 1500*time.Millisecond)
	if err := d.checkTakenOut(); err != nil {
		return err
	}
	if _, err := d.f.CLI("data-centre", "return", "burgdorf"); err != nil {
		return err
	}
	d.returnedAt = time.Now()
	d.progress("data centre burgdorf returned")
	time.Sleep(time.Second)
	return nil
}

// takeOutLimit is the time after taking a data centre out of service by which its
// backend servers must get their last requests.
const takeOutLimit = 3 * time.Second

// checkTakenOut checks that no backend server of the data centre got a request after
// takeOutLimit.
func (d *run) checkTakenOut() error {
	for _, s := range d.f.Servers {
		if s.DataCentre != "burgdorf" {
			continue
		}
		st, err := s.Stats()
		if err != nil {
			return err
		}
		if st.LastRequest.After(d.takenOutAt.Add(takeOutLimit)) {
			return fmt.Errorf("%s got work %s after its data centre was taken out", s.Host, st.LastRequest.Sub(d.takenOutAt))
		}
	}
	return nil
}

// stopNodes stops one node gracefully and kills another one. Neither is an entry node
// of the load.
func (d *run) stopNodes() error {
	var planned, killed *BackendServer
	for _, s := range d.f.Servers {
		if s.Service != "ledger" || s.Version != "v2" || s.DataCentre != "thun" {
			continue
		}
		if planned == nil {
			planned = s
		} else if killed == nil {
			killed = s
		}
	}
	if planned == nil || killed == nil {
		return errors.New("no nodes to stop")
	}
	d.progress("planned stop of node %s", planned.Host)
	d.stoppedServer, d.plannedStopAt = planned, time.Now()
	if err := planned.Node.Stop(); err != nil {
		return err
	}
	d.progress("kill of node %s", killed.Host)
	killed.Node.Kill()
	time.Sleep(3 * time.Second)
	return nil
}
