package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Parameters of the evidence.
const (
	// minWindowLength is the least length of a window. A window closes at this length if it
	// has calls to both versions, which a comparison needs, or, at full share, if it has calls
	// to the new version. For a move with a tight deadline the least length may go down to half
	// the move's minimum dwell time.
	minWindowLength = time.Second
	// maxWindowLength is the length at which a window closes even if it has no calls to one of the versions.
	maxWindowLength = 5 * time.Second
	// keptWindows is the number of newest windows that are kept to compute recent rates.
	keptWindows = 30
	// NoTrafficFor is the time without any call after which a service counts as having no traffic.
	NoTrafficFor = 30 * time.Second
	// baselineDecay is the factor by which the weight of the old version's earlier counters
	// shrinks with each window.
	baselineDecay = 0.97
	// minBaselineCalls is the least number of calls to the old version, after decay, for an
	// estimate of its p95 latency.
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

// callGroup identifies the calls that are compared with each other, because both versions
// run them under the same conditions: the calls of one route and kind to the backend servers
// of one data centre. An empty data centre stands for several data centres.
type callGroup struct {
	route model.RouteName
	kind  model.Kind
	dc    model.DataCentre
}

// pairedCounts holds the counters of both versions in one call group, with calls to cold
// backend servers counted separately.
type pairedCounts struct {
	old, new         Counts
	oldCold, newCold Counts
}

// window holds the call statistics of one closed interval, summed by route.
type window struct {
	closed Instant
	// total sums up all routes; routes holds the statistics by route and kind.
	total  versionStats
	routes map[routeKey]versionStats
}

// routeKey is a route with the kind of its calls; the empty key stands for all routes.
type routeKey struct {
	route model.RouteName
	kind  model.Kind
}

// versionStats holds the call statistics of both versions. The calls to cold backend servers
// of the new version are only in newCold, those of the old version are left out.
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
	// unavailableSince is the end of the first window in which the new version answered hardly
	// any attempt while the old one answered most, 0 while the new version counts as available.
	// unavailableAttempts counts the attempts to call the new version since the start of that window.
	unavailableSince    Instant
	unavailableAttempts uint64
	nodes, reported     uint32
	// minWindowLength is the least length of this move's windows.
	minWindowLength time.Duration
	// mostlyPaired says that in the last window most calls to the new version were in call
	// groups that had calls to the old version too.
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

// SetShare sets the share in force. A change of the share starts a new summary.
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

// closeWindow updates the tests, the baseline and the availability with the counters of the
// open window and opens the next one.
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

// mergeUnpaired returns the counters of the open window by call group. The groups that have
// calls to only one version are merged, by route, into a group without data centre, so that
// their calls are still compared with calls to the other version.
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

// groupStats computes the call statistics of a call group from its counters. A call counts
// as slow if its latency is above the old version's p95 before this window.
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
		return // the histograms keep the last known latencies
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

// updateBaseline adds the old version's statistics of a window to the baseline and applies
// the decay to its latency histograms by route.
func (e *Evidence) updateBaseline(w window) {
	put := func(k routeKey, c CallStats) {
		if c.Calls == 0 {
			return
		}
		if e.baseline[k] == nil {
			e.baseline[k] = &decayedCounts{}
		}
		e.baseline[k].accumulate(c)
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

// appendWindow adds the window to the kept windows and to the sums since the last change of the share.
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

// updateAvailability tracks since when the new version has answered hardly any attempt while
// the old version answered most. Only call groups with attempts to call both versions count.
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

// attempts is the number of attempts at sending a call, answered or not.
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
