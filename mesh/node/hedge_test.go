package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// hedgeDelay is the delay after which hedgingEntry hedges.
const hedgeDelay = 100 * time.Millisecond

// hedgingEntry returns an entry that knows the latency of the hedged route and has room for
// hedged attempts, and the log of its requests.
func hedgingEntry(calls callSender, hosts map[model.HostID]string) (*entry, *bytes.Buffer) {
	e := newTestEntryAt(calls, nil, hosts)
	for range 100 {
		e.dispatcher.hedger.CountCall()
		e.dispatcher.hedger.Observe("hedged", hedgeDelay)
	}
	e.dispatcher.recorder.Watch([]rollout.Status{{Move: rollout.Move{ID: rollout.MoveID{Service: "ledger"}, To: "v2"}, From: "v1"}})
	var log bytes.Buffer
	e.log = slog.New(slog.NewJSONHandler(&log, nil))
	return e, &log
}

// hedgedAnswer is what the n-th attempt of a call gets, after a time.
type hedgedAnswer struct {
	after time.Duration
	resp  *callmux.Response
}

func statusAnswer(status int) *callmux.Response {
	resp := answer(http.StatusText(status))
	resp.Status = status
	return resp
}

func declinedAnswer() *callmux.Response {
	resp := refusal(true)
	resp.Refusal.Declined = true
	return resp
}

// Each entry guards against one way in which a hedged call could harm its caller or cost
// more than it may: a fast error that wins, a decline that is paid for, an answer that is
// not taken, more backend servers than retries allow.
func TestHedgedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		attempts []hedgedAnswer
		status   int
		took     time.Duration
		tokens   [2]float64 // that the call costs: of hedged attempts and of retries
		hedged   bool
		calls    uint64 // attempts in the evidence
		refused  uint64
	}{
		"answered in time":          {[]hedgedAnswer{{50, answer("")}}, 200, 50, [2]float64{}, false, 1, 0},
		"hedge wins":                {[]hedgedAnswer{{900, answer("")}, {50, answer("")}}, 200, 150, [2]float64{1, 1}, true, 1, 0},
		"first attempt wins":        {[]hedgedAnswer{{130, answer("")}, {50, answer("")}}, 200, 130, [2]float64{1, 1}, true, 1, 0},
		"hedge answers an error":    {[]hedgedAnswer{{500, answer("")}, {50, statusAnswer(500)}}, 200, 500, [2]float64{1, 1}, true, 2, 0},
		"first answers an error":    {[]hedgedAnswer{{110, statusAnswer(500)}, {50, answer("")}}, 200, 150, [2]float64{1, 1}, true, 2, 0},
		"hedge is declined":         {[]hedgedAnswer{{500, answer("")}, {1, declinedAnswer()}}, 200, 500, [2]float64{}, true, 1, 1},
		"both answer an error":      {[]hedgedAnswer{{300, statusAnswer(500)}, {10, statusAnswer(502)}}, 500, 300, [2]float64{1, 1}, true, 2, 0},
		"retry after a declined":    {[]hedgedAnswer{{300, refusal(true)}, {10, declinedAnswer()}, {10, answer("")}}, 200, 310, [2]float64{0, 1}, true, 1, 2},
		"nothing known of outcomes": {[]hedgedAnswer{{300, refusal(false)}, {10, refusal(false)}}, 502, 300, [2]float64{1, 1}, true, 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int32
				budgets := make(chan int, 3)
				e, log := hedgingEntry(scriptedSender(func(ctx context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
					budgets <- req.RetryBudget
					next := c.attempts[sent.Add(1)-1]
					select {
					case <-time.After(next.after * time.Millisecond):
						return next.resp, nil
					case <-ctx.Done():
						return nil, callmux.ErrOutcomeUnknown
					}
				}), map[model.HostID]string{"h1": "h1", "h2": "h2", "h3": "h3"})
				started := time.Now()
				w := hedgedLookup(e)
				if took := time.Since(started); w.Code != c.status || took != c.took*time.Millisecond {
					t.Errorf("status %d after %s", w.Code, took)
				}
				synctest.Wait()
				if time.Since(started) != c.took*time.Millisecond {
					t.Error("the losing attempt was not cancelled at once")
				}
				if int(sent.Load()) != len(c.attempts) {
					t.Errorf("%d attempts", sent.Load())
				}
				if first := <-budgets; first != 1 || c.hedged && <-budgets != 0 {
					t.Errorf("the first attempt was sent with %d retries, or the hedged one with any", first)
				}
				left := [2]float64{e.dispatcher.hedger.State("hedged").Tokens, e.dispatcher.retries.Tokens()}
				if left != [2]float64{hedging.DefaultBurst - c.tokens[0], routing.RetryBurst - c.tokens[1]} {
					t.Errorf("tokens left: %v", left)
				}
				if hedged := strings.Contains(log.String(), `"hedged":true`); hedged != c.hedged {
					t.Errorf("log: %s", log)
				}
				var calls, refused uint64
				for _, cell := range e.dispatcher.recorder.Flush().Cells {
					calls, refused = calls+cell.Counts.Calls, refused+cell.Counts.Refused
				}
				if calls != c.calls || refused != c.refused {
					t.Errorf("%d answered and %d refused attempts in the evidence", calls, refused)
				}
			})
		})
	}
}

// Guards against a call that waits for the 95th percentile although its backend server has
// become slow, and against a hedged attempt that goes to another slow one.
func TestSlowServerIsHedgedEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var e *entry
		report := func(host string, recent time.Duration) {
			e.dispatcher.picker.Observe(time.Now(), model.HostID(host), routing.Outcome{
				Result: routing.ResultOK, Limit: 20, RecentServiceTime: recent, UsualServiceTime: hedgeDelay,
			})
		}
		var asked []string
		e, _ = hedgingEntry(scriptedSender(func(ctx context.Context, address string, _ *callmux.Request) (*callmux.Response, error) {
			asked = append(asked, address)
			if len(asked) > 1 {
				return answer(""), nil
			}
			for _, host := range []string{"h1", "h2", "h3"} {
				if host == address || host == "h1" && address != "h1" || host == "h2" && address == "h1" {
					report(host, 5*hedgeDelay) // the chosen server and one more become slow
				}
			}
			<-ctx.Done()
			return nil, callmux.ErrOutcomeUnknown
		}), map[model.HostID]string{"h1": "h1", "h2": "h2", "h3": "h3"})
		for range 20 {
			e.dispatcher.hedger.Observe("hedged", 9*hedgeDelay)
		}
		for _, host := range []string{"h1", "h2", "h3"} {
			report(host, hedgeDelay)
		}
		started := time.Now()
		if w := hedgedLookup(e); w.Code != http.StatusOK || time.Since(started) != hedgeDelay {
			t.Errorf("status %d after %s", w.Code, time.Since(started))
		}
		if want := map[string]string{"h1": "h3", "h2": "h3", "h3": "h2"}[asked[0]]; len(asked) != 2 || asked[1] != want {
			t.Errorf("asked %v", asked)
		}
	})
}

func hedgedLookup(e *entry) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/hedged/7", nil))
	return w
}

// routedSender sends the calls to one address to another sender.
type routedSender struct {
	address string
	to      callSender
	others  scriptedSender
}

func (s *routedSender) Do(ctx context.Context, addr string, want peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	if addr == s.address {
		return s.to.Do(ctx, addr, want, req)
	}
	return s.others(ctx, addr, req)
}

// Guards against a losing attempt that goes on at the serving node or at its backend server,
// where it holds a slot, and that counts as refused there.
func TestLosingAttemptIsCancelledAtTheBackendServer(t *testing.T) {
	closed := make(chan struct{}, 1)
	n := startTwoNodes(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r) // ends when the node closes the connection
		closed <- struct{}{}
	})
	sender := &routedSender{address: n.hosts["h1"], to: n.entry.dispatcher.sender, others: func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		return answer(""), nil
	}}
	e, _ := hedgingEntry(sender, map[model.HostID]string{"h1": n.hosts["h1"], "h2": "h2"})
	refused, hedges := telemetry.Counter("serving.refused").Count(), telemetry.Counter(hedging.MetricHedges).Count()
	for telemetry.Counter(hedging.MetricHedges).Count() == hedges { // until the first attempt goes to h1
		if w := hedgedLookup(e); w.Code != http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the backend server still runs the losing attempt")
	}
	for range 100 {
		if running, _ := n.serving.gate.Load(); running == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if running, _ := n.serving.gate.Load(); running != 0 {
		t.Errorf("%d slots are held", running)
	}
	if got := telemetry.Counter("serving.refused").Count() - refused; got != 0 {
		t.Errorf("%d cancelled attempts count as refused", got)
	}
}
