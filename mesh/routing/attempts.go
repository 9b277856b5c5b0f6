package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Attempts records the attempts of one call at this level of a chain of nested calls
// and decides whether another one may follow. It is not safe for concurrent use.
type Attempts struct {
	route    note.Route
	deadline time.Time
	budget   *Budget // of the call
	bucket   *Bucket // of the node
	tried    []model.HostID
	// retries counts the retries so far, without those after ResultDeclined.
	retries int
	// declined counts the retries after attempts with ResultDeclined.
	declined int
}

// maxDeclined is the maximum number of retries of one call after attempts that a
// serving node declined. A declined attempt reaches no backend server, but costs a
// round trip between nodes.
const maxDeclined = 3

// RetryDecision says whether another attempt may be made, or why not.
type RetryDecision string

// The retry decisions.
const (
	// RetryAllowed allows another attempt.
	RetryAllowed RetryDecision = "try again"
	// MayHaveRun means that a request that must not run twice may have run.
	MayHaveRun RetryDecision = "the request may have run"
	// ErrorNotRetryable means that the route does not retry error answers.
	ErrorNotRetryable RetryDecision = "the answer reports an error"
	// PastDeadline means that the deadline of the call has passed.
	PastDeadline RetryDecision = "past the deadline"
	// RetriesExhausted means that MaxRetries of the route or maxDeclined is reached.
	RetriesExhausted RetryDecision = "retries of the route used up"
	// BudgetExhausted means that the budget of the call or the bucket of the node is
	// empty.
	BudgetExhausted RetryDecision = "retry budget used up"
)

// NewAttempts returns the state of a new call. budget is the retry budget of the
// call, bucket the retry bucket of the node, in which it counts the call.
func NewAttempts(r note.Route, deadline time.Time, budget *Budget, bucket *Bucket) *Attempts {
	bucket.Deposit()
	return &Attempts{route: r, deadline: deadline, budget: budget, bucket: bucket}
}

// Tried returns the hosts of all attempts so far, which the next attempt excludes.
func (a *Attempts) Tried() []model.HostID { return a.tried }

// Started records an attempt at a host.
func (a *Attempts) Started(id model.HostID) {
	if !slices.Contains(a.tried, id) {
		a.tried = append(a.tried, id)
	}
}

// Retry decides whether another attempt may follow a failed one. If the decision is
// RetryAllowed, the retry has already been charged to the budgets that apply. notRun says
// that the request is known not to have run.
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
	return RetryAllowed
}

// retryDeclined decides whether another attempt may follow one that no backend
// server saw. Such a retry counts neither towards MaxRetries of the route nor
// against a budget.
func (a *Attempts) retryDeclined() RetryDecision {
	if a.declined >= maxDeclined {
		return RetriesExhausted
	}
	a.declined++
	return RetryAllowed
}

// takeRetry charges a retry to the budgets that apply and reports whether they
// allow it. An attempt that did not run caused no calls at deeper levels, so its retry
// needs nothing from the budget of the call. If no byte of it was sent, it added no
// load either, and the retry is free: when a host fails, more calls fail at once than
// the node's bucket holds.
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

// MayHedge reports whether the only attempt so far may be joined by a concurrent one. A
// hedged attempt counts as a retry of the route, so that a call never reaches more than
// MaxRetries + 1 backend servers.
func (a *Attempts) MayHedge() bool { return len(a.tried) == 1 && a.retries < a.route.MaxRetries }

// Hedged counts a hedged attempt.
func (a *Attempts) Hedged() { a.retries++ }

// HedgeDeclined takes back what Hedged counted, after an attempt that reached no backend
// server.
func (a *Attempts) HedgeDeclined() { a.retries-- }
