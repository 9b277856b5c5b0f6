package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
)

// Guards against a caller that does not take its answer and holds the request beyond its
// deadline.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
	n := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
			_, _ = c.Write(make([]byte, 100_000_000))
		}
	})
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "GET /cabinets/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		if inFlight, _ := n.serving.gate.Load(); time.Since(began) > 500*time.Millisecond && inFlight == 0 && n.entry.callLimiter.TryAcquire(1000) {
			break
		}
		if time.Since(began) > 4*time.Second {
			t.Fatal("the request is still held 3 s after its deadline")
		}
	}
}

// Guards against a long answer that has no length and is refused, and against one that
// breaks off and reaches the caller as complete.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	for _, size := range []int{100, maxBufferedAnswerBytes, maxBufferedAnswerBytes + 1, 8 << 20} {
		for _, reset := range []bool{false, true} {
			sent := pattern(size)
			n := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n")
				_, _ = c.Write(sent)
				if tcp, ok := c.(*net.TCPConn); ok && reset {
					time.Sleep(200 * time.Millisecond) // a reset discards what has not been read
					_ = tcp.SetLinger(0)
				}
			})
			for _, protocol := range []string{"1.1", "1.0"} {
				resp, err := n.exchange(t, "POST /virtual/ HTTP/"+protocol+"\r\nHost: mesh.example\r\nContent-Length: 0\r\n\r\n")
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				complete := err == nil && resp.StatusCode == http.StatusOK
				if complete == reset || complete && !bytes.Equal(got, sent) {
					t.Errorf("%d bytes, HTTP/%s, reset %v: status %d, %d bytes, %v, %.200q", size, protocol, reset, resp.StatusCode, len(got), err, got[:min(len(got), 200)])
				}
			}
		}
	}
}

// endingBody is a body whose request ends while its last byte is read.
type endingBody struct{ end context.CancelFunc }

// Read implements io.Reader.
func (b endingBody) Read(p []byte) (int, error) {
	b.end()
	p[0] = 'x'
	return 1, io.EOF
}

// Close implements io.Closer.
func (endingBody) Close() error { return nil }

// Guards against an answer that is ready at the deadline of its request and is lost, or that
// makes the next answer on the connection fail.
func TestAnswerAtTheDeadlineKeepsItsConnection(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		sendAnswer(ctx, w, &callmux.Response{Status: http.StatusOK, Body: endingBody{cancel}}, nil)
	}))
	defer srv.Close()
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := range 1000 {
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "x" {
			t.Fatalf("request %d: %q, %v", n, body, err)
		}
		_ = resp.Body.Close()
	}
}
