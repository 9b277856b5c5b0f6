package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lagos is the deployment that bears the loss of two machines with their disks.
var lagos = site{
	region: "ng-lagos", zones: []string{"ikeja", "apapa", "ikorodu", "epe"}, machines: 2, lostZones: 0,
	contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "rollout", "pressure"}, memoryMb: 184, linkMbps: 13,
	bounds: map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "catchUpS": 6, "drainMs": 2000,
		"graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "retryBudgetSlack": 206, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 15},
}

const (
	// readInterval is the time between two reads of the configuration by the operator.
	readInterval = 100 * time.Millisecond
	// recovery is recoveryS of the site.
	recovery = 15 * time.Second
)

// reads counts the reads of the configuration and keeps the newest version.
type reads struct {
	mu            sync.Mutex
	answered, all int
	newest        int
}

// read reads the configuration at a control host; 0 if it does not come.
func (m *mesh) read(h *machine) int {
	status, body, err := post("http://"+h.addr(m.ports.control)+"/-/rpc?call=config.read", "", "")
	var c struct {
		Version string `json:"version"`
	}
	version := 0
	if err == nil && status == 200 && json.Unmarshal([]byte(body), &c) == nil {
		_, _ = fmt.Sscanf(c.Version, "%x", &version)
	}
	return version
}

// readOften reads the configuration every readInterval at any node until stop is closed.
func (m *mesh) readOften(r *reads, stop <-chan struct{}) {
	tick := time.NewTicker(readInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			go func() {
				v := m.read(m.core[rand.IntN(len(m.core))])
				r.mu.Lock()
				defer r.mu.Unlock()
				r.all++
				if v > 0 {
					r.answered++
				}
				r.newest = max(r.newest, v)
			}()
		case <-stop:
			return
		}
	}
}

// loseDisk kills the process of a machine and removes its disk.
func (h *machine) loseDisk() {
	h.kill()
	h.firstStart = false
	_ = os.RemoveAll(filepath.Join(h.dir, "data"))
	h.mesh.rec.log("%s lost its disk", h.name)
}

// starved: an operator reads the configuration ten times a second. As many machines as may be
// lost lose their disks right after a configuration was acknowledged. The configuration must be
// readable again once they are back.
func starved(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(rec, lagos, []int{2, 2, 2, 2}, []int{1, 1, 1, 1}, "tefa77c")
	if err != nil {
		return false, err
	}
	defer m.close()
	if err := m.startAll(); err != nil {
		return false, err
	}
	r, stop := &reads{}, make(chan struct{})
	defer close(stop)
	if os.Getenv("READS") != "0" {
		go m.readOften(r, stop)
	}
	version := 0
	for next := 3; next <= 15; next += 3 {
		if _, err := m.order("config.replace", "", fmt.Sprintf("%08x", version), configuration(next, "tefa77c", 4000+next), 20*time.Second); err != nil {
			return false, err
		}
		version = next
		if next < 15 {
			time.Sleep(8 * time.Second)
		}
	}
	rec.log("version %d is acknowledged", version)
	if trouble {
		lost := []*machine{m.core[0], m.core[2]} // two of the three seeds
		var wg sync.WaitGroup
		for _, h := range lost {
			wg.Go(h.loseDisk)
		}
		wg.Wait()
		time.Sleep(time.Second)
		for _, h := range lost {
			if err := h.start(); err != nil {
				return false, err
			}
		}
		rec.log("the machines are back with empty disks")
	}
	time.Sleep(recovery)
	answered, newest := 0, 0
	for end, i := time.Now().Add(20*time.Second), 0; time.Now().Before(end); i++ {
		if v := m.read(m.core[i%len(m.core)]); v > 0 {
			answered++
			newest = max(newest, v)
		}
		time.Sleep(readInterval)
	}
	rec.log("read back for 20 s, from %s after the machines were back: %d answers, newest version %d", recovery, answered, newest)
	return newest < version, nil
}
