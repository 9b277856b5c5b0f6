package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// pattern returns n bytes of which each block differs from the others.
func pattern(n int) []byte {
	b := make([]byte, 0, n+16)
	for i := 0; len(b) < n; i++ {
		b = strconv.AppendInt(b, int64(i), 10)
	}
	return b[:n]
}

// echoBodies is a backend server that answers each request with its body.
func echoBodies(c net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		resp := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, Body: req.Body, ContentLength: req.ContentLength,
			TransferEncoding: req.TransferEncoding, Header: http.Header{"X-Length": {strconv.FormatInt(req.ContentLength, 10)}}}
		if resp.Write(c) != nil {
			return
		}
	}
}

// countBodies is a backend server that answers each request once it has read its body.
func countBodies(c net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Length: "+strconv.FormatInt(n, 10)+"\r\n\r\n")
	}
}

func (n *twoNodes) setLimits(l note.CallerLimits) {
	table := testTable(n.hosts, l)
	n.entry.table = func() *routing.Table { return table }
}

// Guards against a limit on bodies that is not the one of the configuration in force, and
// against bodies that are changed on their way.
func TestBodiesOfEveryAllowedSizeArriveWhole(t *testing.T) {
	n := startTwoNodes(t, echoBodies)
	n.setLimits(note.CallerLimits{BodyBytes: 64 << 20})
	for _, size := range []int{1, maxKeptBodyBytes - 1, maxKeptBodyBytes, maxKeptBodyBytes + 1, 5 << 20, 64 << 20} {
		for _, chunked := range []bool{false, true} {
			sent := pattern(size)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+n.address+"/virtual/", bytes.NewReader(sent))
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "mesh.example"
			if chunked {
				req.ContentLength = -1
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatalf("%d bytes, chunked %v: %v", size, chunked, err)
			}
			got, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(got, sent) {
				t.Errorf("%d bytes, chunked %v: status %d, %d bytes back, %v", size, chunked, resp.StatusCode, len(got), err)
			}
			if length := resp.Header.Get("X-Length"); !chunked && length != strconv.Itoa(size) {
				t.Errorf("%d bytes arrived with the length %s", size, length)
			}
		}
	}
}

// Guards against a body that is too large and is read, or passed on, all the same; against
// a refusal that comes only at the end of the body; and against limits that do not change
// with the configuration.
func TestBodiesAboveTheLimitAreRefused(t *testing.T) {
	n := startTwoNodes(t, countBodies)
	for _, limit := range []int64{1000, maxKeptBodyBytes * 2} {
		n.setLimits(note.CallerLimits{BodyBytes: limit})
		head := "POST /virtual/ HTTP/1.1\r\nHost: mesh.example\r\n"
		// Nothing of the body is sent.
		resp, err := n.exchange(t, head+"Content-Length: "+strconv.FormatInt(limit+1, 10)+"\r\n\r\n")
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge || resp.Header.Get(HeaderNotRun) == "" {
			t.Fatalf("limit %d, stated length: %+v, %v", limit, resp, err)
		}
		// The chunk that passes the limit is not the last one.
		chunk := strings.Repeat("x", int(limit)+1)
		resp, err = n.exchange(t, head+"Transfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(limit+1, 16)+"\r\n"+chunk+"\r\n")
		if err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
			t.Fatalf("limit %d, in chunks: %+v, %v", limit, resp, err)
		}
		if outcome := resp.Header.Get(HeaderOutcome); outcome != outcomeNotRun && limit <= maxKeptBodyBytes || outcome == outcomeNotRun && limit > maxKeptBodyBytes {
			t.Errorf("limit %d, in chunks: outcome %s", limit, outcome)
		}
		resp, err = n.exchange(t, head+"Content-Length: "+strconv.FormatInt(limit, 10)+"\r\n\r\n"+chunk[1:])
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("limit %d, within it: %+v, %v", limit, resp, err)
		}
	}
}

// Guards against a head above the limit of the configuration that is passed on, and against
// one within it that is refused.
func TestHeadsAboveTheLimitAreRefused(t *testing.T) {
	n := startTwoNodes(t, echoBodies)
	n.setLimits(note.CallerLimits{HeaderBytes: 16 << 10})
	for size, status := range map[int]int{15 << 10: http.StatusOK, 17 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		resp, err := n.exchange(t, "GET /virtual/ HTTP/1.1\r\nHost: mesh.example\r\nX-A: "+strings.Repeat("a", size)+"\r\n\r\n")
		if err != nil || resp.StatusCode != status || (status != http.StatusOK) != (resp.Header.Get(HeaderNotRun) != "") {
			t.Errorf("%d bytes: %+v, %v", size, resp, err)
		}
	}
}

// Guards against a body that is sent again in part, and against a claim that a request has
// not run while its body was under way.
func TestLongBodyIsSentAgainOnlyFromItsStart(t *testing.T) {
	for name, c := range map[string]struct {
		size, read, attempts int
		outcome              string
	}{
		"refused within what is kept": {1 << 20, maxKeptBodyBytes / 2, 2, ""},
		"refused beyond it":           {1 << 20, maxKeptBodyBytes * 2, 1, outcomeNotRun},
	} {
		attempts, sent := 0, pattern(c.size)
		e := newTestEntry(t, scriptedSender(func(_ context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
			if attempts++; attempts == 1 {
				_, _ = io.CopyN(io.Discard, req.Body, int64(c.read))
				return refusal(true), nil
			}
			got, err := io.ReadAll(req.Body)
			if err != nil || !bytes.Equal(got, sent) {
				t.Errorf("%s: second attempt got %d of %d bytes, %v", name, len(got), len(sent), err)
			}
			return answer("ok"), nil
		}), nil)
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/cabinets/1", bytes.NewReader(sent)))
		if attempts != c.attempts || w.Header().Get(HeaderOutcome) != c.outcome {
			t.Errorf("%s: %d attempts, outcome %q", name, attempts, w.Header().Get(HeaderOutcome))
		}
	}
}

// Guards against two attempts that read the same body: a former one that is still waiting for
// the caller must leave what it gets to the present one.
func TestFormerAttemptLeavesTheBodyToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, node := net.Pipe()
		defer caller.Close()
		sent := pattern(maxKeptBodyBytes * 2)
		r := httptest.NewRequest(http.MethodPost, "/", node)
		r.ContentLength = int64(len(sent))
		go func() { _, _ = caller.Write(sent[:maxKeptBodyBytes/2]) }()
		b := &callerBody{}
		if err := b.receive(r, 1<<30, false, newBodyMemory(maxKeptBodyBytes/2), nil); err != nil { // room to keep half
			t.Fatal(err)
		}
		b.onFailure = func() {}
		former, _ := b.open()
		if _, err := io.CopyN(io.Discard, former, maxKeptBodyBytes/2); err != nil {
			t.Fatal(err)
		}
		formerDone := make(chan error, 1)
		go func() {
			_, err := former.Read(make([]byte, 100))
			formerDone <- err
		}()
		synctest.Wait() // the former attempt waits for the caller
		next, _ := b.open()
		got := make(chan []byte, 1)
		go func() {
			all := make([]byte, len(sent))
			n, _ := io.ReadFull(next, all)
			got <- all[:n]
		}()
		_, _ = caller.Write(sent[maxKeptBodyBytes/2:])
		if err := <-formerDone; !errors.Is(err, errFormerAttempt) {
			t.Errorf("former attempt: %v", err)
		}
		if all := <-got; !bytes.Equal(all, sent) {
			t.Errorf("the next attempt got %d of %d bytes, or others", len(all), len(sent))
		}
	})
}

// Guards against a caller that stops in the middle of its body and holds the request, and
// its backend server, beyond the deadline or after it has left.
func TestCallerThatStopsSendingIsGivenUp(t *testing.T) {
	begun, ended := make(chan struct{}, 4), make(chan time.Time, 4)
	n := startTwoNodes(t, func(_ net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		begun <- struct{}{}
		_, _ = io.Copy(io.Discard, req.Body)
		ended <- time.Now()
	})
	n.setLimits(note.CallerLimits{BodyBytes: 64 << 20})
	head := "POST /cabinets/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 400_000)
	began := time.Now()
	resp, err := n.exchange(t, head) // the route's timeout is 1 s
	// Both nodes have the same deadline. If the serving node's refusal comes first, the
	// status is 502.
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout && resp.StatusCode != http.StatusBadGateway ||
		resp.Header.Get(HeaderOutcome) != outcomeUnknown || resp.Header.Get(HeaderNotRun) != "" || time.Since(began) > 3*time.Second {
		t.Errorf("stalled caller: %+v, %v after %s", resp, err, time.Since(began))
	}
	<-begun
	<-ended
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, head)
	<-begun
	left := time.Now()
	_ = conn.Close()
	if at := <-ended; at.Sub(left) > 500*time.Millisecond {
		t.Errorf("the backend server worked for %s after the caller had left", at.Sub(left))
	}
}
