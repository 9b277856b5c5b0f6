package admission

import "time"

// Constants of the pacer. The burst is kept small, because the stated rate of a cold
// backend server must hold in every second.
const (
	// pacerBurstTime is the burst as a time at the stated rate, in seconds.
	pacerBurstTime = 0.1
	// pacerMinBurst is the minimum burst, in requests.
	pacerMinBurst = 1.0
)

// pacer is a token bucket that limits the rate of requests to a cold backend server.
// The zero value does not limit it. It is not safe for concurrent use; Gate owns it.
type pacer struct {
	coldUntil  time.Time
	rate       float64 // requests per second; 0 for no limit
	tokens     float64 // requests
	refilledAt time.Time
}

// start limits the rate for the duration cold. If the limit is already active, the
// tokens are kept, since each heartbeat restates the remaining time.
func (p *pacer) start(now time.Time, cold time.Duration) {
	if !now.Before(p.coldUntil) {
		p.tokens, p.refilledAt = pacerMinBurst, now
	}
	p.coldUntil = now.Add(cold)
}

// active reports whether the rate is limited at the moment.
func (p *pacer) active(now time.Time) bool { return p.rate > 0 && now.Before(p.coldUntil) }

// take takes a token for a request; it reports false if the request must wait.
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

// refill adds the tokens for the time since the last refill.
func (p *pacer) refill(now time.Time) {
	burst := max(p.rate*pacerBurstTime, pacerMinBurst)
	p.tokens = min(p.tokens+now.Sub(p.refilledAt).Seconds()*p.rate, burst)
	p.refilledAt = now
}

// delay returns the time until a request may start; 0 if one may start now.
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
