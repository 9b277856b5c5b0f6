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
	// decreaseFactor is applied to the limit on each sign of overload.
	decreaseFactor = 0.6
	// overloadLatencyRatio is the recent latency over the baseline that counts as overload.
	// With exponential latency at a limit of 20, chance exceeded it 1 to 3 times
	// in 70,000 requests.
	overloadLatencyRatio = 2.0
	// coldStartSignals is the number of bad signs in a row that counts as a cold start
	// that nobody announced.
	coldStartSignals = 3
	// recentEWMAWeight averages the latency ratio over about 40 requests.
	recentEWMAWeight = 0.05
	// maxLatencyRatio bounds the effect of one very slow request: a single one does not
	// shrink the limit.
	maxLatencyRatio = 8.0
	// errorRateMargin is how much the recent part of errors may exceed the baseline
	// part, so that chance alone rarely counts as overload.
	errorRateMargin = 0.35
	// baselineWeight averages a baseline's input over about 100 requests.
	baselineWeight = 0.02
	// baselineRiseTime and baselineFallTime are the time constants by which a baseline
	// follows a service that has become slower or faster. Slower takes longer:
	// overload must not become the baseline. A ratio of the two above 30 would
	// press the baseline below the mean of noisy latencies.
	baselineRiseTime = 30 * time.Second
	baselineFallTime = time.Second
	// baselineMinSamples is the number of requests before a baseline is used.
	baselineMinSamples = 20
	// baselineWarmUp is the number of requests over which a baseline is their mean.
	baselineWarmUp = 100
	// ceilingDuration is how long growth stays slow near the limit of the last shrink.
	ceilingDuration = 2 * time.Second
	// ceilingGrowthFactor is the relative speed of growth near that limit.
	ceilingGrowthFactor = 0.1
	// maxBaselines bounds the routes with a baseline of their own.
	maxBaselines = 256
)

// baseline is the usual latency of a route on this backend server.
type baseline struct {
	shortTerm float64 // seconds, over about 100 requests
	longTerm  float64 // seconds
	samples   int
	updated   time.Time
}

// observe adds a latency and returns its ratio to the usual one.
func (b *baseline) observe(now time.Time, latency time.Duration) float64 {
	l := latency.Seconds()
	ratio := 1.0
	if b.samples >= baselineMinSamples && b.longTerm > 0 {
		ratio = min(l/b.longTerm, maxLatencyRatio)
		l = ratio * b.longTerm
	}
	b.samples++
	b.shortTerm += max(baselineWeight, 1/float64(b.samples)) * (l - b.shortTerm)
	timeConstant := baselineRiseTime
	if b.shortTerm < b.longTerm {
		timeConstant = baselineFallTime
	}
	weight := ewmaWeight(now.Sub(b.updated), timeConstant)
	if b.samples <= baselineWarmUp {
		weight = 1
	}
	b.longTerm += weight * (b.shortTerm - b.longTerm)
	b.updated = now
	return ratio
}

// ewmaWeight returns the weight of the newest value after the time dt.
func ewmaWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-min(elapsed, time.Second).Seconds()/timeConstant.Seconds())
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
	successes          int
	consecutiveSignals int
	latencyRatio       float64
	recentErrorRate    float64
	baselineErrorRate  float64
	answerCount        int
	errorRateUpdated   time.Time
	// lastDecrease is the time of the last shrink. Outcomes of requests that started
	// before it belong to the same episode and do not shrink the limit again.
	lastDecrease time.Time
	ceiling      float64
	// fixed keeps the limit at the slots that the backend server states.
	fixed     bool
	baselines map[model.RouteName]*baseline
}

// NewLimiter returns a limiter for a fresh backend server with that many slots.
func NewLimiter(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), limit: 1, latencyRatio: 1, ceiling: math.Inf(1), baselines: map[model.RouteName]*baseline{}}
}

// SetFixed sets the limit to the slots that the backend server states itself. Such a
// server refuses what it cannot take, and states when it is cold.
func (l *Limiter) SetFixed(slots int) {
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

// ExpectedLatency returns the usual latency of a route; zero if it is not known yet.
func (l *Limiter) ExpectedLatency(route model.RouteName) time.Duration {
	b := l.baselines[route]
	if b == nil || b.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(b.longTerm * float64(time.Second))
}

// ColdStart sets the limit of a backend server that has just started. The
// baselines stay: they belong to the service, and a cold server is slow
// against them.
func (l *Limiter) ColdStart(now time.Time) {
	if l.fixed {
		return
	}
	l.limit, l.successes, l.consecutiveSignals, l.latencyRatio = 1, 0, 0, 1
	l.recentErrorRate = l.baselineErrorRate
	l.lastDecrease, l.ceiling = now, math.Inf(1)
}

// Observe adds a finished request.
func (l *Limiter) Observe(now time.Time, s Sample) {
	fresh := !s.Started.Before(l.lastDecrease)
	switch s.Result {
	case ResultOK:
		l.observeLatency(now, s, fresh)
	case ResultError:
		l.observeError(now, fresh)
	case ResultRefused:
		l.onOverload(now, fresh)
	case ResultTimeout:
		// A caller's short deadline is no sign of overload.
		if float64(s.Latency) >= overloadLatencyRatio*float64(l.ExpectedLatency(s.Route)) {
			l.onOverload(now, fresh)
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
	l.latencyRatio += recentEWMAWeight * (ratio - l.latencyRatio)
	if l.latencyRatio > overloadLatencyRatio {
		l.onOverload(now, fresh)
		return
	}
	if ratio < overloadLatencyRatio {
		l.consecutiveSignals = 0
	}
	l.increase(now, s.InFlight)
}

func (l *Limiter) observeError(now time.Time, fresh bool) {
	l.trackErrors(now, 1)
	if l.recentErrorRate > l.baselineErrorRate+errorRateMargin {
		l.onOverload(now, fresh)
	}
}

// trackErrors follows the part of answers that are errors. A service that
// always answers some requests with an error is not overloaded by that.
func (l *Limiter) trackErrors(now time.Time, value float64) {
	l.answerCount++
	mean := 1 / float64(l.answerCount)
	l.recentErrorRate += max(recentEWMAWeight, mean) * (value - l.recentErrorRate)
	l.baselineErrorRate += max(ewmaWeight(now.Sub(l.errorRateUpdated), baselineRiseTime), mean) * (l.recentErrorRate - l.baselineErrorRate)
	l.errorRateUpdated = now
}

func (l *Limiter) onOverload(now time.Time, fresh bool) {
	if !fresh || l.fixed {
		return
	}
	l.consecutiveSignals++
	if l.consecutiveSignals >= coldStartSignals {
		l.ColdStart(now)
		return
	}
	l.decrease(now)
}

func (l *Limiter) decrease(now time.Time) {
	l.ceiling = l.limit
	l.limit = max(1, l.limit*decreaseFactor)
	l.latencyRatio = 1
	l.recentErrorRate = l.baselineErrorRate
	l.lastDecrease = now
}

// increase adds to the limit if it was in use: a success at low load shows nothing
// about higher load.
func (l *Limiter) increase(now time.Time, inFlight int) {
	if inFlight < l.Limit() {
		return
	}
	step := 1 / l.limit
	if now.Sub(l.lastDecrease) < ceilingDuration && l.limit+1 > l.ceiling {
		step *= ceilingGrowthFactor
	}
	l.limit = min(l.limit+step, float64(l.slots))
}

func (l *Limiter) baseline(route model.RouteName) *baseline {
	b := l.baselines[route]
	if b == nil {
		if len(l.baselines) >= maxBaselines {
			route = ""
			if b = l.baselines[route]; b != nil {
				return b
			}
		}
		b = &baseline{}
		l.baselines[route] = b
	}
	return b
}
