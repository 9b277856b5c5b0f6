package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Parameters of the evidence.
const (
	// minWindowLength is the least length of a window. A window closes at this length if both
	// versions have calls in it, because otherwise it could not tell them apart, or at full
	// share if the new version has calls. For a move with a tight deadline it may be as short
	// as half the minimum dwell time.
	minWindowLength = time.Second
	// maxWindowLength is the length at which a window closes even if a version has no calls in it.
	maxWindowLength = 5 * time.Second
	// keptWindows is the number of newest windows that are kept for recent rates.
	keptWindows = 30
	// NoTrafficFor is how long no call may be seen before a service counts as having no traffic.
	NoTrafficFor = 30 * time.Second
	// baselineDecay is the factor by which the weight of the old version's earlier counters
	// shrinks with each window.
	baselineDecay = 0.97
	// minBaselineCalls is the number of the old version's calls from which its p95 is known.
	minBaselineCalls = 50
	// slowQuantile is the quantile of the old version's latency above which a call counts as slow.
	slowQuantile = 0.95
)

// testKey identifies a sequential test; the test over all routes has an empty route.
type testKey struct {
	Route model.RouteName
	Kind  model.Kind
	Test  TestName
}

// callGroup is a set of calls in which both versions run under the same conditions.
type callGroup struct {
	route model.RouteName
	kind  model.Kind
	dc    model.DataCentre
}

// pairedCounts holds both versions' counters in one call group, separately for cold backend servers.
type pairedCounts struct {
	old, new         Counts
	oldCold, newCold Counts
}

// window is a closed interval of the evidence, summed by route.
type window struct {
	closed Instant
	// total sums up all routes; routes holds the call statistics by route and kind.
	total  versionStats
	routes map[routeKey]versionStats
}

// routeKey is a route with the kind of its calls; the empty key stands for all routes.
type routeKey struct {
	route model.RouteName
	kind  model.Kind
}

// versionStats are the call statistics of both versions; newCold counts the new version's calls
// to cold backend servers.
type versionStats struct{ old, new, newCold CallStats }

func (v *versionStats) add(o versionStats) {
	v.old.add(o.old)
	v.new.add(o.new)
	v.newCold.add(o.newCold)
}

// oldFailing reports whether the old version's error rate is above oldFailingErrorRate over
// at least the given number of calls.
func (v versionStats) oldFailing(minCalls uint64) bool {
	return v.old.Calls >= minCalls && v.old.ErrorRate() > oldFailingErrorRate
}

// oldFailing reports whether the old version fails in the newest window or over the
// newest oldFailingWindows windows.
func (e *Evidence) oldFailing() bool {
	return e.recentStats(1, routeKey{}).oldFailing(oldFailingMinCalls/oldFailingWindows) || e.recentStats(oldFailingWindows, routeKey{}).oldFailing(oldFailingMinCalls)
}

// Evidence is what the leader has measured of the two versions of one move. It is owned by
// the leader's goroutine; a new leader starts without it.
type Evidence struct {
	service  model.ServiceName
	from, to model.ServiceVersion
	share    model.Share

	// openCounts are the counters of the open window.
	openCounts map[callGroup]*pairedCounts
	openedAt   Instant
	windows    []window // the newest keptWindows windows
	tests      map[testKey]*detector
	// latency holds the old version's latency with decay, by call group and, with an empty data centre, by route.
	latency map[callGroup]*histogram
	// baseline holds the old version's counters with decay, by route and for all routes. The
	// new version is compared with them while the old one gets no calls.
	baseline map[routeKey]*decayedCounts

	// sinceChange sums up the windows since the last change of the share, except those in
	// which the old version fails.
	sinceChange        versionStats
	sinceChangeByRoute map[routeKey]versionStats
	sinceChangeWindows int
	shareChangedAt     Instant
	lastCall           Instant
	// unavailableSince is when the new version began to answer hardly any attempt while the old one
	// answered most, 0 if it does not; unavailableAttempts counts its attempts since then.
	unavailableSince    Instant
	unavailableAttempts uint64
	nodes, reported     uint32
	// minWindowLength is the least length of this move's windows.
	minWindowLength time.Duration
	// mostlyPaired says that in the last window most calls of the new version were in call groups
	// in which the old version had calls too.
	mostlyPaired bool
}

// NewEvidence returns empty evidence for the move at its present share.
func NewEvidence(now time.Time, st Status) *Evidence {
	at := InstantOf(now)
	return &Evidence{
		service: st.Move.ID.Service, from: st.From, to: st.Move.To, share: st.Share,
		openCounts: map[callGroup]*pairedCounts{}, openedAt: at, tests: map[testKey]*detector{},
		latency: map[callGroup]*histogram{}, baseline: map[routeKey]*decayedCounts{},
		sinceChangeByRoute: map[routeKey]versionStats{}, shareChangedAt: at, lastCall: at,
		minWindowLength: min(minWindowLength, st.minDwell()/2),
	}
}

// Add adds the counters of one report cell to the open window.
func (e *Evidence) Add(c Cell) {
	if c.Key.Service != e.service || c.Key.Version != e.from && c.Key.Version != e.to {
		return
	}
	at := callGroup{c.Key.Route, c.Key.Kind, c.Key.DataCentre}
	p := e.openCounts[at]
	if p == nil {
		p = &pairedCounts{}
		e.openCounts[at] = p
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

// SetShare sets the share in force. A change resets the summary.
func (e *Evidence) SetShare(now time.Time, share model.Share) {
	if share == e.share {
		return
	}
	e.share = share
	e.sinceChange, e.sinceChangeByRoute, e.sinceChangeWindows, e.shareChangedAt = versionStats{}, map[routeKey]versionStats{}, 0, InstantOf(now)
}

// SetCoverage sets the number of live nodes and of those that reported recently.
func (e *Evidence) SetCoverage(alive, reported uint32) { e.nodes, e.reported = alive, reported }

// CloseIfDue closes the open window if it is due and updates the tests.
func (e *Evidence) CloseIfDue(now time.Time) {
	at := InstantOf(now)
	var oldCalls, newCalls uint64
	for _, p := range e.openCounts {
		oldCalls += p.old.Calls + p.oldCold.Calls
		newCalls += p.new.Calls + p.newCold.Calls
	}
	if oldCalls+newCalls > 0 {
		e.lastCall = at
	}
	age := at.Time().Sub(e.openedAt.Time())
	onlyNewExpected := e.share == model.ShareAll && newCalls > 0
	if age < e.minWindowLength || age < maxWindowLength && (oldCalls == 0 || newCalls == 0) && !onlyNewExpected {
		return
	}
	e.closeWindow(at)
}

// closeWindow updates the tests, the baseline and the availability with the open window
// and starts a new one.
func (e *Evidence) closeWindow(at Instant) {
	w := window{closed: at, routes: map[routeKey]versionStats{}}
	ratios := map[testKey]*logLikelihoodRatios{}
	var unpairedCalls, newCalls uint64
	for g, p := range e.mergeUnpaired() {
		v := e.groupStats(g, p)
		newCalls += p.new.Calls + p.newCold.Calls
		if g.dc == "" {
			unpairedCalls += p.new.Calls + p.newCold.Calls
		}
		e.addLikelihoodRatios(ratios, g, p, v)
		w.total.add(v)
		r := w.routes[routeKey{g.route, g.kind}]
		r.add(v)
		w.routes[routeKey{g.route, g.kind}] = r
	}
	e.mostlyPaired = 2*unpairedCalls < newCalls
	for k, lr := range ratios {
		d := e.tests[k]
		if d == nil {
			d = &detector{}
			e.tests[k] = d
		}
		d.update(*lr)
	}
	for g, p := range e.openCounts {
		e.updateLatency(g, p)
	}
	e.updateBaseline(w)
	e.updateAvailability(at)
	e.appendWindow(w)
	e.openCounts, e.openedAt = map[callGroup]*pairedCounts{}, at
}

// mergeUnpaired returns the call groups in which both versions have calls. The call groups with calls
// of one version only are merged by route into a call group without data centre.
func (e *Evidence) mergeUnpaired() map[callGroup]*pairedCounts {
	out := map[callGroup]*pairedCounts{}
	for g, p := range e.openCounts {
		if p.old.Calls+p.oldCold.Calls == 0 || p.new.Calls+p.newCold.Calls == 0 {
			g.dc = ""
		}
		q := out[g]
		if q == nil {
			q = &pairedCounts{}
			out[g] = q
		}
		q.old.Add(p.old)
		q.oldCold.Add(p.oldCold)
		q.new.Add(p.new)
		q.newCold.Add(p.newCold)
	}
	return out
}

// groupStats turns the counters of a call group into call statistics. Calls count as slow above the old
// version's p95 before this window.
func (e *Evidence) groupStats(g callGroup, p *pairedCounts) versionStats {
	v := versionStats{old: callStatsOf(p.old), new: callStatsOf(p.new), newCold: callStatsOf(p.newCold)}
	h := e.latency[g]
	if h == nil || h.total < minBaselineCalls {
		h = e.latency[callGroup{route: g.route, kind: g.kind}]
	}
	if h != nil && h.total >= minBaselineCalls {
		bucket := h.quantile(slowQuantile)
		v.old.Timed, v.old.Slow = p.old.Calls, p.old.callsAbove(bucket)
		v.new.Timed, v.new.Slow = p.new.Calls, p.new.callsAbove(bucket)
	}
	return v
}

func callStatsOf(c Counts) CallStats {
	return CallStats{Calls: c.Calls, Errors: c.Errors, Refused: c.Refused + c.Unreachable}
}

// addLikelihoodRatios adds the call group's likelihood ratios to the tests of its route and of all routes.
func (e *Evidence) addLikelihoodRatios(ratios map[testKey]*logLikelihoodRatios, g callGroup, p *pairedCounts, v versionStats) {
	add := func(name TestName, lr logLikelihoodRatios, informative bool) {
		if !informative {
			return
		}
		for _, k := range []testKey{{Test: name}, {Route: g.route, Kind: g.kind, Test: name}} {
			if ratios[k] == nil {
				ratios[k] = &logLikelihoodRatios{}
			}
			ratios[k].add(lr)
		}
	}
	lr, ok := conditionalTest(v.old.Errors, v.old.Calls, v.new.Errors, v.new.Calls, errorRatios)
	add(TestErrors, lr, ok)
	oldAll := v.old
	oldAll.add(callStatsOf(p.oldCold))
	lr, ok = conditionalTest(oldAll.Errors, oldAll.Calls, v.newCold.Errors, v.newCold.Calls, errorRatios)
	add(TestColdErrors, lr, ok)
	lr, ok = conditionalTest(v.old.Slow, v.old.Timed, v.new.Slow, v.new.Timed, slowRatios)
	add(TestSlow, lr, ok)
}

// updateLatency adds the old version's latencies to the histograms of the call group and of its route.
func (e *Evidence) updateLatency(g callGroup, p *pairedCounts) {
	if p.old.Calls == 0 {
		return // the last known latencies stay in use
	}
	for _, k := range []callGroup{g, {route: g.route, kind: g.kind}} {
		h := e.latency[k]
		if h == nil {
			h = &histogram{}
			e.latency[k] = h
		}
		h.accumulate(p.old, k.dc != "")
	}
}

// updateBaseline adds the old version's counters of a window and applies the decay to its
// latencies by route.
func (e *Evidence) updateBaseline(w window) {
	put := func(k routeKey, t CallStats) {
		if t.Calls == 0 {
			return
		}
		if e.baseline[k] == nil {
			e.baseline[k] = &decayedCounts{}
		}
		e.baseline[k].accumulate(t)
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

// appendWindow keeps the window and adds it to the summary.
func (e *Evidence) appendWindow(w window) {
	e.windows = append(e.windows, w)
	if len(e.windows) > keptWindows {
		e.windows = e.windows[1:]
	}
	if w.total.oldFailing(oldFailingMinCalls / oldFailingWindows) {
		return // a failure common to both versions is no evidence about either
	}
	e.sinceChange.add(w.total)
	for k, v := range w.routes {
		r := e.sinceChangeByRoute[k]
		r.add(v)
		e.sinceChangeByRoute[k] = r
	}
	e.sinceChangeWindows++
}

// updateAvailability tracks since when the new version answers hardly any attempt where the old version answers most.
func (e *Evidence) updateAvailability(at Instant) {
	var oldAnswered, oldAttempts, newAnswered, newAttempts uint64
	for _, p := range e.openCounts {
		oldCounts, newCounts := p.old, p.new
		oldCounts.Add(p.oldCold)
		newCounts.Add(p.newCold)
		if attempts(oldCounts) == 0 || attempts(newCounts) == 0 {
			continue
		}
		oldAnswered, oldAttempts = oldAnswered+oldCounts.Calls, oldAttempts+attempts(oldCounts)
		newAnswered, newAttempts = newAnswered+newCounts.Calls, newAttempts+attempts(newCounts)
	}
	switch {
	case newAttempts == 0:
		return
	case ratio(newAnswered, newAttempts) > unavailableMaxAnswered || ratio(oldAnswered, oldAttempts) < availableMinAnswered:
		e.unavailableSince, e.unavailableAttempts = 0, 0
		return
	case e.unavailableSince == 0:
		e.unavailableSince = at
	}
	e.unavailableAttempts += newAttempts
}

// attempts is the number of attempts, answered or not.
func attempts(c Counts) uint64 { return c.Calls + c.Refused + c.Unreachable }

// recentStats sums up the newest n windows, of one route or, with an empty key, of all routes.
func (e *Evidence) recentStats(n int, k routeKey) versionStats {
	var v versionStats
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
	s := Summary{Old: e.sinceChange.old, New: e.sinceChange.new, Windows: e.sinceChangeWindows, Nodes: e.nodes, Reported: e.reported}
	s.New.add(e.sinceChange.newCold)
	idle := now.Sub(e.lastCall.Time())
	s.NoTraffic = idle >= NoTrafficFor && s.covered(noTrafficCoverage)
	if s.NoTraffic {
		s.Old, s.New = CallStats{}, CallStats{}
		return s
	}
	worst := -1.0
	for k, v := range e.sinceChangeByRoute {
		if float64(v.old.Calls) < busyRouteFraction*float64(e.sinceChange.old.Calls) {
			continue
		}
		newStats := v.new
		newStats.add(v.newCold)
		upperBound := excessUpperBound(newStats.Errors, newStats.Calls, v.old.ErrorRate())
		if newStats.Timed > 0 {
			upperBound = max(upperBound, excessUpperBound(newStats.Slow, newStats.Timed, v.old.SlowRate()))
		}
		if upperBound > worst || upperBound == worst && k.route < s.WorstRoute {
			worst, s.WorstRoute, s.WorstOld, s.WorstNew = upperBound, k.route, v.old, newStats
		}
	}
	return s
}
