// Package invariant asserts the properties that must always hold. A violation
// is logged with the state that broke it and counted in a metric; with Fatal
// set, as in tests and in the demo, it also panics.
package invariant

import (
	"fmt"
	"log/slog"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Name identifies one invariant; docs/invariants.md has a row for each.
type Name string

// The invariants of the system.
const (
	NoOlderNote          Name = "no-older-note"
	NoUnknownService     Name = "no-unknown-service"
	NoPartialVersion     Name = "no-partial-version"
	BadVersionShare      Name = "bad-version-share"
	ColdStartLimit       Name = "cold-start-limit"
	DataCentreOut        Name = "data-centre-out"
	WholeAnswer          Name = "whole-answer"
	TrueNotRun           Name = "true-not-run"
	WriteAtMostOnce      Name = "write-at-most-once"
	LeavingServer        Name = "leaving-server"
	GracefulStop         Name = "graceful-stop"
	AcceptedNeverReverts Name = "accepted-never-reverts"
)

// MetricName is the counter of all violations.
const MetricName = "invariant.violations"

var (
	fatal      atomic.Bool
	violations = metrics.GetOrRegisterCounter(MetricName, metrics.DefaultRegistry)
)

// SetFatal makes every later violation panic. Tests and the demo use it.
func SetFatal(on bool) { fatal.Store(on) }

// Violations returns the number of violations in this process.
func Violations() int64 { return violations.Count() }

// Check asserts that ok holds. The attributes describe the state that broke it.
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
