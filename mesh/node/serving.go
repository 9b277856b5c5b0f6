package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/link"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/serverconn"
	"balsamtrail.org/mesh/telemetry"
)

// Refusal reasons of the serving side.
const (
	reasonWrongServer        = "another service or version runs here"
	reasonShed               = "shed by the backend server"
	reasonUnreachable        = "backend server unreachable"
	reasonCanceledBeforeSend = "given up before it was sent"
	reasonNoAnswer           = "no answer from the backend server"
	reasonTruncated          = "answer of the backend server broke off"
)

// serving is the serving side of a node: it forwards calls from other nodes, and from
// this node's entry side, to this node's backend server.
type serving struct {
	log *slog.Logger
	// self is the identity that calls of this node's entry side come from.
	self     peer.Identity
	gate     *admission.Gate
	backend  *backend
	service  model.ServiceName
	version  func() model.ServiceVersion
	position func() model.Position
	// onNewerPosition is called for a peer that has a newer position than this node;
	// it does not block.
	onNewerPosition func(from peer.Identity, pos model.Position)
	// logSampler decides which refusals get a log line.
	logSampler *telemetry.RequestSampler
	// onUnreachable is called when the backend server is unreachable or another
	// instance answers in its place; nil if the backend server does not register
	// itself.
	onUnreachable func(reason string)
	// onLeaving is called when an answer says that the backend server leaves; nil if it
	// does not register itself.
	onLeaving func(lifetime)
	notice    serverNotice
	// memory bounds the bytes of bodies that the node keeps.
	memory *bodyMemory
	// link is the outgoing link of this host; nil if its rate is not known.
	link *link.Link
	// answeredCalls counts the answers since the last load report.
	answeredCalls atomic.Int64
}

// handle serves one call. It implements callmux.Handler.
func (s *serving) handle(ctx context.Context, from peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	if s.position().Less(req.Position) {
		s.onNewerPosition(from, req.Position)
	}
	if req.Service != s.service || req.Version != s.version() {
		return s.decline(ctx, req, reasonWrongServer, 0), nil
	}
	s.observeCaller(req.Notice)
	if retryAfter, refuses := s.linkRefuses(ctx, from, req); refuses {
		return s.decline(ctx, req, reasonLinkFull, retryAfter), nil
	}
	deadline, _ := ctx.Deadline()
	release, err := s.gate.Acquire(ctx, admission.Request{
		Kind: req.Kind, Route: req.Route, Deadline: deadline, Priority: req.Priority, MaxWait: req.MaxWait,
		Target: latencyDeadlineOf(req),
	})
	if err != nil {
		reason, retryAfter := refusalReason(err)
		return s.decline(ctx, req, reason, retryAfter), nil
	}
	if from == s.self {
		return s.forward(ctx, req, true, release), nil
	}
	return s.forwardOverLink(ctx, req, release), nil
}

// latencyDeadlineOf returns the time by which the caller should have its answer; zero
// if the request has no latency target.
func latencyDeadlineOf(req *callmux.Request) time.Time {
	if req.TimeToLatencyTarget == 0 {
		return time.Time{}
	}
	return time.Now().Add(req.TimeToLatencyTarget)
}

// refusalReason returns the reason of a refusal by the gate, and when there is room again
// if that is known.
func refusalReason(err error) (string, time.Duration) {
	var n *admission.NotRun
	if errors.As(err, &n) {
		return string(n.Reason), n.RetryAfter
	}
	return err.Error(), 0
}

// refuse counts a refusal, logs it if it is sampled, and returns its response. A request
// that was cancelled, such as the slower attempt of a hedged call, counts as cancelled.
func (s *serving) refuse(ctx context.Context, req *callmux.Request, reason string, notRun bool) *callmux.Response {
	if errors.Is(ctx.Err(), context.Canceled) {
		telemetry.Counter("serving.cancelled").Inc(1)
	} else {
		telemetry.Counter("serving.refused").Inc(1)
	}
	if notRun && s.logSampler.AllowNotable() || !notRun && s.logSampler.AllowFailed() {
		s.logRefusal(req, reason, notRun)
	}
	resp := &callmux.Response{Position: s.position(), Refusal: &callmux.Refusal{Reason: reason, NotRun: notRun}, Notice: s.notice.get()}
	s.reportLoad(resp)
	return resp
}

// reportLoad states in a response the load and the service times of the backend server, by
// which entry nodes choose.
func (s *serving) reportLoad(resp *callmux.Response) {
	resp.Limit, resp.Utilization = s.gate.Limit(), float32(s.gate.Utilization())
	resp.RecentServiceTime, resp.UsualServiceTime = s.gate.ServiceTimes()
}

func (s *serving) logRefusal(req *callmux.Request, reason string, notRun bool) {
	inFlight, queued := s.gate.Load()
	s.log.Info("request refused", "request", http.Header(req.Header).Get(HeaderRequestID), "in_flight", inFlight, "queued", queued,
		"limit", s.gate.Limit(), "position", s.position().String(), "route", string(req.Route), "kind", req.Kind.String(), "reason", reason, "not_run", notRun)
}

// decline refuses a request that has not been sent to the backend server.
func (s *serving) decline(ctx context.Context, req *callmux.Request, reason string, retryAfter time.Duration) *callmux.Response {
	resp := s.refuse(ctx, req, reason, true)
	resp.Refusal.Declined, resp.Refusal.RetryAfter = true, retryAfter
	return resp
}

// forward sends an admitted request to the backend server and returns its answer or a
// refusal. Only backend.do may send it again, and only if it is idempotent and entered at
// this node. A request of another node is tried again there, within its retry budget.
func (s *serving) forward(ctx context.Context, req *callmux.Request, entered bool, release func(admission.Outcome)) *callmux.Response {
	started, server := time.Now(), *s.backend.current.Load()
	resp, err := s.backend.do(ctx, backendRequest{
		method: req.Method, path: req.Path, header: endToEndHeaders(req.Header),
		body: req.Body, length: requestLength(req), timeout: remainingTime(ctx), budget: req.RetryBudget,
		mayResend: entered && req.Kind.Idempotent(),
	})
	latency := time.Since(started)
	if err == nil && resp.StatusCode != http.StatusMisdirectedRequest { // that one is from another instance
		s.observeAnswer(resp.Header, server, started)
	}
	switch {
	case errors.Is(err, ErrNotRun):
		release(admission.Outcome{Result: resultOfFailure(ctx), Latency: latency})
		if s.onUnreachable != nil && ctx.Err() == nil && errors.Is(err, serverconn.ErrUnreachable) {
			s.onUnreachable(err.Error())
		}
		return s.refuse(ctx, req, withCause(notSentReason(ctx), err), true)
	case errors.Is(err, serverconn.ErrStale):
		release(admission.Outcome{Result: admission.ResultCancelled, Latency: latency})
		return s.refuse(ctx, req, withCause(reasonNoAnswer, err), false)
	case err != nil:
		release(admission.Outcome{Result: resultOfFailure(ctx), Latency: latency, Abandoned: ctx.Err() != nil})
		return s.refuse(ctx, req, withCause(reasonNoAnswer, err), false)
	case resp.Header.Get(HeaderNotRun) != "" && resp.StatusCode >= http.StatusBadRequest:
		_ = resp.Body.Close()
		if s.onUnreachable != nil && resp.StatusCode == http.StatusMisdirectedRequest {
			s.onUnreachable("instance " + resp.Header.Get(HeaderInstance) + " answers")
		}
		release(admission.Outcome{Result: admission.ResultRefused, Latency: latency})
		return s.refuse(ctx, req, reasonShed, true)
	}
	buffer, err := bufferAnswer(resp, s.memory)
	latency = time.Since(started)
	if err != nil {
		release(admission.Outcome{Result: resultOfFailure(ctx), Latency: latency})
		return s.refuse(ctx, req, withCause(reasonTruncated, err), false)
	}
	o := admission.Outcome{Result: resultOfStatus(resp.StatusCode), Latency: latency}
	return s.answer(resp, releaseWhenSent(ctx, buffer, started, release, o), o)
}

// releaseWhenSent releases the slot of a request once the backend server has sent its whole
// answer, with the time until then, and reads the rest of a long answer to that end. Without
// a buffer, or if the answer is closed earlier, the returned function does it.
func releaseWhenSent(ctx context.Context, b *answerBuffer, started time.Time, release func(admission.Outcome), o admission.Outcome) func(admission.Outcome) {
	switch {
	case b == nil:
	case b.err != nil:
		release(o)
	default:
		b.reading = true
		go b.readAhead(func(err error, waited time.Duration) {
			o.Latency = max(o.Latency, time.Since(started)-waited)
			brokeOff := !errors.Is(err, io.EOF) && !errors.Is(err, errBodyClosed)
			if brokeOff && (waited == 0 || ctx.Err() == nil) { // not a deadline that a slow caller caused
				o.Result = resultOfFailure(ctx)
			}
			release(o)
		})
	}
	return release
}

// withCause appends the cause to a refusal reason. If err contains a serverconn.Error,
// only that one is used.
func withCause(reason string, err error) string {
	var e *serverconn.Error
	if errors.As(err, &e) {
		err = e
	}
	return reason + ": " + err.Error()
}

// notSentReason returns the reason why a request was not sent: its context has ended,
// or the backend server is unreachable.
func notSentReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return reasonCanceledBeforeSend
	}
	return reasonUnreachable
}

func (s *serving) answer(resp *http.Response, release func(admission.Outcome), o admission.Outcome) *callmux.Response {
	s.answeredCalls.Add(1)
	telemetry.Latency("serving.latency").Update(o.Latency.Microseconds())
	header := endToEndHeaders(resp.Header)
	// These headers are set by nodes only. A backend server may pass on those it
	// received as the answer to a nested call.
	header.Del(HeaderNotRun)
	header.Del(HeaderOutcome)
	header.Del(HeaderRateLimit)
	header.Del(HeaderServerLoad)
	header.Del(HeaderLeaving)
	answer := &callmux.Response{
		Status: resp.StatusCode, Header: header, Position: s.position(),
		BodyLength: max(resp.ContentLength, 0), Notice: s.notice.get(),
		Body: &slotBody{ReadCloser: resp.Body, release: func() { release(o) }},
	}
	s.reportLoad(answer)
	return answer
}

// slotBody is the body of an answer. It holds the request's slot until the backend server
// has sent all of it or it is closed.
type slotBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Read reads the body and releases the slot at its end.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.once.Do(b.release)
	}
	return n, err
}

// Close closes the body and releases the slot.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

func resultOfStatus(status int) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.ResultRefused
	case status >= http.StatusInternalServerError:
		return admission.ResultError
	default:
		return admission.ResultOK
	}
}

func resultOfFailure(ctx context.Context) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.ResultTimeout
	case ctx.Err() != nil:
		return admission.ResultCancelled
	default:
		return admission.ResultLost
	}
}

// requestLength returns the request's content length; -1 if it is unknown.
func requestLength(req *callmux.Request) int64 {
	switch {
	case req.Body == nil || req.Body == http.NoBody:
		return 0
	case req.BodyLength > 0:
		return req.BodyLength
	}
	// A streamed body comes without its length; the caller's header states it.
	if n, err := strconv.ParseInt(http.Header(req.Header).Get("Content-Length"), 10, 64); err == nil && n > 0 {
		return n
	}
	return -1
}

// remainingTime returns the time until the deadline of ctx, or defaultCallTimeout if
// it has none.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultCallTimeout
	}
	return time.Until(deadline)
}

// defaultCallTimeout applies to a call without a deadline.
const defaultCallTimeout = time.Minute

// listenCalls serves calls from other nodes until ctx ends.
func (n *Node) listenCalls(ctx context.Context) error {
	if err := n.callServer.Serve(ctx, n.callListener, n.serving.handle); err != nil && ctx.Err() == nil {
		return eris.Wrapf(ErrStart, "calls: %v", err)
	}
	return nil
}
