// Package invariant checks properties that must always hold. A violation is logged
// with the state that violates the property, and counted in a metric. After
// SetFatal(true), as in tests and in the demo, it also panics.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Name identifies an invariant. docs/invariants.md describes each of them.
type Name string

// The invariants of the system.
const (
	// NoOlderNote requires that changes are applied in order, so that no configuration
	// replaces a newer one.
	NoOlderNote Name = "no-older-note"
	// NoUnknownService requires that every route leads to a declared service.
	NoUnknownService Name = "no-unknown-service"
	// NoPartialVersion requires that a configuration comes into force only if it is
	// complete and equal to the one that was sent.
	NoPartialVersion Name = "no-partial-version"
	// BadVersionShare requires that the calls of a new version stay within the share
	// that the evidence allows, and that a version found to be bad gets none.
	BadVersionShare Name = "bad-version-share"
	// ColdStartLimit requires that a cold backend server gets no more concurrent
	// requests than its successful requests have shown that it can handle.
	ColdStartLimit Name = "cold-start-limit"
	// DataCentreOut requires that a data centre that is out of service gets no new
	// calls.
	DataCentreOut Name = "data-centre-out"
	// WholeAnswer requires that an answer is complete.
	WholeAnswer Name = "whole-answer"
	// TrueNotRun requires that a request reported as not run has never run.
	TrueNotRun Name = "true-not-run"
	// WriteAtMostOnce requires that a write runs at most once.
	WriteAtMostOnce Name = "write-at-most-once"
	// LeavingServer requires that a backend server that drains or has left gets no new
	// calls.
	LeavingServer Name = "leaving-server"
	// GracefulStop requires that a graceful shutdown interrupts no request.
	GracefulStop Name = "graceful-stop"
	// SplitWeight requires that the part of a traffic split that a call goes to has a
	// weight.
	SplitWeight Name = "split-weight"
	// AcceptedNeverReverts requires that accepted changes are never lost or replaced:
	// terms, commit indexes and configuration versions never decrease.
	AcceptedNeverReverts Name = "accepted-never-reverts"
)

// MetricName is the name of the counter of all violations.
const MetricName = "invariant.violations"

var (
	fatal      atomic.Bool
	violations = metrics.GetOrRegisterCounter(MetricName, metrics.DefaultRegistry)
)

// SetFatal sets whether violations panic. Tests and the demo turn it on.
func SetFatal(on bool) { fatal.Store(on) }

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Count() }

// Check reports a violation of the invariant name if ok is false. The attributes
// are pairs of key and value that describe the state that violates it.
func Check(ok bool, name Name, msg string, attrs ...any) {
	if ok {
		return
	}
	violations.Inc(1)
	slog.Error("invariant violated", append([]any{"invariant", string(name), "detail", msg}, attrs...)...)
	if fatal.Load() {
		panic(fmt.Sprintf("invariant %s violated: %s %v", name, msg, attrs))
	}
}
