package routing

import (
	"time"

	"balsamtrail.org/mesh/note"
)

// Result says how a try of a call ended, as seen by the entry node.
type Result uint8

// The results of a try.
const (
	// ResultOK is an answer that is no error of the backend server.
	ResultOK Result = iota + 1
	// ResultError is an answer that reports an error; the fault may be levels deeper.
	ResultError
	// ResultRefused is a refusal by the serving node or the backend server.
	ResultRefused
	// ResultFailed is a connection that failed, or no answer before the deadline.
	ResultFailed
	// ResultCancelled is a try that this node gave up, such as the slower one of a hedged call.
	ResultCancelled
	// ResultDeclined is a refusal by the serving node, so that the backend server
	// did not see the request.
	ResultDeclined
)

// Outcome is what the picker learns from a try.
type Outcome struct {
	Result  Result
	Latency time.Duration
	// Limit is the concurrency limit that the answer advertised. It counts for
	// ResultOK, ResultError, ResultRefused and ResultDeclined only.
	Limit int
	// Utilization is the part of that limit in use, waiting requests included, when
	// the answer was given. It counts for the same results as Limit.
	Utilization float64
}

// Retryable reports whether a try may be repeated on another backend server.
// notRun says that it is known not to have run. An answer that reports an error
// is tried again only if the route says so: the level next to the fault may have
// done so already.
func Retryable(route note.Route, r Result, notRun bool) bool {
	switch {
	case notRun:
		return true
	case !route.Kind.Idempotent():
		return false
	case r == ResultError:
		return route.RetryErrors
	}
	return r == ResultFailed || r == ResultRefused
}
