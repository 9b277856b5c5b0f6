package faults

import (
	"fmt"
	"sync"
	"time"
)

const (
	// stopGap bounds the time without an accepted write around a planned stop of a
	// leader; an election after a crash takes one to two seconds.
	stopGap = time.Second
	// probeEvery is the interval of the probing writes.
	probeEvery = 20 * time.Millisecond
	// afterStop is how long the writes are watched after a stop.
	afterStop = 3 * time.Second
)

// controlStop restarts each control host in turn by SIGTERM, the leader first, and
// measures the longest time without an answered write.
func controlStop(e *env) error {
	if err := e.startMesh(sevenPlaces, threePlaces); err != nil {
		return err
	}
	entries, _ := e.entries()
	e.startLoad(entries)
	time.Sleep(time.Second)
	probe := startProbe(e, entries[0].Caller)
	leader, err := e.Leader()
	if err != nil {
		probe.end()
		return err
	}
	hosts := append(e.Controls[:0:0], leader)
	for _, c := range e.Controls {
		if c != leader {
			hosts = append(hosts, c)
		}
	}
	for _, c := range hosts {
		if err := c.Stop(); err != nil {
			probe.end()
			return err
		}
		time.Sleep(afterStop)
		if err := c.Start(); err != nil {
			probe.end()
			return err
		}
		time.Sleep(afterStop)
	}
	gap := probe.end()
	e.endLoad()
	e.measured("3 control hosts restarted; longest time without an answered write %s; lookups not answered in time %d of %d",
		seconds(gap), notOK(e.flow(lookups)), e.flow(lookups).Sent)
	if gap > stopGap {
		return fmt.Errorf("no write was answered for %s, bound is %s", gap, stopGap)
	}
	return nil
}

// probe sends writes one after the other and keeps the longest time between two
// that were answered.
type probe struct {
	stop chan struct{}
	wg   sync.WaitGroup
	gap  time.Duration
}

func startProbe(e *env, entry string) *probe {
	p := &probe{stop: make(chan struct{})}
	p.wg.Go(func() {
		last := time.Now()
		for {
			if write(e, entry) == nil {
				p.gap = max(p.gap, time.Since(last))
				last = time.Now()
			}
			select {
			case <-p.stop:
				p.gap = max(p.gap, time.Since(last))
				return
			case <-time.After(probeEvery):
			}
		}
	})
	return p
}

// end stops the probe and returns the longest gap.
func (p *probe) end() time.Duration {
	close(p.stop)
	p.wg.Wait()
	return p.gap
}
