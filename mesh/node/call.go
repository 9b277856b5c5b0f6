package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
)

// call is the state of one request on the entry side. Only the goroutine that serves
// the request uses it.
type call struct {
	// id is the caller's request ID, for the log; it may be empty.
	id    string
	route note.Route
	// service is the destination of the call: the route's service, or one of its
	// traffic split.
	service model.ServiceName
	method  string
	path    string
	header  http.Header
	body    *callerBody
	budget  *routing.Budget
	// progress ends the request if its caller makes no progress with a body.
	progress *callerProgress
	// attempts records the attempts at sending the call; it is set when the call is
	// dispatched.
	attempts *routing.Attempts
	// latencyDeadline is the time by which the caller should have its answer; zero if
	// the route has no latency target.
	latencyDeadline time.Time
	// mayHaveRun is set once an attempt has an unknown outcome. From then on the call is
	// never refused as not run, whatever the later attempts return.
	mayHaveRun bool
	// hedged is set once a hedged attempt was sent, hedgeWon if it was answered first.
	hedged, hedgeWon bool
	// room is the least time until an attempted backend server has room again; 0 if one
	// could not tell.
	room roomEstimate
}

// roomEstimate is the least time in which one of several backend servers has room again.
type roomEstimate struct {
	known bool
	least time.Duration
}

// add takes the estimate of one more backend server; 0 if it cannot tell.
func (r *roomEstimate) add(after time.Duration) {
	if !r.known || after < r.least {
		r.known, r.least = true, after
	}
}

// finalAttempt returns the last attempt as the outcome of the call. An attempt that did not
// run becomes one of unknown outcome if an earlier attempt may have run.
func (c *call) finalAttempt(a *attempt) *attempt {
	if a.notRun() && c.mayHaveRun {
		a.err = ErrOutcomeUnknown
	}
	return a
}

// newCall builds a call from a request. The retry budget in the request's header, if
// any, replaces the route's.
func newCall(r *http.Request, route note.Route, body *callerBody) *call {
	retries := route.MaxRetries
	if n, err := strconv.Atoi(r.Header.Get(HeaderRetryBudget)); err == nil {
		retries = n
	}
	header := endToEndHeaders(r.Header)
	if r.Host != "" {
		header.Set(headerHost, r.Host)
	}
	return &call{
		id: r.Header.Get(HeaderRequestID), route: route, method: r.Method, path: requestTarget(r), header: header,
		body: body, budget: routing.NewBudget(retries),
	}
}

// timeToLatencyDeadline returns the time left until the latency deadline; 0 if there
// is none.
func (c *call) timeToLatencyDeadline() time.Duration {
	if c.latencyDeadline.IsZero() {
		return 0
	}
	return time.Until(c.latencyDeadline)
}

// callTimeout returns the smaller of the time that the caller still waits, if stated, and the
// route's timeout. received is the time in which the body, or its start, was received.
func callTimeout(r *http.Request, route note.Route, received time.Duration) time.Duration {
	if timeout, ok := headerTimeout(r); ok {
		return min(timeout-received, route.Timeout)
	}
	return route.Timeout
}

// headerTimeout returns the timeout in HeaderTimeout; ok is false if there is none.
func headerTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// attempt holds the result of sending a call once to a backend server.
type attempt struct {
	server  routing.Choice
	resp    *callmux.Response
	err     error
	reason  string
	result  routing.Result
	latency time.Duration
	// lentBudget is the number of retries passed on with the call.
	lentBudget int
}

// notRun reports whether the request is known not to have run.
func (a *attempt) notRun() bool { return errors.Is(a.err, ErrNotRun) }

// neverArrived reports whether no byte of the request has reached a backend server.
func (a *attempt) neverArrived() bool {
	return a.notRun() && (a.result != routing.ResultRefused)
}

// sent reports whether a backend server was chosen for the attempt.
func (a *attempt) sent() bool {
	return !errors.Is(a.err, errNoServer) && !errors.Is(a.err, routing.ErrNoRoom)
}

// answered reports whether the backend server answered.
func (a *attempt) answered() bool { return a.err == nil }

// isFinal reports whether the attempt was answered with a result that the route does not
// retry.
func (a *attempt) isFinal(r note.Route) bool {
	return a.answered() && a.result != routing.ResultRefused && (a.result != routing.ResultError || !r.RetryErrors)
}

// close discards the answer, if there is one.
func (a *attempt) close() {
	if a != nil && a.resp != nil && a.resp.Body != nil {
		_ = a.resp.Body.Close()
	}
}

// classify sets the result of an attempt from the response and error of the send.
func (a *attempt) classify(ctx context.Context, resp *callmux.Response, err error) {
	a.resp = resp
	switch {
	case errors.Is(err, callmux.ErrNotSent):
		a.err, a.result, a.reason = ErrNotRun, routing.ResultFailed, err.Error()
		if errors.Is(ctx.Err(), context.Canceled) {
			a.result = routing.ResultCancelled
		}
	case err != nil:
		a.err, a.result, a.reason = ErrOutcomeUnknown, routing.ResultFailed, err.Error()
		if errors.Is(ctx.Err(), context.Canceled) {
			a.result = routing.ResultCancelled
		}
	case resp.Refusal != nil && resp.Refusal.NotRun && resp.Refusal.Declined:
		a.err, a.result, a.reason = ErrNotRun, routing.ResultDeclined, resp.Refusal.Reason
	case resp.Refusal != nil && resp.Refusal.NotRun:
		a.err, a.result, a.reason = ErrNotRun, routing.ResultRefused, resp.Refusal.Reason
	case resp.Refusal != nil && errors.Is(ctx.Err(), context.Canceled):
		a.err, a.result, a.reason = ErrOutcomeUnknown, routing.ResultCancelled, resp.Refusal.Reason // by the own serving side
	case resp.Refusal != nil:
		a.err, a.result, a.reason = ErrOutcomeUnknown, routing.ResultFailed, resp.Refusal.Reason
	case resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests:
		a.result = routing.ResultRefused
	case resp.Status >= http.StatusInternalServerError:
		a.result = routing.ResultError
	default:
		a.result = routing.ResultOK
	}
}

// outcome returns the result of the attempt as evidence about the backend server's
// version.
func (a *attempt) outcome() rollout.CallOutcome {
	switch {
	case a.notRun() && a.result == routing.ResultFailed:
		return rollout.CallUnreachable
	case a.notRun():
		return rollout.CallRefused
	case a.err == nil && a.resp.Status < http.StatusInternalServerError:
		return rollout.CallOK
	default:
		return rollout.CallError
	}
}

// retryAfter returns when the serving node expects room again; 0 if it cannot tell.
func (a *attempt) retryAfter() time.Duration {
	if a.resp == nil || a.resp.Refusal == nil {
		return 0
	}
	return a.resp.Refusal.RetryAfter
}

// utilization returns the part of the concurrency limit in use, as stated in the
// response; 0 without a response.
func (a *attempt) utilization() float64 {
	if a.resp == nil {
		return 0
	}
	return float64(a.resp.Utilization)
}

// limit returns the concurrency limit stated in the response; 0 without a response.
func (a *attempt) limit() int {
	if a.resp == nil {
		return 0
	}
	return a.resp.Limit
}
