package routing

import (
	"math"
	"time"

	"balsamtrail.org/mesh/membership"
)

// Constants of the view of one backend server.
const (
	// latencyTime is the time constant of the latency average.
	latencyTime = 5 * time.Second
	// limitLifetime is how long an advertised limit counts. After it the backend
	// server may have warmed up through the calls of other nodes.
	limitLifetime = 10 * time.Second
	// zeroLimitLifetime is how long an advertised limit of zero keeps calls away.
	zeroLimitLifetime = time.Second
	// loadTime is the time constant by which a report of the load loses weight: the
	// load of a backend server changes with requests of about that length.
	loadTime = 500 * time.Millisecond
	// ejectAfter is the number of failures or refusals in a row that ejects.
	ejectAfter = 5
	// errorWeight averages the part of errors over about ten answers.
	errorWeight = 0.1
	// errorsElsewhere is the part of errors among the other backend servers of the
	// version up to which a server that keeps failing is ejected. Above it the
	// fault is common, as that of a bad version or of a level further down.
	errorsElsewhere = 0.2
	// ejectBase doubles with each ejection in a row, up to ejectMax.
	ejectBase = time.Second
	ejectMax  = time.Minute
	// ejectForget is how long a backend server must stay in use without an
	// ejection before the next one counts as the first.
	ejectForget = time.Minute
)

// host is what this node knows of one backend server. The mutex of the Picker
// guards it.
type host struct {
	membership.Announcement
	inFlight int
	// latency is the average in seconds; zero if unknown.
	latency  float64
	observed time.Time
	limit    int
	// limitAt is when the limit was learned; zero if it is unknown.
	limitAt time.Time
	// utilization is the advertised part of the limit in use, learned at limitAt when
	// this node had inFlightAt requests there.
	utilization float64
	inFlightAt  int
	// cold says that it started after this node first saw its service.
	cold bool
	bad  int
	// errors are the answers in a row that report an error, errorRate their part
	// of the answers over about ten.
	errors    int
	errorRate float64
	// oksBefore are the good answers of the version when the errors in a row began.
	oksBefore    uint64
	ejections    int
	ejectedUntil time.Time
}

// observe learns from a try; it reports whether the backend server is due for ejection.
func (h *host) observe(now time.Time, o Outcome) (eject bool) {
	switch o.Result {
	case ResultCancelled:
		return false
	case ResultOK:
		h.bad, h.errors = 0, 0
		h.errorRate -= errorWeight * h.errorRate
		h.observeLatency(now, o.Latency)
	case ResultError:
		// An error says nothing about the latency: a server that fails at once must
		// not look like the fastest one.
		h.bad = 0
		h.errors++
		h.errorRate += errorWeight * (1 - h.errorRate)
	case ResultRefused, ResultFailed:
		h.bad++
	}
	h.observed = now
	if o.Result != ResultFailed {
		h.limit, h.limitAt = o.Limit, now
		h.utilization, h.inFlightAt = o.Utilization, h.inFlight
	}
	if h.ejections > 0 && now.Sub(h.ejectedUntil) > ejectForget {
		h.ejections = 0
	}
	return h.bad >= ejectAfter && !h.ejected(now)
}

func (h *host) observeLatency(now time.Time, latency time.Duration) {
	l := latency.Seconds()
	if h.latency == 0 {
		h.latency = l
		return
	}
	// The floor keeps calls that end at the same time from having no weight.
	weight := max(0.05, 1-math.Exp(-now.Sub(h.observed).Seconds()/latencyTime.Seconds()))
	h.latency += weight * (l - h.latency)
}

func (h *host) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// failsAlone reports whether it keeps answering with errors while the others of
// its version give good answers. A version with one backend server has no others.
func (h *host) failsAlone(v *versionView) bool {
	if h.errors < ejectAfter || v.oks < h.oksBefore+ejectAfter {
		return false
	}
	sum := 0.0
	for _, other := range v.all {
		if other != h {
			sum += other.errorRate
		}
	}
	return sum/float64(len(v.all)-1) <= errorsElsewhere
}

// eject keeps calls away for a time that doubles with each ejection in a row.
func (h *host) eject(now time.Time) time.Duration {
	length := min(ejectBase<<min(h.ejections, 10), ejectMax)
	h.ejections++
	h.bad, h.errors = 0, 0
	h.ejectedUntil = now.Add(length)
	return length
}

// closed reports whether it said lately that it takes no work.
func (h *host) closed(now time.Time) bool {
	return h.limit == 0 && !h.limitAt.IsZero() && now.Sub(h.limitAt) < zeroLimitLifetime
}

// load estimates the part of the limit in use. A report loses weight against the
// usual load of the other backend servers as it ages; the own requests are known.
func (h *host) load(now time.Time, usual float64) float64 {
	capacity := h.capacity(now)
	own := float64(h.inFlight) / capacity
	if h.limitAt.IsZero() {
		return max(own, usual)
	}
	weight := math.Exp(-now.Sub(h.limitAt).Seconds() / loadTime.Seconds())
	reported := h.utilization + float64(h.inFlight-h.inFlightAt)/capacity
	return max(own, weight*reported+(1-weight)*usual)
}

// capacity is the concurrency limit to assume: the advertised one while it is
// recent, 1 for a backend server that has just started, else its slots.
func (h *host) capacity(now time.Time) float64 {
	slots := float64(max(h.Slots, 1))
	switch {
	case h.limitAt.IsZero() && h.cold:
		return 1
	case h.limitAt.IsZero():
		return slots
	case now.Sub(h.limitAt) > limitLifetime:
		return max(float64(h.limit), slots/2)
	}
	return max(float64(h.limit), 1)
}
