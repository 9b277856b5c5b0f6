package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/registration"
	"balsamtrail.org/mesh/telemetry"
)

// ErrUnconfirmed is returned for a drain or a deregistration that is in force on this
// node but not yet known to a control host: a restart of the node would forget it. The
// backend server should repeat it.
var ErrUnconfirmed = errors.New("not recorded by a control host yet")

// Registrar accepts the registration of a backend server. An accepted change is in
// force on this node when the call returns.
type Registrar interface {
	// Heartbeat registers the backend server, or renews its registration. It returns nil
	// for a heartbeat in state draining only once a control host has recorded that.
	Heartbeat(context.Context, registration.Heartbeat) error
	// Deregister ends a registration. started is 0 if the request does not state it. It
	// returns nil only once a control host has recorded that.
	Deregister(ctx context.Context, instance string, started int64) error
}

// confirmTimeout bounds the wait for a control host that records a drain or a
// deregistration. Backend servers wait for an answer for a second.
const confirmTimeout = 700 * time.Millisecond

// metricUnconfirmed counts the drains and deregistrations that no control host recorded
// in time.
const metricUnconfirmed = "registration.unconfirmed"

// registrar applies the registration of the backend server to the parts of the node
// that depend on it.
type registrar struct {
	n *Node
	// registered is closed when the backend server has registered for the first time.
	registered     chan struct{}
	registeredOnce sync.Once
	// historyKnown is closed once the node has learned what other processes know of its
	// backend server from before a restart of the node.
	historyKnown     chan struct{}
	historyKnownOnce sync.Once

	// mu guards the fields below and serializes the changes.
	mu       sync.Mutex
	registry *registration.Registry
	// isUnreachable is set while the backend server cannot be reached; the next
	// heartbeat clears it.
	isUnreachable bool
}

func newRegistrar(n *Node, address string) *registrar {
	return &registrar{
		n: n, registered: make(chan struct{}), historyKnown: make(chan struct{}),
		registry: registration.New(registration.Expected{
			Service: n.cfg.Backend.Service, DataCentre: n.cfg.DataCentre, Address: address,
		}),
	}
}

// Heartbeat implements Registrar.
func (r *registrar) Heartbeat(ctx context.Context, h registration.Heartbeat) error {
	if err := r.applyHeartbeat(h); err != nil || h.State != registration.StateDraining {
		return err
	}
	return r.awaitConfirmed(ctx, h.Instance)
}

func (r *registrar) applyHeartbeat(h registration.Heartbeat) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, err := r.registry.Heartbeat(h)
	if err != nil {
		r.n.log.Warn("heartbeat of the backend server refused", "instance", h.Instance, "sequence", h.Sequence, "reason", err.Error())
		return err
	}
	switch change {
	case registration.Started:
		r.startLifetime(h)
	case registration.Renewed:
		r.n.gate.SetCold(h.ColdFor)
		if r.isUnreachable {
			r.markReachable(h)
		}
	case registration.Draining:
		r.closeLifetime("draining")
	case registration.Unchanged, registration.Deregistered:
		if h.State == registration.StateReady && r.registry.Lifetime().Closed {
			r.n.log.Info("heartbeat of a backend server that leaves or has left changes nothing", "instance", h.Instance,
				"started", h.Started, "sequence", h.Sequence)
		}
	}
	return nil
}

// awaitConfirmed waits until a control host has recorded that the newest lifetime takes
// no new requests.
func (r *registrar) awaitConfirmed(ctx context.Context, instance string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := r.n.publisher.AwaitConfirmed(ctx); err != nil {
		telemetry.Counter(metricUnconfirmed).Inc(1)
		r.n.log.Warn("drain of the backend server not confirmed", "instance", instance, "reason", err.Error())
		return eris.Wrapf(ErrUnconfirmed, "instance %s", instance)
	}
	return nil
}

// startLifetime begins sending requests to a newly started backend server.
func (r *registrar) startLifetime(h registration.Heartbeat) {
	n := r.n
	n.log.Info("backend server registered", "instance", h.Instance, "started", h.Started, "sequence", h.Sequence,
		"version", string(h.Version), "slots", h.Slots, "cold_for", h.ColdFor.String(), "draining", h.State == registration.StateDraining)
	n.backend.setLifetime(lifetime{instance: h.Instance, started: h.Started})
	n.backend.conns.Reset()
	n.gate.Start(h.Slots, h.ColdFor)
	n.publisher.Restart(membership.Lifetime{Instance: h.Instance, Started: h.Started}, h.Version, h.Slots, time.Now())
	r.isUnreachable = false
	r.registeredOnce.Do(func() { close(r.registered) })
	if h.State == registration.StateDraining {
		r.closeLifetime("draining")
	}
}

// closeLifetime stops new requests to the newest lifetime of the backend server for good:
// at this node immediately, at others once the announcement reaches them.
func (r *registrar) closeLifetime(reason string) {
	l := r.registry.Lifetime()
	r.n.gate.Drain()
	r.n.publisher.CloseLifetime(membership.Lifetime{Instance: l.Instance, Started: l.Started})
	r.registeredOnce.Do(func() { close(r.registered) }) // it is announced even if it never registered here
	r.n.log.Info("backend server gets no new requests", "instance", l.Instance, "started", l.Started, "reason", reason)
}

// Deregister implements Registrar.
func (r *registrar) Deregister(ctx context.Context, instance string, started int64) error {
	if started == 0 && !r.awaitHistory(ctx) {
		return eris.Wrapf(ErrUnconfirmed, "instance %s: this node does not know its lifetime yet", instance)
	}
	closed, err := r.applyDeregistration(instance, started)
	if err != nil || !closed {
		return err
	}
	return r.awaitConfirmed(ctx, instance)
}

// applyDeregistration reports whether the newest lifetime is now closed.
func (r *registrar) applyDeregistration(instance string, started int64) (closed bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, err := r.registry.Deregister(instance, started, time.Now())
	if err != nil {
		r.n.log.Warn("deregistration of the backend server refused", "instance", instance, "reason", err.Error())
		return false, err
	}
	l := r.registry.Lifetime()
	switch {
	case change == registration.Deregistered:
		r.closeLifetime("deregistered")
	case l.Instance != instance:
		r.n.log.Info("deregistration of another lifetime than the newest one", "instance", instance, "started", started,
			"newest", l.Instance, "newest_started", l.Started)
	}
	return l.Closed, nil
}

// awaitHistory waits until the node knows its backend server's newest lifetime, from
// itself or from other processes. It reports false if that takes too long.
func (r *registrar) awaitHistory(ctx context.Context) bool {
	select {
	case <-r.registered:
		return true
	default:
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	select {
	case <-r.registered:
	case <-r.historyKnown:
	case <-ctx.Done():
		return false
	}
	return true
}

// learnHistory applies the records of this node that other processes sent at its start.
func (r *registrar) learnHistory(records []membership.Announcement) {
	for _, a := range records {
		r.observe(a)
	}
	r.historyKnownOnce.Do(func() { close(r.historyKnown) })
}

// observe applies another process's record of this node. A lifetime that is closed there
// gets no more requests here, even if this node was restarted since and then heard a
// late heartbeat.
func (r *registrar) observe(a membership.Announcement) {
	if a.Started == 0 || a.CallAddress != r.n.cfg.Advertise.Call {
		return // no lifetime, or a host that had this name before
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.Observe(registration.Lifetime{Instance: a.Instance, Started: a.Started, Closed: a.Closed}) != registration.Draining {
		return
	}
	if !a.Closed { // a newer lifetime than the registered one, which must register here first
		r.n.gate.Drain()
		r.n.publisher.Drain()
		r.n.log.Info("backend server gets no new requests", "instance", a.Instance, "started", a.Started, "reason", "a newer lifetime is known")
		return
	}
	r.closeLifetime("closed before the node was restarted")
}

// markLeaving stops new requests to a backend server that has said in an answer that it
// leaves. Its later heartbeats do not change that.
func (r *registrar) markLeaving(l lifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.Leave(l.instance, l.started) == registration.Draining {
		r.closeLifetime("leaving by its own answer")
	}
}

// markUnreachable stops new requests to the backend server until its next heartbeat. A
// refused connection or an answer from another instance shows that the registered
// instance no longer runs.
func (r *registrar) markUnreachable(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isUnreachable {
		return
	}
	r.isUnreachable = true
	r.n.gate.SetAvailable(false)
	r.n.publisher.Drain()
	r.n.log.Warn("registered backend server is unreachable", "reason", reason)
}

func (r *registrar) markReachable(h registration.Heartbeat) {
	r.isUnreachable = false
	r.n.gate.SetAvailable(true)
	r.n.publisher.Serve()
	r.n.log.Info("registered backend server is reachable again", "instance", h.Instance, "sequence", h.Sequence)
}

// followBackend announces the backend server once it has registered. If it does not
// register itself, it is watched by probes instead.
func (n *Node) followBackend(ctx context.Context) error {
	if n.registration == nil {
		return n.watchBackend(ctx)
	}
	select {
	case <-n.registration.registered:
		return n.announce(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}
