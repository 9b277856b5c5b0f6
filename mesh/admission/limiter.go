package admission

import (
	"math"
	"time"

	"balsamtrail.org/mesh/model"
)

// Sample is one finished request as the limiter sees it.
type Sample struct {
	Route model.RouteName
	// Started is when the request got its slot.
	Started time.Time
	// InFlight is the number of requests that ran at that time, itself included.
	InFlight int
	Result   Result
	Latency  time.Duration
}

// Constants of the limiter.
const (
	// shrinkFactor is applied to the limit on each sign of overload.
	shrinkFactor = 0.6
	// slowRatio is the recent latency over the baseline that counts as overload.
	// With exponential latency at a limit of 20, chance exceeded it 1 to 3 times
	// in 70,000 requests.
	slowRatio = 2.0
	// coldRun is the number of bad signs in a row that counts as a cold start
	// that nobody announced.
	coldRun = 3
	// recentWeight averages the latency ratio over about 40 requests.
	recentWeight = 0.05
	// ratioCap bounds the effect of one very slow request: a single one does not
	// shrink the limit.
	ratioCap = 8.0
	// errorMargin is how much the recent part of errors may exceed the baseline
	// part, so that chance alone rarely counts as overload.
	errorMargin = 0.35
	// baselineWeight averages a baseline's input over about 100 requests.
	baselineWeight = 0.02
	// slowerTime and fasterTime are the time constants by which a baseline
	// follows a service that has become slower or faster. Slower takes longer:
	// overload must not become the baseline. A ratio of the two above 30 would
	// press the baseline below the mean of noisy latencies.
	slowerTime = 30 * time.Second
	fasterTime = time.Second
	// baselineMinSamples is the number of requests before a baseline is used.
	baselineMinSamples = 20
	// baselineLearning is the number of requests over which a baseline is their mean.
	baselineLearning = 100
	// ceilingTime is how long growth stays slow near the limit of the last shrink.
	ceilingTime = 2 * time.Second
	// probeFactor is the relative speed of growth near that limit.
	probeFactor = 0.1
	// maxBaselines bounds the routes with a baseline of their own.
	maxBaselines = 256
)

// baseline is the usual latency of a route on this backend server.
type baseline struct {
	recent  float64 // seconds, over about 100 requests
	usual   float64 // seconds
	samples int
	updated time.Time
}

// observe adds a latency and returns its ratio to the usual one.
func (b *baseline) observe(now time.Time, latency time.Duration) float64 {
	l := latency.Seconds()
	ratio := 1.0
	if b.samples >= baselineMinSamples && b.usual > 0 {
		ratio = min(l/b.usual, ratioCap)
		l = ratio * b.usual
	}
	b.samples++
	b.recent += max(baselineWeight, 1/float64(b.samples)) * (l - b.recent)
	follow := slowerTime
	if b.recent < b.usual {
		follow = fasterTime
	}
	weight := decay(now.Sub(b.updated), follow)
	if b.samples <= baselineLearning {
		weight = 1
	}
	b.usual += weight * (b.recent - b.usual)
	b.updated = now
	return ratio
}

// decay returns the weight of the newest value after the time dt.
func decay(dt, constant time.Duration) float64 {
	return 1 - math.Exp(-min(dt, time.Second).Seconds()/constant.Seconds())
}

// Limiter is the number of requests that a backend server may run at a time.
// It starts at 1, grows by one when as many requests as the limit have
// succeeded while the limit was in use, and shrinks at once when latency,
// refusals or errors exceed the service's own baseline. It is not safe for
// concurrent use; Gate owns it.
type Limiter struct {
	slots int
	limit float64
	// successes counts since the last cold start; the limit cannot exceed it by more than 1.
	successes int
	badRun    int
	ratio     float64
	errRecent float64
	errUsual  float64
	errCount  int
	lastError time.Time
	// shrunk is the time of the last shrink. Outcomes of requests that started
	// before it belong to the same episode and do not shrink the limit again.
	shrunk  time.Time
	ceiling float64
	// fixed keeps the limit at the slots that the backend server states.
	fixed  bool
	routes map[model.RouteName]*baseline
}

// NewLimiter returns a limiter for a fresh backend server with that many slots.
func NewLimiter(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), limit: 1, ratio: 1, ceiling: math.Inf(1), routes: map[model.RouteName]*baseline{}}
}

// Fix sets the limit to the slots that the backend server states itself. Such a
// server refuses what it cannot take, and states when it is cold.
func (l *Limiter) Fix(slots int) {
	l.slots = max(slots, 1)
	l.limit, l.successes, l.fixed = float64(l.slots), l.slots, true
}

// Limit returns the number of requests that may run at a time.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetSlots changes the true number of slots.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, float64(l.slots))
}

// Expected returns the usual latency of a route; zero if it is not known yet.
func (l *Limiter) Expected(route model.RouteName) time.Duration {
	b := l.routes[route]
	if b == nil || b.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(b.usual * float64(time.Second))
}

// ColdStart sets the limit of a backend server that has just started. The
// baselines stay: they belong to the service, and a cold server is slow
// against them.
func (l *Limiter) ColdStart(now time.Time) {
	if l.fixed {
		return
	}
	l.limit, l.successes, l.badRun, l.ratio = 1, 0, 0, 1
	l.errRecent = l.errUsual
	l.shrunk, l.ceiling = now, math.Inf(1)
}

// Observe adds a finished request.
func (l *Limiter) Observe(now time.Time, s Sample) {
	fresh := !s.Started.Before(l.shrunk)
	switch s.Result {
	case ResultOK:
		l.observeLatency(now, s, fresh)
	case ResultError:
		l.observeError(now, fresh)
	case ResultRefused:
		l.bad(now, fresh)
	case ResultTimeout:
		// A caller's short deadline is no sign of overload.
		if float64(s.Latency) >= slowRatio*float64(l.Expected(s.Route)) {
			l.bad(now, fresh)
		}
	case ResultLost:
		// A broken or refused connection is what a restart looks like from here.
		if fresh {
			l.ColdStart(now)
		}
	}
}

func (l *Limiter) observeLatency(now time.Time, s Sample, fresh bool) {
	ratio := l.baseline(s.Route).observe(now, s.Latency)
	l.trackErrors(now, 0)
	if !fresh {
		return
	}
	l.successes++
	l.ratio += recentWeight * (ratio - l.ratio)
	if l.ratio > slowRatio {
		l.bad(now, fresh)
		return
	}
	if ratio < slowRatio {
		l.badRun = 0
	}
	l.grow(now, s.InFlight)
}

func (l *Limiter) observeError(now time.Time, fresh bool) {
	l.trackErrors(now, 1)
	if l.errRecent > l.errUsual+errorMargin {
		l.bad(now, fresh)
	}
}

// trackErrors follows the part of answers that are errors. A service that
// always answers some requests with an error is not overloaded by that.
func (l *Limiter) trackErrors(now time.Time, v float64) {
	l.errCount++
	mean := 1 / float64(l.errCount)
	l.errRecent += max(recentWeight, mean) * (v - l.errRecent)
	l.errUsual += max(decay(now.Sub(l.lastError), slowerTime), mean) * (l.errRecent - l.errUsual)
	l.lastError = now
}

func (l *Limiter) bad(now time.Time, fresh bool) {
	if !fresh || l.fixed {
		return
	}
	l.badRun++
	if l.badRun >= coldRun {
		l.ColdStart(now)
		return
	}
	l.shrink(now)
}

func (l *Limiter) shrink(now time.Time) {
	l.ceiling = l.limit
	l.limit = max(1, l.limit*shrinkFactor)
	l.ratio = 1
	l.errRecent = l.errUsual
	l.shrunk = now
}

// grow adds to the limit if it was in use: a success at low load shows nothing
// about higher load.
func (l *Limiter) grow(now time.Time, inFlight int) {
	if inFlight < l.Limit() {
		return
	}
	step := 1 / l.limit
	if now.Sub(l.shrunk) < ceilingTime && l.limit+1 > l.ceiling {
		step *= probeFactor
	}
	l.limit = min(l.limit+step, float64(l.slots))
}

func (l *Limiter) baseline(route model.RouteName) *baseline {
	b := l.routes[route]
	if b == nil {
		if len(l.routes) >= maxBaselines {
			route = ""
			if b = l.routes[route]; b != nil {
				return b
			}
		}
		b = &baseline{}
		l.routes[route] = b
	}
	return b
}
