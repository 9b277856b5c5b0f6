package node

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/serverconn"
)

// lossyServer starts a server that answers only the first request of each connection
// and closes the connection without an answer at the second. It returns the base URL
// and the number of requests that arrived.
func lossyServer(t *testing.T) (*url.URL, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var arrived atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveLossy(c, &arrived)
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}, &arrived
}

func serveLossy(c net.Conn, arrived *atomic.Int64) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		arrived.Add(1)
		if n > 0 {
			return
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	}
}

func writeRequest() backendRequest {
	h := http.Header{}
	h.Set(HeaderIdempotencyKey, "1-abcdefgh")
	return backendRequest{method: http.MethodPost, path: "/restocks", header: h, timeout: time.Second}
}

// Guards against a write that is sent twice: net/http resends a request with an
// Idempotency-Key when the backend server closes the keep-alive connection.
func TestWriteIsNotResentAfterLostConnection(t *testing.T) {
	base, arrived := lossyServer(t)
	b := newBackend(backendConfig{base: base, connections: 1, dialTimeout: time.Second})
	defer b.close()
	resp, err := b.do(context.Background(), writeRequest())
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	_, err = b.do(context.Background(), writeRequest())
	if !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, serverconn.ErrStale) {
		t.Errorf("second write: error %v, want %v on a stale connection", err, ErrOutcomeUnknown)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("%d requests arrived for 2 writes", n)
	}
}

// Guards against an unknown outcome for a request whose connection was refused: it
// certainly did not run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	base := &url.URL{Scheme: "http", Host: l.Addr().String()}
	_ = l.Close()
	b := newBackend(backendConfig{base: base, connections: 1, dialTimeout: time.Second})
	if _, err := b.do(context.Background(), writeRequest()); !errors.Is(err, ErrNotRun) {
		t.Errorf("error %v, want %v", err, ErrNotRun)
	}
}

// A lookup on a keep-alive connection that the backend server has closed must be sent
// again on a new one. Otherwise every idle timeout of the backend server costs a
// failed attempt and shrinks the concurrency limit to one.
func TestLookupSurvivesAClosedConnection(t *testing.T) {
	base, arrived := lossyServer(t)
	b := newBackend(backendConfig{base: base, connections: 1, dialTimeout: time.Second})
	defer b.close()
	for i := range 4 {
		resp, err := b.do(context.Background(), backendRequest{method: http.MethodGet, path: "/cabinets/7",
			header: http.Header{}, timeout: time.Second, mayResend: true})
		if err != nil {
			t.Fatalf("lookup %d: %v", i, err)
		}
		_ = resp.Body.Close()
	}
	if n := arrived.Load(); n <= 4 {
		t.Errorf("%d requests arrived: no connection was closed", n)
	}
}

// A backend server may pass on the headers of a nested call's answer. The caller must
// not conclude from them that its own request did not run.
func TestAnswerDropsOutcomeHeaders(t *testing.T) {
	gate := admission.NewGate(admission.Config{Service: note.Service{Slots: 1, QueueLimit: 1}})
	s := &serving{gate: gate, position: func() model.Position { return model.Position{} }}
	resp := s.answer(&http.Response{
		StatusCode: http.StatusInternalServerError, Body: http.NoBody,
		Header: http.Header{HeaderNotRun: {"nested"}, HeaderOutcome: {"not-run"}, "X-Other": {"kept"}},
	}, func(admission.Outcome) {}, admission.Outcome{})
	if h := http.Header(resp.Header); len(h) != 1 || h.Get("X-Other") != "kept" {
		t.Errorf("headers %v", h)
	}
}
