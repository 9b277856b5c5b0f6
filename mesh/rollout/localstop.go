package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// The rule of the local stop. It is for strong evidence only: a node sees few
// calls, and a wrong stop takes the evidence away from the leader.
const (
	stopWindow       = 5 * time.Second
	stopMinErrors    = 8
	stopMinErrorRate = 0.35 // of the new version, at least
	// stopSlowFactor is how many times the old version's mean a call of the new version
	// must take to count like an error. Cold backend servers are about twice as slow.
	stopSlowFactor      = 4
	stopMaxOldErrorRate = 0.1 // of the old version, at most
	stopMinOldCalls     = 8
	// stopDuration is how long a stop lasts. It covers the time in which the leader
	// gathers evidence and its reversal arrives; a wrong stop heals after it.
	stopDuration = 10 * time.Second
)

// LocalStop is a node's own decision to send no calls to a new version. It
// compares both versions on the same route in the same few seconds, so that a
// common failure stops nothing. Its owner is the Recorder.
type LocalStop struct {
	activeMoves  map[model.ServiceName]Status
	routes       map[stopKey]*stopCounts
	stoppedUntil map[model.ServiceName]time.Time
}

type stopKey struct {
	service model.ServiceName
	route   model.RouteName
}

// stopCounts are the calls of the current and the last half window.
type stopCounts struct {
	start             time.Time
	current, previous [2]callTotals // old version, new version
}

type callTotals struct {
	calls, errors int
	totalLatency  time.Duration
}

func (t callTotals) plus(o callTotals) callTotals {
	return callTotals{t.calls + o.calls, t.errors + o.errors, t.totalLatency + o.totalLatency}
}

// isSlow reports whether a call took several times the mean, if enough calls tell.
func (t callTotals) isSlow(took time.Duration) bool {
	return t.calls >= stopMinOldCalls && took > stopSlowFactor*t.totalLatency/time.Duration(t.calls)
}

func (t callTotals) errorRate() float64 { return float64(t.errors) / float64(max(t.calls, 1)) }

func newLocalStop() *LocalStop {
	return &LocalStop{activeMoves: map[model.ServiceName]Status{}, routes: map[stopKey]*stopCounts{}, stoppedUntil: map[model.ServiceName]time.Time{}}
}

func (l *LocalStop) watch(targets map[model.ServiceName]Status) {
	for k := range l.routes {
		if old, next := l.activeMoves[k.service], targets[k.service]; old.Move.ID != next.Move.ID || old.Move.To != next.Move.To {
			delete(l.routes, k)
			delete(l.stoppedUntil, k.service)
		}
	}
	l.activeMoves = targets
}

func (l *LocalStop) observe(now time.Time, o Observation) {
	st := l.activeMoves[o.Service]
	version := 0
	switch {
	case o.Outcome != CallOK && o.Outcome != CallError:
		return
	case o.Version == st.Move.To:
		version = 1
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
	c.current[version].calls++
	c.current[version].totalLatency += o.Latency
	if o.Outcome == CallError || version == 1 && c.current[0].plus(c.previous[0]).isSlow(o.Latency) {
		c.current[version].errors++
	}
	oldTotals, newTotals := c.current[0].plus(c.previous[0]), c.current[1].plus(c.previous[1])
	if newTotals.errors >= stopMinErrors && newTotals.errorRate() >= stopMinErrorRate && oldTotals.calls >= stopMinOldCalls && oldTotals.errorRate() <= stopMaxOldErrorRate {
		l.stoppedUntil[o.Service] = now.Add(stopDuration)
		*c = stopCounts{start: now}
	}
}

// rotate starts a new half window when the current one is full.
func (c *stopCounts) rotate(now time.Time) {
	switch age := now.Sub(c.start); {
	case age >= stopWindow:
		c.current, c.previous, c.start = [2]callTotals{}, [2]callTotals{}, now
	case age >= stopWindow/2:
		c.previous, c.current, c.start = c.current, [2]callTotals{}, now
	}
}

func (l *LocalStop) stopped(now time.Time, service model.ServiceName, version model.ServiceVersion) bool {
	return l.activeMoves[service].Move.To == version && now.Before(l.stoppedUntil[service])
}
