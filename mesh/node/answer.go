package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/invariant"
)

// refusalBody is the JSON body of every answer that the node itself makes.
type refusalBody struct {
	// Outcome is not-run, unknown, in-progress, body-mismatch, expired or answered.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Values of HeaderOutcome and refusalBody.Outcome.
const (
	outcomeNotRun     = "not-run"
	outcomeUnknown    = "unknown"
	outcomeInProgress = "in-progress"
	outcomeMismatch   = "body-mismatch"
	outcomeExpired    = "expired"
	outcomeAnswered   = "answered"
)

// Times after which a refused caller should retry. The time sent is random between the
// value and twice it, so that callers that were refused together do not retry
// together.
const (
	// busyRetryAfter is used for routes without a latency target. It is about the time
	// that one request takes at a fully loaded backend server.
	busyRetryAfter = 60 * time.Millisecond
	// retryAfterTargetPart is the part of the latency target after which a caller
	// should retry if no serving node could tell when it has room. Even after twice that time, its next attempt can meet the target.
	retryAfterTargetPart = 0.3
	// outageRetryAfter is used when the cause lasts longer, such as a missing
	// configuration or no available backend server.
	outageRetryAfter = 300 * time.Millisecond
	// usualStart is about how long a node needs to route when the whole mesh starts, most
	// of which it waits for control hosts that start too. A caller that comes back sooner
	// is refused again.
	usualStart = time.Second
	// connectedRetryAfter is used while a node without a configuration is connected to a
	// control host, and disconnectedRetryAfter is the least while it is not.
	connectedRetryAfter    = 150 * time.Millisecond
	disconnectedRetryAfter = 400 * time.Millisecond
	// maxStartRetryAfter is the upper limit in a start that takes longer than usual.
	maxStartRetryAfter = time.Second
	// maxRetryAfterSpread bounds the random part of the time. Callers that were refused
	// while all backend servers were cold come back within it.
	maxRetryAfterSpread = time.Second
)

// jitteredRetryAfter returns a random time between least and twice least, or least and
// maxRetryAfterSpread more.
func jitteredRetryAfter(least time.Duration) time.Duration {
	return least + rand.N(min(least, maxRetryAfterSpread))
}

// startRetryAfter returns the least time after which callers should retry at a node that
// has no configuration yet, from how long ago it started and whether it is connected to a
// control host. In a start that takes longer than usual it is half as long again.
func startRetryAfter(elapsed time.Duration, connected bool) time.Duration {
	switch {
	case elapsed >= usualStart:
		return min(max(elapsed/2, disconnectedRetryAfter), maxStartRetryAfter)
	case connected:
		return connectedRetryAfter
	default:
		return max(usualStart-elapsed, disconnectedRetryAfter)
	}
}

// refuseNotRun refuses a request that is known not to have run.
func refuseNotRun(w http.ResponseWriter, status int, reason string) {
	refuseWithRetryAfter(w, status, reason, outageRetryAfter)
}

func refuseWithRetryAfter(w http.ResponseWriter, status int, reason string, minRetryAfter time.Duration) {
	if status == http.StatusServiceUnavailable {
		after := jitteredRetryAfter(minRetryAfter)
		w.Header().Set(HeaderRetryAfter, strconv.FormatInt(after.Milliseconds(), 10))
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.Header().Set(HeaderNotRun, sanitizeHeaderValue(reason))
	refuse(w, status, outcomeNotRun, reason)
}

// refuse sends an answer made by the node itself.
func refuse(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusalBody{Outcome: outcome, Reason: reason})
}

// refuseUnknown answers a request that may have run.
func refuseUnknown(w http.ResponseWriter, status int, a *attempt) {
	refuse(w, status, outcomeUnknown, a.reason)
}

// maxHeaderValueBytes bounds the length of a reason in a header.
const maxHeaderValueBytes = 200

// sanitizeHeaderValue replaces bytes that a header may not contain and truncates s.
func sanitizeHeaderValue(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = ' '
		}
	}
	return string(b[:min(len(b), maxHeaderValueBytes)])
}

// sendAnswer streams an answer to the caller. If the body is truncated, or the caller takes
// nothing for the progress timeout or has not taken all when ctx ends, it aborts the connection, so that the caller cannot mistake the
// answer for a complete one.
func sendAnswer(ctx context.Context, w http.ResponseWriter, resp *callmux.Response, progress *callerProgress) {
	defer resp.Body.Close()
	defer failWritesAfter(ctx, w)()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	if _, ok := w.Header()["Content-Type"]; !ok {
		w.Header()["Content-Type"] = nil // stops net/http from adding one
	}
	w.WriteHeader(resp.Status)
	if _, err := io.Copy(progress.writer(w), resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// failWritesAfter makes writes to the caller fail once ctx has ended. The returned function
// ends that. If ctx ends in between, it waits until the deadline has been set and removes it:
// set later, it would fail the next answer on the connection.
func failWritesAfter(ctx context.Context, w http.ResponseWriter) (end func()) {
	connection, set := http.NewResponseController(w), make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(set)
		_ = connection.SetWriteDeadline(time.Unix(1, 0))
	})
	return func() {
		if stop() {
			return
		}
		<-set
		_ = connection.SetWriteDeadline(time.Time{})
	}
}

// resetOnAbort resets the connection of a handler that aborts its answer. In HTTP/1.0 an
// answer without a length ends with its connection, so that a close would complete it.
func resetOnAbort(w http.ResponseWriter) {
	aborted := recover()
	if aborted == nil {
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(aborted)
}

// refuseCall refuses a call as not run. It asserts that no attempt of the call has an
// unknown outcome.
func refuseCall(w http.ResponseWriter, c *call, a *attempt) {
	invariant.Check(!c.mayHaveRun, invariant.TrueNotRun, "refused as not run after a try of unknown outcome",
		"route", string(c.route.Name), "tried", c.attempts.Tried())
	refuseWithRetryAfter(w, http.StatusServiceUnavailable, a.reason, c.minRetryAfter(errors.Is(a.err, errNoServer)))
}

// minRetryAfter returns the minimum time after which the caller of a refused call
// should retry: the time in which an attempted backend server has room again, if all of
// them could tell.
func (c *call) minRetryAfter(noServer bool) time.Duration {
	switch {
	case noServer:
		return max(outageRetryAfter, c.room.least)
	case c.room.least > 0:
		return max(c.room.least, busyRetryAfter)
	case c.route.LatencyTarget > 0:
		return time.Duration(retryAfterTargetPart * float64(c.route.LatencyTarget))
	}
	return busyRetryAfter
}
