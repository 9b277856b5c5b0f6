package rollout

// histogram is a decayed latency histogram of the old version.
type histogram struct {
	buckets [LatencyBuckets]float64
	total   float64
}

// accumulate adds counters; with decay the former ones lose weight first.
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

// quantile returns the bucket in which the quantile lies.
func (h *histogram) quantile(q float64) int {
	sum := 0.0
	for i, n := range h.buckets {
		if sum += n; sum >= q*h.total {
			return i
		}
	}
	return LatencyBuckets - 1
}

// decayedCounts are decayed rates of the old version.
type decayedCounts struct{ calls, errors, timed, slow float64 }

func (r *decayedCounts) accumulate(t Tally) {
	for _, f := range []struct {
		sum *float64
		n   uint64
	}{{&r.calls, t.Calls}, {&r.errors, t.Errors}, {&r.timed, t.Timed}, {&r.slow, t.Slow}} {
		*f.sum = *f.sum*baselineDecay + float64(f.n)
	}
}

func (r *decayedCounts) errorRate() float64 { return r.errors / max(r.calls, 1) }

func (r *decayedCounts) slowRate() float64 { return r.slow / max(r.timed, 1) }

// The rule of suspicion while the old version has no calls to compare with.
const (
	baselineTestWindows     = 3
	baselineTestMinErrors   = 5
	baselineTestErrorRatio  = 3
	baselineTestErrorExcess = 0.03
	baselineTestMinTimed    = 30
	baselineTestSlowExcess  = 0.15
)

// WorseThanBaseline reports whether the new version looks worse than the old one
// did. It convicts nobody: it is the cause to send the old version some calls
// again, to compare both at the same time.
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
		v := e.recentTallies(baselineTestWindows, k)
		if v.new.Errors >= baselineTestMinErrors && v.new.ErrorRate() >= baselineTestErrorRatio*base.errorRate()+baselineTestErrorExcess {
			return true
		}
		if v.new.Timed >= baselineTestMinTimed && v.new.SlowRate() >= base.slowRate()+baselineTestSlowExcess {
			return true
		}
	}
	return false
}
