package routing

import (
	"math"
	"time"

	"balsamtrail.org/mesh/membership"
)

// Constants of the view of one backend server.
const (
	// latencyTimeConstant is the time constant of the latency average.
	latencyTimeConstant = 5 * time.Second
	// limitTTL is how long an advertised limit counts. After it the backend
	// server may have warmed up through the calls of other nodes.
	limitTTL = 10 * time.Second
	// zeroLimitTTL is how long an advertised limit of zero keeps calls away.
	zeroLimitTTL = time.Second
	// loadTimeConstant is the time constant by which a report of the load loses weight: the
	// load of a backend server changes with requests of about that length.
	loadTimeConstant = 500 * time.Millisecond
	// ejectionThreshold is the number of failures or refusals in a row that ejects.
	ejectionThreshold = 5
	// errorRateWeight averages the part of errors over about ten answers.
	errorRateWeight = 0.1
	// maxPeerErrorRate is the part of errors among the other backend servers of the
	// version up to which a server that keeps failing is ejected. Above it the
	// fault is common, as that of a bad version or of a level further down.
	maxPeerErrorRate = 0.2
	// baseEjectionTime doubles with each ejection in a row, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = time.Minute
	// ejectionResetTime is how long a backend server must stay in use without an
	// ejection before the next one counts as the first.
	ejectionResetTime = time.Minute
)

// host is what this node knows of one backend server. The mutex of the Picker
// guards it.
type host struct {
	membership.Announcement
	inFlight int
	// latency is the average in seconds; zero if unknown.
	latency    float64
	observedAt time.Time
	limit      int
	// reportedAt is when the limit was learned; zero if it is unknown.
	reportedAt time.Time
	// utilization is the advertised part of the limit in use, learned at reportedAt when
	// this node had inFlightAtReport requests there.
	utilization      float64
	inFlightAtReport int
	// cold says that it started after this node first saw its service.
	cold                bool
	consecutiveFailures int
	// consecutiveErrors are the answers in a row that report an error, errorRate their part
	// of the answers over about ten.
	consecutiveErrors int
	errorRate         float64
	// successesAtFirstError are the good answers of the version when the errors in a row began.
	successesAtFirstError uint64
	ejections             int
	ejectedUntil          time.Time
}

// observe learns from a try; it reports whether the backend server is due for ejection.
func (h *host) observe(now time.Time, o Outcome) (eject bool) {
	switch o.Result {
	case ResultCancelled:
		return false
	case ResultOK:
		h.consecutiveFailures, h.consecutiveErrors = 0, 0
		h.errorRate -= errorRateWeight * h.errorRate
		h.observeLatency(now, o.Latency)
	case ResultError:
		// An error says nothing about the latency: a server that fails at once must
		// not look like the fastest one.
		h.consecutiveFailures = 0
		h.consecutiveErrors++
		h.errorRate += errorRateWeight * (1 - h.errorRate)
	case ResultRefused, ResultFailed:
		h.consecutiveFailures++
	}
	h.observedAt = now
	if o.Result != ResultFailed {
		h.limit, h.reportedAt = o.Limit, now
		h.utilization, h.inFlightAtReport = o.Utilization, h.inFlight
	}
	if h.ejections > 0 && now.Sub(h.ejectedUntil) > ejectionResetTime {
		h.ejections = 0
	}
	return h.consecutiveFailures >= ejectionThreshold && !h.ejected(now)
}

func (h *host) observeLatency(now time.Time, latency time.Duration) {
	l := latency.Seconds()
	if h.latency == 0 {
		h.latency = l
		return
	}
	// The floor keeps calls that end at the same time from having no weight.
	weight := max(0.05, 1-math.Exp(-now.Sub(h.observedAt).Seconds()/latencyTimeConstant.Seconds()))
	h.latency += weight * (l - h.latency)
}

func (h *host) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// isOutlier reports whether it keeps answering with errors while the others of
// its version give good answers. A version with one backend server has no others.
func (h *host) isOutlier(v *versionState) bool {
	if h.consecutiveErrors < ejectionThreshold || v.successes < h.successesAtFirstError+ejectionThreshold {
		return false
	}
	sum := 0.0
	for _, other := range v.all {
		if other != h {
			sum += other.errorRate
		}
	}
	return sum/float64(len(v.all)-1) <= maxPeerErrorRate
}

// eject keeps calls away for a time that doubles with each ejection in a row.
func (h *host) eject(now time.Time) time.Duration {
	length := min(baseEjectionTime<<min(h.ejections, 10), maxEjectionTime)
	h.ejections++
	h.consecutiveFailures, h.consecutiveErrors = 0, 0
	h.ejectedUntil = now.Add(length)
	return length
}

// advertisesZeroLimit reports whether it said lately that it takes no work.
func (h *host) advertisesZeroLimit(now time.Time) bool {
	return h.limit == 0 && !h.reportedAt.IsZero() && now.Sub(h.reportedAt) < zeroLimitTTL
}

// load estimates the part of the limit in use. A report loses weight against the
// usual load of the other backend servers as it ages; the own requests are known.
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

// capacity is the concurrency limit to assume: the advertised one while it is
// recent, 1 for a backend server that has just started, else its slots.
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
