package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Spans of the evidence.
const (
	// windowMin and windowMax bound a window; that of a move with a near deadline
	// may be half its least dwell. It closes at windowMin once both
	// versions have calls in it, because only then it tells them apart.
	windowMin = time.Second
	windowMax = 5 * time.Second
	// keptWindows are the windows over which recent rates are taken.
	keptWindows = 30
	// AbsentFor is how long no call may be seen before traffic counts as absent.
	AbsentFor = 30 * time.Second
	// baselineDecay is the weight that the old version's former latencies keep with each window.
	baselineDecay = 0.97
	// baselineCalls are the old version's calls needed to know its p95.
	baselineCalls = 50
	slowQuantile  = 0.95
)

// testKey names a sequential test; the overall test has an empty route.
type testKey struct {
	Route model.RouteName
	Kind  model.Kind
	Test  TestName
}

// stratum is where both versions see the same conditions.
type stratum struct {
	route model.RouteName
	kind  model.Kind
	dc    model.DataCentre
}

// pair holds both versions' counters of one stratum; cold backend servers apart.
type pair struct {
	old, new         Counts
	oldCold, newCold Counts
}

// window is one closed interval, summed by route.
type window struct {
	closed Instant
	// total is of all routes; routes by route and kind. The new version's cold calls are in it.
	total  versions
	routes map[routeKey]versions
}

type routeKey struct {
	route model.RouteName
	kind  model.Kind
}

type versions struct{ old, new, newCold Tally }

func (v *versions) add(o versions) {
	v.old.add(o.old)
	v.new.add(o.new)
	v.newCold.add(o.newCold)
}

// stormy reports whether the old version fails as well.
func (v versions) stormy(calls uint64) bool {
	return v.old.Calls >= calls && v.old.ErrorRate() > stormRate
}

// stormy reports whether the old version fails as well, in the last window or lately.
func (e *Evidence) stormy() bool {
	return e.recent(1, routeKey{}).stormy(stormCalls/stormWindows) || e.recent(stormWindows, routeKey{}).stormy(stormCalls)
}

// Evidence is what the leader knows of one move's two versions. It is owned by
// the leader's goroutine, lost with the leader and gathered again by the next.
type Evidence struct {
	service  model.ServiceName
	from, to model.ServiceVersion
	share    model.Share

	open     map[stratum]*pair
	openedAt Instant
	windows  []window // the newest keptWindows
	tests    map[testKey]*detector
	// latency is the old version's decayed histogram, by stratum and (with an empty data centre) by route.
	latency map[stratum]*histogram
	// baseline are the old version's decayed rates by route (empty: all), for the time when it has no calls.
	baseline map[routeKey]*rates

	since       versions // since the last change of the share
	sinceRoutes map[routeKey]versions
	sinceCount  int
	sinceAt     Instant
	lastCall    Instant
	// unavailable is since when nearly all tries of the new version fail to run while the old one answers.
	unavailable      Instant
	unavailableTries uint64
	nodes, reported  uint32
	// windowMin is the least length of a window of this move.
	windowMin time.Duration
	// sharedCalls says that in the last window most calls of the new version had calls of the old one beside them.
	sharedCalls bool
}

// NewEvidence returns empty evidence for the move, with share as the share in force.
func NewEvidence(now time.Time, st Status) *Evidence {
	at := InstantOf(now)
	return &Evidence{
		service: st.Move.ID.Service, from: st.From, to: st.Move.To, share: st.Share,
		open: map[stratum]*pair{}, openedAt: at, tests: map[testKey]*detector{},
		latency: map[stratum]*histogram{}, baseline: map[routeKey]*rates{},
		sinceRoutes: map[routeKey]versions{}, sinceAt: at, lastCall: at,
		windowMin: min(windowMin, st.minDwell()/2),
	}
}

// Add counts one cell of a report.
func (e *Evidence) Add(c Cell) {
	if c.Key.Service != e.service || c.Key.Version != e.from && c.Key.Version != e.to {
		return
	}
	at := stratum{c.Key.Route, c.Key.Kind, c.Key.DataCentre}
	p := e.open[at]
	if p == nil {
		p = &pair{}
		e.open[at] = p
	}
	switch {
	case c.Key.Version == e.to && c.Key.Cold:
		p.newCold.Add(c.Counts)
	case c.Key.Version == e.to:
		p.new.Add(c.Counts)
	case c.Key.Cold:
		p.oldCold.Add(c.Counts)
	default:
		p.old.Add(c.Counts)
	}
}

// SetShare tells which share is in force. A change starts the summary again.
func (e *Evidence) SetShare(now time.Time, share model.Share) {
	if share == e.share {
		return
	}
	e.share = share
	e.since, e.sinceRoutes, e.sinceCount, e.sinceAt = versions{}, map[routeKey]versions{}, 0, InstantOf(now)
}

// SetCoverage tells how many nodes are alive and how many have reported lately.
func (e *Evidence) SetCoverage(alive, reported uint32) { e.nodes, e.reported = alive, reported }

// Close ends the open window if it is due and updates the tests.
func (e *Evidence) Close(now time.Time) {
	at := InstantOf(now)
	var before, after uint64
	for _, p := range e.open {
		before += p.old.Calls + p.oldCold.Calls
		after += p.new.Calls + p.newCold.Calls
	}
	if before+after > 0 {
		e.lastCall = at
	}
	age := at.Time().Sub(e.openedAt.Time())
	oneSided := e.share == model.ShareAll && after > 0
	if age < e.windowMin || age < windowMax && (before == 0 || after == 0) && !oneSided {
		return
	}
	e.closeWindow(at)
}

func (e *Evidence) closeWindow(at Instant) {
	w := window{closed: at, routes: map[routeKey]versions{}}
	ratios := map[testKey]*logRatios{}
	var apart, all uint64
	for s, p := range e.merged() {
		v := e.sum(s, p)
		all += p.new.Calls + p.newCold.Calls
		if s.dc == "" {
			apart += p.new.Calls + p.newCold.Calls
		}
		e.compare(ratios, s, p, v)
		w.total.add(v)
		r := w.routes[routeKey{s.route, s.kind}]
		r.add(v)
		w.routes[routeKey{s.route, s.kind}] = r
	}
	e.sharedCalls = 2*apart < all
	for k, lr := range ratios {
		d := e.tests[k]
		if d == nil {
			d = &detector{}
			e.tests[k] = d
		}
		d.update(*lr)
	}
	for s, p := range e.open {
		e.learn(s, p)
	}
	e.learnRates(w)
	e.watchAvailability(at)
	e.keep(w)
	e.open, e.openedAt = map[stratum]*pair{}, at
}

// merged returns the strata with both versions, and for each route one stratum
// (without data centre) of what is left where only one of them has calls.
func (e *Evidence) merged() map[stratum]*pair {
	out := map[stratum]*pair{}
	for s, p := range e.open {
		if p.old.Calls+p.oldCold.Calls == 0 || p.new.Calls+p.newCold.Calls == 0 {
			s.dc = ""
		}
		q := out[s]
		if q == nil {
			q = &pair{}
			out[s] = q
		}
		q.old.Add(p.old)
		q.oldCold.Add(p.oldCold)
		q.new.Add(p.new)
		q.newCold.Add(p.newCold)
	}
	return out
}

// sum turns the counters of a stratum into tallies; slow is judged against the
// old version's p95 as known before this window.
func (e *Evidence) sum(s stratum, p *pair) versions {
	v := versions{old: tallyOf(p.old), new: tallyOf(p.new), newCold: tallyOf(p.newCold)}
	h := e.latency[s]
	if h == nil || h.total < baselineCalls {
		h = e.latency[stratum{route: s.route, kind: s.kind}]
	}
	if h != nil && h.total >= baselineCalls {
		bucket := h.quantile(slowQuantile)
		v.old.Timed, v.old.Slow = p.old.Calls, p.old.slowerThan(bucket)
		v.new.Timed, v.new.Slow = p.new.Calls, p.new.slowerThan(bucket)
	}
	return v
}

func tallyOf(c Counts) Tally {
	return Tally{Calls: c.Calls, Errors: c.Errors, Refused: c.Refused + c.Unreachable}
}

// compare adds the stratum's likelihood ratios to the tests of its route and to the overall ones.
func (e *Evidence) compare(ratios map[testKey]*logRatios, s stratum, p *pair, v versions) {
	put := func(name TestName, lr logRatios, informative bool) {
		if !informative {
			return
		}
		for _, k := range []testKey{{Test: name}, {Route: s.route, Kind: s.kind, Test: name}} {
			if ratios[k] == nil {
				ratios[k] = &logRatios{}
			}
			ratios[k].add(lr)
		}
	}
	lr, ok := conditional(v.old.Errors, v.old.Calls, v.new.Errors, v.new.Calls, errorRatios)
	put(TestErrors, lr, ok)
	all := v.old
	all.add(tallyOf(p.oldCold))
	lr, ok = conditional(all.Errors, all.Calls, v.newCold.Errors, v.newCold.Calls, errorRatios)
	put(TestColdErrors, lr, ok)
	lr, ok = conditional(v.old.Slow, v.old.Timed, v.new.Slow, v.new.Timed, slowRatios)
	put(TestSlow, lr, ok)
}

func (e *Evidence) learn(s stratum, p *pair) {
	if p.old.Calls == 0 {
		return // the last known latencies stay the baseline
	}
	for _, k := range []stratum{s, {route: s.route, kind: s.kind}} {
		h := e.latency[k]
		if h == nil {
			h = &histogram{}
			e.latency[k] = h
		}
		h.learn(p.old, k.dc != "")
	}
}

func (e *Evidence) learnRates(w window) {
	put := func(k routeKey, t Tally) {
		if t.Calls == 0 {
			return
		}
		if e.baseline[k] == nil {
			e.baseline[k] = &rates{}
		}
		e.baseline[k].learn(t)
	}
	put(routeKey{}, w.total.old)
	for k, v := range w.routes {
		put(k, v.old)
	}
	for k, h := range e.latency {
		if k.dc == "" && w.routes[routeKey{k.route, k.kind}].old.Calls > 0 {
			h.decay()
		}
	}
}

func (e *Evidence) keep(w window) {
	e.windows = append(e.windows, w)
	if len(e.windows) > keptWindows {
		e.windows = e.windows[1:]
	}
	if w.total.stormy(stormCalls / stormWindows) {
		return // a common failure tells nothing of either version
	}
	e.since.add(w.total)
	for k, v := range w.routes {
		r := e.sinceRoutes[k]
		r.add(v)
		e.sinceRoutes[k] = r
	}
	e.sinceCount++
}

// watchAvailability follows whether the new version answers at all where the old one does.
func (e *Evidence) watchAvailability(at Instant) {
	var oldRun, oldTries, newRun, newTries uint64
	for _, p := range e.open {
		before, after := p.old, p.new
		before.Add(p.oldCold)
		after.Add(p.newCold)
		if tries(before) == 0 || tries(after) == 0 {
			continue
		}
		oldRun, oldTries = oldRun+before.Calls, oldTries+tries(before)
		newRun, newTries = newRun+after.Calls, newTries+tries(after)
	}
	switch {
	case newTries == 0:
		return
	case ratio(newRun, newTries) > unavailableRate || ratio(oldRun, oldTries) < availableRate:
		e.unavailable, e.unavailableTries = 0, 0
		return
	case e.unavailable == 0:
		e.unavailable = at
	}
	e.unavailableTries += newTries
}

func tries(c Counts) uint64 { return c.Calls + c.Refused + c.Unreachable }

// recent sums the newest n windows, of one route or (with an empty key) of all.
func (e *Evidence) recent(n int, k routeKey) versions {
	var v versions
	for _, w := range e.windows[max(0, len(e.windows)-n):] {
		if k == (routeKey{}) {
			v.add(w.total)
			continue
		}
		v.add(w.routes[k])
	}
	return v
}

// Summary returns the evidence since the last change of the share.
func (e *Evidence) Summary(now time.Time) Summary {
	s := Summary{Old: e.since.old, New: e.since.new, Windows: e.sinceCount, Nodes: e.nodes, Reported: e.reported}
	s.New.add(e.since.newCold)
	quiet := now.Sub(e.lastCall.Time())
	s.Absent = quiet >= AbsentFor && s.covered(fullCoverage)
	if s.Absent {
		s.Old, s.New = Tally{}, Tally{}
		return s
	}
	worst := -1.0
	for k, v := range e.sinceRoutes {
		if float64(v.old.Calls) < busyRoute*float64(e.since.old.Calls) {
			continue
		}
		after := v.new
		after.add(v.newCold)
		x := excess(after.Errors, after.Calls, v.old.ErrorRate())
		if after.Timed > 0 {
			x = max(x, excess(after.Slow, after.Timed, v.old.SlowRate()))
		}
		if x > worst || x == worst && k.route < s.WorstRoute {
			worst, s.WorstRoute, s.WorstOld, s.WorstNew = x, k.route, v.old, after
		}
	}
	return s
}
