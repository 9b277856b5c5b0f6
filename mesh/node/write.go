package node

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/telemetry"
)

// claimUpdateTimeout bounds the time for which a completion or release of a claim is
// tried.
const claimUpdateTimeout = 30 * time.Second

// serveWrite serves a request that runs at most once. Its idempotency key is claimed
// before any byte is sent to a backend server.
func (e *entry) serveWrite(ctx context.Context, w http.ResponseWriter, c *call) *attempt {
	key := c.header.Get(HeaderIdempotencyKey)
	if key == "" {
		refuseNotRun(w, http.StatusBadRequest, reasonNoKey)
		return nil
	}
	deadline, _ := ctx.Deadline()
	grant, err := e.claims.Claim(ctx, key, digestOf(c), c.route.Name, time.Until(deadline))
	if err != nil {
		e.refuseClaim(ctx, w, c, err)
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, grant.Deadline)
	defer cancel()
	a := e.dispatcher.dispatch(ctx, c)
	switch {
	case a.answered():
		e.completeWrite(ctx, w, c, grant, a)
	case a.notRun():
		e.updateClaim(func(ctx context.Context) error { return e.claims.Release(ctx, grant, a.reason) })
		refuseCall(w, c, a)
	default:
		// The claim stays in progress until its run deadline and then becomes unknown,
		// so that a resend does not run the write a second time.
		refuse(w, http.StatusGatewayTimeout, outcomeUnknown, a.reason)
	}
	return a
}

// completeWrite records the answer with the claim and sends it to the caller. An answer
// that the record has room for is read completely before any of it is sent.
func (e *entry) completeWrite(ctx context.Context, w http.ResponseWriter, c *call, grant claim.Grant, a *attempt) {
	prefix, err := io.ReadAll(io.LimitReader(a.resp.Body, claim.MaxBodyBytes+1))
	if err != nil {
		_ = a.resp.Body.Close()
		a.err, a.reason = ErrOutcomeUnknown, "answer was cut short"
		refuse(w, http.StatusBadGateway, outcomeUnknown, a.reason)
		return
	}
	if len(prefix) > claim.MaxBodyBytes {
		e.completeLargeWrite(ctx, w, c, grant, a, prefix)
		return
	}
	_ = a.resp.Body.Close()
	answer := claim.NewAnswer(a.resp.Status, answerHeaders(a.resp), prefix)
	answer.RequestDigest = requestDigest(c)
	e.updateClaim(func(ctx context.Context) error { return e.claims.Complete(ctx, grant, answer) })
	a.resp.Body = io.NopCloser(bytes.NewReader(prefix))
	sendAnswer(ctx, w, a.resp, c.progress)
}

// completeLargeWrite streams an answer whose body the record has no room for, and records
// it without the body once it is complete. Reading it into memory first would let a few
// faulty backend servers use up the memory of the node. If the answer breaks off, the
// claim stays in progress and becomes unknown.
func (e *entry) completeLargeWrite(ctx context.Context, w http.ResponseWriter, c *call, grant claim.Grant, a *attempt, prefix []byte) {
	digest := sha256.New()
	body := io.TeeReader(io.MultiReader(bytes.NewReader(prefix), a.resp.Body), digest)
	headers, status := answerHeaders(a.resp), a.resp.Status
	a.resp.Body = struct {
		io.Reader
		io.Closer
	}{body, a.resp.Body}
	sendAnswer(ctx, w, a.resp, c.progress)
	answer := claim.NewAnswerWithoutBody(status, headers, claim.Digest(digest.Sum(nil)))
	answer.RequestDigest = requestDigest(c)
	e.updateClaim(func(ctx context.Context) error { return e.claims.Complete(ctx, grant, answer) })
}

// requestDigest returns the digest of a body of which the claim has only the start; nil if the
// claim has all of it, or the caller has not sent it completely.
func requestDigest(c *call) *claim.Digest {
	if d, ok := c.body.digest(); ok && !c.body.isWhole() {
		return &d
	}
	return nil
}

// isSameRequest reports whether the rest of a long body is the one that was recorded with the
// answer of its key. It reads the rest from the caller, until ctx ends.
func isSameRequest(ctx context.Context, w http.ResponseWriter, c *call, recorded *claim.Digest) (bool, error) {
	if recorded == nil || c.body.isWhole() {
		return true, nil
	}
	defer context.AfterFunc(ctx, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0)) })()
	rest, _ := c.body.open()
	if _, err := io.Copy(io.Discard, rest); err != nil {
		return false, err
	}
	d, ok := c.body.digest()
	return ok && d == *recorded, nil
}

// updateClaim completes or releases a claim in the background, so that it adds no
// latency to the answer. A resend that arrives before it has ended sees the write in
// progress.
func (e *entry) updateClaim(f func(context.Context) error) {
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimUpdateTimeout)
		defer cancel()
		if err := f(ctx); err != nil {
			telemetry.Counter("entry.claim-not-settled").Inc(1)
			e.log.Warn("claim could not be completed or released", "reason", err.Error())
		}
	})
}

func answerHeaders(resp *callmux.Response) []claim.Header {
	var out []claim.Header
	for name, values := range resp.Header {
		if name == "Content-Length" || name == "Date" {
			continue
		}
		for _, v := range values {
			out = append(out, claim.Header{Name: name, Value: v})
		}
	}
	return out
}

// refuseClaim answers a write whose claim was not granted.
func (e *entry) refuseClaim(ctx context.Context, w http.ResponseWriter, c *call, err error) {
	telemetry.Counter("entry.claim-refused").Inc(1)
	e.log.Info("claim for write not granted", "route", string(c.route.Name), "service", string(c.route.Service), "reason", err.Error())
	var answered *claim.AnsweredError
	if errors.As(err, &answered) {
		same, bodyErr := isSameRequest(ctx, w, c, answered.Answer.RequestDigest)
		switch {
		case same:
			replayAnswer(w, answered.Answer)
			return
		case bodyErr == nil:
			err = claim.ErrBodyMismatch
		default:
			refuse(w, brokenBodyStatus(bodyErr), outcomeAnswered, "a write with this key has run; the body could not be compared: "+bodyErr.Error())
			return
		}
	}
	switch {
	case errors.Is(err, claim.ErrInProgress):
		w.Header().Set("Retry-After", "1")
		refuse(w, http.StatusConflict, outcomeInProgress, err.Error())
	case errors.Is(err, claim.ErrOutcomeUnknown):
		refuse(w, http.StatusConflict, outcomeUnknown, err.Error())
	case errors.Is(err, claim.ErrBodyMismatch):
		refuse(w, http.StatusUnprocessableEntity, outcomeMismatch, err.Error())
	case errors.Is(err, claim.ErrKeyExpired):
		refuse(w, http.StatusGone, outcomeExpired, err.Error())
	case errors.Is(err, claim.ErrBadKey), errors.Is(err, claim.ErrKeyAhead):
		refuseNotRun(w, http.StatusBadRequest, err.Error())
	case claim.NotRun(err):
		refuseNotRun(w, http.StatusServiceUnavailable, reasonNoClaim+": "+err.Error())
	default:
		refuse(w, http.StatusServiceUnavailable, outcomeUnknown, err.Error())
	}
}

// replayAnswer sends the recorded answer of an earlier run.
func replayAnswer(w http.ResponseWriter, a claim.Answer) {
	if a.BodyOmitted {
		refuse(w, http.StatusConflict, outcomeAnswered, "the write has run; its answer was too large to keep")
		return
	}
	for _, h := range a.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(HeaderOutcome, outcomeAnswered)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
