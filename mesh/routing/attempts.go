package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Attempts follows the tries of one call at one level and decides whether
// there is another one. It is not safe for concurrent use.
type Attempts struct {
	route    note.Route
	deadline time.Time
	budget   *Budget
	bucket   *Bucket
	tried    []model.HostID
	retries  int
	// declined are the tries that no backend server saw.
	declined int
}

// maxDeclined bounds the tries of one call that serving nodes decline. Such a
// try reaches no backend server, but costs a round trip between nodes.
const maxDeclined = 3

// RetryDecision says whether a call is tried again, or why not.
type RetryDecision string

// The verdicts on another try.
const (
	Again             RetryDecision = "try again"
	MayHaveRun        RetryDecision = "the request may have run"
	ErrorNotRetryable RetryDecision = "the answer reports an error"
	PastDeadline      RetryDecision = "past the deadline"
	RetriesExhausted  RetryDecision = "retries of the route used up"
	BudgetExhausted   RetryDecision = "retry budget used up"
)

// NewAttempts starts a call and counts it in the node's bucket.
func NewAttempts(r note.Route, deadline time.Time, budget *Budget, bucket *Bucket) *Attempts {
	bucket.Deposit()
	return &Attempts{route: r, deadline: deadline, budget: budget, bucket: bucket}
}

// Tried returns the hosts of all tries so far, which the next one excludes.
func (a *Attempts) Tried() []model.HostID { return a.tried }

// Started records a try at a host.
func (a *Attempts) Started(id model.HostID) {
	if !slices.Contains(a.tried, id) {
		a.tried = append(a.tried, id)
	}
}

// Retry decides after a try that failed. Again has used a try of all budgets.
// notRun says that the try is known not to have run.
func (a *Attempts) Retry(now time.Time, r Result, notRun bool) RetryDecision {
	switch {
	case !now.Before(a.deadline):
		return PastDeadline
	case r == ResultDeclined && notRun:
		return a.retryDeclined()
	case r == ResultError && !notRun && !a.route.RetryErrors:
		return ErrorNotRetryable
	case !Retryable(a.route, r, notRun):
		return MayHaveRun
	case a.retries >= a.route.MaxRetries:
		return RetriesExhausted
	case !a.takeRetry(r, notRun):
		return BudgetExhausted
	}
	a.retries++
	return Again
}

// retryDeclined allows another try after one that no backend server saw. It
// counts neither as a retry of the route nor against a budget.
func (a *Attempts) retryDeclined() RetryDecision {
	if a.declined >= maxDeclined {
		return RetriesExhausted
	}
	a.declined++
	return Again
}

// takeRetry uses a try of the budgets. A try that did not run has run nothing
// at the levels below, so it needs none of the call's budget. If it left no byte
// anywhere it adds no load either, and when a host dies more calls fail at once
// than the node's bucket holds.
func (a *Attempts) takeRetry(r Result, notRun bool) bool {
	switch {
	case notRun && r == ResultFailed:
		return true
	case notRun:
		return a.bucket.Take()
	default:
		return TakeRetry(a.bucket, a.budget)
	}
}

// Hedge decides whether a second try of a lookup that is still unanswered may
// be sent now. It uses a try of the call's budget and one of the hedged calls
// of the node, but none of the node's retries.
func (a *Attempts) Hedge(now time.Time, h *Hedger) bool {
	if !a.route.Hedge || a.route.Kind != model.KindLookup || !now.Before(a.deadline) || len(a.tried) != 1 {
		return false
	}
	if !h.take() {
		return false
	}
	if !a.budget.Take() {
		h.refund()
		return false
	}
	return true
}
