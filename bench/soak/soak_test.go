package soak

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Guards against a plan that differs between two runs of a seed, and against a kind of
// fault that is never drawn.
func TestPlanIsDeterministic(t *testing.T) {
	a, b, other := NewPlan(7), NewPlan(7), NewPlan(8)
	kinds := map[Fault]bool{}
	same := true
	for range 200 {
		x := a.Next()
		if !reflect.DeepEqual(x, b.Next()) {
			t.Fatal("two plans of one seed differ")
		}
		same = same && reflect.DeepEqual(x, other.Next())
		for _, e := range x.Events {
			kinds[e.Fault] = true
			if e.Duration < minFaultDuration || e.Duration > maxFaultDuration {
				t.Errorf("%s lasts %s", e.Fault, e.Duration)
			}
		}
	}
	if same {
		t.Error("the plans of two seeds are equal")
	}
	if len(kinds) != len(allFaults) {
		t.Errorf("%d of %d kinds of faults drawn", len(kinds), len(allFaults))
	}
}

// Guards against faults in two control hosts at the same time, which the control group
// is not designed to survive.
func TestAtMostOneControlHostIsFaulty(t *testing.T) {
	j := newInjector(&run{start: time.Now()})
	inside := make(chan struct{})
	release := make(chan struct{})
	go j.injectReserved(Event{Fault: KillControl}, "c1", controlGroup, 1, func() error {
		close(inside)
		<-release
		return nil
	})
	<-inside
	for _, host := range []model.HostID{"c1", "c2"} {
		j.injectReserved(Event{Fault: PauseControl}, host, controlGroup, 1, func() error {
			t.Errorf("fault injected into %s while c1 has one", host)
			return nil
		})
	}
	close(release)
}

// Guards against checks that never report a violation.
func TestChecksReportViolations(t *testing.T) {
	r := &run{Options: Options{Dir: t.TempDir()}, fleet: &demo.Fleet{}, report: load.NewReport(time.Now()), start: time.Now()}
	s := &demo.BackendServer{Host: "n1"}
	status := func(index uint64, uptime int64) demo.NodeStatus {
		st := demo.NodeStatus{UptimeMs: uptime}
		st.Position.Index = index
		return st
	}
	r.checkNodeStatus(s, observation{status: status(7, 100), valid: true}, status(8, 200))
	r.checkNodeStatus(s, observation{status: status(7, 100), valid: true}, status(1, 50)) // the process was restarted
	if len(r.violations) > 0 {
		t.Fatalf("found %v", r.violations)
	}
	r.checkNodeStatus(s, observation{status: status(7, 100), valid: true}, status(6, 200))
	r.checkNodeStatus(s, observation{}, demo.NodeStatus{Violations: 1})
	if err := os.WriteFile(filepath.Join(r.Dir, "n1.log"), []byte("panic: x\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	res, err := r.result(nil)
	if err != nil || len(res.Violations) != 3 {
		t.Errorf("%v, found %q", err, res.Violations)
	}
	told := map[string]load.KeyReport{"lost": {OK: true}, "untrue": {NotRun: true}, "good": {OK: true}}
	if found := load.CompareRuns(told, map[string]int{"good": 1, "untrue": 1, "twice": 2}); len(found) != 3 {
		t.Errorf("found %q", found)
	}
}

// Guards against a first note that lacks the routes of the flows, which would leave them
// refused without a violation.
func TestFirstNoteHasTheRoutesOfAllFlows(t *testing.T) {
	n, err := note.ParseNote([]byte(firstNote()))
	if err != nil {
		t.Fatal(err)
	}
	r := &run{fleet: &demo.Fleet{}}
	for _, f := range r.flows() {
		if !slices.ContainsFunc(n.Routes.Added, func(route note.Route) bool {
			return strings.HasPrefix(f.Path, route.PathPrefix) && route.Kind == f.Kind && (len(f.Split) == 0) == (len(route.Split) == 0)
		}) {
			t.Errorf("no route for flow %s", f.Name)
		}
	}
}

// Guards against a check of the split that finds nothing, or finds fault with shares by weight.
func TestSplitDeviations(t *testing.T) {
	for _, c := range []struct {
		ledger, roster int64
		found          int
	}{{210, 90, 0}, {237, 63, 0}, {243, 57, 2}, {150, 150, 2}, {0, 300, 2}, {70, 30, 1}, {0, 0, 1}} {
		counts := map[string]int64{"ledger": c.ledger, "roster": c.roster}
		if found := splitDeviations(counts, splitWeights); len(found) != c.found {
			t.Errorf("%v: found %q", counts, found)
		}
	}
}
