package telemetry

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Limits of log lines about single requests.
const (
	// detailRate is the number of lines per second about requests that were refused,
	// retried or late. A line has about 500 bytes.
	detailRate = 80
	// detailBurst is the number of lines of this kind that may be logged at once.
	detailBurst = 160
	// failureRate is the number of additional lines per second about requests whose
	// callers got no answer, so that refusals under overload do not suppress them.
	failureRate = 20
	// failureBurst is the number of additional lines of this kind that may be logged
	// at once.
	failureBurst = 40
	// sampleEvery is the sampling interval in requests: of all other requests, one in
	// sampleEvery is logged.
	sampleEvery = 100
)

// MetricLogSuppressed is the name of the counter of request log lines that were
// suppressed to limit the volume of the log. Metrics count all requests.
const MetricLogSuppressed = "log.suppressed"

// RequestSampler decides which requests are logged, by rate limits and sampling. The zero
// value is not usable; use NewRequests.
type RequestSampler struct {
	// detail limits the lines about refused, retried and late requests.
	detail *rate.Limiter
	// failure limits the additional lines about requests without an answer.
	failure *rate.Limiter
	// routineCount counts the calls of AllowRoutine.
	routineCount atomic.Uint64
}

// NewRequestSampler returns a RequestSampler with the limits for one process.
func NewRequestSampler() *RequestSampler {
	return &RequestSampler{
		detail:  rate.NewLimiter(detailRate, detailBurst),
		failure: rate.NewLimiter(failureRate, failureBurst),
	}
}

// AllowFailed reports whether to log a request whose caller does not know its outcome.
func (r *RequestSampler) AllowFailed() bool { return r.failure.Allow() || r.AllowNotable() }

// AllowNotable reports whether to log a request that was refused, retried or late.
func (r *RequestSampler) AllowNotable() bool {
	if r.detail.Allow() {
		return true
	}
	Counter(MetricLogSuppressed).Inc(1)
	return false
}

// AllowRoutine reports whether to log any other request.
func (r *RequestSampler) AllowRoutine() bool {
	if r.routineCount.Add(1)%sampleEvery == 1 {
		return true
	}
	Counter(MetricLogSuppressed).Inc(1)
	return false
}
