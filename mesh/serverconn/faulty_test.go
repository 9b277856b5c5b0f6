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

// faultyServer runs serve for each connection and returns a client of it.
func faultyServer(t testing.TB, serve func(net.Conn, *bufio.Reader)) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	c := New(Config{Address: l.Addr().String(), Connections: 10, DialTimeout: time.Second, EchoHeader: "X-Id"})
	t.Cleanup(c.Close)
	return c
}

// get sends a request with an ID and reads its answer.
func get(ctx context.Context, c *Client, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://server/", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Id", id)
	resp, err := c.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp, err
}

// Guards against a server whose answer has no end: the node must neither keep what it
// sends nor hold the request until its deadline.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	const head, limit = "HTTP/1.1 200 OK\r\n", 4 << 20
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 ", "header line": head + "X: ", "headers": head, "no answer": "",
		"answers to other requests": "", "body of another answer": head + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		more := map[string]string{"headers": "A: b\r\n", "answers to other requests": "HTTP/1.1 100 Continue\r\n\r\n",
			"body of another answer": "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"}[name]
		if more == "" {
			more = "xxxxxxxxxxxxxxxx"
		}
		var sent atomic.Int64
		c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, start)
			block := strings.Repeat(more, 1+(16<<10)/len(more))
			for {
				n, err := io.WriteString(c, block)
				if sent.Add(int64(n)); err != nil {
					return
				}
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := get(ctx, c, "a")
		if !errors.Is(err, ErrLost) || ctx.Err() != nil || sent.Load() > limit+16<<20 {
			t.Errorf("%s: %v, context %v, %d bytes sent", name, err, ctx.Err(), sent.Load())
		}
		cancel()
	}
}

// Guards against a refusal of an earlier request that a server writes once more and that is
// taken for the answer to a later one, which has run.
func TestRepeatedRefusalIsNoAnswer(t *testing.T) {
	for name, id := range map[string]string{"with the earlier ID": "X-Id: refused\r\n", "without an ID": ""} {
		var ran atomic.Int64
		c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: full\r\nContent-Length: 0\r\n"
				if req.Header.Get("X-Id") == "refused" {
					_, _ = io.WriteString(c, refusal+"X-Id: refused\r\n\r\n")
					continue
				}
				ran.Add(1)
				_, _ = io.WriteString(c, refusal+id+"\r\n"+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\n")
			}
		})
		if resp, err := get(t.Context(), c, "refused"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%s: %v", name, err)
		}
		resp, err := get(t.Context(), c, "b")
		if err == nil && resp.StatusCode != http.StatusOK || err != nil && !errors.Is(err, ErrLost) || ran.Load() != 1 {
			t.Errorf("%s: %v, %v after %d runs", name, resp, err, ran.Load())
		}
	}
}

// Guards against a refusal that is taken for the answer to a second attempt with the same
// ID, which has run.
func TestRepeatedRefusalOfTheSameID(t *testing.T) {
	var ran atomic.Int64
	c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			id := "X-Id: " + req.Header.Get("X-Id") + "\r\n\r\n"
			refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: full\r\nContent-Length: 0\r\n" + id
			if n == 0 && ran.Load() == 0 {
				_, _ = io.WriteString(c, refusal)
				ran.Store(-1)
				continue
			}
			ran.Store(1)
			if n > 0 {
				_, _ = io.WriteString(c, refusal)
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+id)
		}
	})
	if resp, err := get(t.Context(), c, "a"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Fatal(err)
	}
	resp, err := get(t.Context(), c, "a")
	if err == nil && resp.StatusCode != http.StatusOK || err != nil && !errors.Is(err, ErrLost) || ran.Load() != 1 {
		t.Errorf("%v, %v after %d runs", resp, err, ran.Load())
	}
}

// Guards against an answer that breaks off in its head or body, or is reset, and is taken
// for a complete one. A body that only the end of the connection delimits is complete when
// the connection is closed in order; see TestAnswersThatEndWithTheirConnection of mesh/node.
func TestAnswerCutAtAnyByteIsNotComplete(t *testing.T) {
	const body = "hello"
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nContent-Length: 5\r\n\r\n" + body,
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + body + "\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			var cut atomic.Int64
			c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer[:cut.Load()])
				if tcp, ok := c.(*net.TCPConn); ok && reset {
					_ = tcp.SetLinger(0)
				}
			})
			for n := range len(answer) {
				cut.Store(int64(n))
				req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", nil)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("X-Id", "a")
				resp, err := c.RoundTrip(req)
				if err != nil {
					continue
				}
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
				if err == nil {
					t.Errorf("%s, reset %v: complete after %d of %d bytes", name, reset, n, len(answer))
				}
			}
		}
	}
}

// Guards against a status that net/http reads and cannot send, which would end the caller's
// connection without an answer.
func TestImpossibleStatusIsNoAnswer(t *testing.T) {
	c := faultyServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 099 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n")
		}
	})
	if resp, err := get(t.Context(), c, "a"); !errors.Is(err, ErrLost) {
		t.Errorf("%v, %v", resp, err)
	}
}
