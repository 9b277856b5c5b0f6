package routing

import (
	"slices"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// split distributes the calls of one route over its parts.
type split struct {
	destinations []note.Destination
	// currentWeight of each part: the sum of its weights over all calls, less the whole
	// weight for each call that it got.
	currentWeight []int64
}

// next returns the part with the greatest credit (smooth weighted round robin).
// The number of calls that a part gets differs from its share by less than one
// for each further part.
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

// Service chooses the service of a call: that of the route, or by weight the
// service of one of its parts.
func (p *Picker) Service(r note.Route) model.ServiceName {
	if len(r.Split) < 2 {
		return r.Service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.splits[r.Name]
	if s == nil || !slices.Equal(s.destinations, r.Split) {
		s = &split{destinations: r.Split, currentWeight: make([]int64, len(r.Split))}
		// A random start keeps many nodes from giving their first calls to the same part.
		for range p.rand.IntN(maxSplitOffset) {
			s.next()
		}
		p.splits[r.Name] = s
	}
	return s.next()
}

// maxSplitOffset bounds the calls that a new split passes over at its start.
const maxSplitOffset = 100

// removeStaleSplits drops the splits of routes that are gone.
func (p *Picker) removeStaleSplits(t *Table) {
	for name := range p.splits {
		if !t.hasSplit[name] {
			delete(p.splits, name)
		}
	}
}
