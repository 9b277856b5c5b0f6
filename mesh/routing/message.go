package routing

import (
	"time"

	"balsamtrail.org/mesh/model"
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
)

// Outcome is what the picker learns from a try.
type Outcome struct {
	Result  Result
	Latency time.Duration
	// Limit is the concurrency limit that the answer advertised. It counts for
	// ResultOK, ResultError and ResultRefused only.
	Limit int
}

// Retryable reports whether a try may be repeated on another backend server.
// notRun says that it is known not to have run. An answer that reports an error
// is not tried again: the level next to the fault has done so already.
func Retryable(kind model.Kind, r Result, notRun bool) bool {
	if notRun {
		return true
	}
	return kind.Idempotent() && (r == ResultFailed || r == ResultRefused)
}
