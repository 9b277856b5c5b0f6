package routing

import (
	"slices"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// split distributes the calls of one route over its destinations.
type split struct {
	destinations []note.Destination
	// currentWeight holds a counter for each destination. Each call adds the weight of
	// the destination; each call that the destination gets subtracts the total weight.
	currentWeight []int64
}

// next returns the service of the destination with the greatest current weight
// (smooth weighted round robin). The number of calls that a destination gets differs
// from its exact share by less than the number of the other destinations.
func (s *split) next() model.ServiceName {
	best, total := -1, int64(0)
	for i, d := range s.destinations {
		s.currentWeight[i] += int64(d.Weight)
		total += int64(d.Weight)
		if d.Weight > 0 && (best < 0 || s.currentWeight[i] > s.currentWeight[best]) {
			best = i
		}
	}
	s.currentWeight[best] -= total
	return s.destinations[best].Service
}

// PickService chooses the service for a call of a route: the only one, or the service of
// one of the destinations of its split, by weight.
func (p *Picker) PickService(r note.Route) model.ServiceName {
	if len(r.Split) < 2 {
		return r.Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.splits[r.Name]
	if s == nil || !slices.Equal(s.destinations, r.Split) {
		s = &split{destinations: r.Split, currentWeight: make([]int64, len(r.Split))}
		// A random offset keeps many nodes from sending their first calls to the same
		// destination.
		for range p.rand.IntN(maxSplitOffset) {
			s.next()
		}
		p.splits[r.Name] = s
	}
	return s.next()
}

// maxSplitOffset is the upper bound, exclusive, of the random number of calls by which
// a new split is advanced.
const maxSplitOffset = 100

// removeStaleSplits drops the state of routes that no longer exist or have no split.
func (p *Picker) removeStaleSplits(t *Table) {
	for name := range p.splits {
		if !t.hasSplit[name] {
			delete(p.splits, name)
		}
	}
}
