package routing

import (
	"math"
	"time"

	"balsamtrail.org/mesh/membership"
)

// Constants of the state of one backend server.
const (
	// latencyTimeConstant is the time constant of the moving average of the latency.
	latencyTimeConstant = 5 * time.Second
	// limitTTL is how long an advertised concurrency limit is used unchanged. After
	// that the limit is assumed to be at least half the slots, since the backend server
	// may have warmed up through calls of other nodes.
	limitTTL = 10 * time.Second
	// zeroLimitTTL is how long a backend server that advertised a limit of zero gets no
	// calls.
	zeroLimitTTL = time.Second
	// loadTimeConstant is the time constant with which a load report loses weight. The
	// load changes as requests start and end, and requests take about that long.
	loadTimeConstant = 500 * time.Millisecond
	// ejectionThreshold is the number of consecutive failures and refusals, or of
	// consecutive errors, after which a backend server may be ejected.
	ejectionThreshold = 5
	// errorRateWeight is the weight of the newest answer in the moving average of the
	// error rate, which covers about ten answers.
	errorRateWeight = 0.1
	// maxPeerErrorRate is the mean error rate of the other backend servers of the
	// version up to which a server that keeps returning errors is ejected, and the mean
	// refusal rate up to which one that keeps refusing is. Above it they share the
	// fault: it lies in the version, in the load or in a service that it calls.
	maxPeerErrorRate = 0.2
	// baseEjectionTime is the duration of the first ejection. It doubles with each
	// consecutive one.
	baseEjectionTime = time.Second
	// maxEjectionTime is the longest duration of an ejection.
	maxEjectionTime = time.Minute
	// ejectionResetTime is the time after the end of an ejection after which the next
	// one counts as the first again.
	ejectionResetTime = time.Minute
)

// host is the state that this node keeps about one backend server. Picker.mu
// guards it.
type host struct {
	membership.Announcement
	// inFlight is the number of requests of this node in flight there.
	inFlight int
	// latency is the moving average in seconds; zero if unknown.
	latency float64
	// observedAt is the time of the last outcome other than ResultCancelled.
	observedAt time.Time
	// limit is the concurrency limit that the last report advertised.
	limit int
	// reportedAt is the time of the last report of limit and utilization; zero if there
	// was none.
	reportedAt time.Time
	// utilization is the load at reportedAt as a fraction of the limit.
	utilization float64
	// inFlightAtReport is the value of inFlight at reportedAt.
	inFlightAtReport int
	// recentServiceTime and usualServiceTime are those of the last report, in seconds; 0
	// if unknown.
	recentServiceTime, usualServiceTime float64
	// usualLoad is the moving average of the reported utilization.
	usualLoad float64
	// declined says that the last report came with a declined attempt.
	declined bool
	// cold is set if the backend server appeared after this node first used its
	// service, or has restarted since.
	cold bool
	// consecutiveFailures counts failed and refused attempts since the last success or
	// error answer.
	consecutiveFailures int
	// consecutiveErrors counts error answers since the last success.
	consecutiveErrors int
	// errorRate is the moving average of the fraction of answers that are errors.
	errorRate float64
	// refusalRate is the moving average of the fraction of attempts that the backend
	// server refuses.
	refusalRate float64
	// successesAtFirstError is the number of successes of the version when the current
	// run of consecutive errors began.
	successesAtFirstError uint64
	// ejections counts consecutive ejections, which determine how long the next one
	// lasts.
	ejections    int
	ejectedUntil time.Time
}

// observe updates the state with the outcome of an attempt. It reports whether
// consecutive failures call for an ejection.
func (h *host) observe(now time.Time, o Outcome) (eject bool) {
	switch o.Result {
	case ResultCancelled:
		return false
	case ResultOK:
		h.consecutiveFailures, h.consecutiveErrors = 0, 0
		h.errorRate -= errorRateWeight * h.errorRate
		h.refusalRate -= errorRateWeight * h.refusalRate
		h.observeLatency(now, o.Latency)
	case ResultError:
		// Errors are left out of the latency, or a server that fails at once would
		// look like the fastest one.
		h.consecutiveFailures = 0
		h.consecutiveErrors++
		h.errorRate += errorRateWeight * (1 - h.errorRate)
		h.refusalRate -= errorRateWeight * h.refusalRate
	case ResultRefused:
		h.consecutiveFailures++
		h.refusalRate += errorRateWeight * (1 - h.refusalRate)
	case ResultFailed:
		h.consecutiveFailures++
	}
	h.observedAt = now
	if o.Result != ResultFailed {
		h.observeReport(now, o)
		h.limit, h.reportedAt = o.Limit, now
		h.utilization, h.inFlightAtReport = o.Utilization, h.inFlight
	}
	if h.ejections > 0 && now.Sub(h.ejectedUntil) > ejectionResetTime {
		h.ejections = 0
	}
	return h.consecutiveFailures >= ejectionThreshold && !h.ejected(now)
}

// observeLatency adds the latency of a successful attempt to the moving average.
func (h *host) observeLatency(now time.Time, latency time.Duration) {
	l := latency.Seconds()
	if h.latency == 0 {
		h.latency = l
		return
	}
	// The lower bound gives a call some weight even if another one has just ended.
	weight := max(0.05, 1-math.Exp(-now.Sub(h.observedAt).Seconds()/latencyTimeConstant.Seconds()))
	h.latency += weight * (l - h.latency)
}

// ejected reports whether the backend server is currently ejected.
func (h *host) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// isOutlier reports whether the backend server keeps returning errors while the
// other servers of its version succeed. It requires ejectionThreshold consecutive
// errors here and as many successes of the version meanwhile. With only one server
// the version has no such successes.
func (h *host) isOutlier(v *versionState) bool {
	if h.consecutiveErrors < ejectionThreshold || v.successes < h.successesAtFirstError+ejectionThreshold {
		return false
	}
	return v.meanOfOthers(h, func(other *host) float64 { return other.errorRate }) <= maxPeerErrorRate
}

// othersRefuse reports whether the other backend servers of the version refuse calls
// too, so that an ejection would only take away room.
func (h *host) othersRefuse(v *versionState) bool {
	return v.meanOfOthers(h, func(other *host) float64 { return other.refusalRate }) > maxPeerErrorRate
}

// meanOfOthers returns the mean of a value over the backend servers but h; 0 without any.
func (v *versionState) meanOfOthers(h *host, value func(*host) float64) float64 {
	sum := 0.0
	for _, other := range v.all {
		if other != h {
			sum += value(other)
		}
	}
	return sum / float64(max(len(v.all)-1, 1))
}

// eject ejects the backend server and returns for how long. The duration doubles
// with each consecutive ejection.
func (h *host) eject(now time.Time) time.Duration {
	duration := min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
	h.consecutiveFailures, h.consecutiveErrors = 0, 0
	h.ejectedUntil = now.Add(duration)
	return duration
}

// advertisesZeroLimit reports whether the backend server recently advertised that it
// accepts no requests.
func (h *host) advertisesZeroLimit(now time.Time) bool {
	return h.limit == 0 && !h.reportedAt.IsZero() && now.Sub(h.reportedAt) < zeroLimitTTL
}

// load estimates the load of the backend server as a fraction of its concurrency
// limit. As the last report ages, the estimate moves from it to the average load of
// the version. It is never below the load that the requests of this node make up.
func (h *host) load(now time.Time, averageLoad float64) float64 {
	capacity := h.capacity(now)
	inUse := float64(h.inFlight) / capacity
	if h.reportedAt.IsZero() {
		return max(inUse, averageLoad)
	}
	weight := math.Exp(-now.Sub(h.reportedAt).Seconds() / loadTimeConstant.Seconds())
	reported := h.utilization + float64(h.inFlight-h.inFlightAtReport)/capacity
	return max(inUse, weight*reported+(1-weight)*averageLoad)
}

// capacity returns the concurrency limit to assume. Without a report it is 1 for a
// cold backend server and the number of its slots for others. A recent report is
// used as it is; an older one is raised to at least half the slots.
func (h *host) capacity(now time.Time) float64 {
	slots := float64(max(h.Slots, 1))
	switch {
	case h.reportedAt.IsZero() && h.cold:
		return 1
	case h.reportedAt.IsZero():
		return slots
	case now.Sub(h.reportedAt) > limitTTL:
		return max(float64(h.limit), slots/2)
	}
	return max(float64(h.limit), 1)
}
