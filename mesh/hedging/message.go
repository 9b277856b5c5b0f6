package hedging

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Names of the counters of this package.
const (
	// MetricHedges counts hedged attempts.
	MetricHedges = "entry.hedges"
	// MetricWon counts the hedged attempts that were answered before the first attempt.
	MetricWon = "entry.hedges_won"
	// MetricSkipped is the prefix of the counters of calls that were due to be hedged and
	// were not. The Skip follows.
	MetricSkipped = "entry.hedges_skipped."
)

// Skip says why a call that was due is not hedged; it is empty if it is hedged.
type Skip string

// The reasons for not hedging a call.
const (
	// SkipNoTime means that less time is left than a usual response takes.
	SkipNoTime Skip = "no_time"
	// SkipLoad means that the version is too loaded for extra attempts.
	SkipLoad Skip = "load"
	// SkipVersions means that several versions of the service get calls. The first
	// attempt that a hedged one overtakes is no evidence, so that hedging would hide a
	// slow version.
	SkipVersions Skip = "versions"
	// SkipCallBudget means that the call was sent without a retry budget, as the calls of
	// a hedged attempt are. Hedging them too would multiply along a chain of calls.
	SkipCallBudget Skip = "call_budget"
	// SkipLimit means that the limit of hedged attempts is reached.
	SkipLimit Skip = "limit"
	// SkipRetryBudget means that what is left of the retry budget is kept for retries.
	SkipRetryBudget Skip = "retry_budget"
	// SkipNoServer means that every other backend server is loaded, slow or ejected.
	SkipNoServer Skip = "no_server"
)

// Call is what Start needs to know about an unanswered call.
type Call struct {
	Route model.RouteName
	// Remaining is the time left to the deadline of the call.
	Remaining time.Duration
	// CallBudget is the number of retries that the first attempt was sent with.
	CallBudget int
	// Load is the average load of the version as a fraction of its concurrency limit.
	Load float64
	// Versions is the number of versions of the service that get calls.
	Versions int
}

// ServiceTimes holds what is known about the service time of a backend server. The zero
// value means that nothing is known.
type ServiceTimes struct {
	// Recent is the service time of the backend server at the moment.
	Recent time.Duration
	// ServiceUsual is the usual service time of all backend servers of the service.
	ServiceUsual time.Duration
}

// Slow reports whether the backend server is known to be slow at the moment.
func (s ServiceTimes) Slow() bool {
	return s.ServiceUsual > 0 && float64(s.Recent) >= slowRatio*float64(s.ServiceUsual)
}
