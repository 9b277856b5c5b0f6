// Package admission is the admission control of the serving node, the node in front
// of a backend server. It decides which requests the backend server runs, and when:
// it limits concurrency, queues requests and sheds load. The serving node is the only
// place that sees the whole load of its backend server. Scheduler, limiter, queue and
// pacer take the current time as an argument; only Gate reads the clock, and only
// Gate.Acquire and Gate.WaitIdle block.
package admission

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Request describes a request that asks for a slot.
type Request struct {
	Kind  model.Kind
	Route model.RouteName
	// Deadline is the deadline of the call; zero if it has none.
	Deadline time.Time
	// Priority ranks the request: 1 is served before 2. With 0 the request is ranked by
	// its kind. Requests with and without a priority are not meant to share one queue.
	Priority uint8
	// Target is the time after which the answer misses the latency target of the route;
	// zero if the route has none.
	Target time.Time
	// MaxWait is the maximum time that the request may wait for a slot, if that is less
	// than the queue timeout of the service; with 0 only the queue timeout applies.
	MaxWait time.Duration
}

// MaxPriority is the number of distinct priorities. Greater values of Request.Priority
// are treated like MaxPriority.
const MaxPriority = 16

// Result says how a request to the backend server ended.
type Result uint8

// The results of a request.
const (
	// ResultOK is an answer that does not report an error of the backend server.
	ResultOK Result = iota + 1
	// ResultError is an answer that reports an error of the backend server.
	ResultError
	// ResultRefused is a refusal by the backend server for lack of capacity.
	ResultRefused
	// ResultTimeout means that no answer came before the deadline.
	ResultTimeout
	// ResultLost is a connection that could not be established or was lost.
	ResultLost
	// ResultCancelled is a call cancelled by its caller. It says nothing about the
	// backend server.
	ResultCancelled
)

// Outcome is the outcome of an admitted request, for the limiter.
type Outcome struct {
	Result Result
	// Latency is the time from the start of the request to the header of the answer; 0
	// selects the time for which the slot was held.
	Latency time.Duration
	// Abandoned says that the request was sent and its context has ended before an answer,
	// so that the backend server may still run it.
	Abandoned bool
}

// Reason says why a request was refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonDraining is for new requests while the backend server drains, and for queued
	// ones after drainQueueGrace.
	ReasonDraining Reason = "backend server is leaving"
	// ReasonDataCentreOut is for new requests while the data centre is out of service, and
	// for queued ones after drainQueueGrace.
	ReasonDataCentreOut Reason = "data centre is out of service"
	// ReasonQueueFull is for a request that arrives at a full queue or is evicted from it.
	ReasonQueueFull Reason = "queue full"
	// ReasonStale is for a request that expires in the queue, or that arrives too late to
	// meet its deadline.
	ReasonStale Reason = "no slot in time"
	// ReasonNoTurn is for a request that is expected to expire in the queue.
	ReasonNoTurn Reason = "would give up before its turn"
	// ReasonCancelled is for a request whose caller cancels it in the queue.
	ReasonCancelled Reason = "cancelled by the caller"
	// ReasonUnavailable is for requests without a backend server to run them, or without
	// a known rate limit for a cold one.
	ReasonUnavailable Reason = "backend server is not registered or not reachable"
)

// Names of metrics.
const (
	// MetricRefused is the prefix of the refusal counters; metricNames has the suffixes.
	MetricRefused = "admission.refused."
	// MetricLimit is the gauge of the concurrency limit.
	MetricLimit = "admission.limit"
	// MetricRecentServiceTime and MetricUsualServiceTime are the gauges of the mean service
	// times of the backend server, in microseconds; 0 while unknown.
	MetricRecentServiceTime = "admission.service_time_recent"
	MetricUsualServiceTime  = "admission.service_time_usual"
	// MetricAbandoned counts requests that ended before an answer of the backend server,
	// which may still run them.
	MetricAbandoned = "admission.abandoned"
)

// metricNames holds the suffix of the refusal counter of each reason.
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
type NotRun struct {
	Reason Reason
	// RetryAfter is the time until the backend server is expected to have room; 0 if that
	// is not known or not the reason.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *NotRun) Error() string { return "not run: " + string(e.Reason) }
