package admission

import (
	"math"
	"time"
)

// Constants of the pacer.
const (
	// coldBurstTime is the burst of a cold backend server as a time at its rate, in
	// seconds. It is small, because the rate must hold in every second.
	coldBurstTime = 0.1
	// statedBurstTime is the same for the rate that a backend server states in its
	// answers, which it means as an average over some seconds.
	statedBurstTime = 0.25
	// minBurst is the minimum burst, in requests.
	minBurst = 1.0
	// rateTimeConstant is the time constant of the moving average of the rate in use.
	rateTimeConstant = time.Second
)

// pacer limits the rate of requests to a backend server, while it is cold and while it
// states a rate in its answers. The zero value does not limit it. It is not safe for
// concurrent use; Gate owns it.
type pacer struct {
	coldUntil    time.Time
	cold, stated rateLimit
}

// start limits the rate for the duration cold. If the limit is already active, the
// tokens are kept, since each heartbeat restates the remaining time.
func (p *pacer) start(now time.Time, cold time.Duration) {
	if !now.Before(p.coldUntil) {
		p.cold.reset(now)
	}
	p.coldUntil = now.Add(cold)
}

// setStated sets the rate that the backend server states; 0 ends the limit.
func (p *pacer) setStated(now time.Time, rate float64) {
	if p.stated.rate == 0 {
		p.stated.reset(now)
	}
	p.stated.rate, p.stated.burstTime = rate, statedBurstTime
}

// active returns the limits in force.
func (p *pacer) active(now time.Time) []*rateLimit {
	var out []*rateLimit
	if p.cold.rate > 0 && now.Before(p.coldUntil) {
		out = append(out, &p.cold)
	}
	if p.stated.rate > 0 {
		out = append(out, &p.stated)
	}
	return out
}

// take takes a token for a request; it reports false if the request must wait.
func (p *pacer) take(now time.Time) bool {
	if p.delay(now) > 0 {
		return false
	}
	for _, l := range p.active(now) {
		l.take(now)
	}
	return true
}

// delay returns the time until a request may start; 0 if one may start now.
func (p *pacer) delay(now time.Time) time.Duration {
	var wait time.Duration
	for _, l := range p.active(now) {
		d := l.delay(now)
		if l == &p.cold {
			d = min(d, p.coldUntil.Sub(now))
		}
		wait = max(wait, d)
	}
	if wait > 0 {
		wait = max(wait, time.Millisecond)
	}
	return wait
}

// utilization returns the part in use of the stated rate; 0 if none is stated.
func (p *pacer) utilization(now time.Time) float64 {
	if p.stated.rate == 0 {
		return 0
	}
	return p.stated.used(now) / p.stated.rate
}

// rateLimit is a token bucket.
type rateLimit struct {
	rate float64 // requests per second; 0 for no limit
	// burstTime is the burst as a time at the rate, in seconds.
	burstTime  float64
	tokens     float64 // requests
	refilledAt time.Time
	// recent is the moving average of the rate in use at usedAt, in requests per second.
	recent float64
	usedAt time.Time
}

func (l *rateLimit) reset(now time.Time) {
	l.tokens, l.refilledAt = minBurst, now
	l.recent, l.usedAt = 0, now
}

// refill adds the tokens for the time since the last refill.
func (l *rateLimit) refill(now time.Time) {
	burst := max(l.rate*l.burstTime, minBurst)
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*l.rate, burst)
	l.refilledAt = now
}

func (l *rateLimit) take(now time.Time) {
	l.tokens--
	l.recent, l.usedAt = l.used(now)+1/rateTimeConstant.Seconds(), now
}

// used returns the moving average of the rate in use.
func (l *rateLimit) used(now time.Time) float64 {
	return l.recent * math.Exp(-now.Sub(l.usedAt).Seconds()/rateTimeConstant.Seconds())
}

func (l *rateLimit) delay(now time.Time) time.Duration {
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / l.rate * float64(time.Second))
}
