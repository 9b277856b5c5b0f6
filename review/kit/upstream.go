package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// heartbeatEvery is heartbeatMs of the settings.
const heartbeatEvery = 1500 * time.Millisecond

// run is one request that an upstream began to work on.
type run struct {
	at     time.Time
	id     string
	method string
	path   string
	caller string
}

// upstream is a stand-in for the application upstream beside a node. It runs requests that are
// meant for its instance and reports its status as the pages say.
type upstream struct {
	m       *mesh
	beside  *machine
	id      string
	version string
	born    int64
	work    time.Duration
	// bad makes half of the answers failures.
	bad bool

	mu       sync.Mutex
	sequence uint64
	runs     []run
	server   *http.Server
	stopBeat context.CancelFunc
}

func newUpstream(m *mesh, beside *machine, id string) *upstream {
	return &upstream{m: m, beside: beside, id: id, version: "v1", born: time.Now().UnixMilli(), work: 20 * time.Millisecond}
}

// start listens and begins to send status reports.
func (u *upstream) start() error {
	l, err := net.Listen("tcp", addr(u.beside.ip, portApp))
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	u.server = &http.Server{Handler: http.HandlerFunc(u.serve)}
	go func() { _ = u.server.Serve(l) }()
	u.m.rec.log("upstream %s: starts beside %s", u.id, u.beside.name)
	u.beats()
	return nil
}

// beats sends status reports until they are stopped.
func (u *upstream) beats() {
	ctx, cancel := context.WithCancel(context.Background())
	u.stopBeat = cancel
	go func() {
		for ctx.Err() == nil {
			_, _ = u.report(u.heartbeat("ready"))
			select {
			case <-time.After(heartbeatEvery):
			case <-ctx.Done():
			}
		}
	}()
}

// heartbeat returns the body of the next status report.
func (u *upstream) heartbeat(state string) []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": u.beside.service, "address": addr(u.beside.ip, portApp), "zone": u.beside.zone, "version": u.version,
		"slots": 16, "state": state, "coldLeftMs": 0, "sequence": u.sequence, "born": u.born,
	})
	return b
}

// report sends a status report to the node on the same machine.
func (u *upstream) report(body []byte) (int, error) {
	return u.call("instances.heartbeat", body)
}

func (u *upstream) call(name string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+addr(u.beside.ip, portControl)+"/-/rpc?call="+name+"&of="+u.id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := u.m.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// serve answers one request. A request that names another instance does not run.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", u.id)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.mu.Lock()
	u.runs = append(u.runs, run{at: time.Now(), id: id, method: r.Method, path: r.URL.Path, caller: r.Header.Get("X-Caller-Service")})
	u.mu.Unlock()
	u.m.rec.log("upstream %s: runs %s %s %s", u.id, id, r.Method, r.URL.Path)
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(u.work)
	w.Header().Set("X-Response-Stamp", u.id+"."+id)
	if u.bad && u.count()%2 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.URL.Path == "/l/long" {
		writeLong(w)
		return
	}
	_, _ = io.WriteString(w, "answer of "+u.id+" to "+id+"\n")
}

// longAnswerBytes is the size of a long answer, which takes about two seconds.
const longAnswerBytes = 800_000

// writeLong writes a long answer: half of it at once, the rest in pieces.
func writeLong(w http.ResponseWriter) {
	const pieces = 40
	w.Header().Set("Content-Length", fmt.Sprint(longAnswerBytes))
	_, _ = w.Write(make([]byte, longAnswerBytes/2))
	for range pieces {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write(make([]byte, longAnswerBytes/2/pieces))
	}
}

func (u *upstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.runs)
}

// ran reports whether the upstream has begun to work on a request.
func (u *upstream) ran(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.runs, func(r run) bool { return r.id == id })
}

// runsAfter returns the runs later than t.
func (u *upstream) runsAfter(t time.Time) []run {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []run
	for _, r := range u.runs {
		if r.at.After(t) {
			out = append(out, r)
		}
	}
	return out
}

func (u *upstream) close() {
	if u.stopBeat != nil {
		u.stopBeat()
	}
	if u.server != nil {
		_ = u.server.Close()
	}
}
