package node

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/registration"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// startServing returns a node whose backend server, the given handler, has registered
// as instance "a" with 16 slots.
func startServing(t *testing.T, handler http.HandlerFunc) *Node {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	base, err := url.Parse(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	return startServingAt(t, base)
}

func startServingAt(t *testing.T, base *url.URL) *Node {
	t.Helper()
	n := newUnregisteredNode(t, base)
	err := n.registration.Heartbeat(t.Context(), registration.Heartbeat{Instance: "a", Started: 1, Sequence: 1, Service: "ledger", DataCentre: "thun",
		Address: base.Host, Version: "v1", Slots: 16, State: registration.StateReady})
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// newUnregisteredNode returns a node that has just started beside the backend server at
// base.
func newUnregisteredNode(t *testing.T, base *url.URL) *Node {
	n := &Node{
		log:       slog.New(slog.DiscardHandler),
		publisher: newTestPublisher(time.Now()),
		acceptor:  distribute.NewAcceptor("n1", distribute.NewStore(), membership.NewTable(), slog.New(slog.DiscardHandler)),
		gate:      admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 16, QueueLimit: 12, QueueTimeout: 300 * time.Millisecond}}),
		backend:   newBackend(backendConfig{base: base, connections: 100, dialTimeout: time.Second}),
	}
	t.Cleanup(n.backend.close)
	n.cfg.Backend.Service, n.cfg.DataCentre = "ledger", "thun"
	n.registration = newRegistrar(n, base.Host)
	n.bodyMemory = newBodyMemory(16 << 20)
	n.serving = n.newServing(telemetry.NewRequestSampler())
	return n
}

// call sends one lookup from another node, which knows of the given notice.
func (n *Node) call(t *testing.T, known *callmux.ServerNotice) *callmux.Response {
	resp, err := n.serving.handle(t.Context(), peer.Identity{Role: peer.RoleNode, Host: "n2"}, &callmux.Request{
		Service: "ledger", Version: "v1", Method: http.MethodGet, Path: "/status", Kind: model.KindLookup, Header: http.Header{}, Notice: known,
	})
	if err != nil {
		t.Error(err)
		return &callmux.Response{Body: http.NoBody}
	}
	if resp.Body != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return resp
}

// Guards against a backend server that gets more than one and a half times the requests
// that it has named as its limit.
func TestStatedRateLimitIsKept(t *testing.T) {
	const limit, seconds = 20, 2
	var arrived atomic.Int64
	n := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Balsamtrail-Rate-Limit", "20.0")
	})
	n.call(t, nil)
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			for deadline := time.Now().Add(seconds * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
				n.call(t, nil)
			}
		})
	}
	wg.Wait()
	if got := arrived.Load(); got > limit*seconds*3/2 || got < limit*seconds/2 {
		t.Errorf("%d requests in %d s with a limit of %d a second", got, seconds, limit)
	}
}

// Guards against a limit that stays in force after the backend server has stopped
// naming it.
func TestRateLimitEndsWithItsNotice(t *testing.T) {
	var named atomic.Bool
	named.Store(true)
	n := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
		if named.Load() {
			w.Header().Set("Balsamtrail-Rate-Limit", "4")
		}
	})
	n.call(t, nil)
	named.Store(false)
	began, answered := time.Now(), 0
	for answered < 200 && time.Since(began) < 10*time.Second {
		if n.call(t, nil).Status == http.StatusOK {
			answered++
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("%d requests took %s", answered, took)
	}
}

// Guards against a late answer of a former lifetime that limits its successor.
func TestLateAnswerDoesNotLimitTheNextLifetime(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	n := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		<-answer
		w.Header().Set("Balsamtrail-Rate-Limit", "1")
	})
	done := make(chan struct{})
	go func() { defer close(done); n.call(t, nil) }()
	<-received
	err := n.registration.Heartbeat(t.Context(), registration.Heartbeat{Instance: "b", Started: 2, Sequence: 1, Service: "ledger", DataCentre: "thun",
		Address: n.backend.base.Host, Version: "v1", Slots: 16, State: registration.StateReady})
	close(answer)
	<-done
	if got := n.serving.notice.get(); err != nil || got != nil {
		t.Errorf("%v, notice %+v", err, got)
	}
}

// Guards against new requests to a backend server that has said in an answer that it
// leaves.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	var arrived atomic.Int64
	n := startServing(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived.Add(1)
		w.Header().Set("Balsamtrail-Leaving", "1")
	})
	if resp := n.call(t, nil); resp.Status != http.StatusOK || resp.Header["Balsamtrail-Leaving"] != nil {
		t.Errorf("status %d, header %v", resp.Status, resp.Header)
	}
	for range 3 {
		n.call(t, nil)
	}
	if got := arrived.Load(); got != 1 || n.publisher.Current().State != membership.StateDraining {
		t.Errorf("%d requests, announced as %s", got, n.publisher.Current().State)
	}
}

// Guards against a restarted node that sends requests to a server of which other nodes
// know that it leaves.
func TestRestartedNodeLearnsOfALeavingServerFromCallers(t *testing.T) {
	var arrived atomic.Int64
	n := startServing(t, func(http.ResponseWriter, *http.Request) { arrived.Add(1) })
	for range 3 {
		n.call(t, &callmux.ServerNotice{Instance: "a", Started: 1, Leaving: true})
	}
	if got := arrived.Load(); got != 0 || n.publisher.Current().State != membership.StateDraining {
		t.Errorf("%d requests, announced as %s", got, n.publisher.Current().State)
	}
}

// Guards against a notice about a former instance that stops requests to its successor.
func TestNoticeOfAFormerInstanceIsIgnored(t *testing.T) {
	n := startServing(t, func(http.ResponseWriter, *http.Request) {})
	for _, former := range []callmux.ServerNotice{
		{Instance: "former", Started: 1, Leaving: true, RateLimit: 1},
		{Instance: "a", Started: 0, Leaving: true, RateLimit: 1}, // the same ID, as after a restart
	} {
		if resp := n.call(t, &former); resp.Status != http.StatusOK || resp.Notice != nil {
			t.Errorf("%+v: status %d, notice %v", former, resp.Status, resp.Notice)
		}
	}
}

// Guards against a restarted node that sends more requests than a limit allows that other
// nodes know of, and against a node that lets them override what it knows itself.
func TestRestartedNodeLearnsARateLimitFromCallers(t *testing.T) {
	var arrived atomic.Int64
	first, counted := make(chan struct{}), make(chan struct{})
	n := startServing(t, func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 1 {
			close(first)
		}
		<-counted // the first answer ends the limit
	})
	known := &callmux.ServerNotice{Instance: "a", Started: 1, RateLimit: 2}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() { n.call(t, known) })
	}
	<-first
	time.Sleep(50 * time.Millisecond) // in which the others would arrive
	if got := arrived.Load(); got != 1 {
		t.Errorf("%d requests at once with a limit of 2 a second", got)
	}
	close(counted)
	wg.Wait()
	for range 5 { // the server no longer states a limit
		n.call(t, known)
	}
	if resp := n.call(t, known); resp.Notice != nil {
		t.Errorf("notice %v after answers without one", resp.Notice)
	}
}

// Guards against an entry node that forgets what an answer told it about a server, and
// one that keeps it after an answer without a notice.
func TestEntryPassesOnWhatItKnowsOfAServer(t *testing.T) {
	var sent []*callmux.ServerNotice
	told := &callmux.ServerNotice{Instance: "a", Started: 1, RateLimit: 5}
	replies := []*callmux.Response{
		{Status: http.StatusOK, Notice: told, Body: http.NoBody},
		{Refusal: &callmux.Refusal{Reason: "test", NotRun: true, Declined: true}, Limit: 1, Body: http.NoBody},
		{Status: http.StatusOK, Body: http.NoBody},
		{Status: http.StatusOK, Body: http.NoBody},
	}
	e := newTestEntry(t, nil, nil)
	e.dispatcher.sender = scriptedSender(func(_ context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
		sent = append(sent, req.Notice)
		return replies[len(sent)-1], nil
	})
	server := routing.Choice{Announcement: membership.Announcement{Host: "h1", Service: "ledger", Version: "v1", CallAddress: "h1"}}
	route, err := e.table().Match(http.MethodGet, "/cabinets/7")
	if err != nil {
		t.Fatal(err)
	}
	for range replies {
		c := newCall(httptest.NewRequest(http.MethodGet, "/cabinets/7", nil), route, nil)
		e.dispatcher.send(t.Context(), c, server).close()
	}
	if want := []*callmux.ServerNotice{nil, told, told, nil}; !slices.Equal(sent, want) {
		t.Errorf("sent %v, want %v", sent, want)
	}
}
