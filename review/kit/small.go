package main

import "fmt"

// Names of the small deployment.
const (
	serviceA = "huvo11a"
	serviceB = "wuno96b"
	hostA    = "ficu95.example"
)

// idempotentRoute and writeRoute lead to service A.
var (
	idempotentRoute = route{
		Host: hostA, PathPrefix: "/p/", RouteType: "idempotent", TimeoutMs: 1200, TargetLatencyMs: 200, Priority: 2, Service: serviceA, MaxAttempts: 2,
	}
	writeRoute = route{
		Host: hostA, PathPrefix: "/w/", RouteType: "non_idempotent", TimeoutMs: 1200, TargetLatencyMs: 250, Priority: 1, Service: serviceA, MaxAttempts: 2,
	}
)

// startSmall starts three control hosts, one in each zone, two nodes of service A in the first
// two zones and one of service B in the third, each with its upstream, and waits until all
// nodes are ready under a first configuration. The upstreams are returned also after an error.
func (m *mesh) startSmall() ([]*upstream, error) {
	for _, z := range m.zones {
		m.addControl(z)
	}
	m.addNode(m.zones[0], serviceA)
	m.addNode(m.zones[1], serviceA)
	m.addNode(m.zones[2], serviceB)
	var ups []*upstream
	for i, n := range m.nodes {
		ups = append(ups, newUpstream(m, n, fmt.Sprintf("i-%08x", i+1)))
	}
	if err := m.startAll(); err != nil {
		return ups, err
	}
	for _, u := range ups {
		if err := u.start(); err != nil {
			return ups, err
		}
	}
	status, err := m.replace(1, 0, map[string]route{"r-1": idempotentRoute, "r-2": writeRoute}, []string{serviceA, serviceB})
	if err != nil || status != 200 {
		return ups, fmt.Errorf("%w: configuration: %d, %v", errCannotRun, status, err)
	}
	return ups, m.awaitReady(20e9, m.nodes...)
}

// join adds a machine with a node and an upstream to the running deployment and waits until
// its node is ready.
func (m *mesh) join(zone, service, id string) (*upstream, error) {
	n := m.addNode(zone, service)
	if err := m.start(n, false); err != nil {
		return nil, err
	}
	u := newUpstream(m, n, id)
	if err := u.start(); err != nil {
		return u, err
	}
	return u, m.awaitReady(20e9, n)
}
