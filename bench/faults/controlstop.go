package faults

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxWriteGap bounds the time without an answered write around a planned stop of a
	// leader. An election after a crash would take one to two seconds.
	maxWriteGap = time.Second
	// probeInterval is the pause between two writes of the probe.
	probeInterval = 20 * time.Millisecond
	// stopObservation is the time for which the probe runs after each stop and each start.
	stopObservation = 3 * time.Second
)

// restartControlHosts stops each control host with SIGTERM and starts it again, the
// leader first, and measures the longest time without an answered write.
func restartControlHosts(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	entries, _ := e.entryNodes()
	e.startLoad(entries)
	time.Sleep(time.Second)
	probe := startWriteProbe(e, entries[0].CallerURL)
	leader, err := e.Leader()
	if err != nil {
		probe.stopAndReport()
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
			probe.stopAndReport()
			return err
		}
		time.Sleep(stopObservation)
		if err := c.Start(); err != nil {
			probe.stopAndReport()
			return err
		}
		time.Sleep(stopObservation)
	}
	gap := probe.stopAndReport()
	e.endLoad()
	e.addFigure("3 control hosts restarted; longest time without an answered write %s; lookups not answered in time %d of %d",
		seconds(gap), notOK(e.flowReport(lookupFlow)), e.flowReport(lookupFlow).Sent)
	if gap > maxWriteGap {
		return fmt.Errorf("no write was answered for %s, bound is %s", gap, maxWriteGap)
	}
	return nil
}

// writeProbe sends writes in sequence and measures the longest time between two
// answered writes.
type writeProbe struct {
	stop chan struct{}
	wg   sync.WaitGroup
	gap  time.Duration
}

func startWriteProbe(e *env, entry string) *writeProbe {
	p := &writeProbe{stop: make(chan struct{})}
	p.wg.Go(func() {
		last := time.Now()
		for {
			if sendWrite(e, entry) == nil {
				p.gap = max(p.gap, time.Since(last))
				last = time.Now()
			}
			select {
			case <-p.stop:
				p.gap = max(p.gap, time.Since(last))
				return
			case <-time.After(probeInterval):
			}
		}
	})
	return p
}

// stopAndReport stops the probe and returns the longest gap.
func (p *writeProbe) stopAndReport() time.Duration {
	close(p.stop)
	p.wg.Wait()
	return p.gap
}
