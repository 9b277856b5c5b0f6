package sim

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// GoodScenarios returns the scenarios in which the new version is good.
func GoodScenarios(base Scenario) []Scenario {
	return withDefaults(base, []Scenario{
		{Name: "quiet"},
		{Name: "noise: 2% base errors", BaseErrors: 0.02},
		{Name: "100 calls/s", CallsPerSecond: 100},
		{Name: "30 calls/s", CallsPerSecond: 30},
		{Name: "overload 25 s while moving", Disruption: Disruption{Overload: true, From: 20 * time.Second, To: 45 * time.Second}},
		{Name: "overload 40 s in the watch", Disruption: Disruption{Overload: true, From: 90 * time.Second, To: 130 * time.Second}},
		{Name: "overload 2 s in every 20 s", Disruption: Disruption{Overload: true, Period: 20 * time.Second, From: 10 * time.Second, To: 240 * time.Second}},
		{Name: "data centre lost while moving", Disruption: Disruption{LostDataCentre: 1, From: 25 * time.Second, To: 55 * time.Second}},
		{Name: "data centre lost in the watch", Disruption: Disruption{LostDataCentre: 1, From: 90 * time.Second, To: 140 * time.Second}},
		{Name: "half turn cold while moving", Disruption: Disruption{ColdRestart: true, From: 60 * time.Second, To: 61 * time.Second}},
		{Name: "half turn cold in the watch", Disruption: Disruption{ColdRestart: true, From: 90 * time.Second, To: 91 * time.Second}},
		{Name: "no reports for 20 s", Disruption: Disruption{LostReports: true, From: 20 * time.Second, To: 40 * time.Second}},
		{Name: "new leader every 15 s", Disruption: Disruption{NewLeader: true, From: 10 * time.Second, To: 100 * time.Second}},
	})
}

// BadScenarios returns the scenarios in which the new version is bad.
func BadScenarios(base Scenario) []Scenario {
	return withDefaults(base, []Scenario{
		{Name: "fails 100% at once", Defect: &Defect{ErrorRate: 1}},
		{Name: "fails 20% at once", Defect: &Defect{ErrorRate: 0.2}},
		{Name: "fails 5% at once", Defect: &Defect{ErrorRate: 0.05}},
		{Name: "fails 100% from 50 s", Defect: &Defect{ErrorRate: 1, StartsAfter: 50 * time.Second}},
		{Name: "fails 20% from 50 s", Defect: &Defect{ErrorRate: 0.2, StartsAfter: 50 * time.Second}},
		{Name: "fails 5% from 50 s", Defect: &Defect{ErrorRate: 0.05, StartsAfter: 50 * time.Second}},
		{Name: "fails 100% 30 s after done", Defect: &Defect{ErrorRate: 1, AfterCompletion: 30 * time.Second}},
		{Name: "fails 20% 30 s after done", Defect: &Defect{ErrorRate: 0.2, AfterCompletion: 30 * time.Second}},
		{Name: "fails 5% 30 s after done", Defect: &Defect{ErrorRate: 0.05, AfterCompletion: 30 * time.Second}},
		{Name: "fails 20% only under load", Defect: &Defect{ErrorRate: 0.2, MinLoad: 0.35}},
		{Name: "fails 20% only under nearly full load", Defect: &Defect{ErrorRate: 0.2, MinLoad: 0.46}},
		{Name: "fails 100% on a 10% route", Defect: &Defect{ErrorRate: 1, Route: "history"}},
		{Name: "fails 20% on a 10% route", Defect: &Defect{ErrorRate: 0.2, Route: "history"}},
		{Name: "fails 20% at once, 30 calls/s", CallsPerSecond: 30, LowTraffic: true, Defect: &Defect{ErrorRate: 0.2}},
		{Name: "fails 5% at once, 30 calls/s", CallsPerSecond: 30, LowTraffic: true, Defect: &Defect{ErrorRate: 0.05}},
		{Name: "3 times slower", Defect: &Defect{Slowdown: 3}},
		{Name: "2 times slower", Defect: &Defect{Slowdown: 2}},
		{Name: "3 times slower 30 s after done", Defect: &Defect{Slowdown: 3, AfterCompletion: 30 * time.Second}},
		{Name: "fails 20%, overload while moving", Defect: &Defect{ErrorRate: 0.2, StartsAfter: 20 * time.Second},
			Disruption: Disruption{Overload: true, From: 20 * time.Second, To: 45 * time.Second}},
	})
}

// Base holds the traffic and the times of every scenario that does not set its own.
var Base = Scenario{BaseErrors: 0.002, CallsPerSecond: 400, Deadline: 120 * time.Second, Watch: 120 * time.Second}

// withDefaults fills in the values that the scenarios do not set from base.
func withDefaults(base Scenario, list []Scenario) []Scenario {
	for i := range list {
		s := &list[i]
		if s.BaseErrors == 0 {
			s.BaseErrors = base.BaseErrors
		}
		if s.CallsPerSecond == 0 {
			s.CallsPerSecond = base.CallsPerSecond
		}
		s.Deadline, s.Watch = base.Deadline, base.Watch
	}
	return list
}

// Totals sums up the results of many runs of a scenario.
type Totals struct {
	Scenario                       Scenario
	Runs                           int
	Done, InTime, Reversed, AtRisk int
	Passed                         int
	AffectedCalls                  int
	// Completed holds the times from start to completion and TimesToZero the known TimeToZero of the runs; both are sorted.
	Completed, TimesToZero []time.Duration
	Reasons                map[string]int
}

// Measure runs a scenario with the seeds 1 to runs.
func Measure(s Scenario, runs int, plan func(Scenario, time.Time) Plan) Totals {
	sum := Totals{Scenario: s, Runs: runs, Reasons: map[string]int{}}
	start := time.Unix(1_700_000_000, 0)
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(4)
	for seed := range uint64(runs) {
		g.Go(func() error {
			r := Run(s, seed+1, start, plan(s, start))
			mu.Lock()
			defer mu.Unlock()
			sum.add(r)
			return nil
		})
	}
	_ = g.Wait()
	slices.Sort(sum.Completed)
	slices.Sort(sum.TimesToZero)
	return sum
}

func (s *Totals) add(r Result) {
	s.Done += boolToInt(r.Done)
	s.InTime += boolToInt(r.InTime)
	s.Reversed += boolToInt(r.Reversed)
	s.AtRisk += boolToInt(r.AtRisk)
	s.Passed += boolToInt(r.Passed)
	s.AffectedCalls += r.AffectedCalls
	if r.Done {
		s.Completed = append(s.Completed, r.CompletedAfter)
	}
	if r.TimeToZero >= 0 {
		s.TimesToZero = append(s.TimesToZero, r.TimeToZero)
	}
	if r.Reversed {
		s.Reasons[r.Reason]++
	}
}

func percent(n, of int) string {
	if of == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(n)/float64(of))
}

// quantile returns the q-quantile of sorted durations.
func quantile(d []time.Duration, q float64) string {
	if len(d) == 0 {
		return "-"
	}
	return d[int(q*float64(len(d)-1))].String()
}

// WriteGood writes the table of the good versions; each element of sums holds the measured plan and the naive one.
func WriteGood(w io.Writer, sums [][2]Totals) {
	_, _ = fmt.Fprintf(w, "| good version | in time | reversed | p50 time to completion | at risk reported | naive: in time | naive: reversed |\n|---|---|---|---|---|---|---|\n")
	for _, p := range sums {
		a, b := p[0], p[1]
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s |\n", a.Scenario.Name, percent(a.InTime, a.Runs), percent(a.Reversed, a.Runs),
			quantile(a.Completed, 0.5), percent(a.AtRisk, a.Runs), percent(b.InTime, b.Runs), percent(b.Reversed, b.Runs))
	}
}

// WriteBad writes the table of the bad versions in the same form.
func WriteBad(w io.Writer, sums [][2]Totals) {
	_, _ = fmt.Fprintf(w, "| bad version | reversed | kept | affected calls per run | time to zero p50 | p99 | naive: reversed | naive: affected calls | naive: time to zero p50 |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, p := range sums {
		a, b := p[0], p[1]
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %d | %s | %s | %s | %d | %s |\n", a.Scenario.Name, percent(a.Reversed, a.Runs), percent(a.Passed, a.Runs), a.AffectedCalls/a.Runs,
			quantile(a.TimesToZero, 0.5), quantile(a.TimesToZero, 0.99), percent(b.Reversed, b.Runs), b.AffectedCalls/max(b.Runs, 1), quantile(b.TimesToZero, 0.5))
	}
}
