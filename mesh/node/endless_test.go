package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// endlessServer starts a server that answers each request with start and then with more,
// again and again, until the connection is closed.
func endlessServer(t *testing.T, start string, more func(n int) string) *url.URL {
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
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				w := bufio.NewWriter(c)
				_, err := w.WriteString(start)
				for n := 0; err == nil; n++ {
					_, err = w.WriteString(more(n))
				}
			}()
		}
	}()
	return &url.URL{Scheme: "http", Host: l.Addr().String()}
}

// nodeMemory is what a node may hold by default, and usedMemory what it holds without faulty
// servers.
const (
	nodeMemory = 64 << 20
	usedMemory = 16 << 20
)

// heldMemory returns what the Go runtime holds of the machine's memory: the heap with its
// garbage and its unused parts, stacks, and its own data.
func heldMemory() int64 {
	s := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(s)
	return int64(s[0].Value.Uint64()) - int64(s[1].Value.Uint64())
}

// checkMemory runs f under the memory limit of a node that already holds usedMemory, and
// fails if the process holds more than nodeMemory meanwhile. What the test binary holds
// before counts as usedMemory.
func checkMemory(t *testing.T, f func()) {
	t.Helper()
	runtime.GC() // FreeOSMemory collects again: a sync.Pool keeps its content over one collection
	debug.FreeOSMemory()
	before := heldMemory()
	defer LimitMemory(before - usedMemory + nodeMemory)()
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	var most int64
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Millisecond):
		}
		most = max(most, heldMemory())
	}
	t.Logf("%d KiB more than before", (most-before)>>10)
	if most-before > nodeMemory-usedMemory {
		t.Errorf("holds %d KiB more than before, %d are left of its memory", (most-before)>>10, (nodeMemory-usedMemory)>>10)
	}
}

// Guards against a node that runs out of memory, and ends the requests of other callers,
// because it keeps what a faulty backend server sends without end in a head or a body.
func TestEndlessAnswersTakeLittleMemory(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	// Made once: garbage of the faulty server is not the node's.
	kilobyte := strings.Repeat("x", 1024)
	chunk := "400\r\n" + kilobyte + "\r\n"
	text := func(int) string { return kilobyte }
	for name, c := range map[string]struct {
		start string
		more  func(int) string
	}{
		"headers":          {head, func(n int) string { return fmt.Sprintf("A%x:\r\n", n) }},
		"header line":      {head + "A: ", text},
		"body in chunks":   {head + "Transfer-Encoding: chunked\r\n\r\n", func(int) string { return chunk }},
		"body until close": {head + "\r\n", text},
		"chunk extension":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", text},
		"trailers":         {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", func(n int) string { return fmt.Sprintf("A%x:\r\n", n) }},
		"stated length":    {head + "Content-Length: 1000000000000\r\n\r\n", text},
	} {
		t.Run(name, func(t *testing.T) {
			n := startServingAt(t, endlessServer(t, c.start, c.more))
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			checkMemory(t, func() {
				var wg sync.WaitGroup
				for range 64 {
					wg.Go(func() {
						for ctx.Err() == nil {
							n.readSlowly(ctx, t)
						}
					})
				}
				wg.Wait()
			})
		})
	}
}

// readSlowly sends one lookup and reads its answer until ctx ends.
func (n *Node) readSlowly(ctx context.Context, t *testing.T) {
	resp, err := n.serving.handle(ctx, peer.Identity{Role: peer.RoleNode, Host: "n2"}, &callmux.Request{
		Service: "ledger", Version: "v1", Method: http.MethodGet, Path: "/", Kind: model.KindLookup, Header: http.Header{},
	})
	if err != nil {
		t.Error(err)
		return
	}
	if resp.Body == nil {
		return
	}
	defer resp.Body.Close()
	buf := make([]byte, 4096)
	for err == nil {
		_, err = resp.Body.Read(buf)
		time.Sleep(10 * time.Millisecond)
	}
}

// endlessBody is a body that ends only with the call's context.
type endlessBody struct{ ctx context.Context }

// Read implements io.Reader.
func (b endlessBody) Read(p []byte) (int, error) { clear(p); return len(p), b.ctx.Err() }

// Close implements io.Closer.
func (endlessBody) Close() error { return nil }

// Guards against an entry node that runs out of memory because it keeps the endless
// answers of writes until it can record them.
func TestEndlessAnswersOfWritesTakeLittleMemory(t *testing.T) {
	claims := &recordingClaims{}
	e := newTestEntry(t, scriptedSender(func(ctx context.Context, _ string, _ *callmux.Request) (*callmux.Response, error) {
		return &callmux.Response{Status: http.StatusOK, Header: map[string][]string{}, Limit: 100, Body: endlessBody{ctx}}, nil
	}), claims)
	e.bodyLimit = 4 << 20
	checkMemory(t, func() {
		var wg sync.WaitGroup
		for range 64 {
			wg.Go(func() {
				defer func() {
					if got := recover(); got != nil && got != http.ErrAbortHandler { //nolint:errorlint // the panic value that net/http expects
						panic(got)
					}
				}()
				r := httptest.NewRequest(http.MethodPost, "/restocks", strings.NewReader("crate"))
				r.Header.Set(HeaderIdempotencyKey, "1-abcdefgh")
				e.ServeHTTP(&discardingWriter{header: http.Header{}}, r)
			})
		}
		wg.Wait()
	})
	if e.background.Wait(); claims.completed != 0 {
		t.Errorf("%d endless answers recorded as complete", claims.completed)
	}
}

// discardingWriter is a caller that keeps nothing.
type discardingWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (w *discardingWriter) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *discardingWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return len(p), nil
}

// WriteHeader implements http.ResponseWriter.
func (w *discardingWriter) WriteHeader(int) {}
