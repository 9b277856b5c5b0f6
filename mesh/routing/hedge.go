package routing

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of hedging.
const (
	// hedgeQuantile is the quantile of the latency after which a call is hedged.
	hedgeQuantile = 0.95
	// hedgeWindow is the number of recent latencies from which the quantile is computed.
	hedgeWindow = 200
	// hedgeRecomputeEvery is the number of new latencies after which the quantile is
	// recomputed.
	hedgeRecomputeEvery = 20
	// maxHedgeRoutes is the maximum number of routes whose latencies are recorded.
	maxHedgeRoutes = 4096
)

// Hedger computes the delay after which a slow lookup is hedged with a second
// attempt, and limits such attempts to 5% of calls. Attempts.Hedge charges them. It is
// safe for concurrent use.
type Hedger struct {
	// bucket limits the hedged attempts.
	bucket *Bucket
	// retries is the retry bucket of the node; nil if hedged attempts take no tokens
	// from it.
	retries *Bucket

	// mu guards routes.
	mu     sync.Mutex
	routes map[model.RouteName]*latencyWindow
}

// latencyWindow holds the most recent latencies of a route.
type latencyWindow struct {
	// latencies is a ring buffer of up to hedgeWindow entries.
	latencies []time.Duration
	// count is the number of latencies observed so far.
	count int
	// delay is the last computed quantile; zero before the first.
	delay time.Duration
}

// NewHedger returns a Hedger without recorded latencies. If retries is not nil, each
// hedged attempt also takes a token from it, but only if at least half of its burst is
// left afterwards: retrying a failed call is worth more than hedging a slow one.
func NewHedger(retries *Bucket) *Hedger {
	return &Hedger{bucket: NewHedgeBucket(), retries: retries, routes: map[model.RouteName]*latencyWindow{}}
}

// take charges a hedged attempt to both buckets, or to neither.
func (h *Hedger) take() bool {
	if !h.bucket.Take() {
		return false
	}
	if h.retries != nil && !h.retries.takeAbove(h.retries.burst/2) {
		h.bucket.refund()
		return false
	}
	return true
}

// refund puts back the tokens that take used.
func (h *Hedger) refund() {
	h.bucket.refund()
	if h.retries != nil {
		h.retries.refund()
	}
}

// Delay counts a call and returns the 95th percentile of the latency of the route;
// false until it is known.
func (h *Hedger) Delay(route model.RouteName) (time.Duration, bool) {
	h.bucket.Deposit()
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.routes[route]
	if w == nil || w.delay == 0 {
		return 0, false
	}
	return w.delay, true
}

// Observe records the latency of an attempt that was answered.
func (h *Hedger) Observe(route model.RouteName, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.routes[route]
	if w == nil {
		if len(h.routes) >= maxHedgeRoutes {
			return
		}
		w = &latencyWindow{}
		h.routes[route] = w
	}
	if len(w.latencies) < hedgeWindow {
		w.latencies = append(w.latencies, latency)
	} else {
		w.latencies[w.count%hedgeWindow] = latency
	}
	w.count++
	if w.count%hedgeRecomputeEvery == 0 {
		sorted := slices.Sorted(slices.Values(w.latencies))
		w.delay = sorted[int(hedgeQuantile*float64(len(sorted)))]
	}
}
