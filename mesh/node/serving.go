package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/serverconn"
	"balsamtrail.org/mesh/telemetry"
)

// Reasons of refusals by the serving side.
const (
	reasonWrongServer = "another service or version runs here"
	reasonShed        = "shed by the backend server"
	reasonUnreachable = "backend server unreachable"
	reasonGivenUp     = "given up before it was sent"
	reasonLost        = "no answer from the backend server"
	reasonUnframed    = "long answer of the backend server has no length"
	reasonCutShort    = "answer of the backend server broke off"
)

// serving answers calls of other nodes, and of the own entry side, by the own
// backend server.
type serving struct {
	log      *slog.Logger
	gate     *admission.Gate
	backend  *backend
	service  model.ServiceName
	version  func() model.ServiceVersion
	position func() model.Position
	// behind is told of a peer that knows a newer position; it does not block.
	behind func(from peer.Identity, pos model.Position)
	// logged decides which refusals have a line in the log.
	logged *telemetry.Requests
	// lost is told that the backend server is gone or another one took its place;
	// nil if it does not register itself.
	lost func(reason string)
	// answered counts the answers since the last report of the load.
	answered atomic.Int64
}

// handle serves one call. It implements callmux.Handler.
func (s *serving) handle(ctx context.Context, from peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	if s.position().Less(req.Position) {
		s.behind(from, req.Position)
	}
	if req.Service != s.service || req.Version != s.version() {
		return s.decline(req, reasonWrongServer), nil
	}
	deadline, _ := ctx.Deadline()
	release, err := s.gate.Acquire(ctx, admission.Ticket{
		Kind: req.Kind, Route: req.Route, Deadline: deadline, Priority: req.Priority, Patience: req.Patience,
		Target: targetOf(req),
	})
	if err != nil {
		return s.decline(req, refusalReason(err)), nil
	}
	return s.forward(ctx, req, release), nil
}

// targetOf returns when the answer to a request is late; zero if it has no target.
func targetOf(req *callmux.Request) time.Time {
	if req.TargetIn == 0 {
		return time.Time{}
	}
	return time.Now().Add(req.TargetIn)
}

func refusalReason(err error) string {
	var n *admission.NotRun
	if errors.As(err, &n) {
		return string(n.Reason)
	}
	return err.Error()
}

// refuse logs and counts a refusal and builds its response.
func (s *serving) refuse(req *callmux.Request, reason string, notRun bool) *callmux.Response {
	telemetry.Counter("serving.refused").Inc(1)
	if notRun && s.logged.Notable() || !notRun && s.logged.Failed() {
		s.logRefusal(req, reason, notRun)
	}
	return &callmux.Response{
		Position: s.position(), Limit: s.gate.Limit(), Utilization: float32(s.gate.Utilization()),
		Refusal: &callmux.Refusal{Reason: reason, NotRun: notRun},
	}
}

func (s *serving) logRefusal(req *callmux.Request, reason string, notRun bool) {
	inFlight, queued := s.gate.Load()
	s.log.Info("request refused", "request", http.Header(req.Header).Get(HeaderRequestID), "in_flight", inFlight, "queued", queued,
		"limit", s.gate.Limit(), "position", s.position().String(), "route", string(req.Route), "kind", req.Kind.String(), "reason", reason, "not_run", notRun)
}

// decline refuses a request that the backend server has not seen.
func (s *serving) decline(req *callmux.Request, reason string) *callmux.Response {
	resp := s.refuse(req, reason, true)
	resp.Refusal.Declined = true
	return resp
}

// forward sends an admitted request to the backend server, exactly once.
func (s *serving) forward(ctx context.Context, req *callmux.Request, release func(admission.Outcome)) *callmux.Response {
	started := time.Now()
	resp, err := s.backend.do(ctx, backendRequest{
		method: req.Method, path: req.Path, header: forwardable(req.Header),
		body: req.Body, length: requestLength(req), timeout: remaining(ctx), budget: req.RetryBudget,
		idempotent: req.Kind.Idempotent(),
	})
	latency := time.Since(started)
	switch {
	case errors.Is(err, ErrNotRun):
		release(admission.Outcome{Result: lostResult(ctx), Latency: latency})
		if s.lost != nil && ctx.Err() == nil && errors.Is(err, serverconn.ErrUnreachable) {
			s.lost(err.Error())
		}
		return s.refuse(req, because(unreachableReason(ctx), err), true)
	case errors.Is(err, serverconn.ErrStale):
		release(admission.Outcome{Result: admission.ResultCancelled, Latency: latency})
		return s.refuse(req, because(reasonLost, err), false)
	case err != nil:
		release(admission.Outcome{Result: lostResult(ctx), Latency: latency})
		return s.refuse(req, because(reasonLost, err), false)
	case resp.Header.Get(HeaderNotRun) != "" && resp.StatusCode >= http.StatusBadRequest:
		_ = resp.Body.Close()
		if s.lost != nil && resp.StatusCode == http.StatusMisdirectedRequest {
			s.lost("instance " + resp.Header.Get(HeaderInstance) + " answers")
		}
		release(admission.Outcome{Result: admission.ResultRefused, Latency: latency})
		return s.refuse(req, reasonShed, true)
	}
	if err := readWhole(resp); err != nil {
		release(admission.Outcome{Result: lostResult(ctx), Latency: latency})
		return s.refuse(req, because(reasonCutShort, err), false)
	}
	return s.answer(resp, release, admission.Outcome{Result: answerResult(resp.StatusCode), Latency: latency})
}

// wholeAnswerLimit is the size up to which an answer is read whole before any of
// it is passed on, so that one that breaks off can be tried again elsewhere.
const wholeAnswerLimit = 256 << 10

// readWhole reads a short answer to its end. An answer without a length ends with
// its connection: an orderly end completes it, a reset does not.
func readWhole(resp *http.Response) error {
	if resp.ContentLength > wholeAnswerLimit {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswerLimit+1))
	if err != nil {
		_ = resp.Body.Close()
		return err
	}
	if len(head) <= wholeAnswerLimit {
		_ = resp.Body.Close()
		resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(head)), int64(len(head))
		return nil
	}
	if unframed(resp) {
		_ = resp.Body.Close()
		return errUnframed
	}
	resp.Body = &joinedBody{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return nil
}

// errUnframed is returned for a long answer without a length, which could not be
// told from one cut short once a part of it has been passed on.
var errUnframed = errors.New(reasonUnframed)

// joinedBody is the rest of a body behind what was read of it.
type joinedBody struct {
	io.Reader
	io.Closer
}

// because joins the reason of a refusal and what the connection shows of its cause.
func because(reason string, err error) string {
	var e *serverconn.Error
	if errors.As(err, &e) {
		err = e
	}
	return reason + ": " + err.Error()
}

// unreachableReason tells a call that its caller gave up before it was sent
// from a backend server that could not be reached.
func unreachableReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return reasonGivenUp
	}
	return reasonUnreachable
}

// unframed reports whether the end of the body is only the end of the
// connection, so that a body cut short could not be told from a whole one.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

func (s *serving) answer(resp *http.Response, release func(admission.Outcome), o admission.Outcome) *callmux.Response {
	s.answered.Add(1)
	telemetry.Latency("serving.latency").Update(o.Latency.Microseconds())
	header := forwardable(resp.Header)
	// What nodes say of an outcome must not come from a backend server, which may
	// pass on the headers of a nested call.
	header.Del(HeaderNotRun)
	header.Del(HeaderOutcome)
	return &callmux.Response{
		Status: resp.StatusCode, Header: header,
		Position: s.position(), Limit: s.gate.Limit(), Utilization: float32(s.gate.Utilization()),
		BodyLength: max(resp.ContentLength, 0),
		Body:       &slotBody{ReadCloser: resp.Body, release: func() { release(o) }},
	}
}

// slotBody holds the slot of a request until its answer has been read.
type slotBody struct {
	io.ReadCloser
	once    sync.Once
	release func()
}

// Close ends the answer and returns the slot.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.release)
	return err
}

func answerResult(status int) admission.Result {
	switch {
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return admission.ResultRefused
	case status >= http.StatusInternalServerError:
		return admission.ResultError
	default:
		return admission.ResultOK
	}
}

func lostResult(ctx context.Context) admission.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.ResultTimeout
	case ctx.Err() != nil:
		return admission.ResultCancelled
	default:
		return admission.ResultLost
	}
}

// requestLength is the content length to state; -1 if it is not known.
func requestLength(req *callmux.Request) int64 {
	switch {
	case req.Body == nil:
		return 0
	case req.BodyLength > 0:
		return req.BodyLength
	default:
		return -1
	}
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxCallTime
	}
	return time.Until(deadline)
}

// maxCallTime bounds a call that brings no deadline.
const maxCallTime = time.Minute

// listenCalls serves the calls of other nodes until ctx ends.
func (n *Node) listenCalls(ctx context.Context) error {
	if err := n.callServer.Serve(ctx, n.callListener, n.serving.handle); err != nil && ctx.Err() == nil {
		return eris.Wrapf(ErrStart, "calls: %v", err)
	}
	return nil
}
