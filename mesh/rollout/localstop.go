package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Parameters of the local stop. It acts on strong evidence only: a node sees few calls, and
// a wrong stop deprives the leader of evidence.
const (
	// stopWindow is the length of the sliding window.
	stopWindow = 5 * time.Second
	// stopMinErrors is the least number of errors of the new version on a route.
	stopMinErrors = 8
	// stopMinErrorRate is the least error rate of the new version on that route.
	stopMinErrorRate = 0.35
	// stopSlowFactor is the multiple of the old version's mean latency above which a call of
	// the new version counts as an error. Cold backend servers take about twice as long.
	stopSlowFactor = 4
	// stopMaxOldErrorRate is the greatest error rate of the old version on that route.
	stopMaxOldErrorRate = 0.1
	// stopMinOldCalls is the least number of calls of the old version on that route.
	stopMinOldCalls = 8
	// stopDuration is how long a stop lasts. It covers the time until the leader has gathered
	// evidence and its reversal arrives; a wrong stop ends by itself.
	stopDuration = 10 * time.Second
)

// LocalStop is a node's own circuit breaker: it stops the calls to a new version. It
// compares both versions on the same route in the same few seconds, so that a failure of
// both stops nothing. It is owned by the Recorder.
type LocalStop struct {
	activeMoves  map[model.ServiceName]Status
	routes       map[stopKey]*stopCounts
	stoppedUntil map[model.ServiceName]time.Time
}

type stopKey struct {
	service model.ServiceName
	route   model.RouteName
}

// stopCounts are the calls of one route in the current and the previous half window.
type stopCounts struct {
	start             time.Time
	current, previous [2]callTotals // index 0 is the old version, 1 the new one
}

// callTotals sums up the calls of one version. Slow calls of the new version count as errors.
type callTotals struct {
	calls, errors int
	totalLatency  time.Duration
}

func (t callTotals) plus(o callTotals) callTotals {
	return callTotals{t.calls + o.calls, t.errors + o.errors, t.totalLatency + o.totalLatency}
}

// isSlow reports whether a call took more than stopSlowFactor times the mean. It needs
// stopMinOldCalls calls.
func (t callTotals) isSlow(latency time.Duration) bool {
	return t.calls >= stopMinOldCalls && latency > stopSlowFactor*t.totalLatency/time.Duration(t.calls)
}

func (t callTotals) errorRate() float64 { return float64(t.errors) / float64(max(t.calls, 1)) }

func newLocalStop() *LocalStop {
	return &LocalStop{activeMoves: map[model.ServiceName]Status{}, routes: map[stopKey]*stopCounts{}, stoppedUntil: map[model.ServiceName]time.Time{}}
}

// watch sets the active moves and forgets the counters and stops of moves that have changed.
func (l *LocalStop) watch(moves map[model.ServiceName]Status) {
	for k := range l.routes {
		if old, next := l.activeMoves[k.service], moves[k.service]; old.Move.ID != next.Move.ID || old.Move.To != next.Move.To {
			delete(l.routes, k)
			delete(l.stoppedUntil, k.service)
		}
	}
	l.activeMoves = moves
}

// observe counts an answered call and stops the new version if the evidence suffices.
func (l *LocalStop) observe(now time.Time, o Observation) {
	st := l.activeMoves[o.Service]
	versionIndex := 0
	switch {
	case o.Outcome != CallOK && o.Outcome != CallError:
		return
	case o.Version == st.Move.To:
		versionIndex = 1
	case o.Version != st.From:
		return
	}
	k := stopKey{o.Service, o.Route}
	c := l.routes[k]
	if c == nil {
		c = &stopCounts{start: now}
		l.routes[k] = c
	}
	c.rotate(now)
	c.current[versionIndex].calls++
	c.current[versionIndex].totalLatency += o.Latency
	if o.Outcome == CallError || versionIndex == 1 && c.current[0].plus(c.previous[0]).isSlow(o.Latency) {
		c.current[versionIndex].errors++
	}
	oldTotals, newTotals := c.current[0].plus(c.previous[0]), c.current[1].plus(c.previous[1])
	if newTotals.errors >= stopMinErrors && newTotals.errorRate() >= stopMinErrorRate && oldTotals.calls >= stopMinOldCalls && oldTotals.errorRate() <= stopMaxOldErrorRate {
		l.stoppedUntil[o.Service] = now.Add(stopDuration)
		*c = stopCounts{start: now}
	}
}

// rotate starts a new half window when the current one is over.
func (c *stopCounts) rotate(now time.Time) {
	switch age := now.Sub(c.start); {
	case age >= stopWindow:
		c.current, c.previous, c.start = [2]callTotals{}, [2]callTotals{}, now
	case age >= stopWindow/2:
		c.previous, c.current, c.start = c.current, [2]callTotals{}, now
	}
}

// stopped reports whether the version is the target of a move and stopped at present.
func (l *LocalStop) stopped(now time.Time, service model.ServiceName, version model.ServiceVersion) bool {
	return l.activeMoves[service].Move.To == version && now.Before(l.stoppedUntil[service])
}
