package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// connHandler serves one accepted connection; number counts the connections from 1.
type connHandler func(number int, conn net.Conn, r *bufio.Reader)

func serve(t *testing.T, s connHandler) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				s(int(accepted.Add(1)), conn, bufio.NewReader(conn))
			}()
		}
	}()
	c := New(Config{Address: l.Addr().String(), Connections: 4, DialTimeout: time.Second, EchoHeader: "X-Id"})
	t.Cleanup(c.Close)
	return c
}

// answer reads a request and sends an answer with the given extra headers.
func answer(conn net.Conn, r *bufio.Reader, extra string) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("X-Id")
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n"+extra+"\r\nok")
	return true
}

func send(ctx context.Context, c *Client, method, id string, body io.Reader) (string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://server/", body)
	if err != nil {
		return "", err
	}
	req.Header.Set("X-Id", id)
	resp, err := c.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a new connection for every request, and against a request that must
// not be sent twice on a connection that has been idle for long.
func TestIdleConnectionsAreReused(t *testing.T) {
	var conns atomic.Int64
	c := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
		conns.Store(int64(n))
		for answer(conn, r, "") {
		}
	})
	for range 3 {
		if got, err := send(t.Context(), c, http.MethodPost, "a", strings.NewReader("x")); got != "ok" || err != nil {
			t.Fatal(got, err)
		}
	}
	if conns.Load() != 1 {
		t.Errorf("%d connections", conns.Load())
	}
	c.idle[0].idleSince = c.idle[0].idleSince.Add(-maxIdleForSingleSend - 50*time.Millisecond)
	if _, err := send(t.Context(), c, http.MethodPost, "b", strings.NewReader("x")); err != nil || conns.Load() != 2 {
		t.Errorf("%v, %d connections", err, conns.Load())
	}
	if _, err := send(AllowResend(t.Context()), c, http.MethodGet, "c", nil); err != nil || conns.Load() != 2 {
		t.Errorf("%v, %d connections", err, conns.Load())
	}
}

// Guards against an answer to another request that is returned to the caller, or that
// makes the request lose its own answer.
func TestForeignAnswers(t *testing.T) {
	c := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 3\r\n\r\nbad")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for range 2 {
		if got, err := send(t.Context(), c, http.MethodGet, "a", nil); got != "ok" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

// awaitUnusable waits until the only idle connection has got its end or unexpected bytes.
func awaitUnusable(t *testing.T, c *Client) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); len(c.idle) > 0 && c.idle[0].isReusable(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the idle connection stays usable")
		}
	}
}

// Guards against the reuse of a connection on which unexpected bytes follow an answer.
func TestUnexpectedBytesCloseTheConnection(t *testing.T) {
	var conns atomic.Int64
	c := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
		conns.Store(int64(n))
		for answer(conn, r, "") {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		}
	})
	for range 3 {
		if got, err := send(t.Context(), c, http.MethodGet, "a", nil); got != "ok" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
		awaitUnusable(t, c)
	}
	if conns.Load() != 3 {
		t.Errorf("%d connections", conns.Load())
	}
}

// Guards against failed requests because the server closed an idle connection, or
// closed it after it had read a request. Both requests may be sent again.
func TestResendAfterAClosedConnection(t *testing.T) {
	c := serve(t, func(n int, conn net.Conn, r *bufio.Reader) {
		answer(conn, r, "")
		if n == 2 {
			_, _ = http.ReadRequest(r)
		}
	})
	for i := range 4 {
		if got, err := send(AllowResend(t.Context()), c, http.MethodGet, "a", nil); got != "ok" || err != nil {
			t.Errorf("request %d: %q, %v", i, got, err)
		}
		if i != 1 { // the second connection is closed at the third request
			awaitUnusable(t, c)
		}
	}
}

// A request that may have been received must not be reported as not sent, and must not
// be sent again.
func TestLostRequestsAreNotSentAgain(t *testing.T) {
	var seen atomic.Int64
	c := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			seen.Add(1)
		}
	})
	if _, err := send(t.Context(), c, http.MethodPost, "a", strings.NewReader("x")); !errors.Is(err, ErrLost) {
		t.Errorf("request without an answer: %v", err)
	}
	if seen.Load() != 1 {
		t.Errorf("sent %d times", seen.Load())
	}
	stalledServer := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = io.Copy(io.Discard, r) // ends when the client closes the connection
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	if _, err := send(ctx, stalledServer, http.MethodPost, "a", nil); !errors.Is(err, ErrLost) || time.Since(began) > 500*time.Millisecond {
		t.Errorf("server that does not answer: %v after %s", err, time.Since(began))
	}
	unreachableServer := New(Config{Address: "127.0.0.1:1", Connections: 1, DialTimeout: time.Second})
	if _, err := send(t.Context(), unreachableServer, http.MethodPost, "a", nil); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrUnreachable) {
		t.Errorf("server that does not listen: %v", err)
	}
}

// Guards against a blocked or lost answer when the server answers a long request
// before it has read it completely.
func TestEarlyAnswerToALongRequest(t *testing.T) {
	c := serve(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 429 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno")
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, req.Body)
		}
	})
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		got, err := send(ctx, c, http.MethodPost, "a", strings.NewReader(strings.Repeat("x", 8<<20)))
		cancel()
		if got != "no" || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
}

func TestIdleTimeoutOfKeepAliveHeader(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 4 * time.Second, "timeout=2": 1500 * time.Millisecond, "max=5, timeout=10": 4 * time.Second,
		"timeout=0": 0, "timeout=x": 4 * time.Second,
	} {
		if got := idleTimeout(header, 4*time.Second); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
}
