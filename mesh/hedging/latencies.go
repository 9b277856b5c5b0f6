package hedging

import (
	"slices"
	"time"
)

const (
	// tailQuantile is the quantile of the latency after which a call is hedged.
	tailQuantile = 0.95
	// usualQuantile is the quantile that counts as the latency of a usual response.
	usualQuantile = 0.5
	// window is the number of recent latencies from which the quantiles are computed.
	window = 200
	// recomputeEvery is the number of new latencies after which the quantiles are
	// recomputed.
	recomputeEvery = 20
)

// latencies holds the most recent latencies of a route. Hedger.mu guards it.
type latencies struct {
	// recent is a ring buffer of up to window entries.
	recent []time.Duration
	// count is the number of latencies observed so far.
	count int
	// tail and usual are the last computed quantiles; zero before the first.
	tail, usual time.Duration
}

func (l *latencies) add(latency time.Duration) {
	if len(l.recent) < window {
		l.recent = append(l.recent, latency)
	} else {
		l.recent[l.count%window] = latency
	}
	l.count++
	if l.count%recomputeEvery == 0 {
		sorted := slices.Sorted(slices.Values(l.recent))
		l.tail = sorted[int(tailQuantile*float64(len(sorted)))]
		l.usual = sorted[int(usualQuantile*float64(len(sorted)))]
	}
}
