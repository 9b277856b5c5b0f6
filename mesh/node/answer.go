package node

import (
	"encoding/json"
	"io"
	"net/http"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/invariant"
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

// notRun refuses a request of which no byte reached a backend server's handler.
func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(HeaderNotRun, headerValue(reason))
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
func noAnswer(w http.ResponseWriter, status int, t *try) {
	refuse(w, status, outcomeUnknown, t.reason)
}

// maxHeaderValue bounds a reason in a header.
const maxHeaderValue = 200

// headerValue makes text fit for a header.
func headerValue(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c < ' ' || c > '~' {
			b[i] = ' '
		}
	}
	return string(b[:min(len(b), maxHeaderValue)])
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
func refuseCall(w http.ResponseWriter, c *call, reason string) {
	invariant.Check(!c.mayHaveRun, invariant.TrueNotRun, "refused as not run after a try of unknown outcome",
		"route", string(c.route.Name), "tried", c.attempts.Tried())
	notRun(w, http.StatusServiceUnavailable, reason)
}
