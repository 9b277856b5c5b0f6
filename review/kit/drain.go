package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// traffic sends idempotent requests through the given nodes until ctx ends, and returns when
// the last one has its answer.
func traffic(ctx context.Context, m *mesh, every time.Duration, path string, via ...*machine) {
	var wg sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		at, id := via[n%len(via)], fmt.Sprintf("%016x", 0x1000+n)
		wg.Go(func() {
			began := time.Now()
			a := m.send(context.Background(), at, "GET", hostA, path, id, "", 1200*time.Millisecond)
			m.rec.log("caller: %s sent at %s s via %s, status %d, stamp %q", id, fmt.Sprintf("%.3f", began.Sub(m.rec.start).Seconds()), at.name, a.status, a.header.Get("X-Response-Stamp"))
		})
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// forgottenDrain lets an upstream deregister, restarts the node that has confirmed it, and
// then delivers a status report that the upstream had sent before and that was delayed.
func forgottenDrain(rec *recorder, trouble bool) (bool, error) {
	const drainMs, contactWindow = 2 * time.Second, 3 * time.Second
	m, err := newMesh(rec, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	ups, err := m.startSmall()
	for _, u := range ups {
		defer u.close()
	}
	if err != nil {
		return false, err
	}
	// A neighbour in the zone of the upstream that leaves, which prefers it.
	neighbour, err := m.join("za", serviceB, "i-00000004")
	if err != nil {
		return false, err
	}
	defer neighbour.close()
	a1, b1 := m.nodes[0], m.nodes[2]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); traffic(ctx, m, 20*time.Millisecond, "/p/x", b1, neighbour.beside) }()
	time.Sleep(6 * time.Second) // nodes and core are in touch, and the upstreams are warm
	leaving := ups[0]
	before := leaving.count()
	rec.log("upstream %s has run %d requests", leaving.id, before)
	if before == 0 {
		return false, fmt.Errorf("%w: the upstream got no request before it left", errCannotRun)
	}
	leaving.stopBeat()
	time.Sleep(100 * time.Millisecond)
	delayed := leaving.heartbeat("ready")
	rec.log("upstream %s: sends status report %d, which is delayed on its way", leaving.id, leaving.sequence)
	time.Sleep(200 * time.Millisecond)
	status, err := leaving.call("instances.deregister", fmt.Appendf(nil, `{"born":%d}`, leaving.born))
	confirmed := time.Now()
	if err != nil || status != 200 {
		return false, fmt.Errorf("%w: deregistration: %d, %v", errCannotRun, status, err)
	}
	rec.log("upstream %s: has deregistered, confirmed with %d by %s", leaving.id, status, a1.name)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		m.signal(a1, syscall.SIGKILL)
		<-a1.exited
		time.Sleep(300 * time.Millisecond)
		if err := m.start(a1, false); err != nil {
			return false, err
		}
		if err := m.awaitReady(10*time.Second, a1); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(confirmed.Add(2500 * time.Millisecond)))
	status, err = leaving.report(delayed)
	rec.log("upstream %s: the delayed status report arrives at %s, answered with %d, %v", leaving.id, a1.name, status, err)
	time.Sleep(time.Until(confirmed.Add(9 * time.Second))) // the upstream still serves
	cancel()
	<-done
	// Requests count once the restarted node has been in touch again, too.
	bound := confirmed.Add(drainMs)
	if trouble {
		if t := a1.startedAt.Add(contactWindow + 500*time.Millisecond); t.After(bound) {
			bound = t
		}
	}
	late := leaving.runsAfter(bound)
	for _, r := range late[:min(len(late), 5)] {
		rec.log("upstream %s ran %s %.3f s after its deregistration was confirmed", leaving.id, r.id, r.at.Sub(confirmed).Seconds())
	}
	rec.log("%d requests reached the upstream after the bound", len(late))
	return len(late) > 0, nil
}
