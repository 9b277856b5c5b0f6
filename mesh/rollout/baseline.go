package rollout

// histogram is a decayed latency histogram of the old version.
type histogram struct {
	buckets [Buckets]float64
	total   float64
}

// learn adds counters; with decay the former ones lose weight first.
func (h *histogram) learn(c Counts, decay bool) {
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
	return Buckets - 1
}

// rates are decayed rates of the old version.
type rates struct{ calls, errors, timed, slow float64 }

func (r *rates) learn(t Tally) {
	for _, f := range []struct {
		have *float64
		n    uint64
	}{{&r.calls, t.Calls}, {&r.errors, t.Errors}, {&r.timed, t.Timed}, {&r.slow, t.Slow}} {
		*f.have = *f.have*baselineDecay + float64(f.n)
	}
}

func (r *rates) errorRate() float64 { return r.errors / max(r.calls, 1) }

func (r *rates) slowRate() float64 { return r.slow / max(r.timed, 1) }

// The rule of suspicion while the old version has no calls to compare with.
const (
	aloneWindows    = 3
	aloneErrors     = 5
	aloneErrorRatio = 3
	aloneErrorMore  = 0.03
	aloneTimed      = 30
	aloneSlowMore   = 0.15
)

// SuspectAlone reports whether the new version looks worse than the old one
// did. It convicts nobody: it is the cause to send the old version some calls
// again, to compare both at the same time.
func (e *Evidence) SuspectAlone() bool {
	keys := []routeKey{{}}
	if len(e.windows) > 0 {
		for k := range e.windows[len(e.windows)-1].routes {
			keys = append(keys, k)
		}
	}
	for _, k := range keys {
		base := e.baseline[k]
		if base == nil {
			base = &rates{}
		}
		v := e.recent(aloneWindows, k)
		if v.new.Errors >= aloneErrors && v.new.ErrorRate() >= aloneErrorRatio*base.errorRate()+aloneErrorMore {
			return true
		}
		if v.new.Timed >= aloneTimed && v.new.SlowRate() >= base.slowRate()+aloneSlowMore {
			return true
		}
	}
	return false
}
