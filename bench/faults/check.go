package faults

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
)

// checkResults checks what must hold after every scenario: the answers that callers got
// agree with the writes that ran, and no log contains a violated invariant or a panic.
func (e *env) checkResults() error {
	var found []error
	fail := func(format string, args ...any) { found = append(found, fmt.Errorf(format, args...)) }
	if e.report != nil {
		e.checkWrites(fail)
		if n := e.report.Count(load.OutcomeWrong); n > 0 {
			fail("%d wrong or cut answers", n)
		}
		if n := e.report.Count(load.OutcomeFailed); n > 0 {
			fail("%d failed answers of healthy versions", n)
		}
	}
	files, _ := filepath.Glob(filepath.Join(e.dir, "*.log"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".log")
		e.scanLog(name, func(line string) {
			if strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") {
				fail("%s: %s", name, line)
			}
		})
	}
	if len(found) > 0 && e.report != nil {
		for _, line := range e.report.Details() {
			e.logProgress("not ok: %s", line)
		}
	}
	return errors.Join(found...)
}

// checkWrites calls fail for each write that ran twice and for each write whose answer
// disagrees with whether it ran.
func (e *env) checkWrites(fail func(string, ...any)) {
	runs := e.endedRuns
	for _, s := range e.Servers {
		keys, err := s.Keys()
		if err != nil {
			fail("stand-in %s: %v", s.Host, err)
			continue
		}
		for k, n := range keys {
			runs[k] += n
		}
	}
	for key, n := range runs {
		if n > 1 {
			fail("write %s ran %d times", key, n)
		}
	}
	reports := e.report.Keys()
	for key, k := range reports {
		if k.OK && runs[key] == 0 {
			fail("write %s was answered but did not run", key)
		}
		if k.NotRun && runs[key] > 0 {
			fail("write %s was refused as not run but ran", key)
		}
	}
	e.addFigure("%d writes, none twice", len(reports))
}

// saveRuns adds the runs of a stand-in to endedRuns. It is called before the stand-in
// is killed, which loses its own counts.
func (e *env) saveRuns(s *demo.BackendServer) error {
	keys, err := s.Keys()
	for k, n := range keys {
		e.endedRuns[k] += n
	}
	return err
}

// flowReport returns the report of the flow, or an empty one if there is none.
func (e *env) flowReport(name string) load.FlowReport {
	for _, f := range e.report.Flows() {
		if f.Name == name {
			return f
		}
	}
	return load.FlowReport{}
}

// notOK returns the number of requests of a flow without a correct answer in time.
func notOK(f load.FlowReport) int64 { return f.Sent - f.Outcomes[load.OutcomeOK] }

// lastSecondNotOK returns the last second of the report in which a request of the
// flow had an outcome other than OK, or -1 if there is none.
func lastSecondNotOK(f load.FlowReport) int64 {
	last := int64(-1)
	for _, s := range f.Seconds {
		for o, n := range s.Outcomes {
			if o != load.OutcomeOK && n > 0 {
				last = max(last, s.Second)
			}
		}
	}
	return last
}
