package node

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// countingBody counts the bytes that are read of a caller's body.
type countingBody struct {
	io.Reader
	read atomic.Int64
}

// Read implements io.Reader.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read.Add(int64(n))
	return n, err
}

// Guards against a body that is read, or a request that is sent, although there is no memory
// for the body, and against a refusal that does not say when to come back.
func TestBodyWithoutMemoryIsRefusedUnread(t *testing.T) {
	for _, length := range []int64{20_000, 1 << 20, -1} {
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			t.Error("sent")
			return answer("ok"), nil
		}), nil)
		e.memory = newBodyMemory(19_999)
		body := &countingBody{Reader: strings.NewReader(strings.Repeat("x", 20_000))}
		r := httptest.NewRequest(http.MethodPost, "/cabinets/1", body)
		r.ContentLength = length
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Header().Get(HeaderNotRun) == "" || body.read.Load() != 0 {
			t.Errorf("length %d: status %d, header %v, %d bytes read", length, w.Code, w.Header(), body.read.Load())
		}
		if used := e.memory.used.Load(); used != 0 {
			t.Errorf("length %d: %d bytes are kept", length, used)
		}
	}
}

// Guards against a request that cannot be sent elsewhere because more of its body was read
// than is kept while it waited for a place at the serving node.
func TestWaitingBodyIsNotReadBeyondWhatIsKept(t *testing.T) {
	for _, memory := range []int64{minKeptBodyBytes, 100_000, 16 << 20} {
		n := startTwoNodes(t, countBodies)
		n.serving.gate = admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 1, QueueLimit: 100, QueueTimeout: time.Minute}})
		release, err := n.serving.gate.Acquire(t.Context(), admission.Request{Kind: model.KindUpload})
		if err != nil {
			t.Fatal(err)
		}
		n.entry.memory = newBodyMemory(memory)
		body := &countingBody{Reader: bytes.NewReader(pattern(1 << 20))}
		w, done := httptest.NewRecorder(), make(chan struct{})
		go func() {
			defer close(done)
			r := httptest.NewRequest(http.MethodPost, "http://mesh.example/virtual/", body)
			r.ContentLength = 1 << 20
			n.entry.ServeHTTP(w, r)
		}()
		time.Sleep(200 * time.Millisecond)
		if read := body.read.Load(); read == 0 || read > min(memory, maxKeptBodyBytes) {
			t.Errorf("memory %d: %d bytes were read before the request had a place", memory, read)
		}
		release(admission.Outcome{Result: admission.ResultOK})
		if <-done; w.Code != http.StatusOK || w.Header().Get("X-Length") != "1048576" {
			t.Errorf("memory %d: status %d, header %v", memory, w.Code, w.Header())
		}
	}
}

// Guards against callers that hold a request although they neither send nor take anything,
// against the end of a request whose caller is slow or whose backend server is silent, and
// against a status that says that a request has not run although it may have.
func TestCallerWithoutProgressIsGivenUp(t *testing.T) {
	const progress = 300 * time.Millisecond
	n := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(2 * progress)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n")
		_, _ = c.Write(make([]byte, 100_000_000))
	})
	n.entry.bodyProgress = progress
	n.setLimits(note.CallerLimits{BodyBytes: 64 << 20})
	head := "POST /virtual/ HTTP/1.1\r\nHost: mesh.example\r\nContent-Length: 500000\r\n\r\n"
	for sent, want := range map[int]int{1000: http.StatusRequestTimeout, 400_000: http.StatusBadRequest} {
		began := time.Now()
		resp, err := n.exchange(t, head+strings.Repeat("x", sent)) // the route's timeout is 10 s
		if err != nil || resp.StatusCode != want || time.Since(began) > 5*time.Second || (want == http.StatusRequestTimeout) != (resp.Header.Get(HeaderNotRun) != "") {
			t.Errorf("stopped after %d bytes: %+v, %v after %s", sent, resp, err, time.Since(began))
		}
	}
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, head)
	for range 10 { // slow, but never silent for the whole time
		time.Sleep(progress / 3)
		_, _ = conn.Write(make([]byte, 50_000))
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("slow caller: %+v, %v", resp, err)
	}
	for began := time.Now(); !n.entry.callLimiter.TryAcquire(1000); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the request of a caller that takes nothing is still held")
		}
	}
}
