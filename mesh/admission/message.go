// Package admission decides on the serving node which requests its backend
// server runs, and when. The serving node is the only place that sees all the
// load of its backend server. Decisions take the time as an argument; only
// Gate.Acquire reads the clock and blocks.
package admission

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Ticket describes a request that asks for a slot.
type Ticket struct {
	Kind  model.Kind
	Route model.RouteName
	// Deadline is the deadline of the call; zero if it has none.
	Deadline time.Time
	// Priority ranks the request, 1 before 2; 0 leaves it to the kind. Requests
	// with and without a priority are not meant to meet in one queue.
	Priority uint8
	// Target is when the answer is late for the caller; zero if it has no target.
	Target time.Time
	// Patience is how long the request may wait for a slot, if that is less than
	// the queue timeout of the service; 0 leaves it to the service.
	Patience time.Duration
}

// MaxPriority is the last priority that is told apart from later ones.
const MaxPriority = 16

// Result says how the backend server dealt with a request.
type Result uint8

// The results of a request.
const (
	// ResultOK is an answer that is no error of the backend server.
	ResultOK Result = iota + 1
	// ResultError is an answer that reports an error of the backend server.
	ResultError
	// ResultRefused is a refusal by the backend server for lack of capacity.
	ResultRefused
	// ResultTimeout is no answer before the deadline.
	ResultTimeout
	// ResultLost is a connection that could not be made or that broke.
	ResultLost
	// ResultCancelled is a call that its caller gave up; it says nothing about the backend server.
	ResultCancelled
)

// Outcome is what the limiter learns from a finished request.
type Outcome struct {
	Result Result
	// Latency is the time from the start to the head of the answer. If it is
	// zero the time that the slot was held counts.
	Latency time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonDraining      Reason = "backend server is leaving"
	ReasonDataCentreOut Reason = "data centre is out of service"
	ReasonQueueFull     Reason = "queue full"
	ReasonStale         Reason = "no slot in time"
	ReasonNoTurn        Reason = "would give up before its turn"
	ReasonCancelled     Reason = "cancelled by the caller"
	ReasonUnavailable   Reason = "backend server is not registered or not reachable"
)

// Names of metrics.
const (
	// MetricRefused is the prefix of the counters of refusals by reason.
	MetricRefused = "admission.refused."
	// MetricLimit is the gauge of the concurrency limit.
	MetricLimit = "admission.limit"
)

var metricNames = map[Reason]string{
	ReasonDraining:      "draining",
	ReasonDataCentreOut: "data_centre_out",
	ReasonQueueFull:     "queue_full",
	ReasonStale:         "stale",
	ReasonNoTurn:        "no_turn",
	ReasonCancelled:     "cancelled",
	ReasonUnavailable:   "unavailable",
}

// NotRun is the error of a request that was refused before any byte of it
// reached the backend server.
type NotRun struct{ Reason Reason }

// Error returns the reason.
func (e *NotRun) Error() string { return "not run: " + string(e.Reason) }
