// Package soak is a randomized fault test. It runs the real programs as processes
// on loopback, injects overlapping and repeated faults, and checks the guarantees
// of the system from the results that callers, backend servers and operators get.
// A seed determines the faults and their times; how the processes react also depends
// on the scheduling of the machine, so a run is not fully reproducible.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

// Options configure a run.
type Options struct {
	// Bin is the folder of the programs; Dir is the folder for settings, data and logs.
	Bin, Dir string
	Seed     uint64
	// Length is the time during which faults are injected.
	Length time.Duration
	// FleetMultiplier multiplies the default fleet of ten backend servers, and the request rates.
	FleetMultiplier int
	// Verbose logs each injected fault to Out.
	Verbose bool
	Out     io.Writer
}

// Result is the outcome of one run.
type Result struct {
	Seed uint64
	// FaultCounts is the number of injected faults of each kind.
	FaultCounts map[Fault]int
	// Sent and Answered count the requests of callers. NotRun counts those that were
	// refused without running.
	Sent, Answered, NotRun int64
	// WritesRun is the number of distinct writes that ran on a backend server.
	WritesRun int
	// Violations describes each violated guarantee.
	Violations []string
}

// run is the state of a run in progress.
type run struct {
	Options
	fleet  *demo.Fleet
	relays *relays
	report *load.Report
	start  time.Time

	// mu guards the fields below.
	mu         sync.Mutex
	violations []string
	// acknowledged is the highest note number whose publication was acknowledged.
	acknowledged uint64
	// unanswered holds the idempotency keys of writes that got no answer because
	// a planned stop of the node closed their keep-alive connection.
	unanswered []string
}

const (
	// startTimeout bounds the start of a process, the first publication, and the time
	// until all nodes serve.
	startTimeout = 30 * time.Second
	// recoveryTimeout bounds the time from the last repair until all processes serve again.
	recoveryTimeout = 20 * time.Second
	// longWriteBytes is the size of a long write, which is still being sent when a stand-in that
	// sends invalid answers resets its connection.
	longWriteBytes = 400_000
	// maxViolations bounds the number of recorded violations.
	maxViolations = 40
)

// recordViolation adds a violated guarantee to the result, with the time of the run.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, fmt.Sprintf("%.1f s: ", time.Since(r.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// Run runs one seed. It returns an error if the run could not be completed;
// violated guarantees are in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{Options: o, start: time.Now(), report: load.NewReport(time.Now())}
	var err error
	if r.fleet, err = demo.NewFleet(o.Dir, o.Bin, []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}); err != nil {
		return nil, err
	}
	defer r.fleet.KillAll()
	var background sync.WaitGroup // goroutines of the relays
	defer background.Wait()
	defer cancel()
	if err := r.prepareFleet(ctx, &background); err != nil {
		return nil, err
	}
	if err := r.startAll(); err != nil {
		return nil, err
	}
	r.start = time.Now()
	j := newInjector(r)
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	var callers sync.WaitGroup
	callers.Go(func() { r.watchNodes(loadCtx) })
	callers.Go(func() { load.New(r.report).Run(loadCtx, r.flows()) })
	faultCtx, endFaults := context.WithTimeout(ctx, o.Length)
	callers.Go(func() { r.sendInvalidAnswers(faultCtx) })
	j.injectRounds(faultCtx, NewPlan(o.Seed))
	endFaults()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	r.awaitRecovery(ctx)
	r.checkSplit(ctx)
	endLoad()
	callers.Wait()
	r.checkPanics()
	return r.result(j.counts)
}

// prepareFleet writes the settings of all processes and inserts the relays between
// them. It starts no process.
func (r *run) prepareFleet(ctx context.Context, background *sync.WaitGroup) error {
	dataCentres := map[model.ServiceName][]model.DataCentre{
		"ledger": {"thun", "thun", "thun", "bern-altstadt", "bern-altstadt", "burgdorf", "burgdorf"},
		"roster": {"thun", "bern-altstadt", "burgdorf"},
	}
	for range max(r.FleetMultiplier, 1) {
		for _, service := range []model.ServiceName{"ledger", "roster"} {
			for _, dc := range dataCentres[service] {
				runs := filepath.Join(r.Dir, fmt.Sprintf("%d.runs", len(r.fleet.Servers)))
				spec := demo.BackendServerSpec{Service: service, Version: "v1", DataCentre: dc, Flags: []string{"--runs", runs, "--warm"}}
				if _, err := r.fleet.Add(spec); err != nil {
					return err
				}
			}
		}
	}
	var err error
	r.relays, err = insertRelays(ctx, r.fleet, background)
	return err
}

func (r *run) startAll() error {
	for _, c := range r.fleet.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for _, s := range r.fleet.Servers {
		if err := s.Start(); err != nil {
			return err
		}
	}
	if err := demo.Eventually(startTimeout, func() error { return r.publish(1) }); err != nil {
		return err
	}
	return demo.Eventually(startTimeout, r.checkAllServe)
}

// checkAllServe returns an error unless every node answers a lookup of each service.
func (r *run) checkAllServe() error {
	client := &http.Client{Timeout: requestTimeout}
	for _, s := range r.fleet.Servers {
		for _, path := range []string{"/cabinets/7", "/rosters/3"} {
			resp, err := client.Get(s.CallerURL + path) //nolint:noctx // bounded by the client's timeout
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("%s%s: status %d", s.Host, path, resp.StatusCode)
			}
		}
	}
	return nil
}

// flows returns the request flows of the callers, which use keep-alive connections.
func (r *run) flows() []load.Flow {
	var targets []string
	for _, s := range r.fleet.Servers {
		targets = append(targets, s.CallerURL)
	}
	rateFactor := float64(max(r.FleetMultiplier, 1))
	flow := func(name string, kind model.Kind, service, method, path string, rate float64) load.Flow {
		return load.Flow{Name: name, Kind: kind, Service: service, Method: method, Path: path, Rate: rate * rateFactor,
			BodyBytes: 256, Timeout: 2 * time.Second, Targets: targets, MaxResends: 5}
	}
	longWrites := flow("long writes", model.KindWrite, "ledger", http.MethodPost, "/restocks", 2)
	longWrites.BodyBytes = longWriteBytes
	return append(largeFlows(flow),
		flow("lookups", model.KindLookup, "ledger", http.MethodGet, "/cabinets/7", 100),
		flow("rosters", model.KindLookup, "roster", http.MethodGet, "/rosters/3", 40),
		flow("writes", model.KindWrite, "ledger", http.MethodPost, "/restocks", 30),
		flow("urgent", model.KindUrgent, "ledger", http.MethodGet, "/urgent/1", 10),
		longWrites)
}

// RunSeeds runs several seeds in turn and writes a result line for each. It removes the
// folders of seeds that passed and keeps those of seeds that failed.
func RunSeeds(ctx context.Context, o Options, seeds []uint64) error {
	var failed []uint64
	dir := o.Dir
	for _, seed := range seeds {
		o.Seed, o.Dir = seed, filepath.Join(dir, fmt.Sprintf("seed-%d", seed))
		res, err := Run(ctx, o)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch {
		case err != nil:
			failed = append(failed, seed)
			_, _ = fmt.Fprintf(o.Out, "seed %d: run not completed: %v\n", seed, err)
			continue
		case len(res.Violations) > 0:
			failed = append(failed, seed)
		default:
			if err := os.RemoveAll(o.Dir); err != nil {
				return err
			}
		}
		res.write(o.Out)
	}
	if len(failed) > 0 {
		return fmt.Errorf("%w: seeds %v, logs in %s", ErrFailed, failed, dir)
	}
	return nil
}

// ErrFailed is returned if a seed violated a guarantee or could not be run.
var ErrFailed = errors.New("soak failed")
