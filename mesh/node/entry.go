package node

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// entry is the entry side of a node: it accepts requests from callers and from this
// node's backend server, and routes them.
type entry struct {
	log        *slog.Logger
	dispatcher *dispatcher
	// table returns the routing table in force; nil while the node may not route.
	table  func() *routing.Table
	claims claimer
	// startRetryAfter returns the least time after which callers should retry while there
	// is no table.
	startRetryAfter func() time.Duration

	// service is the service of this node's backend server.
	service   model.ServiceName
	bodyLimit int64
	// callLimiter bounds the number of requests in flight.
	callLimiter *semaphore.Weighted
	// inProgress is the number of requests that hold a place of callLimiter.
	inProgress atomic.Int64
	// memory bounds the bytes of bodies that the node keeps.
	memory *bodyMemory
	// bodyProgress is how long a caller may make no progress with a body.
	bodyProgress time.Duration
	// elapsed estimates how long a caller has already been waiting for an answer.
	elapsed *routing.ElapsedEstimator
	// stopping is set when a planned stop begins. Responses then carry "Connection:
	// close", so that callers reconnect to another node.
	stopping atomic.Bool
	// closed is set when a stopping node takes no more requests. What comes later, on a
	// connection that is still open, might be cut at the end of the drain timeout.
	closed atomic.Bool
	// logSampler decides which requests get a log line.
	logSampler *telemetry.RequestSampler
	// freshness holds the last contact with the source of the configuration.
	freshness *distribute.Freshness
	// background tracks completions and releases of claims that are still running
	// after their request was answered.
	background sync.WaitGroup
}

// claimer claims idempotency keys. It is implemented by *claim.Client.
type claimer interface {
	Claim(ctx context.Context, key string, digest claim.Digest, route model.RouteName, lifetime time.Duration) (claim.Grant, error)
	Complete(ctx context.Context, g claim.Grant, a claim.Answer) error
	Release(ctx context.Context, g claim.Grant, reason string) error
}

// Refusal reasons of the entry side. No byte of the request has left the node.
const (
	reasonStopping        = "node is stopping"
	reasonNoConfig        = "no configuration in force yet"
	reasonOutdated        = "no route in a configuration that may be out of date"
	reasonTooManyCalls    = "too many requests in flight"
	reasonTooManyBodies   = "too many request bodies in flight"
	reasonBodyNotReceived = "request body not received"
	reasonNoKey           = "a write needs an Idempotency-Key"
	reasonNoClaim         = "claim service unavailable"
	// reasonAnswerAborted is logged when the answer could not be sent to the caller
	// completely.
	reasonAnswerAborted = "answer cut before its end"
)

// ServeHTTP matches a request to its route, reads its body and serves it.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !r.ProtoAtLeast(1, 1) {
		defer resetOnAbort(w)
	}
	body := &callerBody{}
	if r.ContentLength != 0 {
		// net/http would otherwise read the body, or some of it, before it sends an answer.
		_ = http.NewResponseController(w).EnableFullDuplex()
		u := &unreadBodyWriter{ResponseWriter: w, body: body}
		defer u.receiveRest()
		w = u
	}
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table, refused := e.tableInForce()
	if refused != nil {
		e.refuseUnrouted(w, r, *refused)
		return
	}
	if !e.callLimiter.TryAcquire(1) {
		telemetry.Counter("entry.refused").Inc(1)
		e.refuseUnrouted(w, r, refusedTooManyCalls)
		return
	}
	defer e.callLimiter.Release(1)
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	route, refused := e.routeOf(table, r)
	if refused != nil {
		e.refuseUnrouted(w, r, *refused)
		return
	}
	progress := newCallerProgress(w, e.bodyProgress)
	limits, keyed := e.limitsOf(table), isKeyed(route)
	if err := body.receive(r, limits.BodyBytes, keyed, e.memory, progress); err != nil {
		e.refuseUnrouted(w, r, unroutedRefusal{bodyStatus(err), err.Error()})
		return
	}
	defer body.close(w)
	if keyed && !body.isWhole() && len(body.bytes()) < maxKeptBodyBytes {
		// The digest of the claim would depend on the memory that was left.
		e.refuseUnrouted(w, r, unroutedRefusal{http.StatusServiceUnavailable, reasonTooManyBodies})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout(r, route, time.Since(arrived)))
	defer cancel()
	body.onFailure = cancel
	c := newCall(r, route, body)
	c.progress = progress
	c.service = e.dispatcher.picker.PickService(route)
	c.latencyDeadline = e.latencyDeadlineOf(r, route, arrived)
	c.header.Set(HeaderCallerService, string(e.service))
	e.serve(ctx, w, c)
}

// unroutedRefusal is the refusal of a request that has no route.
type unroutedRefusal struct {
	status int
	reason string
}

// refusedTooManyCalls is the refusal while limits.calls requests are in progress.
var refusedTooManyCalls = unroutedRefusal{http.StatusServiceUnavailable, reasonTooManyCalls}

// minRetryAfter returns the minimum time after which the caller should retry.
func (e *entry) minRetryAfter(u unroutedRefusal) time.Duration {
	if u.reason == reasonNoConfig {
		return e.startRetryAfter()
	}
	return outageRetryAfter
}

// tableInForce returns the routing table, or why the node routes no requests.
func (e *entry) tableInForce() (*routing.Table, *unroutedRefusal) {
	if e.closed.Load() {
		return nil, &unroutedRefusal{http.StatusServiceUnavailable, reasonStopping}
	}
	table := e.table()
	if table == nil {
		return nil, &unroutedRefusal{http.StatusServiceUnavailable, reasonNoConfig}
	}
	return table, nil
}

// routeOf returns the route of a request, or why the request is refused by its head.
func (e *entry) routeOf(table *routing.Table, r *http.Request) (note.Route, *unroutedRefusal) {
	route, err := matchRequest(table, r)
	if err != nil {
		status, reason := e.unroutable(err)
		return route, &unroutedRefusal{status, reason}
	}
	if headBytes(r) > e.limitsOf(table).HeaderBytes {
		return route, &unroutedRefusal{http.StatusRequestHeaderFieldsTooLarge, errHeadTooLarge.Error()}
	}
	return route, nil
}

// isKeyed reports whether requests of a route need an idempotency key.
func isKeyed(r note.Route) bool { return r.Kind == model.KindWrite && !r.Unkeyed }

// refuseUnrouted refuses a request before it has a route, and logs the position and the age of
// the configuration that decided it.
func (e *entry) refuseUnrouted(w http.ResponseWriter, r *http.Request, u unroutedRefusal) {
	refuseWithRetryAfter(w, u.status, u.reason, e.minRetryAfter(u))
	if e.logSampler.AllowNotable() {
		e.log.Info("request not routed", "request", r.Header.Get(HeaderRequestID), "host", r.Host, "path", r.URL.Path,
			"status", u.status, "reason", u.reason, "position", e.dispatcher.position().String(),
			"source_age_ms", e.freshness.Age(time.Now()).Milliseconds())
	}
}

// latencyDeadlineOf returns the time by which the caller should have its answer: the
// route's latency target, counted from the caller's first attempt. It is zero if the
// route has no target.
func (e *entry) latencyDeadlineOf(r *http.Request, route note.Route, arrived time.Time) time.Time {
	if route.LatencyTarget == 0 {
		return time.Time{}
	}
	waited := time.Duration(0)
	if timeout, ok := headerTimeout(r); ok {
		waited = e.elapsed.Observe(arrived, route.Name, timeout)
	}
	return arrived.Add(route.LatencyTarget - waited)
}

// unroutable returns the status and the reason for a request without a route. Callers
// do not retry after a 404, so that it is given only while the node would know of a
// route that was added.
func (e *entry) unroutable(err error) (status int, reason string) {
	status = routeStatus(err)
	if status == http.StatusNotFound && !e.freshness.Recent(time.Now()) {
		return http.StatusServiceUnavailable, reasonOutdated
	}
	return status, err.Error()
}

func routeStatus(err error) int {
	switch {
	case errors.Is(err, errAmbiguousPath), errors.Is(err, errTargetNotPassedOn):
		return http.StatusBadRequest
	case errors.Is(err, routing.ErrMethodNotAllowed):
		return http.StatusMethodNotAllowed
	default:
		return http.StatusNotFound
	}
}

func bodyStatus(err error) int {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errTooManyBodies):
		return http.StatusServiceUnavailable
	case errors.Is(err, errCallerStalled):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// brokenBodyStatus returns the status for a request that may have run when its body ended.
// Status 408 would say that it has not.
func brokenBodyStatus(err error) int {
	if errors.Is(err, errCallerStalled) {
		return http.StatusBadRequest
	}
	return bodyStatus(err)
}

// errHeadTooLarge is returned for a request head above the limit of the configuration.
var errHeadTooLarge = errors.New("request head too large")

// limitsOf returns the limits of requests: those of the configuration in force or, where it
// states none, of the settings.
func (e *entry) limitsOf(table *routing.Table) note.CallerLimits {
	l := table.Limits()
	return note.CallerLimits{HeaderBytes: cmp.Or(l.HeaderBytes, note.MaxHeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, e.bodyLimit)}
}

// headBytes returns the least number of bytes in which the head of a request was sent.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n\r\n") + len("Host:\r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return int64(n)
}

func (e *entry) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	started := time.Now()
	var a *attempt
	// If the answer cannot be sent completely, respond panics with
	// http.ErrAbortHandler, which net/http expects; aborted then stays true.
	aborted := true
	defer func() { e.record(c, a, time.Since(started), aborted) }()
	if isKeyed(c.route) {
		a = e.serveWrite(ctx, w, c)
	} else {
		a = e.dispatcher.dispatch(ctx, c)
		e.respond(ctx, w, c, a)
	}
	aborted = false
}

// respond sends the answer of a request without a claim, or an error if there is none.
func (e *entry) respond(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) {
	switch {
	case a.answered():
		a.resp.Body = e.dispatcher.link.Pace(ctx, a.resp.Body, bodySize(a.resp.BodyLength))
		sendAnswer(ctx, w, a.resp, c.progress)
	case a.notRun() && c.body.failure() != nil:
		refuseNotRun(w, bodyStatus(c.body.failure()), c.body.failure().Error())
	case a.notRun():
		refuseCall(w, c, a)
	case c.body.failure() != nil:
		refuseUnknown(w, brokenBodyStatus(c.body.failure()), a)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refuseUnknown(w, http.StatusGatewayTimeout, a)
	default:
		refuseUnknown(w, http.StatusBadGateway, a)
	}
}

// shouldLog decides whether a request gets a log line.
func (e *entry) shouldLog(c *call, a *attempt, late, aborted bool) bool {
	switch {
	case aborted || !a.answered() && !a.notRun():
		return e.logSampler.AllowFailed()
	case !a.answered(), a.resp.Status >= http.StatusInternalServerError, late, c.attempts != nil && len(c.attempts.Tried()) > 1:
		return e.logSampler.AllowNotable()
	}
	return e.logSampler.AllowRoutine()
}

// record updates the metrics of a request and logs its routing decision.
func (e *entry) record(c *call, a *attempt, took time.Duration, aborted bool) {
	if a == nil {
		return
	}
	telemetry.Latency("entry.latency." + c.route.Kind.String()).Update(took.Microseconds())
	status := 0
	if a.answered() {
		status = a.resp.Status
		telemetry.Counter("entry.answered." + c.route.Kind.String()).Inc(1)
	} else {
		telemetry.Counter("entry.unanswered." + c.route.Kind.String()).Inc(1)
	}
	late := c.route.LatencyTarget > 0 && took > c.route.LatencyTarget
	reason := a.reason
	if aborted {
		reason = reasonAnswerAborted
	}
	if !e.shouldLog(c, a, late, aborted) {
		return
	}
	e.log.Info("request routed", "request", c.id, "route", string(c.route.Name), "kind", c.route.Kind.String(),
		"service", string(c.service), "version", string(a.server.Version), "host", string(a.server.Host),
		"data_centre", string(a.server.DataCentre), "choice", a.server.Reason, "tried", c.attempts.Tried(), "status", status,
		"not_run", a.notRun(), "reason", reason, "ms", float64(took.Microseconds())/1000, "late", late,
		"hedged", c.hedged, "hedge_won", c.hedgeWon, "position", e.dispatcher.position().String())
}
