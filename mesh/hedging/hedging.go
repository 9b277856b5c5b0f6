// Package hedging decides on the entry node whether and when an unanswered lookup is
// sent to a second backend server, and keeps such attempts within the limit that
// operators set. All decisions get the time and what is known about the backend servers
// as arguments; none of them blocks.
package hedging

import (
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// Defaults of the settings of operators.
const (
	// DefaultLimit is the default ratio of hedged attempts to calls.
	DefaultLimit = 0.05
	// DefaultBurst is the default number of hedged attempts that a node may make at once.
	DefaultBurst = 5
	// DefaultMaxLoad is the default of the average load above which no call is hedged.
	DefaultMaxLoad = 0.8
)

// Constants of the decision.
const (
	// slowRatio is the ratio of the recent service time of a backend server to the usual
	// one of its service from which the server counts as slow at the moment. Servers that
	// are always slower than others differ from the mean by less than that.
	slowRatio = 2.0
	// maxRoutes is the maximum number of routes whose latencies are recorded.
	maxRoutes = 4096
)

// Config configures a Hedger.
type Config struct {
	// Limit is the greatest ratio of hedged attempts to calls of routes that may be
	// hedged; 0 switches hedging off. A higher value shortens the tail of the latency
	// and adds load.
	Limit float64
	// Burst is the number of hedged attempts that may follow each other directly. A
	// higher value covers longer phases of slowness and allows more load at once.
	Burst float64
	// MaxLoad is the average load of a version, as a fraction of its concurrency limit,
	// above which its calls are not hedged.
	MaxLoad float64
	// Retries is the retry bucket of the node, to which hedged attempts are charged too.
	Retries *routing.Bucket
}

// Hedger holds the budget of hedged attempts and the recent latencies of each route. It
// is safe for concurrent use.
type Hedger struct {
	cfg Config
	// bucket holds a token for each hedged attempt that the calls so far allow.
	bucket *routing.Bucket

	// mu guards routes.
	mu     sync.Mutex
	routes map[model.RouteName]*latencies
}

// New returns a Hedger without recorded latencies. Its budget is empty, because no call
// depends on hedging: in any window of n calls at most Limit*n + Burst attempts are
// hedged, and at most Limit*n in the first n.
func New(cfg Config) *Hedger {
	return &Hedger{cfg: cfg, bucket: routing.NewEmptyBucket(cfg.Limit, cfg.Burst), routes: map[model.RouteName]*latencies{}}
}

// Applies reports whether calls of a route may be hedged at all.
func (h *Hedger) Applies(r note.Route) bool {
	return h.cfg.Limit > 0 && r.Hedge && r.Kind == model.KindLookup && r.MaxRetries > 0
}

// CountCall counts a call of a route to which hedging applies. It is called once for
// each call, whatever the number of its attempts.
func (h *Hedger) CountCall() { h.bucket.Deposit() }

// Wait returns how much longer an attempt that has been unanswered for the given time is
// waited for before it is hedged or Wait is asked again; 0 if it is due. An attempt is due
// after the 95th percentile of the latency of the route or, if its backend server is known to
// have been slow meanwhile, after the usual latency. known is false while too few latencies are known.
func (h *Hedger) Wait(route model.RouteName, elapsed time.Duration, slow bool) (wait time.Duration, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.routes[route]
	switch {
	case l == nil || l.tail == 0:
		return 0, false
	case elapsed < l.usual:
		return l.usual - elapsed, true // the state of the server is looked at then
	case slow:
		return 0, true
	}
	return max(l.tail-elapsed, 0), true
}

// Start decides whether a call is hedged that is due. If
// the result is empty, the attempt has been charged to the budgets.
func (h *Hedger) Start(c Call) Skip {
	if reason := h.unsuitable(c); reason != "" {
		return reason
	}
	if !h.bucket.Take() {
		return SkipLimit
	}
	if !h.cfg.Retries.TakeAbove(h.cfg.Retries.Burst() / 2) {
		h.bucket.Refund()
		return SkipRetryBudget
	}
	return ""
}

// WouldSkip returns what Start would return, and charges nothing.
func (h *Hedger) WouldSkip(c Call) Skip {
	switch reason := h.unsuitable(c); {
	case reason != "":
		return reason
	case h.bucket.Tokens() < 1:
		return SkipLimit
	case h.cfg.Retries.Tokens() < 1+h.cfg.Retries.Burst()/2:
		return SkipRetryBudget
	}
	return ""
}

// unsuitable returns why a call is not hedged, whatever the budgets; empty if it may be.
func (h *Hedger) unsuitable(c Call) Skip {
	switch {
	case c.Remaining < h.usual(c.Route):
		return SkipNoTime
	case c.Load > h.cfg.MaxLoad:
		return SkipLoad
	case c.Versions > 1:
		return SkipVersions
	case c.CallBudget == 0:
		return SkipCallBudget
	}
	return ""
}

// Suits reports whether a backend server may get a hedged attempt.
func (h *Hedger) Suits(load float64, server ServiceTimes) bool {
	return load <= h.cfg.MaxLoad && !server.Slow()
}

// Refund gives back what Start charged for an attempt that reached no backend server.
func (h *Hedger) Refund() {
	h.bucket.Refund()
	h.cfg.Retries.Refund()
}

// Observe records the latency of the first attempt of a call. If a hedged attempt was
// answered sooner, the time that the first one had taken until then is recorded as its
// latency: without it the percentile would fall with each hedged attempt that wins.
func (h *Hedger) Observe(route model.RouteName, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.routes[route]
	if l == nil {
		if len(h.routes) >= maxRoutes {
			return
		}
		l = &latencies{}
		h.routes[route] = l
	}
	l.add(latency)
}

// usual returns the usual latency of a route; 0 if it is not known.
func (h *Hedger) usual(route model.RouteName) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.routes[route]; l != nil {
		return l.usual
	}
	return 0
}

// State is the state of the budgets and of one route, for operators.
type State struct {
	Limit, Burst, MaxLoad float64
	// Tokens is the number of hedged attempts that may be made now.
	Tokens float64
	// Tail and Usual are the delays for usual and for slow backend servers; 0 while they
	// are not known.
	Tail, Usual time.Duration
}

// State returns the state of the budgets and of a route without changing it.
func (h *Hedger) State(route model.RouteName) State {
	s := State{Limit: h.cfg.Limit, Burst: h.cfg.Burst, MaxLoad: h.cfg.MaxLoad, Tokens: h.bucket.Tokens()}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l := h.routes[route]; l != nil {
		s.Tail, s.Usual = l.tail, l.usual
	}
	return s
}
