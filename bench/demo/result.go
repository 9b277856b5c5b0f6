package demo

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"balsamtrail.org/bench/load"
)

// finish collects the measurements, stops all processes, checks the invariants and
// writes the tables. It returns an error if an invariant was violated.
func (d *run) finish() error {
	var violations []error
	addViolation := func(format string, args ...any) { violations = append(violations, fmt.Errorf(format, args...)) }
	byteRates := d.controlByteRates()
	methodRates := d.topMethodRates()
	runs := d.collectRuns(addViolation)
	d.requests, d.coldOverload = d.coldOverloads()
	d.checkPlannedStop(addViolation)
	d.checkWrites(runs, addViolation)
	d.stopAndCheckProcesses(addViolation)
	convergence := d.convergenceTimes()
	if n := d.report.Count(load.OutcomeWrong); n > 0 {
		addViolation("%d wrong or cut answers", n)
	}
	if err := d.writeTable(byteRates, methodRates, convergence, len(violations)); err != nil {
		return err
	}
	for _, line := range d.report.Details() {
		_, _ = fmt.Fprintln(d.out, "  not ok:", line)
	}
	if len(violations) > 0 {
		return errors.Join(violations...)
	}
	d.progress("no invariant broke")
	return nil
}

// controlByteRates returns the control traffic of each node that answers, sent and
// received, in bytes per second and ascending order.
func (d *run) controlByteRates() []float64 {
	var out []float64
	for _, s := range d.f.Servers {
		st, err := s.Status()
		if err == nil && st.UptimeMs > 0 {
			out = append(out, float64(st.BytesSent+st.BytesReceived)/(float64(st.UptimeMs)/1000))
		}
	}
	slices.Sort(out)
	return out
}

// topMethodRates lists the control traffic by method of the node with the most of
// it. Methods below 50 B/s are left out.
func (d *run) topMethodRates() []string {
	var topCounts map[string]int64
	var total, seconds float64
	for _, s := range d.f.Servers {
		st, err := s.Status()
		if err != nil || float64(st.BytesSent+st.BytesReceived) <= total {
			continue
		}
		counters, err := s.Metrics()
		if err != nil {
			continue
		}
		total, seconds = float64(st.BytesSent+st.BytesReceived), float64(st.UptimeMs)/1000
		topCounts = map[string]int64{}
		for name, c := range counters {
			if method, ok := strings.CutPrefix(name, "peer.sent."); ok {
				topCounts[method] += c.Count
			}
			if method, ok := strings.CutPrefix(name, "peer.received."); ok {
				topCounts[method] += c.Count
			}
		}
	}
	var out []string
	for _, method := range slices.Sorted(maps.Keys(topCounts)) {
		if rate := float64(topCounts[method]) / seconds; rate >= 50 {
			out = append(out, fmt.Sprintf("%s %.0f B/s", method, rate))
		}
	}
	return out
}

// collectRuns sums the runs of each idempotency key over all stand-ins.
func (d *run) collectRuns(addViolation func(string, ...any)) map[string]int {
	runs := map[string]int{}
	for _, s := range d.f.Servers {
		keys, err := s.Keys()
		if err != nil {
			addViolation("stand-in %s: %v", s.Host, err)
			continue
		}
		for k, n := range keys {
			runs[k] += n
		}
	}
	return runs
}

// plannedStopLimit is the time after the start of a planned stop by which the backend
// server must get its last request.
const plannedStopLimit = 2 * time.Second

// checkPlannedStop checks that the stand-in of the node with the planned stop got no
// request after plannedStopLimit.
func (d *run) checkPlannedStop(addViolation func(string, ...any)) {
	st, err := d.stoppedServer.Stats()
	if err != nil {
		addViolation("stand-in %s: %v", d.stoppedServer.Host, err)
		return
	}
	if late := st.LastRequest.Sub(d.plannedStopAt); late > plannedStopLimit {
		addViolation("%s got a request %s after its planned stop began", d.stoppedServer.Host, late)
	}
}

// coldOverloads sums over all stand-ins the requests that they accepted, and those
// that ran above the concurrency limit of a stand-in while it was cold.
func (d *run) coldOverloads() (requests, overloads int64) {
	for _, s := range d.f.Servers {
		if st, err := s.Stats(); err == nil {
			requests += st.Requests
			overloads += st.ColdOverload
		}
	}
	return requests, overloads
}

// checkWrites compares the outcomes that callers received with the runs of each key.
// A write must not run twice, must have run if it was answered, and must not have
// run if it was refused as not run.
func (d *run) checkWrites(runs map[string]int, addViolation func(string, ...any)) {
	for key, n := range runs {
		if n > 1 {
			addViolation("write %s ran %d times", key, n)
		}
	}
	for key, told := range d.report.Keys() {
		if told.OK && runs[key] == 0 {
			addViolation("write %s was answered and did not run", key)
		}
		if told.NotRun && runs[key] > 0 {
			addViolation("write %s was refused as not run and ran", key)
		}
	}
}

// stopAndCheckProcesses reads the invariant violations that every node counted, stops
// all processes and searches their logs for violations and panics.
func (d *run) stopAndCheckProcesses(addViolation func(string, ...any)) {
	for _, s := range d.f.Servers {
		if st, err := s.Status(); err == nil && st.Violations > 0 {
			addViolation("node %s counted %d violations", s.Host, st.Violations)
		}
	}
	for _, s := range d.f.Servers {
		_ = s.Node.Signal(15)
	}
	for _, s := range d.f.Servers {
		if err := s.Node.Stop(); err != nil && s.Node.Running() {
			addViolation("%v", err)
		}
		s.Backend.Kill()
	}
	for _, c := range d.f.Controls {
		if err := c.Stop(); err != nil {
			addViolation("control host %s ended with %v", c.Host, err)
		}
	}
	files, _ := filepath.Glob(filepath.Join(d.f.dir, "*.log"))
	for _, file := range files {
		forEachLine(file, func(line string) {
			if strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") {
				addViolation("%s: %s", filepath.Base(file), line)
			}
		})
	}
}

// forEachLine calls f for each line of a file. A file that cannot be opened has no lines.
func forEachLine(file string, f func(string)) {
	fh, err := os.Open(file)
	if err != nil {
		return
	}
	defer fh.Close()
	sc := bufio.NewScanner(fh)
	sc.Buffer(make([]byte, 64<<10), 4<<20)
	for sc.Scan() {
		f(sc.Text())
	}
}

// logLine holds the attributes of a log line that the demo reads.
type logLine struct {
	Time     time.Time `json:"time"`
	Msg      string    `json:"msg"`
	Host     string    `json:"host"`
	Index    uint64    `json:"index"`
	Changed  bool      `json:"changed"`
	Position string    `json:"position"`
}

// convergenceTimes returns for each change that the control hosts accepted the time
// until it was in force on the last node that was running at the time of the change.
// The times are in ascending order.
func (d *run) convergenceTimes() []time.Duration {
	accepted := map[string]time.Time{}
	for _, c := range d.f.Controls {
		forEachLine(filepath.Join(d.f.dir, string(c.Host)+".log"), func(line string) {
			var l logLine
			if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "note command applied" || !l.Changed {
				return
			}
			pos := fmt.Sprintf("1.%d", l.Index)
			if t, ok := accepted[pos]; !ok || l.Time.Before(t) {
				accepted[pos] = l.Time
			}
		})
	}
	last := map[string]time.Duration{}
	for _, s := range d.f.Servers {
		d.addNodeConvergence(s, accepted, last)
	}
	return slices.Sorted(maps.Values(last))
}

// addNodeConvergence raises the times in last to those of one node, by log position.
// A node may skip positions that a later one covers.
func (d *run) addNodeConvergence(s *BackendServer, accepted map[string]time.Time, last map[string]time.Duration) {
	first := true
	forEachLine(filepath.Join(d.f.dir, string(s.Host)+".log"), func(line string) {
		var l logLine
		if json.Unmarshal([]byte(line), &l) != nil || l.Msg != "version in force" {
			return
		}
		t, ok := accepted[l.Position]
		if !ok || first && l.Time.Sub(t) > 2*time.Second {
			first = false
			return // a snapshot at the start of a node that was not running at the time of the change
		}
		first = false
		last[l.Position] = max(last[l.Position], l.Time.Sub(t))
	})
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// writeTable writes the table of the flows and that of all other measurements.
func (d *run) writeTable(byteRates []float64, methodRates []string, convergence []time.Duration, violations int) error {
	_, _ = fmt.Fprintln(d.out)
	if err := d.report.WriteTable(d.out); err != nil {
		return err
	}
	d.writeVersionShares()
	flows := map[string]load.FlowReport{}
	for _, f := range d.report.Flows() {
		flows[f.Name] = f
	}
	direct, mesh := flows["direct lookup"], flows["cabinet lookup"]
	tw := tabwriter.NewWriter(d.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "\nmeasure\tvalue")
	row := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(tw, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	row("processes", "%d control hosts, %d nodes, %d stand-ins", len(d.f.Controls), len(d.f.Servers), len(d.f.Servers)+1)
	row("convergence of changes", "p50 %d ms, p99 %d ms, max %d ms of %d changes", quantile(convergence, 0.5).Milliseconds(),
		quantile(convergence, 0.99).Milliseconds(), quantile(convergence, 1).Milliseconds(), len(convergence))
	if n := len(byteRates); n > 0 {
		row("control bytes a node", "median %.0f B/s, max %.0f B/s", byteRates[n/2], byteRates[n-1])
	}
	for _, m := range methodRates {
		row("  of the node with most", "%s", m)
	}
	row("added latency of lookups", "p50 %.2f ms, p99 %.2f ms", mesh.P50-direct.P50, mesh.P99-direct.P99)
	row("good version completed after", "%.1f s (stated time %s)", d.moveDuration.Seconds(), moveTime)
	row("bad version taken back after", "%.1f s", d.reversalDuration.Seconds())
	row("requests above what cold servers bear", "%d of %d", d.coldOverload, d.requests)
	row("writes", "%d keys, %d wrong answers", len(d.report.Keys()), d.report.Count(load.OutcomeWrong))
	row("broken invariants", "%d", violations)
	return tw.Flush()
}

// secondsPerRow is the time that one row of the version shares covers, in seconds.
const secondsPerRow = 4

// writeVersionShares writes the percentage of cabinet lookups that version v2 of the
// ledger answered, over time.
func (d *run) writeVersionShares() {
	_, _ = fmt.Fprintln(d.out, "\ncabinet lookups by version over time")
	for _, f := range d.report.Flows() {
		if f.Name != "cabinet lookup" {
			continue
		}
		sums := map[int64]map[string]int64{}
		for _, s := range f.Seconds {
			row := s.Second / secondsPerRow
			if sums[row] == nil {
				sums[row] = map[string]int64{}
			}
			for v, n := range s.Versions {
				sums[row][v] += n
			}
		}
		for _, row := range slices.Sorted(maps.Keys(sums)) {
			v1, v2 := sums[row]["v1"], sums[row]["v2"]
			if v1+v2 == 0 {
				continue
			}
			share := float64(v2) / float64(v1+v2)
			_, _ = fmt.Fprintf(d.out, "  %2d-%2d s  v2 %5.1f%%  %s\n", row*secondsPerRow, (row+1)*secondsPerRow-1, 100*share,
				strings.Repeat("#", int(share*40)))
		}
	}
}
