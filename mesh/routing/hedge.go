package routing

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of hedging.
const (
	hedgeQuantile = 0.95
	// hedgeWindow is the number of latencies the quantile is taken over.
	hedgeWindow = 200
	// hedgeRecomputeEvery is the number of latencies after which it is computed again.
	hedgeRecomputeEvery = 20
	// maxHedgeRoutes bounds the routes with a window.
	maxHedgeRoutes = 4096
)

// Hedger gives the delay after which a second try of a slow lookup is worth
// its cost, and bounds such tries to 5% of calls; Attempts.Hedge uses them.
type Hedger struct {
	bucket *Bucket
	// retries is the bucket of the node's retries; nil if hedged calls take none of it.
	retries *Bucket

	// mu guards routes.
	mu     sync.Mutex
	routes map[model.RouteName]*latencyWindow
}

type latencyWindow struct {
	latencies []time.Duration
	count     int
	delay     time.Duration
}

// NewHedger returns a Hedger without observations. Hedged calls also take from the
// node's retries, if there are any, but only what is above half of their burst: a
// retry after a failure is worth more than a second try of a slow call.
func NewHedger(retries *Bucket) *Hedger {
	return &Hedger{bucket: NewHedgeBucket(), retries: retries, routes: map[model.RouteName]*latencyWindow{}}
}

// take uses one hedged call of both buckets, or of neither.
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

// refund returns what take used.
func (h *Hedger) refund() {
	h.bucket.refund()
	if h.retries != nil {
		h.retries.refund()
	}
}

// Delay counts a call and returns the 95th percentile of the route's latency;
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

// Observe adds the latency of a first try that was answered.
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
