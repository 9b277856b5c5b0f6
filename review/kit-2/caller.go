package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a consumer.
type sent struct {
	machine string
	at      time.Time
}

// callers are consumers at all machines. They send to a machine while it is ready.
type callers struct {
	mesh   *mesh
	mu     sync.Mutex
	sent   map[string]sent
	counts map[string]int
	stop   chan struct{}
	wg     sync.WaitGroup
}

// startCallers sends perSecond idempotent requests a second at each machine.
func startCallers(m *mesh, perSecond int) *callers {
	c := &callers{mesh: m, sent: map[string]sent{}, counts: map[string]int{}, stop: make(chan struct{})}
	for _, h := range m.side {
		c.wg.Go(func() { c.run(h, perSecond) })
	}
	return c
}

func (c *callers) run(h *machine, perSecond int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var ready atomic.Bool
	go c.probe(h, &ready)
	for {
		select {
		case <-tick.C:
			if ready.Load() {
				c.wg.Go(func() { c.request(client, h, http.MethodGet, "/look/x", "") })
			}
		case <-c.stop:
			return
		}
	}
}

// probe asks for readiness once a second; two misses take a machine out.
func (c *callers) probe(h *machine, ready *atomic.Bool) {
	for misses := 0; ; {
		if h.isReady() {
			misses = 0
			ready.Store(true)
		} else if misses++; misses >= 2 {
			ready.Store(false)
		}
		select {
		case <-time.After(time.Second):
		case <-c.stop:
			return
		}
	}
}

// request sends one request and counts how it ended.
func (c *callers) request(client *http.Client, h *machine, method, path, body string) (int, string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c.mu.Lock()
	c.sent[id] = sent{h.name, time.Now()}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.addr(h.mesh.ports.outbound)+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "ficu95.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1200")
	resp, err := client.Do(req)
	result := "no answer"
	status := 0
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status, result = resp.StatusCode, fmt.Sprint(resp.StatusCode)
		if err != nil {
			result += " cut"
		}
	}
	c.mu.Lock()
	c.counts[result]++
	c.mu.Unlock()
	return status, id
}

func (c *callers) end() {
	close(c.stop)
	c.wg.Wait()
}

// find returns the request with an ID.
func (c *callers) find(id string) (sent, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.sent[id]
	return s, ok
}

func (c *callers) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}
