package routing

import (
	"time"

	"balsamtrail.org/mesh/note"
)

// Result says how an attempt of a call ended, as seen by the entry node.
type Result uint8

// The results of an attempt.
const (
	// ResultOK is an answer that does not report an error of the backend server.
	ResultOK Result = iota + 1
	// ResultError is an answer that reports an error of the backend server. The cause
	// may lie in a service that it calls, directly or through others.
	ResultError
	// ResultRefused is a refusal by the serving node or the backend server.
	ResultRefused
	// ResultFailed is a failed connection, or no answer before the deadline.
	ResultFailed
	// ResultCancelled is an attempt that this node cancelled, such as the slower one of
	// a hedged call.
	ResultCancelled
	// ResultDeclined is a refusal by the serving node before the backend server saw the
	// request.
	ResultDeclined
)

// Outcome is the outcome of an attempt as reported to Picker.Observe.
type Outcome struct {
	Result  Result
	Latency time.Duration
	// Limit is the concurrency limit that the answer advertised. It is used only for
	// ResultOK, ResultError, ResultRefused and ResultDeclined.
	Limit int
	// Utilization is the load at the time of the answer as a fraction of Limit, with
	// queued requests included. It is used for the same results as Limit.
	Utilization float64
	// RecentServiceTime and UsualServiceTime are the mean service times of the backend
	// server over all its requests; 0 if unknown. They are used for the same results as
	// Limit.
	RecentServiceTime, UsualServiceTime time.Duration
}

// Retryable reports whether a call may be retried on another backend server after an
// attempt with result r. notRun says that the request is known not to have run. An
// error answer is retried only if the route allows it, because the level at which the
// error occurred may have retried already.
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
