package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/registration"
	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// An unkeyed write or an upload must not be sent again once it may have run, but must be
// retried on another backend server while it is known not to have run.
func TestUnkeyedWriteIsSentOnceOnly(t *testing.T) {
	t.Run("write", func(t *testing.T) { testSentOnceOnly(t, model.KindWrite, true) })
	t.Run("upload", func(t *testing.T) { testSentOnceOnly(t, model.KindUpload, false) })
}

func testSentOnceOnly(t *testing.T, kind model.Kind, unkeyed bool) {
	for name, c := range map[string]struct {
		first    *callmux.Response
		status   int
		attempts int
	}{
		"unknown outcome":       {&callmux.Response{Refusal: &callmux.Refusal{Reason: "lost"}, Body: http.NoBody}, http.StatusBadGateway, 1},
		"declined by a node":    {&callmux.Response{Refusal: &callmux.Refusal{Reason: "busy", NotRun: true, Declined: true}, Limit: 1, Body: http.NoBody}, http.StatusOK, 2},
		"an error is an answer": {&callmux.Response{Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("x"))}, http.StatusInternalServerError, 1},
	} {
		attempts := 0
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			if attempts++; attempts == 1 {
				return c.first, nil
			}
			return answer("ok"), nil
		}), nil)
		table := e.table()
		route, err := table.Match(http.MethodPost, "/restocks")
		if err != nil {
			t.Fatal(err)
		}
		route.Kind, route.Unkeyed = kind, unkeyed
		w := httptest.NewRecorder()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		call := newCall(httptest.NewRequest(http.MethodPost, "/restocks", nil), route, &callerBody{kept: []byte("crate"), err: io.EOF})
		call.service = route.Service
		e.serve(ctx, w, call)
		cancel()
		if w.Code != c.status || attempts != c.attempts {
			t.Errorf("%s: status %d after %d attempts, want %d after %d", name, w.Code, attempts, c.status, c.attempts)
		}
	}
}

// Guards against error answers that are retried on a route that does not allow it, or
// not retried on one that does.
func TestErrorsAreTriedAgainIfTheRouteAllowsIt(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		attempts := 0
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			if attempts++; attempts == 1 {
				return &callmux.Response{Status: http.StatusInternalServerError, Body: io.NopCloser(strings.NewReader("x"))}, nil
			}
			return answer("ok"), nil
		}), nil)
		route, err := e.table().Match(http.MethodGet, "/cabinets/7")
		if err != nil {
			t.Fatal(err)
		}
		route.RetryErrors = allowed
		w := httptest.NewRecorder()
		call := newCall(httptest.NewRequest(http.MethodGet, "/cabinets/7", nil), route, nil)
		call.service = route.Service
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		e.serve(ctx, w, call)
		cancel()
		if ok := w.Code == http.StatusOK; ok != allowed {
			t.Errorf("allowed %v: status %d", allowed, w.Code)
		}
	}
}

// rawServer starts a server that answers each request with the given bytes and closes
// the connection. It returns a backend for that server.
func rawServer(t *testing.T, raw string) *backend {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = buf.WriteString(raw)
		_ = buf.Flush()
		_ = conn.Close()
	}))
	t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	return newBackend(backendConfig{base: base, connections: 2, dialTimeout: time.Second})
}

// Guards against truncated answers, and answers to another request, that reach the
// caller as complete. An answer without a length is complete when the connection is
// closed.
func TestIncompleteAndForeignAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		raw  string
		body string
		want string
	}{
		"whole":           {raw: "HTTP/1.1 200 OK\r\nBalsamtrail-Request-Id: r1\r\nContent-Length: 5\r\n\r\nhello", body: "hello"},
		"truncated":       {raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", want: reasonTruncated},
		"without length":  {raw: "HTTP/1.1 200 OK\r\n\r\nhello", body: "hello"},
		"another request": {raw: "HTTP/1.1 200 OK\r\nBalsamtrail-Request-Id: r2\r\nContent-Length: 5\r\n\r\nhello", want: reasonNoAnswer},
		"has not run":     {raw: "HTTP/1.1 429 No\r\nBalsamtrail-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", want: reasonShed},
	} {
		s := &serving{
			memory: newBodyMemory(16 << 20),
			log:    slog.New(slog.DiscardHandler), logSampler: telemetry.NewRequestSampler(), service: "ledger", backend: rawServer(t, c.raw),
			version:  func() model.ServiceVersion { return "v1" },
			gate:     admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 2}}),
			position: func() model.Position { return model.Position{} }, onNewerPosition: func(peer.Identity, model.Position) {},
		}
		resp, err := s.handle(t.Context(), peer.Identity{}, &callmux.Request{
			Service: "ledger", Version: "v1", Method: http.MethodGet, Path: "/", Kind: model.KindLookup,
			Header: http.Header{HeaderRequestID: {"r1"}},
		})
		switch {
		case err != nil:
			t.Errorf("%s: %v", name, err)
		case c.want != "" && (resp.Refusal == nil || !strings.HasPrefix(resp.Refusal.Reason, c.want)):
			t.Errorf("%s: %+v", name, resp.Refusal)
		case c.want == "":
			var b bytes.Buffer
			if resp.Refusal != nil {
				t.Errorf("%s: refused: %s", name, resp.Refusal.Reason)
			} else if _, err := b.ReadFrom(resp.Body); err != nil || b.String() != c.body {
				t.Errorf("%s: %q, %v", name, b.String(), err)
			}
		}
	}
}

// A registration, drain or deregistration must be in force when its call returns:
// after draining has been reported, no request may be admitted.
func TestRegistrar(t *testing.T) {
	n := &Node{
		cfg: settings.Node{}, log: slog.New(slog.DiscardHandler), publisher: newTestPublisher(time.Unix(1, 0)),
		gate:    admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 1}}),
		backend: newBackend(backendConfig{base: &url.URL{}, connections: 1}),
	}
	n.cfg.Backend.Service, n.cfg.DataCentre = "ledger", "thun"
	n.gate.SetAvailable(false)
	announceTo(t, n, newLeaseServer())
	r := newRegistrar(n, "10.0.0.1:80")
	heartbeat := registration.Heartbeat{
		Instance: "a", Started: 1, Sequence: 1, Service: "ledger", DataCentre: "thun", Address: "10.0.0.1:80",
		Version: "v1", Slots: 3, State: registration.StateReady,
	}
	admitted := func() bool {
		release, err := n.gate.Acquire(t.Context(), admission.Request{Kind: model.KindLookup})
		if err == nil {
			release(admission.Outcome{Result: admission.ResultOK})
		}
		return err == nil
	}
	step := func(what string, want bool, do func() error) {
		t.Helper()
		if err := do(); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if got := admitted(); got != want {
			t.Errorf("%s: admitted %v", what, got)
		}
		if serving := n.publisher.Current().State == membership.StateServing; serving != want {
			t.Errorf("%s: announced as %s", what, n.publisher.Current().State)
		}
	}
	step("registered", true, func() error { return r.Heartbeat(t.Context(), heartbeat) })
	if a := n.publisher.Current(); a.Version != "v1" || a.Slots != 3 || n.backend.current.Load().instance != "a" {
		t.Errorf("announced %+v", a)
	}
	step("lost", false, func() error { r.markUnreachable("connection refused"); return nil })
	heartbeat.Sequence = 2
	step("regained", true, func() error { return r.Heartbeat(t.Context(), heartbeat) })
	heartbeat.Sequence, heartbeat.State = 3, registration.StateDraining
	step("draining", false, func() error { return r.Heartbeat(t.Context(), heartbeat) })
	first := n.publisher.Current().Incarnation
	heartbeat = registration.Heartbeat{
		Instance: "b", Started: 2, Sequence: 1, Service: "ledger", DataCentre: "thun", Address: "10.0.0.1:80",
		Version: "v2", Slots: 3, State: registration.StateReady,
	}
	step("another lifetime", true, func() error { return r.Heartbeat(t.Context(), heartbeat) })
	if n.publisher.Current().Incarnation <= first {
		t.Error("the next lifetime has no greater incarnation")
	}
	step("left", false, func() error { return r.Deregister(t.Context(), "b", 0) })
}

// Guards against chunked bodies that keep their maximum size reserved while the
// request runs: a few such requests would then block all others.
func TestChunkedBodiesReserveOnlyTheirSize(t *testing.T) {
	const together = 40
	var running atomic.Int64
	all := make(chan struct{})
	e := newTestEntry(t, scriptedSender(func(ctx context.Context, _ string, _ *callmux.Request) (*callmux.Response, error) {
		if running.Add(1) == together {
			close(all)
		}
		select {
		case <-all:
		case <-ctx.Done():
		}
		return answer("ok"), nil
	}), nil)
	var wg sync.WaitGroup
	for range together {
		wg.Go(func() {
			r := httptest.NewRequest(http.MethodGet, "/cabinets/7", io.MultiReader(strings.NewReader("x")))
			r.ContentLength = -1
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				t.Errorf("status %d: %s", w.Code, w.Body)
			}
		})
	}
	wg.Wait()
}
