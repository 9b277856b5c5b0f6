package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

const testLeave = 500 * time.Millisecond

// stoppingNode returns a node with the parts that a planned stop uses, and one running
// request.
func stoppingNode(t *testing.T, drain time.Duration) (*Node, func(admission.Outcome)) {
	t.Helper()
	n := &Node{
		log:       slog.New(slog.DiscardHandler),
		publisher: membership.NewPublisher(membership.Announcement{Host: "n1"}, time.Now()),
		children:  distribute.NewAdmission(distribute.NodeAdmission()),
		gate:      admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 2}}),
		entry:     &entry{},
	}
	n.cfg.Timeouts.Drain, n.cfg.Timeouts.Leave = drain, testLeave
	release, err := n.gate.Acquire(context.Background(), admission.Request{Kind: model.KindLookup})
	if err != nil {
		t.Fatal(err)
	}
	return n, release
}

func stopNode(n *Node) {
	callsDone := make(chan struct{})
	n.stop(nil, func() { close(callsDone) }, callsDone)
}

// Guards against interrupted requests that go unnoticed: the assertion must fire if a
// request is still running after the drain timeout.
func TestStopThatCutsARequestIsAViolation(t *testing.T) {
	invariant.SetFatal(false)
	defer invariant.SetFatal(true)
	before := invariant.Violations()
	n, release := stoppingNode(t, 100*time.Millisecond)
	defer release(admission.Outcome{Result: admission.ResultOK})
	stopNode(n)
	if got := invariant.Violations() - before; got != 1 {
		t.Errorf("%d violations", got)
	}
}

// A stop must wait for running requests, and must announce that the node leaves before
// new requests are refused.
func TestStopWaitsForRunningRequests(t *testing.T) {
	before := invariant.Violations()
	n, release := stoppingNode(t, 10*time.Second)
	time.AfterFunc(testLeave+200*time.Millisecond, func() { release(admission.Outcome{Result: admission.ResultOK}) })
	began := time.Now()
	stopNode(n)
	if took := time.Since(began); took < testLeave+200*time.Millisecond {
		t.Errorf("stopped after %s with a request running", took)
	}
	if n.publisher.Current().State != membership.StateLeft || invariant.Violations() != before {
		t.Errorf("state %s, %d violations", n.publisher.Current().State, invariant.Violations()-before)
	}
}

// Guards against requests that are taken late in a planned stop, passed on and cut at its
// end: a caller may send one on a connection that it made just before the listener closed.
func TestRequestLateInAStopIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/cabinets/1", "/restocks/1"} {
		passedOn := 0
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			passedOn++
			return nil, callmux.ErrOutcomeUnknown
		}), &recordingClaims{})
		n, release := stoppingNode(t, 10*time.Second)
		n.entry = e
		time.AfterFunc(testLeave+50*time.Millisecond, func() {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPost, path, nil)
			r.Header.Set(HeaderIdempotencyKey, "key")
			e.ServeHTTP(w, r)
			if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderNotRun) == "" || passedOn != 0 {
				t.Errorf("%s: status %d, header %v, passed on %d times", path, w.Code, w.Header(), passedOn)
			}
			release(admission.Outcome{Result: admission.ResultOK})
		})
		stopNode(n)
	}
}

// Guards against a backend server that is idle while its node waits for callers to
// reconnect elsewhere. A rolling restart would then take too many backend servers out
// of service at a time.
func TestBackendServerServesUntilShortlyBeforeTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, release := stoppingNode(t, 10*time.Second)
		release(admission.Outcome{Result: admission.ResultOK})
		n.cfg.Timeouts.Leave = 3 * time.Second
		began := time.Now()
		states := func() (membership.State, int) { return n.publisher.Current().State, n.gate.Limit() }
		var left, closed time.Duration
		observed := make(chan struct{})
		go func() {
			defer close(observed)
			for closed == 0 {
				time.Sleep(10 * time.Millisecond)
				state, limit := states()
				if left == 0 && state == membership.StateLeft {
					left = time.Since(began)
				}
				if limit == 0 {
					closed = time.Since(began)
				}
			}
		}()
		stopNode(n)
		<-observed
		if left < 1400*time.Millisecond || left > 1600*time.Millisecond {
			t.Errorf("node announced that it leaves after %s, want about 1.5s", left)
		}
		if closed < 2900*time.Millisecond {
			t.Errorf("gate closed after %s, want at least 2.9s", closed)
		}
	})
}
