package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/peer"
)

// invalidAnswers are answers of a backend server that are not answers of HTTP, or that break
// off in their head.
var invalidAnswers = map[string]string{
	"name with a space":   "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok",
	"length with a space": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
	"trailer":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Bad: 1\r\n\r\n",
	"status 000":          "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
	"not HTTP":            "ok ok ok ok ok\r\n\r\n",
	"cut head":            "HTTP/1.1 200 OK\r\nContent-Le",
}

// Guards against an invalid answer that reaches the caller, or that is not tried again where
// the route allows it.
func TestInvalidAnswersAreFailedAttempts(t *testing.T) {
	good := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood")
		}
	})
	for name, answer := range invalidAnswers {
		bad := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		})
		resp, err := bad.exchange(t, "GET /virtual/ HTTP/1.1\r\nHost: mesh.example\r\n\r\n") // without retries
		if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get(HeaderOutcome) != outcomeUnknown {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
		attempts := 0
		e := newTestEntry(t, scriptedSender(func(ctx context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
			if attempts++; attempts == 1 {
				return bad.serving.handle(ctx, peer.Identity{}, req)
			}
			return good.serving.handle(ctx, peer.Identity{}, req)
		}), nil)
		if w := lookup(e); w.Code != http.StatusOK || w.Body.String() != "good" || attempts != 2 {
			t.Errorf("%s: status %d, %q after %d attempts", name, w.Code, w.Body, attempts)
		}
	}
}

// Guards against a caller that takes a long answer as complete whose trailers are invalid.
func TestInvalidTrailerCutsTheCallersConnection(t *testing.T) {
	chunk := strings.Repeat("x", maxBufferedAnswerBytes)
	n := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n"+chunk+"\r\n40000\r\n"+chunk+"\r\n0\r\nX-Sum : 1\r\n\r\n")
		}
	})
	resp, err := n.exchange(t, "GET /virtual/ HTTP/1.1\r\nHost: mesh.example\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("complete after %d bytes", n)
	}
}

// Guards against a backend server that is taken out of work because its health answer is
// invalid: only the outcomes of requests decide.
func TestInvalidHealthAnswerShowsAReachableServer(t *testing.T) {
	for answer, want := range map[string]bool{"HTTP/1.1 200 OK\r\nX Bad: 1\r\n\r\n": true, "HTTP/1.1 500 No\r\n\r\n": true, "": false} {
		n := newUnregisteredNode(t, &url.URL{Scheme: "http", Host: acceptConnections(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		})})
		n.cfg.Timeouts.Health, n.cfg.Backend.HealthPath = time.Second, "/healthz"
		if got := n.probe(t.Context()); got != want {
			t.Errorf("%q: reachable %v", answer, got)
		}
	}
}
