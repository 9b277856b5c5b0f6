package rollout

// histogram is the old version's latency histogram with exponential decay.
type histogram struct {
	buckets [LatencyBuckets]float64
	total   float64
}

// accumulate adds the latency counters of c; with decay it reduces the weight of the earlier ones first.
func (h *histogram) accumulate(c Counts, decay bool) {
	if decay {
		h.decay()
	}
	for i, n := range c.Latency {
		h.buckets[i] += float64(n)
		h.total += float64(n)
	}
}

func (h *histogram) decay() {
	for i := range h.buckets {
		h.buckets[i] *= baselineDecay
	}
	h.total *= baselineDecay
}

// quantile returns the bucket that contains the quantile q.
func (h *histogram) quantile(q float64) int {
	sum := 0.0
	for i, n := range h.buckets {
		if sum += n; sum >= q*h.total {
			return i
		}
	}
	return LatencyBuckets - 1
}

// decayedCounts are the old version's counters with exponential decay.
type decayedCounts struct{ calls, errors, timed, slow float64 }

func (r *decayedCounts) accumulate(c CallStats) {
	for _, f := range []struct {
		sum *float64
		n   uint64
	}{{&r.calls, c.Calls}, {&r.errors, c.Errors}, {&r.timed, c.Timed}, {&r.slow, c.Slow}} {
		*f.sum = *f.sum*baselineDecay + float64(f.n)
	}
}

func (r *decayedCounts) errorRate() float64 { return r.errors / max(r.calls, 1) }

func (r *decayedCounts) slowRate() float64 { return r.slow / max(r.timed, 1) }

// Parameters of the comparison with the old version's earlier rates, for the time in which
// the old version gets no calls.
const (
	// baselineTestWindows is the number of newest windows over which the new version's rates are taken.
	baselineTestWindows = 3
	// baselineTestMinErrors is the least number of errors of the new version in these windows.
	baselineTestMinErrors = 5
	// baselineTestErrorRatio multiplies the baseline error rate.
	baselineTestErrorRatio = 3
	// baselineTestErrorExcess is added to the multiplied baseline error rate.
	baselineTestErrorExcess = 0.03
	// baselineTestMinTimed is the least number of timed calls for the comparison of slow calls.
	baselineTestMinTimed = 30
	// baselineTestSlowExcess is added to the baseline fraction of slow calls.
	baselineTestSlowExcess = 0.15
)

// WorseThanBaseline reports whether the new version's recent rates are worse than the old
// version's earlier ones. It gives no verdict: the old version then gets calls again, so
// that both versions are compared at the same time.
func (e *Evidence) WorseThanBaseline() bool {
	keys := []routeKey{{}}
	if len(e.windows) > 0 {
		for k := range e.windows[len(e.windows)-1].routes {
			keys = append(keys, k)
		}
	}
	for _, k := range keys {
		base := e.baseline[k]
		if base == nil {
			base = &decayedCounts{}
		}
		v := e.recentStats(baselineTestWindows, k)
		if v.new.Errors >= baselineTestMinErrors && v.new.ErrorRate() >= baselineTestErrorRatio*base.errorRate()+baselineTestErrorExcess {
			return true
		}
		if v.new.Timed >= baselineTestMinTimed && v.new.SlowRate() >= base.slowRate()+baselineTestSlowExcess {
			return true
		}
	}
	return false
}
