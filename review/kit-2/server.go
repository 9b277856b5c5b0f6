package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has reached a server.
type arrival struct {
	id string
	at time.Time
}

// server is a stand-in backend server beside a node. It registers itself with the node, runs
// every request and answers as the pages say.
type server struct {
	host     *machine
	id       string
	born     int64
	work     time.Duration
	rec      *record
	http     *http.Server
	sequence atomic.Uint64
	stop     chan struct{}
	stopOnce sync.Once
	mu       sync.Mutex
	arrivals []arrival
	// beats is false once no more reports are sent.
	beats atomic.Bool
}

func newServer(h *machine, work time.Duration) *server {
	return &server{host: h, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), work: work, rec: h.mesh.rec, stop: make(chan struct{})}
}

// start listens and begins to report.
func (s *server) start() error {
	l, err := net.Listen("tcp", s.host.addr(s.host.mesh.ports.app))
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	s.beats.Store(true)
	go s.report()
	return nil
}

// end ends the server's process.
func (s *server) end() {
	s.stopOnce.Do(func() {
		s.beats.Store(false)
		close(s.stop)
		_ = s.http.Close()
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("X-Response-Stamp", s.id+"."+id)
	fmt.Fprintf(w, "%s %s %d\n", r.Method, id, len(body))
}

// beat is one report with the next sequence.
func (s *server) beat(state string) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": s.host.service, "address": s.host.addr(s.host.mesh.ports.app), "zone": s.host.zone, "version": "v1", "slots": 17,
		"state": state, "coldLeftMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	return b
}

// send delivers a report to the control address of the server's machine.
func (s *server) send(call string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	u := "http://" + s.host.addr(s.host.mesh.ports.control) + "/-/rpc?call=" + call + "&of=" + s.id
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

func (s *server) report() {
	for s.beats.Load() {
		_, _ = s.send("instances.heartbeat", s.beat("ready"))
		select {
		case <-time.After(heartbeat):
		case <-s.stop:
			return
		}
	}
}

// deregister repeats the call until it is confirmed.
func (s *server) deregister(limit time.Duration) (time.Time, error) {
	body, _ := json.Marshal(map[string]any{"born": s.born})
	for started := time.Now(); time.Since(started) < limit; time.Sleep(100 * time.Millisecond) {
		if status, err := s.send("instances.deregister", body); err == nil && status == http.StatusOK {
			return time.Now(), nil
		}
	}
	return time.Time{}, fmt.Errorf("deregistration of %s not confirmed", s.id)
}

// after returns the requests that arrived later than t.
func (s *server) after(t time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []arrival
	for _, a := range s.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}
