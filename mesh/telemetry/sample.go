package telemetry

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Bounds of the lines about single requests.
const (
	// detailRate is the number of lines a second in full detail, for requests that
	// were refused, tried again or late. A line has about 500 bytes.
	detailRate  = 80
	detailBurst = 160
	// failureRate is kept for requests whose callers got no answer, so that refusals
	// under overload do not crowd out what has another cause.
	failureRate  = 20
	failureBurst = 40
	// sampleEvery is the part of the other requests that are logged: one in so many.
	sampleEvery = 100
)

// MetricLogSuppressed counts the lines about requests that were left out to bound
// the volume of the log; the requests themselves are all counted.
const MetricLogSuppressed = "log.suppressed"

// Requests decides which requests are logged. The zero value is not usable.
type Requests struct {
	detail       *rate.Limiter
	failure      *rate.Limiter
	routineCount atomic.Uint64
}

// NewRequests returns the decision for one process.
func NewRequests() *Requests {
	return &Requests{
		detail:  rate.NewLimiter(detailRate, detailBurst),
		failure: rate.NewLimiter(failureRate, failureBurst),
	}
}

// Failed reports whether a request is logged whose outcome its caller does not know.
func (r *Requests) Failed() bool { return r.failure.Allow() || r.Notable() }

// Notable reports whether a request that was refused, tried again or late is logged.
func (r *Requests) Notable() bool {
	if r.detail.Allow() {
		return true
	}
	Counter(MetricLogSuppressed).Inc(1)
	return false
}

// Usual reports whether any other request is logged.
func (r *Requests) Usual() bool {
	if r.routineCount.Add(1)%sampleEvery == 1 {
		return true
	}
	Counter(MetricLogSuppressed).Inc(1)
	return false
}
