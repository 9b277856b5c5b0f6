package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// The rule of the local stop. It is for strong evidence only: a node sees few
// calls, and a wrong stop takes the evidence away from the leader.
const (
	stopWindow    = 5 * time.Second
	stopErrors    = 8
	stopErrorRate = 0.35 // of the new version, at least
	// stopSlow is how many times the old version's mean a call of the new version
	// must take to count like an error. Cold backend servers are about twice as slow.
	stopSlow     = 4
	stopOldRate  = 0.1 // of the old version, at most
	stopOldCalls = 8
	// stopFor is how long a stop lasts. It covers the time in which the leader
	// gathers evidence and its reversal arrives; a wrong stop heals after it.
	stopFor = 10 * time.Second
)

// LocalStop is a node's own decision to send no calls to a new version. It
// compares both versions on the same route in the same few seconds, so that a
// common failure stops nothing. Its owner is the Recorder.
type LocalStop struct {
	targets map[model.ServiceName]Status
	routes  map[stopKey]*stopCounts
	until   map[model.ServiceName]time.Time
}

type stopKey struct {
	service model.ServiceName
	route   model.RouteName
}

// stopCounts are the calls of the current and the last half window.
type stopCounts struct {
	start     time.Time
	now, last [2]tally // old version, new version
}

type tally struct {
	calls, errors int
	took          time.Duration
}

func (t tally) plus(o tally) tally {
	return tally{t.calls + o.calls, t.errors + o.errors, t.took + o.took}
}

// slower reports whether a call took several times the mean, if enough calls tell.
func (t tally) slower(took time.Duration) bool {
	return t.calls >= stopOldCalls && took > stopSlow*t.took/time.Duration(t.calls)
}

func (t tally) rate() float64 { return float64(t.errors) / float64(max(t.calls, 1)) }

func newLocalStop() *LocalStop {
	return &LocalStop{targets: map[model.ServiceName]Status{}, routes: map[stopKey]*stopCounts{}, until: map[model.ServiceName]time.Time{}}
}

func (l *LocalStop) watch(targets map[model.ServiceName]Status) {
	for k := range l.routes {
		if old, now := l.targets[k.service], targets[k.service]; old.Move.ID != now.Move.ID || old.Move.To != now.Move.To {
			delete(l.routes, k)
			delete(l.until, k.service)
		}
	}
	l.targets = targets
}

func (l *LocalStop) observe(now time.Time, o Observation) {
	st := l.targets[o.Service]
	side := 0
	switch {
	case o.Outcome != CallOK && o.Outcome != CallError:
		return
	case o.Version == st.Move.To:
		side = 1
	case o.Version != st.From:
		return
	}
	k := stopKey{o.Service, o.Route}
	c := l.routes[k]
	if c == nil {
		c = &stopCounts{start: now}
		l.routes[k] = c
	}
	c.turn(now)
	c.now[side].calls++
	c.now[side].took += o.Latency
	if o.Outcome == CallError || side == 1 && c.now[0].plus(c.last[0]).slower(o.Latency) {
		c.now[side].errors++
	}
	before, after := c.now[0].plus(c.last[0]), c.now[1].plus(c.last[1])
	if after.errors >= stopErrors && after.rate() >= stopErrorRate && before.calls >= stopOldCalls && before.rate() <= stopOldRate {
		l.until[o.Service] = now.Add(stopFor)
		*c = stopCounts{start: now}
	}
}

// turn starts a new half window when the current one is full.
func (c *stopCounts) turn(now time.Time) {
	switch age := now.Sub(c.start); {
	case age >= stopWindow:
		c.now, c.last, c.start = [2]tally{}, [2]tally{}, now
	case age >= stopWindow/2:
		c.last, c.now, c.start = c.now, [2]tally{}, now
	}
}

func (l *LocalStop) stopped(now time.Time, service model.ServiceName, version model.ServiceVersion) bool {
	return l.targets[service].Move.To == version && now.Before(l.until[service])
}
