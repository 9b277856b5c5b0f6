package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// extraShare is the part of the answers of a faulty server that extra bytes follow.
	// It is not exceeded at any time.
	extraShare = 0.03
	// faultFor is how long the servers are faulty at a time, faultPause the time between.
	faultFor, faultPause = 5 * time.Second, time.Second
	// uploadPlay is how long uploads are sent.
	uploadPlay = 100 * time.Second
	// uploadBytes is the size of a body.
	uploadBytes = 18_000
	// uploadInterval is the least time between two requests of a consumer, of which there
	// are two: 900 requests a second at most, as the site has without a burst.
	uploadInterval = time.Second / 450
	// keptGaps is the number of recent gaps between an answer and the next request on the
	// same connection that a server remembers.
	keptGaps = 64
	// maxGap bounds the time after which extra bytes come.
	maxGap = 20 * time.Millisecond
	// gapSpread is the range in which the time of the extra bytes varies around the gap.
	gapSpread = 80 * time.Microsecond
)

// extraBytes follow a complete answer and belong to no request.
const extraBytes = "bytes that belong to no request\r\n"

// uploads holds what was sent, answered and run.
type uploads struct {
	rec   *record
	mu    sync.Mutex
	sent  map[string][sha256.Size]byte
	ended map[string]string
	// runs holds a line for each time that a server began to work on a request.
	runs    map[string][]string
	extras  int
	changed int
}

// uploadServer is a stand-in server that reads a request with its body, runs it and answers.
// While it is faulty, extra bytes follow some of its answers, at about the time at which the
// next request on the connection is expected.
type uploadServer struct {
	*server
	u      *uploads
	faulty func() bool
	mu     sync.Mutex
	gaps   []time.Duration
	// answers and extras count the answers while the server is faulty, and those of them that
	// extra bytes followed.
	answers, extras int
}

// mayAdd counts an answer and reports whether extra bytes follow it.
func (s *uploadServer) mayAdd() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	if rand.IntN(3) > 0 || float64(s.extras+1) > extraShare*float64(s.answers) {
		return false
	}
	s.extras++
	return true
}

func (s *uploadServer) listen() error {
	l, err := net.Listen("tcp", s.host.addr(s.host.mesh.ports.app))
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	s.beats.Store(true)
	go s.report()
	return nil
}

func (s *uploadServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var answered time.Time
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !answered.IsZero() {
			s.observe(time.Since(answered))
		}
		id := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		at := s.rec.at()
		digest := sha256.New()
		n, err := io.Copy(digest, req.Body)
		s.u.arrived(id, fmt.Sprintf("%.4f at %s on %s: %d bytes of body, end: %v", at, s.host.name, c.RemoteAddr(), n, err), n, digest.Sum(nil), err)
		if err != nil {
			return
		}
		extra := s.faulty() && s.mayAdd()
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nX-Instance-Id: %s\r\nContent-Length: 4\r\n\r\ndone", id, s.id, id, s.id)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		answered = time.Now()
		if extra {
			s.u.mu.Lock()
			s.u.extras++
			s.u.mu.Unlock()
			spin(s.gap())
			_, _ = io.WriteString(c, extraBytes)
		}
	}
}

// spin waits for a time that is shorter than a sleep lasts.
func spin(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
	}
}

// observe records the time between an answer and the next request on the same connection.
func (s *uploadServer) observe(gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.gaps) == keptGaps {
		s.gaps = s.gaps[1:]
	}
	s.gaps = append(s.gaps, gap)
}

// gap returns a time after which a next request on a connection was begun.
func (s *uploadServer) gap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.gaps) == 0 {
		return time.Millisecond
	}
	g := s.gaps[rand.IntN(len(s.gaps))]
	return max(min(g, maxGap)+gapSpread/2-rand.N(gapSpread), 0)
}

// arrived records a run and compares the body with what the consumer sent.
func (u *uploads) arrived(id, line string, n int64, digest []byte, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id] = append(u.runs[id], line)
	want, known := u.sent[id]
	if err == nil && (!known || !bytes.Equal(digest, want[:])) {
		u.changed++
		u.rec.log("request %s was run with a body of %d bytes in place of the %d that were sent", id, n, uploadBytes)
	}
}

// upload: servers send extra bytes after some of their answers. Requests with a body in chunks
// must be run with the body that their consumers sent.
func upload(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(rec, stewards, []int{2, 2, 1}, []int{3, 2, 2}, "tefa77c")
	if err != nil {
		return false, err
	}
	defer m.close()
	entries := []*machine{m.side[2], m.side[4]}
	for _, h := range entries {
		h.service = "pant30x"
	}
	if err := m.startAll(); err != nil {
		return false, err
	}
	u := &uploads{rec: rec, sent: map[string][sha256.Size]byte{}, ended: map[string]string{}, runs: map[string][]string{}}
	var started time.Time
	isFaulty := func() bool {
		return trouble && !started.IsZero() && time.Since(started)%(faultFor+faultPause) < faultFor
	}
	n := 0
	for _, h := range m.side {
		mayFail := h.service == "tefa77c" && n < 3 // three of five servers
		if h.service == "tefa77c" {
			n++
		}
		s := &uploadServer{server: newServer(h, 0), u: u, faulty: func() bool { return mayFail && isFaulty() }}
		if err := s.listen(); err != nil {
			return false, err
		}
	}
	// Two machines belong to another service, so that their consumers' requests go to other nodes.
	c := configuration(3, "tefa77c", 800)
	c["services"].(map[string]any)["pant30x"] = c["services"].(map[string]any)["tefa77c"]
	if _, err := m.order("config.replace", "", "00000000", c, 20*time.Second); err != nil {
		return false, err
	}
	if err := m.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * heartbeat)
	started = time.Now()
	var wg sync.WaitGroup
	for _, h := range entries {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			for next := started; time.Since(started) < uploadPlay; {
				u.send(client, h)
				next = next.Add(uploadInterval)
				if now := time.Now(); next.Before(now) {
					next = now // a slow request is not made up for
				}
				spin(time.Until(next))
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	return u.result(), nil
}

// send sends one upload in chunks and waits for its answer.
func (u *uploads) send(client *http.Client, h *machine) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := make([]byte, uploadBytes)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	u.mu.Lock()
	u.sent[id] = sha256.Sum256(body)
	u.mu.Unlock()
	result := exchange(client, h, id, body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.ended[id] = result
}

func exchange(client *http.Client, h *machine, id string, body []byte) string {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	chunked := io.MultiReader(bytes.NewReader(body)) // of unknown length
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.addr(h.mesh.ports.outbound)+"/write/x", chunked)
	if err != nil {
		return err.Error()
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("%d cut", resp.StatusCode)
	}
	return fmt.Sprint(resp.StatusCode)
}

// result logs how the uploads ended, and reports whether one was run with a changed body.
func (u *uploads) result() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts, twice, told := map[string]int{}, 0, 0
	for id, result := range u.ended {
		counts[result]++
		if len(u.runs[id]) < 2 {
			continue
		}
		twice++
		u.rec.log("request %s, answered %s, reached servers more than once:", id, result)
		for _, line := range u.runs[id] {
			u.rec.log("    %s", line)
		}
		if result == "200" {
			told++
		}
	}
	u.rec.log("%d uploads, answers: %v; extra bytes after %d answers", len(u.ended), counts, u.extras)
	u.rec.log("%d requests run with a changed body; %d began at a server more than once, of which %d were answered 200", u.changed, twice, told)
	return u.changed > 0
}
