package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"
)

// firstStart loses one control host soon after the first start of the whole system, and adds an
// empty one in its place. Nothing else happens.
func firstStart(rec *recorder, trouble bool) (bool, error) {
	const lostAfter, patience = 150 * time.Millisecond, time.Minute
	m, err := newMesh(rec, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	for _, z := range m.zones {
		m.addControl(z)
	}
	node := m.addNode("za", serviceA)
	u := newUpstream(m, node, "i-00000001")
	defer u.close()
	if err := m.startAll(); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(lostAfter)
		lost := m.controls[2]
		m.signal(lost, syscall.SIGKILL)
		<-lost.exited
		rec.log("platform: %s is gone for good", lost.name)
		time.Sleep(time.Second)
		// The successor is another machine with an empty disk, at another address.
		successor := m.addControl("zc")
		m.controls = []*machine{m.controls[0], m.controls[1], successor}
		if err := m.start(successor, false); err != nil {
			return false, err
		}
	}
	if err := u.start(); err != nil {
		return false, err
	}
	end := time.Now().Add(patience)
	status := 0
	for status != 200 && time.Now().Before(end) {
		status, err = m.replace(1, 0, map[string]route{"r-1": idempotentRoute}, []string{serviceA})
		if err != nil && !errors.Is(err, errNoAnswer) {
			return false, err
		}
		rec.log("operator: the first configuration has got %d, %v", status, err)
	}
	served := 0
	for n := 0; served == 0 && (n < 10 || time.Now().Before(end)); n++ {
		a := m.send(context.Background(), node, "GET", hostA, "/p/x", fmt.Sprintf("%016x", n+1), "", 1200*time.Millisecond)
		rec.log("caller: request %d got status %d", n+1, a.status)
		if a.status == 200 {
			served++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return status != 200 && served == 0, nil
}
