package distribute

import (
	"cmp"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// InForce is the configuration that a node routes by. It is immutable.
type InForce struct {
	// Accepted is the newest accepted version, as published.
	Accepted *Version
	// Config is Accepted.Config, except that a held route keeps its previous
	// definition, or is left out if it is new.
	Config note.Config
	// Held lists the routes of Accepted that are not in force yet.
	Held []HeldRoute
}

// HeldRoute is a route that is not in force yet because its service has no live
// endpoint.
type HeldRoute struct {
	Route   model.RouteName
	Service model.ServiceName
	// Since is the position of the first version in which the route was held.
	Since model.Position
}

// Acceptor decides which versions come into force on a node. Writers hold its
// mutex; readers load the configuration in force through an atomic pointer.
type Acceptor struct {
	self  model.HostID
	store *Store
	eps   *membership.Table
	log   *slog.Logger

	inForce atomic.Pointer[InForce]

	// mu guards the fields below and every change of inForce and store.
	mu       sync.Mutex
	floor    model.Position
	refusals []Refusal
	changed  chan struct{}
}

// NewAcceptor returns an acceptor that publishes accepted versions to store.
func NewAcceptor(self model.HostID, store *Store, eps *membership.Table, log *slog.Logger) *Acceptor {
	return &Acceptor{self: self, store: store, eps: eps, log: log, changed: make(chan struct{})}
}

// Store returns the store of accepted versions.
func (a *Acceptor) Store() *Store { return a.store }

// InForce returns the configuration in force, or nil before the first version.
func (a *Acceptor) InForce() *InForce { return a.inForce.Load() }

// Position returns the position in force, or zero before the first version.
func (a *Acceptor) Position() model.Position {
	if f := a.InForce(); f != nil {
		return f.Accepted.Position
	}
	return model.Position{}
}

// Changed returns a channel that is closed once InForce returns something newer
// than seen.
func (a *Acceptor) Changed(seen *InForce) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inForce.Load() != seen {
		return closedChan
	}
	return a.changed
}

// SetFloor raises the floor, the lowest position that may come into force.
func (a *Acceptor) SetFloor(pos model.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.floor.Less(pos) {
		a.floor = pos
	}
}

// acceptDelta applies a delta to the accepted version and brings the result
// into force.
func (a *Acceptor) acceptDelta(u deltaFrame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cur := a.store.Current()
	from := note.NewConfig()
	var at model.Position
	var sum uint64
	if cur != nil {
		from, at, sum = cur.Config, cur.Position, cur.Sum
	}
	if err := a.checkPosition(at, u.Position); err != nil {
		return err
	}
	if at.Less(u.Base) {
		return eris.Wrapf(ErrBase, "delta %s to %s, accepted is %s", u.Base, u.Position, at)
	}
	cfg, invalid := from.Apply(u.Delta)
	next := &Version{Position: u.Position, Config: cfg, Sum: sumAfter(sum, from, cfg, u.Delta)}
	if next.Sum != u.Sum {
		return eris.Wrapf(ErrDiverged, "delta %s to %s from %s: sum %x, want %x", u.Base, u.Position, at, next.Sum, u.Sum)
	}
	if invalid != nil {
		return a.refuse(u.Position, invalid)
	}
	return a.install(cur, next, u.Delta, u.Sum)
}

// acceptVersion brings a whole version into force, such as one from a snapshot.
func (a *Acceptor) acceptVersion(v *Version) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	cur := a.store.Current()
	from := note.NewConfig()
	var at model.Position
	if cur != nil {
		from, at = cur.Config, cur.Position
	}
	if err := a.checkPosition(at, v.Position); err != nil {
		return err
	}
	if err := note.Validate(v.Config); err != nil {
		return a.refuse(v.Position, err)
	}
	return a.install(cur, v, note.Diff(from, v.Config), v.Sum)
}

// Restore brings the version from the cache file into force at startup.
func (a *Acceptor) Restore(v *Version) error { return a.acceptVersion(v) }

func (a *Acceptor) checkPosition(at, next model.Position) error {
	if !at.Less(next) {
		return eris.Wrapf(ErrOld, "%s after %s", next, at)
	}
	if next.Less(a.floor) {
		return eris.Wrapf(ErrBelowFloor, "%s, floor is %s", next, a.floor)
	}
	return nil
}

// refuse records a version that failed validation; the previous one stays in
// force.
func (a *Acceptor) refuse(pos model.Position, reason error) error {
	text := reason.Error()
	r := Refusal{Host: a.self, Position: pos, Reason: text[:min(len(text), maxReason)]}
	if !slices.Contains(a.refusals, r) {
		a.refusals = append(a.refusals, r)
		a.refusals = a.refusals[max(0, len(a.refusals)-maxRefusals):]
		a.log.Warn("version refused", "position", pos.String(), "in_force", a.Position().String(), "reason", r.Reason)
	}
	return eris.Wrapf(ErrRefused, "%s: %v", pos, reason)
}

// install brings an accepted version into force. wantSum is the checksum that
// the sender stated.
func (a *Acceptor) install(from, next *Version, d note.Delta, wantSum uint64) error {
	previous := &InForce{}
	if f := a.inForce.Load(); f != nil {
		previous = f
	}
	cfg, held := effective(previous, next, a.eps.HasAlive)
	if err := a.store.replace(from, next, d); err != nil {
		return err
	}
	a.swap(&InForce{Accepted: next, Config: cfg, Held: held}, wantSum)
	a.refusals = slices.DeleteFunc(a.refusals, func(r Refusal) bool { return !next.Position.Less(r.Position) })
	a.log.Info("version in force", "position", next.Position.String(), "records", recordCount(d), "held_routes", len(held))
	return nil
}

// ReleaseHeldRoutes brings held routes into force once their service has a live endpoint.
// It does nothing while the accepted version is below the floor.
func (a *Acceptor) ReleaseHeldRoutes() {
	if f := a.inForce.Load(); f == nil || len(f.Held) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.inForce.Load()
	if f.Accepted.Position.Less(a.floor) || !slices.ContainsFunc(f.Held, func(h HeldRoute) bool { return a.eps.HasAlive(h.Service) }) {
		return
	}
	cfg, held := effective(f, f.Accepted, a.eps.HasAlive)
	a.swap(&InForce{Accepted: f.Accepted, Config: cfg, Held: held}, f.Accepted.Sum)
	a.log.Info("node put held routes into force whose service now has a live endpoint", "position", f.Accepted.Position.String(),
		"released", len(f.Held)-len(held), "held_routes", len(held))
}

// swap checks the invariants and replaces the configuration that readers load.
func (a *Acceptor) swap(next *InForce, wantSum uint64) {
	pos := next.Accepted.Position
	if previous := a.inForce.Load(); previous != nil {
		prevVersion := previous.Accepted
		invariant.Check(!pos.Less(prevVersion.Position), invariant.NoOlderNote, "older version put in force",
			"from", prevVersion.Position.String(), "to", pos.String())
		invariant.Check(pos != prevVersion.Position || next.Accepted.Sum == prevVersion.Sum, invariant.AcceptedNeverReverts,
			"content of an accepted position changed", "position", pos.String())
	}
	invariant.Check(!pos.Less(a.floor), invariant.AcceptedNeverReverts, "version below the floor put in force",
		"floor", a.floor.String(), "to", pos.String())
	invariant.Check(next.Accepted.Sum == wantSum && next.complete(), invariant.NoPartialVersion,
		"version differs from what was sent", "position", pos.String())
	for _, r := range next.Config.Routes {
		_, ok := next.Config.Services[r.Service]
		invariant.Check(ok, invariant.NoUnknownService, "route to an unknown service",
			"position", pos.String(), "route", string(r.Name), "service", string(r.Service))
	}
	a.inForce.Store(next)
	close(a.changed)
	a.changed = make(chan struct{})
}

// complete reports whether Config contains every accepted service and every
// accepted route that is not held.
func (f *InForce) complete() bool {
	held := map[model.RouteName]bool{}
	for _, h := range f.Held {
		held[h.Route] = true
	}
	for name := range f.Accepted.Config.Services {
		if _, ok := f.Config.Services[name]; !ok {
			return false
		}
	}
	for name := range f.Accepted.Config.Routes {
		if _, ok := f.Config.Routes[name]; !ok && !held[name] {
			return false
		}
	}
	return true
}

// effective returns the accepted configuration, in which a new or changed route
// is held while its service has no live endpoint: the previous route stays,
// together with the service that it points to. An unchanged route stays in
// force even if its service has lost all endpoints, and an immediate route is
// never held.
func effective(previous *InForce, accepted *Version, hasEndpoint func(model.ServiceName) bool) (note.Config, []HeldRoute) {
	var held []HeldRoute
	for name, r := range accepted.Config.Routes {
		prevRoute, had := previous.Config.Routes[name]
		if had && prevRoute.Equal(r) || r.Immediate || hasEndpoint(r.Service) {
			continue
		}
		held = append(held, HeldRoute{Route: name, Service: r.Service, Since: accepted.Position})
	}
	if len(held) == 0 {
		return accepted.Config, nil // immutable, so it needs no copy
	}
	cfg := accepted.Config.Clone()
	for _, h := range held {
		if prevRoute, had := previous.Config.Routes[h.Route]; had {
			keepRoute(cfg, previous.Config, prevRoute)
		} else {
			delete(cfg.Routes, h.Route)
		}
	}
	slices.SortFunc(held, func(a, b HeldRoute) int { return cmp.Compare(a.Route, b.Route) })
	return cfg, keepSince(held, previous.Held)
}

// keepRoute puts a previous route into cfg, together with its service if the
// new version has removed that.
func keepRoute(cfg, previous note.Config, prevRoute note.Route) {
	cfg.Routes[prevRoute.Name] = prevRoute
	if _, ok := cfg.Services[prevRoute.Service]; ok {
		return
	}
	cfg.Services[prevRoute.Service] = previous.Services[prevRoute.Service]
	if s, ok := previous.Shares[prevRoute.Service]; ok {
		cfg.Shares[prevRoute.Service] = s
	}
}

// keepSince copies Since from the routes that were already held for the same
// service. Both lists are sorted by route name.
func keepSince(held, previous []HeldRoute) []HeldRoute {
	for i, h := range held {
		j, ok := slices.BinarySearchFunc(previous, h.Route, func(f HeldRoute, name model.RouteName) int { return cmp.Compare(f.Route, name) })
		if ok && previous[j].Service == h.Service {
			held[i].Since = previous[j].Since
		}
	}
	return held
}

// Report returns the report of this node without its children.
func (a *Acceptor) Report() SubtreeReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := SubtreeReport{Nodes: 1, Refusals: slices.Clone(a.refusals)}
	f := a.inForce.Load()
	if f == nil {
		return r
	}
	r.LowestPosition, r.Held = f.Accepted.Position, len(f.Held)
	for _, h := range f.Held {
		if len(r.Refusals) == maxRefusals {
			break
		}
		r.Refusals = append(r.Refusals, Refusal{Host: a.self, Position: h.Since, Route: h.Route,
			Reason: "no endpoint of service " + string(h.Service)})
	}
	return r
}
