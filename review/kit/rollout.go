package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// stateUnknown stands for a control host that knows no rollout of the service (404).
const stateUnknown = "unknown"

// rolloutStates reads the state of the rollout of a service at every control host, and returns
// those that were clearly answered.
func (m *mesh) rolloutStates(service string) map[string]string {
	states := map[string]string{}
	for _, c := range m.controls {
		for range 5 {
			status, body, err := m.ask(c, "call=rollouts.read&of="+service, "", nil)
			var answer struct {
				State string `json:"state"`
			}
			switch {
			case err == nil && status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && answer.State != "":
				states[c.name] = answer.State
			case err == nil && status == http.StatusNotFound:
				states[c.name] = stateUnknown
			}
			m.rec.log("operator: the rollout of %s at %s: status %d, %s", service, c.name, status, states[c.name])
			if states[c.name] != "" {
				break
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return states
}

// lostRollout withdraws a service and takes it up again with two configurations, starts a
// rollout of it, and then kills all control hosts.
func lostRollout(rec *recorder, trouble bool) (bool, error) {
	const recovery, changeEvery = 15 * time.Second, 340 * time.Millisecond
	m, err := newMesh(rec, []string{"za", "zb", "zc"})
	if err != nil {
		return false, err
	}
	defer m.stopAll()
	ups, err := m.startSmall()
	defer func() {
		for _, u := range ups {
			u.close()
		}
	}()
	if err != nil {
		return false, err
	}
	routeB := route{
		Host: hostA, PathPrefix: "/b/", RouteType: "idempotent", TimeoutMs: 1200, TargetLatencyMs: 200, Priority: 2, Service: serviceB, MaxAttempts: 2,
	}
	both := map[string]route{"r-1": idempotentRoute, "r-2": writeRoute, "r-3": routeB}
	without := map[string]route{"r-1": idempotentRoute, "r-2": writeRoute}
	version := uint64(1)
	replace := func(routes map[string]route, services ...string) error {
		status, err := m.replace(version+1, version, routes, services)
		if err != nil || status != 200 {
			return fmt.Errorf("%w: configuration %d: %d, %v", errCannotRun, version+1, status, err)
		}
		version++
		return nil
	}
	if err := replace(both, serviceA, serviceB); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// The service is taken out of the configuration and comes back, with a route each time.
	if err := replace(without, serviceA); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if err := replace(both, serviceA, serviceB); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// More changes, of a time-out only.
	for n := range 30 {
		r := both["r-1"]
		r.TimeoutMs = float64(1200 + n%2)
		both["r-1"] = r
		if err := replace(both, serviceA, serviceB); err != nil {
			return false, err
		}
		time.Sleep(changeEvery)
	}
	// The upstreams of the new version start beside the old ones.
	fresh := m.addNode("za", serviceB)
	if err := m.start(fresh, false); err != nil {
		return false, err
	}
	v2 := newUpstream(m, fresh, "i-0000000f")
	v2.version, v2.bad = "v2", true
	ups = append(ups, v2)
	if err := v2.start(); err != nil {
		return false, err
	}
	if err := m.awaitReady(20*time.Second, fresh); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	old := ups[2]
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { traffic(ctx, m, 10*time.Millisecond, "/b/x", m.nodes[0], m.nodes[1]) })
	defer wg.Wait()
	defer cancel()
	time.Sleep(4 * time.Second)
	rec.log("before the rollout, %s of v1 ran %d requests and %s of v2 %d", old.id, old.count(), v2.id, v2.count())
	ordered := time.Now()
	body := fmt.Appendf(nil, `{"service":%q,"targetVersion":"v2","durationS":16}`, serviceB)
	status, _, err := m.order(10*time.Second, "call=rollouts.start", "", body)
	if err != nil || status != 200 {
		return false, fmt.Errorf("%w: rollout: %d, %v", errCannotRun, status, err)
	}
	back := time.Now()
	if trouble {
		// The final fault: all processes of the system are killed and start again.
		all := append(append([]*machine{}, m.controls...), m.nodes...)
		for _, c := range all {
			m.signal(c, syscall.SIGKILL)
		}
		for _, c := range all {
			<-c.exited
		}
		time.Sleep(300 * time.Millisecond)
		back = time.Now()
		for _, c := range all {
			if err := m.start(c, false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(back.Add(3 * time.Second)))
	m.rolloutStates(serviceB)
	time.Sleep(time.Until(back.Add(recovery + time.Second)))
	states := m.rolloutStates(serviceB)
	rec.log("since the order, %s of v1 ran %d requests and %s of v2 %d", old.id, len(old.runsAfter(ordered)), v2.id, len(v2.runsAfter(ordered)))
	if len(states) == 0 {
		return false, fmt.Errorf("%w: no control host says anything of the rollout", errCannotRun)
	}
	lost := true
	for _, state := range states {
		lost = lost && state == stateUnknown
	}
	if lost {
		rec.log("the rollout that was confirmed is gone, at all control hosts")
	}
	return lost, nil
}
