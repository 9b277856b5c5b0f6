package node

import (
	"context"
	"sync"
	"time"

	"balsamtrail.org/mesh/registration"
)

// Registrar accepts the registration of a backend server. An accepted change is in
// force on this node when the call returns.
type Registrar interface {
	// Heartbeat registers the backend server, or renews its registration.
	Heartbeat(registration.Heartbeat) error
	// Deregister ends a registration. started is 0 if the request does not state it.
	Deregister(instance string, started int64) error
}

// registrar applies the registration of the backend server to the parts of the node
// that depend on it.
type registrar struct {
	n *Node
	// registered is closed when the backend server has registered for the first time.
	registered     chan struct{}
	registeredOnce sync.Once

	// mu guards the fields below and serializes the changes.
	mu       sync.Mutex
	registry *registration.Registry
	// isUnreachable is set while the backend server cannot be reached; the next
	// heartbeat clears it.
	isUnreachable bool
}

func newRegistrar(n *Node, address string) *registrar {
	return &registrar{n: n, registered: make(chan struct{}), registry: registration.New(registration.Expected{
		Service: n.cfg.Backend.Service, DataCentre: n.cfg.DataCentre, Address: address,
	})}
}

// Heartbeat implements Registrar.
func (r *registrar) Heartbeat(h registration.Heartbeat) error {
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
		r.drain(h.Instance, "draining")
	case registration.Unchanged, registration.Deregistered:
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
	n.publisher.Restart(h.Version, h.Slots, time.Now())
	r.isUnreachable = false
	r.registeredOnce.Do(func() { close(r.registered) })
	if h.State == registration.StateDraining {
		r.drain(h.Instance, "draining")
	}
}

// drain stops new requests to the backend server: at this node immediately, at others
// once the announcement reaches them.
func (r *registrar) drain(instance, reason string) {
	r.n.gate.Drain()
	r.n.publisher.Drain()
	r.n.log.Info("backend server gets no new requests", "instance", instance, "reason", reason)
}

// Deregister implements Registrar.
func (r *registrar) Deregister(instance string, started int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, err := r.registry.Deregister(instance, started)
	if err != nil {
		r.n.log.Warn("deregistration of the backend server refused", "instance", instance, "reason", err.Error())
		return err
	}
	if change == registration.Deregistered {
		r.drain(instance, "deregistered")
	}
	return nil
}

// markLeaving stops new requests to a backend server that has said in an answer that it
// leaves. Its later heartbeats do not change that.
func (r *registrar) markLeaving(l lifetime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.Leave(l.instance, l.started) == registration.Draining {
		r.drain(l.instance, "leaving by its own answer")
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
