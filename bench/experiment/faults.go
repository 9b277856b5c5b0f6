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
	faultsServiceTime = 5 * time.Millisecond
	faultsDuration    = 112 * time.Second
	// faultsLookups, faultsWrites and faultsUrgent are requests per second.
	faultsLookupRate, faultsWriteRate, faultsUrgentRate = 800.0, 150.0, 50.0
	// faultsRequests is the least number of lookups and writes of a run.
	minFaultsRequests = 100_000
	// faultsResends bounds how often a write of unknown outcome is sent again with its key.
	maxResends = 10
	// recoverLimit is the time after the last repair until every node routes again.
	recoveryTimeout = 15 * time.Second
	// maxViolations bounds the violations that are listed.
	maxListedViolations = 40
)

// FaultCount says how often a fault was injected.
type FaultCount struct {
	Fault Fault `json:"fault"`
	Count int   `json:"count"`
}

// FaultsResult is the outcome of the experiment under random faults.
type FaultsResult struct {
	Size   string       `json:"size"`
	Seed   uint64       `json:"seed"`
	Rows   []KindRow    `json:"rows"`
	Faults []FaultCount `json:"faults"`
	// Keys are the writes, Answered those that a caller got an answer to,
	// NotRun those refused as not run at each attempt, Ran those that a stand-in ran.
	Keys     int `json:"keys"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Ran      int `json:"ran"`
	// The four counts must be 0.
	Duplicates        int   `json:"duplicates"`
	Wrong             int64 `json:"wrong_or_cut"`
	AnsweredButNotRun int   `json:"answered_but_not_run"`
	RefusedButRan     int   `json:"untrue_not_run"`
	// PortsTaken counts restarts that had to be repeated because another program
	// of the machine held the address meanwhile.
	PortsTaken int `json:"ports_taken"`
	// Violations lists everything that must not happen.
	Violations []string `json:"violations"`
	// Details are the first requests that were not answered well.
	Details []string `json:"details"`
}

// WriteTable writes requests by kind, faults and violations.
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

// Faults runs lookups and writes under random faults and checks every answer
// and every run. An error means that a check failed.
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

// faultFlows sends to every node and splits the rates over the routes of a kind.
func (s *system) faultFlows() []load.Flow {
	flows := s.Size.flows(1, s.latency, s.timeouts, s.allEntryURLs())
	count := map[model.Kind]float64{}
	for _, f := range flows {
		count[f.Kind]++
	}
	rates := map[model.Kind]float64{model.KindLookup: faultsLookupRate, model.KindWrite: faultsWriteRate, model.KindUrgent: faultsUrgentRate}
	for i := range flows {
		flows[i].Rate = rates[flows[i].Kind] / count[flows[i].Kind]
		flows[i].Resends = maxResends
	}
	return flows
}

func (r *FaultsResult) addViolation(format string, args ...any) {
	if len(r.Violations) < maxListedViolations {
		r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
	}
}

// checkRecovered waits until every node routes again and asks for violations.
func (s *system) checkRecovered(r *FaultsResult) {
	if err := demo.Eventually(recoveryTimeout, s.checkRoutes); err != nil {
		r.addViolation("not recovered %s after the last repair: %v", recoveryTimeout, err)
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
			r.addViolation("control host %s has ended", c.Host)
		}
	}
}

// checkWrites compares what callers were told with what ran.
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

// checkRequests checks the number of requests and that no answer was wrong.
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
		r.addViolation("%d lookups and writes were sent, fewer than %d", sent, minFaultsRequests)
	}
}
