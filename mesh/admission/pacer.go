package admission

import "time"

// Parts of the stated rate of a cold backend server. The rate binds in each
// second, so that what a burst may add is kept small.
const (
	pacerBurstTime = 0.1 // seconds of the rate
	pacerMinBurst  = 1.0 // requests
)

// pacer bounds the rate of requests to a cold backend server. The zero value
// bounds nothing. It is not safe for concurrent use; Gate owns it.
type pacer struct {
	coldUntil  time.Time
	rate       float64 // requests per second
	tokens     float64
	refilledAt time.Time
}

// start paces requests for a time. A pacer that runs already keeps its tokens,
// since each heartbeat states the time that is left.
func (p *pacer) start(now time.Time, cold time.Duration) {
	if !now.Before(p.coldUntil) {
		p.tokens, p.refilledAt = pacerMinBurst, now
	}
	p.coldUntil = now.Add(cold)
}

// active reports whether requests are paced at present. A rate of 0 sets no bound.
func (p *pacer) active(now time.Time) bool { return p.rate > 0 && now.Before(p.coldUntil) }

// take reports whether a request may start now, and counts it.
func (p *pacer) take(now time.Time) bool {
	if !p.active(now) {
		return true
	}
	p.refill(now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *pacer) refill(now time.Time) {
	burst := max(p.rate*pacerBurstTime, pacerMinBurst)
	p.tokens = min(p.tokens+now.Sub(p.refilledAt).Seconds()*p.rate, burst)
	p.refilledAt = now
}

// delay returns how long it takes until a request may start; 0 if one may now.
func (p *pacer) delay(now time.Time) time.Duration {
	if !p.active(now) {
		return 0
	}
	p.refill(now)
	if p.tokens >= 1 {
		return 0
	}
	wait := time.Duration((1 - p.tokens) / p.rate * float64(time.Second))
	return max(min(wait, p.coldUntil.Sub(now)), time.Millisecond)
}
