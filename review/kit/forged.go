package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// forgedReport sends a status report with a missing field, as another writer may, and then
// lets the upstream say that it drains.
func forgedReport(rec *recorder, trouble bool) (bool, error) {
	const drainMs = 2 * time.Second
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); traffic(ctx, m, 20*time.Millisecond, "/p/x", m.nodes[2], neighbour.beside) }()
	time.Sleep(6 * time.Second) // nodes and core are in touch, and the upstreams are warm
	leaving := ups[0]
	if leaving.count() == 0 {
		return false, fmt.Errorf("%w: the upstream got no request before it left", errCannotRun)
	}
	if trouble {
		forged, _ := json.Marshal(map[string]any{
			"service": leaving.beside.service, "address": addr(leaving.beside.ip, portApp), "zone": leaving.beside.zone,
			"version": leaving.version, "slots": 16, "state": "ready", "sequence": 100, "born": leaving.born,
		})
		status, err := leaving.report(forged)
		rec.log("another writer: a status report of %s without coldLeftMs and with sequence 100 is answered with %d, %v", leaving.id, status, err)
	}
	leaving.stopBeat()
	time.Sleep(200 * time.Millisecond)
	status, err := leaving.report(leaving.heartbeat("draining"))
	confirmed := time.Now()
	rec.log("upstream %s: status report %d says draining, confirmed with %d, %v", leaving.id, leaving.sequence, status, err)
	if err != nil || status != 200 {
		return false, fmt.Errorf("%w: draining was not confirmed", errCannotRun)
	}
	time.Sleep(6 * time.Second) // the upstream still serves
	cancel()
	<-done
	late := leaving.runsAfter(confirmed.Add(drainMs))
	for _, r := range late[:min(len(late), 5)] {
		rec.log("upstream %s ran %s %.3f s after draining was confirmed", leaving.id, r.id, r.at.Sub(confirmed).Seconds())
	}
	rec.log("%d requests reached the upstream later than drainMs", len(late))
	return len(late) > 0, nil
}
