package routing

import (
	"slices"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// split distributes the calls of one route over its parts.
type split struct {
	parts []note.Destination
	// credit of each part: the sum of its weights over all calls, less the whole
	// weight for each call that it got.
	credit []int64
}

// next returns the part with the greatest credit (smooth weighted round robin).
// The number of calls that a part gets differs from its share by less than one
// for each further part.
func (s *split) next() model.ServiceName {
	best, total := -1, int64(0)
	for i, d := range s.parts {
		s.credit[i] += int64(d.Weight)
		total += int64(d.Weight)
		if d.Weight > 0 && (best < 0 || s.credit[i] > s.credit[best]) {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
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
	if s == nil || !slices.Equal(s.parts, r.Split) {
		s = &split{parts: r.Split, credit: make([]int64, len(r.Split))}
		// A random start keeps many nodes from giving their first calls to the same part.
		for range p.rand.IntN(maxSplitStart) {
			s.next()
		}
		p.splits[r.Name] = s
	}
	return s.next()
}

// maxSplitStart bounds the calls that a new split passes over at its start.
const maxSplitStart = 100

// forgetSplits drops the splits of routes that are gone.
func (p *Picker) forgetSplits(t *Table) {
	for name := range p.splits {
		if !t.split[name] {
			delete(p.splits, name)
		}
	}
}
