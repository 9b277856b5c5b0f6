package admission

import (
	"math"
	"time"

	"balsamtrail.org/mesh/model"
)

// Sample describes one finished request to the limiter.
type Sample struct {
	Route model.RouteName
	// Started is when the request got its slot.
	Started time.Time
	// InFlight is the number of running requests at Started, including this one.
	InFlight int
	Result   Result
	Latency  time.Duration
	// Abandoned says that the backend server may still run the request.
	Abandoned bool
}

// Constants of the limiter.
const (
	// decreaseFactor multiplies the limit on each overload signal.
	decreaseFactor = 0.6
	// overloadLatencyRatio is the ratio of the recent latency to the baseline above
	// which the backend server counts as overloaded. With exponentially distributed
	// latency and a limit of 20, random variation exceeded it 1 to 3 times in 70,000
	// requests.
	overloadLatencyRatio = 2.0
	// coldStartSignals is the number of consecutive overload signals after which the
	// backend server is assumed to have restarted without notice.
	coldStartSignals = 3
	// recentEWMAWeight is the weight of the newest request in the moving averages of the
	// latency ratio and the error rate, which cover about 40 requests.
	recentEWMAWeight = 0.05
	// maxLatencyRatio caps the latency ratio of one request, so that a single very slow
	// request does not lower the limit.
	maxLatencyRatio = 8.0
	// errorRateMargin is how far the recent error rate must exceed the baseline error
	// rate to count as overload. A smaller margin would be exceeded by random variation.
	errorRateMargin = 0.35
	// baselineWeight is the weight of the newest request in the short-term average that a
	// baseline follows, which covers about 100 requests.
	baselineWeight = 0.02
	// baselineRiseTime is the time constant with which a baseline follows an increase.
	// It is much longer than baselineFallTime, or overload would become the baseline.
	// If it were more than 30 times as long, the baseline would settle below the mean
	// of noisy latencies. The baseline error rate uses it in both directions.
	baselineRiseTime = 30 * time.Second
	// baselineFallTime is the time constant with which a latency baseline follows a
	// decrease.
	baselineFallTime = time.Second
	// baselineMinSamples is the number of requests after which a baseline is used.
	baselineMinSamples = 20
	// baselineWarmUp is the number of first requests during which a baseline equals the
	// short-term average.
	baselineWarmUp = 100
	// ceilingDuration is how long after a decrease the limit grows slowly near the value
	// that it had before the decrease.
	ceilingDuration = 2 * time.Second
	// ceilingGrowthFactor multiplies the growth of the limit near that value.
	ceilingGrowthFactor = 0.1
	// maxBaselines is the maximum number of routes with a baseline of their own; further
	// routes share one.
	maxBaselines = 256
)

// baseline tracks the normal latency of a route on this backend server.
type baseline struct {
	shortTerm float64 // moving average over about 100 requests, in seconds
	longTerm  float64 // the baseline: follows shortTerm slowly, in seconds
	samples   int
	updated   time.Time
}

// observe adds a latency and returns its ratio to the baseline before it, at most
// maxLatencyRatio; 1 while the baseline is not yet used.
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

// ewmaWeight returns the weight of a new value in an exponentially weighted moving
// average whose last update was elapsed ago.
func ewmaWeight(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-min(elapsed, time.Second).Seconds()/timeConstant.Seconds())
}

// Limiter is an adaptive concurrency limit: the number of requests that a backend
// server may run at a time. It starts at 1, grows by one after as many successes as
// the limit while all slots were in use, and decreases by a factor at once when the
// backend server refuses a request or latency or errors exceed their baseline. It is
// not safe for concurrent use; Gate owns it.
type Limiter struct {
	// slots is the maximum of the limit.
	slots int
	limit float64
	// successes counts the successes since the last cold start. The limit cannot exceed
	// it by more than 1.
	successes int
	// consecutiveSignals counts overload signals since the last success with normal
	// latency.
	consecutiveSignals int
	// latencyRatio is the moving average of the ratio of latencies to their baselines.
	latencyRatio float64
	// recentErrorRate is the moving average of the fraction of answers that are errors.
	recentErrorRate float64
	// baselineErrorRate follows recentErrorRate slowly.
	baselineErrorRate float64
	answerCount       int
	errorRateUpdated  time.Time
	// lastDecrease is when the limit was last decreased. Requests that started earlier
	// ran into the same overload, so their outcomes do not decrease it again.
	lastDecrease time.Time
	// ceiling is the limit before the last decrease; infinite after a cold start.
	ceiling float64
	// fixed keeps the limit at the number of slots that the backend server states.
	fixed bool
	// baselines holds the latency baseline of each route. The empty name holds the one
	// shared by the routes above maxBaselines.
	baselines map[model.RouteName]*baseline
}

// NewLimiter returns a limiter for a backend server that has just started and has the
// given number of slots.
func NewLimiter(slots int) *Limiter {
	return &Limiter{slots: max(slots, 1), limit: 1, latencyRatio: 1, ceiling: math.Inf(1), baselines: map[model.RouteName]*baseline{}}
}

// SetFixed sets the limit to the number of slots that the backend server states, and
// stops adapting it. A server that states its slots also states when it is cold and
// refuses requests for which it has no capacity.
func (l *Limiter) SetFixed(slots int) {
	l.slots = max(slots, 1)
	l.limit, l.successes, l.fixed = float64(l.slots), l.slots, true
}

// Limit returns the number of requests that may run at a time.
func (l *Limiter) Limit() int { return int(l.limit) }

// SetSlots changes the number of slots of the backend server, the maximum of the limit.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, float64(l.slots))
}

// ExpectedLatency returns the latency baseline of a route; zero if it is not known yet.
func (l *Limiter) ExpectedLatency(route model.RouteName) time.Duration {
	b := l.baselines[route]
	if b == nil || b.samples < baselineMinSamples {
		return 0
	}
	return time.Duration(b.longTerm * float64(time.Second))
}

// ColdStart resets the limit to 1 for a backend server that has just started. It keeps
// the latency baselines, which are a property of the service: measured against them
// a cold server is slow. It has no effect on a fixed limit.
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
	afterDecrease := !s.Started.Before(l.lastDecrease)
	switch s.Result {
	case ResultOK:
		l.observeLatency(now, s, afterDecrease)
	case ResultError:
		l.observeError(now, afterDecrease)
	case ResultRefused:
		l.onOverload(now, afterDecrease)
	case ResultTimeout:
		// With a short deadline of the caller a timeout does not indicate overload.
		if float64(s.Latency) >= overloadLatencyRatio*float64(l.ExpectedLatency(s.Route)) {
			l.onOverload(now, afterDecrease)
		}
	case ResultLost:
		// A lost connection is how a restart of the backend server appears to this node.
		if afterDecrease {
			l.ColdStart(now)
		}
	}
}

// observeLatency updates baseline, latency ratio and limit after a success.
// afterDecrease says whether the request started after the last decrease.
func (l *Limiter) observeLatency(now time.Time, s Sample, afterDecrease bool) {
	ratio := l.baseline(s.Route).observe(now, s.Latency)
	l.trackErrors(now, 0)
	if !afterDecrease {
		return
	}
	l.successes++
	l.latencyRatio += recentEWMAWeight * (ratio - l.latencyRatio)
	if l.latencyRatio > overloadLatencyRatio {
		l.onOverload(now, afterDecrease)
		return
	}
	if ratio < overloadLatencyRatio {
		l.consecutiveSignals = 0
	}
	l.increase(now, s.InFlight)
}

// observeError updates error rates and limit after an error answer.
func (l *Limiter) observeError(now time.Time, afterDecrease bool) {
	l.trackErrors(now, 1)
	if l.recentErrorRate > l.baselineErrorRate+errorRateMargin {
		l.onOverload(now, afterDecrease)
	}
}

// trackErrors updates the recent and the baseline error rate; value is 1 for an error
// answer and 0 for a success. The baseline keeps the limit up for a service that
// always answers some requests with an error.
func (l *Limiter) trackErrors(now time.Time, value float64) {
	l.answerCount++
	mean := 1 / float64(l.answerCount)
	l.recentErrorRate += max(recentEWMAWeight, mean) * (value - l.recentErrorRate)
	l.baselineErrorRate += max(ewmaWeight(now.Sub(l.errorRateUpdated), baselineRiseTime), mean) * (l.recentErrorRate - l.baselineErrorRate)
	l.errorRateUpdated = now
}

// onOverload handles an overload signal: it decreases the limit, or resets it after
// coldStartSignals consecutive signals. It ignores requests that started before the
// last decrease.
func (l *Limiter) onOverload(now time.Time, afterDecrease bool) {
	if !afterDecrease || l.fixed {
		return
	}
	l.consecutiveSignals++
	if l.consecutiveSignals >= coldStartSignals {
		l.ColdStart(now)
		return
	}
	l.decrease(now)
}

// decrease lowers the limit by decreaseFactor and resets the recent averages.
func (l *Limiter) decrease(now time.Time) {
	l.ceiling = l.limit
	l.limit = max(1, l.limit*decreaseFactor)
	l.latencyRatio = 1
	l.recentErrorRate = l.baselineErrorRate
	l.lastDecrease = now
}

// increase raises the limit if all slots were in use when the request started. A
// success at low load is no evidence that the backend server can take more.
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

// baseline returns the latency baseline of a route and creates it if there is none. Once
// there are maxBaselines, further routes share the baseline of the empty name.
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
