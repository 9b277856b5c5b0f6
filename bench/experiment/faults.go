package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

const (
	// faultsServiceTime is the time that a stand-in takes for one request.
	faultsServiceTime = 5 * time.Millisecond
	// faultsDuration is how long load is sent and faults are injected.
	faultsDuration = 112 * time.Second
	// faultsLookupRate, faultsWriteRate and faultsUrgentRate are the total rates of
	// lookups, writes and urgent requests, in requests per second.
	faultsLookupRate, faultsWriteRate, faultsUrgentRate = 800.0, 150.0, 50.0
	// minFaultsRequests is the number of lookups and writes that a run must send at least.
	minFaultsRequests = 100_000
	// maxResends bounds how often a write of unknown outcome is sent again with the same
	// idempotency key.
	maxResends = 10
	// recoveryTimeout is the time after the last repair within which every node must
	// route again.
	recoveryTimeout = 15 * time.Second
	// maxListedViolations bounds the number of violations in the result.
	maxListedViolations = 40
)

// FaultCount holds how often a kind of fault was injected.
type FaultCount struct {
	Fault Fault `json:"fault"`
	Count int   `json:"count"`
}

// FaultsResult holds the figures of the experiment with random faults.
type FaultsResult struct {
	Size   string       `json:"size"`
	Seed   uint64       `json:"seed"`
	Rows   []KindRow    `json:"rows"`
	Faults []FaultCount `json:"faults"`
	// Keys counts the writes. Answered counts those whose caller got an answer, NotRun
	// those refused as not run at each attempt, Ran those that a stand-in ran.
	Keys     int `json:"keys"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Ran      int `json:"ran"`
	// Duplicates counts the writes that ran more than once, Wrong the wrong or cut
	// answers, AnsweredButNotRun the answered writes that did not run, RefusedButRan the
	// writes that ran although they were refused as not run. All four must be 0.
	Duplicates        int   `json:"duplicates"`
	Wrong             int64 `json:"wrong_or_cut"`
	AnsweredButNotRun int   `json:"answered_but_not_run"`
	RefusedButRan     int   `json:"untrue_not_run"`
	// PortsTaken counts the restarts that failed and were retried because another
	// program held one of the addresses.
	PortsTaken int `json:"ports_taken"`
	// Violations describes the failed checks.
	Violations []string `json:"violations"`
	// Details describes the first requests whose outcome was not ok.
	Details []string `json:"details"`
}

// WriteTable writes the requests by kind, the faults and the checks with all violations.
func (r *FaultsResult) WriteTable(w io.Writer) error {
	t := newTable(w, "kind\tsent\tok %\tnot-run\tfailed or unknown\tno entry node\tlate\twrong\tp99 ms")
	for _, x := range r.Rows {
		t.row("%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.0f", x.Kind, x.Sent, percent(x.OK, x.Sent), x.NotRun, x.Failed-x.Lost, x.Lost, x.Late, x.Wrong, x.P99)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w, "fault\tcount")
	for _, f := range r.Faults {
		t.row("%s\t%d", f.Fault, f.Count)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w, "check\tvalue")
	t.row("seed\t%d", r.Seed)
	t.row("writes\t%d keys, %d answered, %d not run, %d ran", r.Keys, r.Answered, r.NotRun, r.Ran)
	t.row("duplicated writes\t%d", r.Duplicates)
	t.row("wrong or cut answers\t%d", r.Wrong)
	t.row("answered writes that did not run\t%d", r.AnsweredButNotRun)
	t.row("writes refused as not run that ran\t%d", r.RefusedButRan)
	t.row("restarts repeated since the address was taken\t%d", r.PortsTaken)
	t.row("violations\t%d", len(r.Violations))
	for _, v := range r.Violations {
		t.row("  %s", v)
	}
	for _, d := range r.Details {
		t.row("  not ok: %s", strings.TrimSpace(d))
	}
	return t.flush()
}

// Faults sends requests of all kinds during random faults, and checks every answer and
// every run of a write. It returns an error if a check fails.
func Faults(o Options) (Result, error) {
	s, err := startSystem(o, setup{
		latency: faultsServiceTime, timeouts: Timeouts{Lookup: time.Second, Write: 2 * time.Second, Urgent: 500 * time.Millisecond},
		queueTimeout: 200 * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	defer s.kill()
	res := &FaultsResult{Size: o.Size.Name, Seed: o.Seed}
	report := load.NewReport(time.Now())
	j := newInjector(s, o.Seed)
	ctx, cancel := context.WithTimeout(context.Background(), faultsDuration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { load.New(report).Run(ctx, s.faultFlows()) })
	wg.Go(func() { j.run(ctx) })
	wg.Wait()
	s.logf("load and faults ended; all repaired")
	res.Rows = kindRows(Product, report.Flows(), 0, untilEnd)
	res.Details = report.Details()
	for _, f := range faults {
		res.Faults = append(res.Faults, FaultCount{f, j.counts[f]})
	}
	res.PortsTaken = j.portsTaken
	for _, err := range j.errs {
		res.addViolation("fault or repair: %v", err)
	}
	s.checkRecovered(res)
	runs, err := s.runsByKey("product")
	if err != nil {
		return res, err
	}
	res.checkWrites(report.Keys(), runs)
	res.checkRequests(report)
	for _, found := range demo.ScanLogs(s.Dir) {
		res.addViolation("%s", found)
	}
	if len(res.Violations) > 0 {
		return res, fmt.Errorf("%d violations", len(res.Violations))
	}
	return res, nil
}

// faultFlows returns flows to all nodes. The rate of each kind is split evenly over its
// routes.
func (s *system) faultFlows() []load.Flow {
	flows := s.Size.flows(1, s.latency, s.timeouts, s.allEntryURLs())
	count := map[model.Kind]float64{}
	for _, f := range flows {
		count[f.Kind]++
	}
	rates := map[model.Kind]float64{model.KindLookup: faultsLookupRate, model.KindWrite: faultsWriteRate, model.KindUrgent: faultsUrgentRate}
	for i := range flows {
		flows[i].Rate = rates[flows[i].Kind] / count[flows[i].Kind]
		flows[i].MaxResends = maxResends
	}
	return flows
}

// addViolation records a violation, up to maxListedViolations.
func (r *FaultsResult) addViolation(format string, args ...any) {
	if len(r.Violations) < maxListedViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkRecovered waits until every node routes again. It also checks that no node
// counted a violated invariant and that all control hosts are running.
func (s *system) checkRecovered(r *FaultsResult) {
	if err := demo.Eventually(recoveryTimeout, s.checkRoutes); err != nil {
		r.addViolation("not recovered within %s of the last repair: %v", recoveryTimeout, err)
	}
	for _, b := range s.fleet.Servers {
		st, err := b.Status()
		switch {
		case err != nil:
			r.addViolation("node %s: %v", b.Host, err)
		case st.Violations > 0:
			r.addViolation("node %s counted %d violations of invariants", b.Host, st.Violations)
		}
	}
	for _, c := range s.fleet.Controls {
		if !c.Running() {
			r.addViolation("control host %s has exited", c.Host)
		}
	}
}

// checkWrites compares the answers that callers got to their writes with the recorded
// runs.
func (r *FaultsResult) checkWrites(reports map[string]load.KeyReport, runs map[string]int) {
	r.Keys = len(reports)
	for _, found := range load.CompareRuns(reports, runs) {
		r.addViolation("%s", found)
	}
	for _, n := range runs {
		if n > 0 {
			r.Ran++
		}
		if n > 1 {
			r.Duplicates++
		}
	}
	for key, t := range reports {
		if t.OK {
			r.Answered++
		}
		if t.NotRun {
			r.NotRun++
		}
		if t.OK && runs[key] == 0 {
			r.AnsweredButNotRun++
		}
		if t.NotRun && runs[key] > 0 {
			r.RefusedButRan++
		}
	}
}

// checkRequests checks that no answer was wrong and that enough requests were sent.
func (r *FaultsResult) checkRequests(report *load.Report) {
	if r.Wrong = report.Count(load.OutcomeWrong); r.Wrong > 0 {
		r.addViolation("%d wrong or cut answers", r.Wrong)
	}
	var sent int64
	for _, x := range r.Rows {
		if x.Kind != model.KindUrgent.String() {
			sent += x.Sent
		}
	}
	if sent < minFaultsRequests {
		r.addViolation("%d lookups and writes were sent, want at least %d", sent, minFaultsRequests)
	}
}
