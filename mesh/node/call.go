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
	body    []byte
	budget  *routing.Budget
	// attempts tracks the tries; it is set when the call is dispatched.
	attempts *routing.Attempts
	// latencyDeadline is the time by which the caller should have its answer; zero if
	// the route has no latency target.
	latencyDeadline time.Time
	// mayHaveRun is set once a try has an unknown outcome. From then on the call is
	// never refused as not run, whatever the later tries return.
	mayHaveRun bool
}

// finalTry returns the last try as the outcome of the call. A try that did not run
// becomes one of unknown outcome if an earlier try may have run.
func (c *call) finalTry(t *try) *try {
	if t.notRun() && c.mayHaveRun {
		t.err = ErrOutcomeUnknown
	}
	return t
}

// newCall builds a call from a request. The retry budget in the request's header, if
// any, replaces the route's.
func newCall(r *http.Request, route note.Route, body []byte) *call {
	tries := route.MaxRetries
	if n, err := strconv.Atoi(r.Header.Get(HeaderRetryBudget)); err == nil {
		tries = n
	}
	header := endToEndHeaders(r.Header)
	if r.Host != "" {
		header.Set(headerHost, r.Host)
	}
	return &call{
		id: r.Header.Get(HeaderRequestID), route: route, method: r.Method, path: r.URL.RequestURI(), header: header,
		body: body, budget: routing.NewBudget(tries),
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

// callTimeout returns the smaller of the caller's timeout, if stated, and the route's.
func callTimeout(r *http.Request, route note.Route) time.Duration {
	if timeout, ok := headerTimeout(r); ok {
		return min(timeout, route.Timeout)
	}
	return route.Timeout
}

// headerTimeout returns the timeout in HeaderTimeout; ok is false if there is none.
func headerTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// try is one attempt to send a call to a backend server, and its result.
type try struct {
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
func (t *try) notRun() bool { return errors.Is(t.err, ErrNotRun) }

// answered reports whether the backend server answered.
func (t *try) answered() bool { return t.err == nil }

// isFinal reports whether the try was answered with a result that the route does not
// retry.
func (t *try) isFinal(r note.Route) bool {
	return t.answered() && t.result != routing.ResultRefused && (t.result != routing.ResultError || !r.RetryErrors)
}

// close discards the answer, if there is one.
func (t *try) close() {
	if t != nil && t.resp != nil && t.resp.Body != nil {
		_ = t.resp.Body.Close()
	}
}

// classify sets the result of a try from the response and error of the send.
func (t *try) classify(ctx context.Context, resp *callmux.Response, err error) {
	t.resp = resp
	switch {
	case errors.Is(err, callmux.ErrNotSent):
		t.err, t.result, t.reason = ErrNotRun, routing.ResultFailed, err.Error()
		if errors.Is(ctx.Err(), context.Canceled) {
			t.result = routing.ResultCancelled
		}
	case err != nil:
		t.err, t.result, t.reason = ErrOutcomeUnknown, routing.ResultFailed, err.Error()
		if errors.Is(ctx.Err(), context.Canceled) {
			t.result = routing.ResultCancelled
		}
	case resp.Refusal != nil && resp.Refusal.NotRun && resp.Refusal.Declined:
		t.err, t.result, t.reason = ErrNotRun, routing.ResultDeclined, resp.Refusal.Reason
	case resp.Refusal != nil && resp.Refusal.NotRun:
		t.err, t.result, t.reason = ErrNotRun, routing.ResultRefused, resp.Refusal.Reason
	case resp.Refusal != nil:
		t.err, t.result, t.reason = ErrOutcomeUnknown, routing.ResultFailed, resp.Refusal.Reason
	case resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusTooManyRequests:
		t.result = routing.ResultRefused
	case resp.Status >= http.StatusInternalServerError:
		t.result = routing.ResultError
	default:
		t.result = routing.ResultOK
	}
}

// outcome returns the result of the try as evidence about the backend server's
// version.
func (t *try) outcome() rollout.CallOutcome {
	switch {
	case t.notRun() && t.result == routing.ResultFailed:
		return rollout.CallUnreachable
	case t.notRun():
		return rollout.CallRefused
	case t.err == nil && t.resp.Status < http.StatusInternalServerError:
		return rollout.CallOK
	default:
		return rollout.CallError
	}
}

// utilization returns the part of the concurrency limit in use, as stated in the
// response; 0 without a response.
func (t *try) utilization() float64 {
	if t.resp == nil {
		return 0
	}
	return float64(t.resp.Utilization)
}

// limit returns the concurrency limit stated in the response; 0 without a response.
func (t *try) limit() int {
	if t.resp == nil {
		return 0
	}
	return t.resp.Limit
}
