package node

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// serveEntry serves an entry like a node does, and returns its address.
func serveEntry(t *testing.T, e *entry) string {
	t.Helper()
	srv := httptest.NewUnstartedServer(e)
	srv.Config.ErrorLog = httpErrorLog(slog.New(slog.DiscardHandler), "caller")
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// postOnce sends a head with a length of size and, once afterHead has run, the body and another
// request. It returns the answer to the first one, and whether the connection has ended then.
func postOnce(t *testing.T, address, path string, size int, afterHead func()) (resp *http.Response, ended bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: a\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
	afterHead()
	go func() {
		_, _ = io.WriteString(conn, strings.Repeat("x", size))
		_, _ = io.WriteString(conn, "GET /cabinets/1 HTTP/1.1\r\nHost: a\r\n\r\n")
	}()
	r := bufio.NewReader(conn)
	resp, err = http.ReadResponse(r, nil)
	if err != nil {
		t.Errorf("%s, %d bytes: no answer: %v", path, size, err)
		return nil, true
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	_, err = r.ReadByte()
	return resp, err != nil
}

// Guards against a refusal before the body is read that ends in a panic of net/http, so that
// the caller's connection breaks where a 503 with Retry-After is due.
func TestRefusalsOfUnreadBodiesDoNotPanic(t *testing.T) {
	sender := scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) { return refusal(true), nil })
	noConfig, closed, full, limits, noRoom := newTestEntry(t, sender, nil), newTestEntry(t, sender, nil), newTestEntry(t, sender, nil), newTestEntry(t, sender, nil), newTestEntry(t, sender, nil)
	noConfig.table = func() *routing.Table { return nil }
	closed.closed.Store(true)
	full.callLimiter.TryAcquire(1000)
	noRoom.memory = newBodyMemory(1)
	limited := testTable(nil, note.CallerLimits{BodyBytes: 10})
	limits.table = func() *routing.Table { return limited }
	before := telemetry.Counter(MetricPanics).Count()
	for name, c := range map[string]struct {
		e      *entry
		path   string
		status int
	}{
		"no configuration":  {noConfig, "/cabinets/1", http.StatusServiceUnavailable},
		"node is stopping":  {closed, "/cabinets/1", http.StatusServiceUnavailable},
		"too many requests": {full, "/cabinets/1", http.StatusServiceUnavailable},
		"no route":          {newTestEntry(t, sender, nil), "/unknown", http.StatusNotFound},
		"body too large":    {limits, "/cabinets/1", http.StatusRequestEntityTooLarge},
		"no body memory":    {noRoom, "/cabinets/1", http.StatusServiceUnavailable},
	} {
		address := serveEntry(t, c.e)
		var wg sync.WaitGroup
		for n := range 60 {
			wg.Go(func() {
				resp, ended := postOnce(t, address, c.path, []int{100, 20_000, 200_000}[n%3], func() { time.Sleep(time.Duration(n%4) * time.Millisecond) })
				if resp != nil && (resp.StatusCode != c.status || !resp.Close || !ended || c.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "") {
					t.Errorf("%s: status %d, %v, ended %v", name, resp.StatusCode, resp.Header, ended)
				}
			})
		}
		wg.Wait()
	}
	if n := telemetry.Counter(MetricPanics).Count() - before; n != 0 {
		t.Errorf("%d panics", n)
	}
}

// Guards against a refusal that waits for the body of its request, and against a handler that a
// silent caller keeps for long.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	e := newTestEntry(t, nil, nil)
	e.table = func() *routing.Table { return nil }
	conn, err := net.Dial("tcp", serveEntry(t, e))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	began := time.Now()
	_, _ = io.WriteString(conn, "POST /cabinets/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx")
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || time.Since(began) > unreadBodyTimeout/2 {
		t.Fatalf("%+v, %v after %s", resp, err, time.Since(began))
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if _, err := r.ReadByte(); err == nil || time.Since(began) > 3*unreadBodyTimeout {
		t.Errorf("connection of a silent caller: %v after %s", err, time.Since(began))
	}
}

// Guards against a long body that is left unread by an answer after the route is known, without
// the end of its connection.
func TestAnswersBeforeTheEndOfALongBody(t *testing.T) {
	sender := scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) { return refusal(true), nil })
	before := telemetry.Counter(MetricPanics).Count()
	for name, claims := range map[string]*recordingClaims{"no key": {}, "claim refused": {err: claim.ErrBadKey}} {
		address := serveEntry(t, newTestEntry(t, sender, claims))
		for _, size := range []int{maxKeptBodyBytes + 1000, maxKeptBodyBytes + 100_000, 4 * maxKeptBodyBytes} {
			if resp, ended := postOnce(t, address, "/restocks/1", size, func() {}); resp != nil && (resp.StatusCode < 400 || !resp.Close || !ended) {
				t.Errorf("%s, %d bytes: status %d, %v, ended %v", name, size, resp.StatusCode, resp.Header, ended)
			}
		}
	}
	if n := telemetry.Counter(MetricPanics).Count() - before; n != 0 {
		t.Errorf("%d panics", n)
	}
}

// Guards against panics that are not counted, and against connections cut on purpose that are.
func TestPanicsAreCounted(t *testing.T) {
	for value, want := range map[any]int64{"fault": 1, http.ErrAbortHandler: 0} {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(value) }))
		srv.Config.ErrorLog = httpErrorLog(slog.New(slog.DiscardHandler), "caller")
		srv.Start()
		before := telemetry.Counter(MetricPanics).Count()
		if _, err := http.Get(srv.URL); err == nil {
			t.Error("answered")
		}
		srv.Close()
		if n := telemetry.Counter(MetricPanics).Count() - before; n != want {
			t.Errorf("%v: counted %d", value, n)
		}
	}
}
