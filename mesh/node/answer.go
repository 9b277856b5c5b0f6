package node

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/note"
)

// refusalBody is the body of every answer that the node itself gives.
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

// When a refused caller had better come back. The times are spread, so that
// callers that were refused together do not return together.
const (
	// comeBackBusy stands for routes without a latency target. It is about the time of
	// one request at a backend server that has no room.
	busyRetryAfter = 60 * time.Millisecond
	// comeBackPart of the latency target passes until a caller comes back, and up to
	// twice that: its next try then still meets the target.
	retryAfterTargetPart = 0.3
	// comeBackDown is for a lack that lasts longer, such as that of a configuration
	// or of any backend server.
	outageRetryAfter = 300 * time.Millisecond
)

// comeBackAfter returns a time between the given one and twice that.
func jitteredRetryAfter(least time.Duration) time.Duration {
	return least + rand.N(least)
}

// notRun refuses a request of which no byte reached a backend server's handler.
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

// refuse answers a request that has no answer of a backend server.
func refuse(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(HeaderOutcome, outcome)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusalBody{Outcome: outcome, Reason: reason})
}

// noAnswer refuses a request that may have run.
func refuseUnknown(w http.ResponseWriter, status int, t *try) {
	refuse(w, status, outcomeUnknown, t.reason)
}

// maxHeaderValue bounds a reason in a header.
const maxHeaderValueBytes = 200

// headerValue makes text fit for a header.
func sanitizeHeaderValue(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = ' '
		}
	}
	return string(b[:min(len(b), maxHeaderValueBytes)])
}

// sendAnswer streams an answer to the caller. A body that is cut short ends
// the connection, so that the caller cannot take it for a whole one.
func sendAnswer(w http.ResponseWriter, resp *callmux.Response) {
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.Status)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuseCall refuses a call as not run. It asserts that no try of it has an
// unknown outcome.
func refuseCall(w http.ResponseWriter, c *call, t *try) {
	invariant.Check(!c.mayHaveRun, invariant.TrueNotRun, "refused as not run after a try of unknown outcome",
		"route", string(c.route.Name), "tried", c.attempts.Tried())
	refuseWithRetryAfter(w, http.StatusServiceUnavailable, t.reason, minRetryAfter(c.route, errors.Is(t.err, errNoServer)))
}

// comeBack returns the least time after which a refused caller had better come back.
func minRetryAfter(r note.Route, noServer bool) time.Duration {
	switch {
	case noServer:
		return outageRetryAfter
	case r.LatencyTarget > 0:
		return time.Duration(retryAfterTargetPart * float64(r.LatencyTarget))
	}
	return busyRetryAfter
}
