// Package faults contains failure scenarios that run real processes on loopback. Each
// scenario starts its own fleet under light load, causes one kind of failure, checks
// the expected behaviour and writes a line of measured figures.
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Options configure a run.
type Options struct {
	// Bin is the folder of the programs; Dir is the folder for settings, data and logs.
	Bin, Dir string
	// Names selects scenarios; empty runs all of them.
	Names []string
	// Keep retains the folders of scenarios that passed.
	Keep bool
	Out  io.Writer
}

// scenario is one failure with its checks.
type scenario struct {
	name        string
	description string
	run         func(*env) error
}

func scenarios() []scenario {
	return []scenario{
		{"herd", "kill all nodes within a second and restart them together", restartAllNodes},
		{"leader-kill", "kill the leader three times during a move", killLeaderDuringMove},
		{"paused-control", "pause the leader for longer than its lease while a note is published", pauseLeader},
		{"silent", "drop all traffic of the open connections without closing them", blackholeConnections},
		{"late-node", "restart a node after 300 notes", restartLateNode},
		{"disk-loss", "lose a control host's disk, repair, lose a second control host", loseDisks},
		{"source-outage", "stop all control hosts for 15 s", stopAllControlHosts},
		{"operators-race", "20 publishers race with the same note number", racePublishers},
		{"stops", "restart each node of the mesh in turn", restartEachNode},
		{"control-stop", "restart each control host by SIGTERM, the leader first", restartControlHosts},
	}
}

// ErrUnknownScenario is returned if Options.Names contains an unknown name.
var ErrUnknownScenario = errors.New("unknown scenario")

// Run runs the selected scenarios in sequence and returns an error if any of them failed.
func Run(ctx context.Context, o Options) error {
	chosen, err := selectScenarios(o.Names)
	if err != nil {
		return err
	}
	var failed []string
	for _, s := range chosen {
		if err := runScenario(ctx, o, s); err != nil {
			failed = append(failed, s.name)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("failed: %s (logs in %s)", strings.Join(failed, ", "), o.Dir)
	}
	return nil
}

func selectScenarios(names []string) ([]scenario, error) {
	all := scenarios()
	if len(names) == 0 {
		return all, nil
	}
	var out []scenario
	for _, name := range names {
		found := false
		for _, s := range all {
			if s.name == name {
				out, found = append(out, s), true
			}
		}
		if !found {
			return nil, fmt.Errorf("%w: %s", ErrUnknownScenario, name)
		}
	}
	return out, nil
}

// scenarioTimeout bounds one scenario. Scenarios are planned for one minute; the rest
// is a margin, so that they do not fail merely because the machine is busy.
const scenarioTimeout = 2 * time.Minute

func runScenario(ctx context.Context, o Options, s scenario) error {
	ctx, cancel := context.WithTimeout(ctx, scenarioTimeout)
	defer cancel()
	dir := filepath.Join(o.Dir, s.name)
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return err
	}
	if err := os.Mkdir(dir, 0o755); err != nil { // fails if it exists: data of an earlier run must not be read
		return err
	}
	_, _ = fmt.Fprintf(o.Out, "== %s: %s\n", s.name, s.description)
	e := &env{ctx: ctx, dir: dir, bin: o.Bin, out: o.Out, start: time.Now(), endedRuns: map[string]int{}}
	err := e.runAndCheck(s.run)
	verdict := "pass"
	if err != nil {
		verdict = "FAIL"
		for _, line := range strings.Split(err.Error(), "\n") {
			e.logProgress("failed: %s", line)
		}
	}
	_, _ = fmt.Fprintf(o.Out, "%s %s (%.0f s): %s\n\n", verdict, s.name, time.Since(e.start).Seconds(),
		strings.Join(e.figures, "; "))
	if err == nil && !o.Keep {
		return os.RemoveAll(dir)
	}
	return err
}
