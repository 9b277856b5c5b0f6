package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// entry accepts the requests of callers and of the own backend server.
type entry struct {
	log        *slog.Logger
	dispatcher *dispatcher
	// table returns the routes in force; nil until the node may route.
	table  func() *routing.Table
	claims claimer

	// service is that of the backend server beside this node.
	service   model.ServiceName
	bodyLimit int64
	// calls bounds the requests in flight, bodies the bytes of their bodies.
	callLimiter, bodyLimiter *semaphore.Weighted
	// elapsed estimates how long callers have been waiting.
	elapsed *routing.Elapsed
	// stopping is set from the begin of a planned stop: callers are then asked to
	// come back on another connection.
	stopping atomic.Bool
	// logged decides which requests have a line in the log.
	logSampler *telemetry.Requests
	// background are completions and releases of claims that outlive their request.
	background sync.WaitGroup
}

// claimer claims idempotency keys; *claim.Client is one.
type claimer interface {
	Claim(ctx context.Context, key string, digest claim.Digest, route model.RouteName, lifetime time.Duration) (claim.Grant, error)
	Complete(ctx context.Context, g claim.Grant, a claim.Answer) error
	Release(ctx context.Context, g claim.Grant, reason string) error
}

// bodyMemory bounds the request bodies held at a time. It is a quarter of the
// memory that a node may use.
const bodyMemoryBytes = 16 << 20

// Reasons of refusals by the entry side; no byte of the request has left the node.
const (
	reasonNoConfig        = "no configuration in force yet"
	reasonTooManyCalls    = "too many requests in flight"
	reasonTooManyBodies   = "too many request bodies in flight"
	reasonBodyNotReceived = "request body not received"
	reasonNoKey           = "a write needs an Idempotency-Key"
	reasonNoClaim         = "claim service unavailable"
	// reasonCut is that of an answer that was cut on its way to the caller.
	reasonAnswerAborted = "answer cut before its end"
)

// ServeHTTP serves one request from its route to its answer.
func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	table := e.table()
	if table == nil {
		refuseNotRun(w, http.StatusServiceUnavailable, reasonNoConfig)
		return
	}
	if !e.callLimiter.TryAcquire(1) {
		telemetry.Counter("entry.refused").Inc(1)
		refuseNotRun(w, http.StatusServiceUnavailable, reasonTooManyCalls)
		return
	}
	defer e.callLimiter.Release(1)
	route, err := matchRequest(table, r)
	if err != nil {
		refuseNotRun(w, routeStatus(err), err.Error())
		return
	}
	body, releaseBody, err := e.readBody(w, r)
	if err != nil {
		refuseNotRun(w, bodyStatus(err), err.Error())
		return
	}
	defer releaseBody()
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout(r, route))
	defer cancel()
	c := newCall(r, route, body)
	c.service = e.dispatcher.picker.Service(route)
	c.latencyDeadline = e.latencyDeadlineOf(r, route)
	c.header.Set(HeaderCallerService, string(e.service))
	e.serve(ctx, w, c)
}

// targetOf returns when the answer is late: the route's target, counted from the
// caller's first try; zero without a target.
func (e *entry) latencyDeadlineOf(r *http.Request, route note.Route) time.Time {
	if route.LatencyTarget == 0 {
		return time.Time{}
	}
	now := time.Now()
	waited := time.Duration(0)
	if timeout, ok := headerTimeout(r); ok {
		waited = e.elapsed.Observe(now, route.Name, timeout)
	}
	return now.Add(route.LatencyTarget - waited)
}

func routeStatus(err error) int {
	switch {
	case errors.Is(err, errAmbiguousPath):
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
	default:
		return http.StatusBadRequest
	}
}

var (
	errTooManyBodies   = errors.New(reasonTooManyBodies)
	errBodyNotReceived = errors.New(reasonBodyNotReceived)
)

// readBody reads the whole body, so that a call can be tried again. A body
// without a length counts as one of the greatest size until it has been read.
func (e *entry) readBody(w http.ResponseWriter, r *http.Request) (body []byte, releaseBody func(), err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, func() {}, nil
	}
	size := r.ContentLength
	if size < 0 {
		size = e.bodyLimit
	}
	if size > e.bodyLimit {
		return nil, nil, ErrBodyTooLarge
	}
	if !e.bodyLimiter.TryAcquire(size) {
		return nil, nil, errTooManyBodies
	}
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, e.bodyLimit))
	if err != nil {
		e.bodyLimiter.Release(size)
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, nil, ErrBodyTooLarge
		}
		return nil, nil, errBodyNotReceived
	}
	e.bodyLimiter.Release(size - int64(len(body)))
	return body, func() { e.bodyLimiter.Release(int64(len(body))) }, nil
}

func (e *entry) serve(ctx context.Context, w http.ResponseWriter, c *call) {
	started := time.Now()
	var t *try
	// An answer that is cut ends the handler by a panic, which net/http expects.
	aborted := true
	defer func() { e.record(c, t, time.Since(started), aborted) }()
	if c.route.Kind == model.KindWrite && !c.route.Unkeyed {
		t = e.serveWrite(ctx, w, c)
	} else {
		t = e.dispatcher.dispatch(ctx, c)
		e.respond(ctx, w, c, t)
	}
	aborted = false
}

// respond sends the answer of an idempotent request or says why there is none.
func (e *entry) respond(ctx context.Context, w http.ResponseWriter, c *call, t *try) {
	switch {
	case t.answered():
		sendAnswer(w, t.resp)
	case t.notRun():
		refuseCall(w, c, t)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		refuseUnknown(w, http.StatusGatewayTimeout, t)
	default:
		refuseUnknown(w, http.StatusBadGateway, t)
	}
}

// logs decides whether a request has a line in the log.
func (e *entry) shouldLog(c *call, t *try, late, aborted bool) bool {
	switch {
	case aborted || !t.answered() && !t.notRun():
		return e.logSampler.Failed()
	case !t.answered(), t.resp.Status >= http.StatusInternalServerError, late, c.attempts != nil && len(c.attempts.Tried()) > 1:
		return e.logSampler.Notable()
	}
	return e.logSampler.Usual()
}

// record writes the log line of a routing decision and counts its outcome.
func (e *entry) record(c *call, t *try, took time.Duration, aborted bool) {
	if t == nil {
		return
	}
	telemetry.Latency("entry.latency." + c.route.Kind.String()).Update(took.Microseconds())
	status := 0
	if t.answered() {
		status = t.resp.Status
		telemetry.Counter("entry.answered." + c.route.Kind.String()).Inc(1)
	} else {
		telemetry.Counter("entry.unanswered." + c.route.Kind.String()).Inc(1)
	}
	late := c.route.LatencyTarget > 0 && took > c.route.LatencyTarget
	reason := t.reason
	if aborted {
		reason = reasonAnswerAborted
	}
	if !e.shouldLog(c, t, late, aborted) {
		return
	}
	e.log.Info("request routed", "request", c.id, "route", string(c.route.Name), "kind", c.route.Kind.String(),
		"service", string(c.service), "version", string(t.server.Version), "host", string(t.server.Host),
		"data_centre", string(t.server.DataCentre), "choice", t.server.Reason, "tried", c.attempts.Tried(), "status", status,
		"not_run", t.notRun(), "reason", reason, "ms", float64(took.Microseconds())/1000, "late", late,
		"position", e.dispatcher.position().String())
}
