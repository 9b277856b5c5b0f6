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

// call is one caller's request on its way through the entry side. It belongs to
// the goroutine of the request.
type call struct {
	// id names the request in the log; it is the caller's, or empty.
	id    string
	route note.Route
	// service is the one that the call goes to: that of the route, or of a part of its split.
	service model.ServiceName
	method  string
	path    string
	header  http.Header
	body    []byte
	budget  *routing.Budget
	// attempts is set when the call is dispatched.
	attempts *routing.Attempts
	// target is when the answer is late for the caller; zero if the route has no target.
	latencyDeadline time.Time
	// mayHaveRun is set once a try had an unknown outcome; the call is then never
	// refused as not run, whatever later tries say.
	mayHaveRun bool
}

// settled returns the last try as the outcome of the whole call.
func (c *call) finalTry(t *try) *try {
	if t.notRun() && c.mayHaveRun {
		t.err = ErrOutcomeUnknown
	}
	return t
}

// newCall takes over a request; the retry budget of an upper level travels with it.
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

// targetIn returns the time left until the latency target; 0 if there is none.
func (c *call) timeToLatencyDeadline() time.Duration {
	if c.latencyDeadline.IsZero() {
		return 0
	}
	return time.Until(c.latencyDeadline)
}

// callTimeout returns the time that a request may take: the caller's own
// deadline, at most the route's.
func callTimeout(r *http.Request, route note.Route) time.Duration {
	if timeout, ok := headerTimeout(r); ok {
		return min(timeout, route.Timeout)
	}
	return route.Timeout
}

// statedTimeout returns the time that the caller still waits, if it says so.
func headerTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderTimeout), 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// try is the result of sending a call to one backend server.
type try struct {
	server     routing.Choice
	resp       *callmux.Response
	err        error
	reason     string
	result     routing.Result
	latency    time.Duration
	lentBudget int
}

// notRun reports whether the try certainly did not run.
func (t *try) notRun() bool { return errors.Is(t.err, ErrNotRun) }

// answered reports whether the backend server gave an answer.
func (t *try) answered() bool { return t.err == nil }

// satisfies reports whether the answer is one that the route does not try again.
func (t *try) isFinal(r note.Route) bool {
	return t.answered() && t.result != routing.ResultRefused && (t.result != routing.ResultError || !r.RetryErrors)
}

// close gives up an answer that is not used; there may be none.
func (t *try) close() {
	if t != nil && t.resp != nil && t.resp.Body != nil {
		_ = t.resp.Body.Close()
	}
}

// judge sets the outcome of a try from what Do returned.
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

// outcome returns what the try says about the version of the backend server.
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

// utilization returns the part of that limit in use which the answer advertised.
func (t *try) utilization() float64 {
	if t.resp == nil {
		return 0
	}
	return float64(t.resp.Utilization)
}

// limit returns the concurrency limit that the answer advertised.
func (t *try) limit() int {
	if t.resp == nil {
		return 0
	}
	return t.resp.Limit
}
