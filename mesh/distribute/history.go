package distribute

import (
	"maps"
	"slices"
	"sort"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Limits of a History and of a delta.
const (
	// historyEntries bounds the deltas kept. A child that is further behind
	// gets a snapshot.
	historyEntries = 1024
	// historyRecords bounds the records in the deltas kept, about 2 MB of
	// routes.
	historyRecords = 8192
	// maxDeltaRecords bounds the records in one delta. With more of them a
	// compressed snapshot is smaller.
	maxDeltaRecords = 1024
)

// step is the delta between two consecutive versions of a store.
type step struct {
	from, to model.Position
	delta    note.Delta
	records  int
}

// History is a bounded sequence of consecutive deltas. Its owner must
// synchronise access to it.
type History struct {
	steps   []step
	records int
}

// add appends the delta between two consecutive versions and drops the oldest
// deltas beyond the limits.
func (h *History) add(from, to model.Position, d note.Delta) {
	n := recordCount(d)
	h.steps = append(h.steps, step{from: from, to: to, delta: d, records: n})
	h.records += n
	drop := 0
	for drop < len(h.steps) && (len(h.steps)-drop > historyEntries || h.records > historyRecords) {
		h.records -= h.steps[drop].records
		drop++
	}
	if drop > 0 {
		h.steps = slices.Delete(h.steps, 0, drop)
	}
}

// Since returns the delta from a position to the newest version and the
// position at which it starts. That may be before pos if pos lies inside a
// step. Each record in a delta is complete, so applying the step to the version
// at pos gives the same result, unless a change was made and undone within the
// step; the receiver detects that by the checksum.
func (h *History) Since(pos model.Position) (d note.Delta, base model.Position, ok bool) {
	i := sort.Search(len(h.steps), func(i int) bool { return pos.Less(h.steps[i].to) })
	if i == len(h.steps) || pos.Less(h.steps[i].from) {
		return d, base, false
	}
	n := 0
	for _, s := range h.steps[i:] {
		if n += s.records; n > maxDeltaRecords {
			return d, base, false
		}
	}
	d = h.steps[i].delta
	for _, s := range h.steps[i+1:] {
		d = Compose(d, s.delta)
	}
	return d, h.steps[i].from, true
}

// covers reports whether Since can return a delta from pos.
func (h *History) covers(pos model.Position) bool {
	_, _, ok := h.Since(pos)
	return ok
}

func recordCount(d note.Delta) int {
	return len(d.Services) + len(d.RemovedServices) + len(d.Routes) + len(d.RemovedRoutes) +
		len(d.Shares) + len(d.RemovedShares) + len(d.DataCentres) + limitsCount(d)
}

func limitsCount(d note.Delta) int {
	if d.Limits == nil {
		return 0
	}
	return 1
}

// Compose returns one delta with the effect of a followed by b. It names every
// record that a or b names.
func Compose(a, b note.Delta) note.Delta {
	var d note.Delta
	d.Services, d.RemovedServices = composeList(a.Services, b.Services, a.RemovedServices, b.RemovedServices,
		func(s note.Service) model.ServiceName { return s.Name })
	d.Routes, d.RemovedRoutes = composeList(a.Routes, b.Routes, a.RemovedRoutes, b.RemovedRoutes,
		func(r note.Route) model.RouteName { return r.Name })
	d.Shares, d.RemovedShares = composeShares(a, b)
	if len(a.DataCentres)+len(b.DataCentres) > 0 {
		d.DataCentres = map[model.DataCentre]note.DataCentreState{}
		maps.Copy(d.DataCentres, a.DataCentres)
		maps.Copy(d.DataCentres, b.DataCentres)
	}
	if d.Limits = b.Limits; d.Limits == nil {
		d.Limits = a.Limits
	}
	return d
}

func composeList[K ~string, V any](a, b []V, removedA, removedB []K, key func(V) K) ([]V, []K) {
	set, removed := map[K]V{}, map[K]struct{}{}
	for _, part := range []struct {
		set     []V
		removed []K
	}{{a, removedA}, {b, removedB}} {
		for _, v := range part.set {
			set[key(v)] = v
			delete(removed, key(v))
		}
		for _, k := range part.removed {
			delete(set, k)
			removed[k] = struct{}{}
		}
	}
	var values []V
	for _, k := range slices.Sorted(maps.Keys(set)) {
		values = append(values, set[k])
	}
	return values, slices.Sorted(maps.Keys(removed))
}

func composeShares(a, b note.Delta) (map[model.ServiceName]note.Shares, []model.ServiceName) {
	set, removed := map[model.ServiceName]note.Shares{}, map[model.ServiceName]struct{}{}
	for _, d := range []note.Delta{a, b} {
		for s, v := range d.Shares {
			set[s] = v
			delete(removed, s)
		}
		for _, s := range d.RemovedShares {
			delete(set, s)
			removed[s] = struct{}{}
		}
	}
	return set, slices.Sorted(maps.Keys(removed))
}
