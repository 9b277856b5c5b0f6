package main

import (
	"fmt"
	"net/http"
	"time"
)

// departure: a server leaves and its departure is confirmed; then all processes of the system
// are killed and start again. A report that the server sent before it left arrives late. No
// request may reach the server later than the drain time after the confirmation.
func departure(rec *record, trouble bool) (broken bool, err error) {
	m, err := newMesh(rec, stewards, []int{2, 2, 1}, []int{2, 2, 2}, "huvo11a")
	if err != nil {
		return false, err
	}
	defer m.close()
	servers, err := startServed(m)
	if err != nil {
		return false, err
	}
	c := startCallers(m, 20)
	time.Sleep(8 * time.Second)

	leaving := servers[0]
	// The report is on its way from here on, and arrives some seconds late.
	late := leaving.beat("ready")
	leaving.beats.Store(false)
	sentAt := time.Now()
	rec.log("server %s at %s sends a report that will be late", leaving.id, leaving.host.name)
	time.Sleep(200 * time.Millisecond)
	confirmed, err := leaving.deregister(5 * time.Second)
	if err != nil {
		return false, err
	}
	rec.log("departure of %s confirmed by %s", leaving.id, leaving.host.name)
	inTouch := confirmed
	if trouble {
		m.killAll()
		rec.log("all processes killed")
		time.Sleep(time.Second)
		if err := m.startAll(); err != nil {
			return false, err
		}
		rec.log("all processes started again")
		inTouch = time.Now().Add(2 * contactWindow) // the fault took most of the core
	}
	time.Sleep(time.Until(sentAt.Add(4 * time.Second)))
	status, err := leaving.send("instances.heartbeat", late)
	rec.log("late report of %s arrives: status %d, %v", leaving.id, status, err)
	time.Sleep(time.Until(confirmed.Add(14 * time.Second)))
	c.end()
	leaving.end()
	rec.log("server %s has ended", leaving.id)
	bound := confirmed.Add(drain)
	all, counted := leaving.after(bound), 0
	for _, a := range all {
		s, ok := c.find(a.id)
		if !ok || s.at.Before(inTouch) {
			continue
		}
		if counted++; counted <= 10 {
			rec.log("request %s, sent to %s at %.3f, reached %s at %.3f, %.3f s after its departure was confirmed", a.id, s.machine,
				s.at.Sub(rec.start).Seconds(), leaving.id, a.at.Sub(rec.start).Seconds(), a.at.Sub(confirmed).Seconds())
		}
	}
	rec.log("%d requests reached the server later than %s after the confirmation, %d of them sent to machines in touch", len(all), drain, counted)
	rec.log("answers to consumers: %s", c.summary())
	for _, s := range servers {
		s.end()
	}
	return counted > 0, nil
}

// startServed starts the machines with a server beside each node, and puts a first
// configuration in force.
func startServed(m *mesh) ([]*server, error) {
	if err := m.startAll(); err != nil {
		return nil, err
	}
	var servers []*server
	for _, h := range m.side {
		s := newServer(h, 20*time.Millisecond)
		if err := s.start(); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if _, err := m.order("config.replace", "", "00000000", configuration(3, "huvo11a", 1200), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	// Service begins once each node has heard its server.
	c := &callers{mesh: m, sent: map[string]sent{}, counts: map[string]int{}}
	for started := time.Now(); ; time.Sleep(200 * time.Millisecond) {
		ok := 0
		for _, h := range m.side {
			if status, _ := c.request(httpClient, h, http.MethodGet, "/look/x", ""); status == http.StatusOK {
				ok++
			}
		}
		if ok == len(m.side) {
			return servers, nil
		}
		if time.Since(started) > 20*time.Second {
			return nil, fmt.Errorf("requests are not served: %s", c.summary())
		}
	}
}
