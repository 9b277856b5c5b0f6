package faults

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
)

// checkResults compares what callers were told with what ran, and looks for violated
// invariants. It holds for every scenario.
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
	told := e.report.Keys()
	for key, k := range told {
		if k.OK && runs[key] == 0 {
			fail("write %s was answered and did not run", key)
		}
		if k.NotRun && runs[key] > 0 {
			fail("write %s was refused as not run and ran", key)
		}
	}
	e.addFigure("%d writes, none twice", len(told))
}

// saveRuns remembers the runs of a stand-in that is about to end.
func (e *env) saveRuns(s *demo.BackendServer) error {
	keys, err := s.Keys()
	for k, n := range keys {
		e.endedRuns[k] += n
	}
	return err
}

// flowReport returns the report of one flow.
func (e *env) flowReport(name string) load.FlowReport {
	for _, f := range e.report.Flows() {
		if f.Name == name {
			return f
		}
	}
	return load.FlowReport{}
}

// notOK counts the requests of a flow that were not answered in time.
func notOK(f load.FlowReport) int64 { return f.Sent - f.Outcomes[load.OutcomeOK] }

// lastSecondNotOK returns the last second of the report in which a request of the
// flow was not answered well; -1 if there is none.
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
