package routing

import (
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

const (
	// elapsedWindow is the length of the windows over which the maximum timeout of a
	// route is taken.
	elapsedWindow = 10 * time.Second
	// maxElapsedRoutes is the maximum number of routes with a recorded timeout.
	maxElapsedRoutes = 4096
)

// ElapsedEstimator estimates how long the caller of a request has been waiting since it first
// sent the request. A caller that resends a refused request states a shorter timeout
// than the first time, so the maximum timeout recently stated on a route is taken as
// the initial timeout of its callers. ElapsedEstimator is safe for concurrent use.
type ElapsedEstimator struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[model.RouteName]*maxTimeout
}

// maxTimeout holds the maximum timeouts of the current and the previous window.
type maxTimeout struct {
	// since is the start of the current window.
	since             time.Time
	current, previous time.Duration
}

// NewElapsedEstimator returns an ElapsedEstimator without recorded timeouts.
func NewElapsedEstimator() *ElapsedEstimator {
	return &ElapsedEstimator{routes: map[model.RouteName]*maxTimeout{}}
}

// Observe records the timeout that a request states and returns the estimate of how
// long its caller has been waiting; 0 if maxElapsedRoutes is reached.
func (e *ElapsedEstimator) Observe(now time.Time, route model.RouteName, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.routes[route]
	if g == nil {
		if len(e.routes) >= maxElapsedRoutes {
			e.removeIdleRoutes(now)
		}
		if len(e.routes) >= maxElapsedRoutes {
			return 0
		}
		g = &maxTimeout{since: now}
		e.routes[route] = g
	}
	if now.Sub(g.since) > elapsedWindow {
		g.since, g.previous, g.current = now, g.current, 0
	}
	g.current = max(g.current, timeout)
	return max(g.current, g.previous) - timeout
}

// Estimate returns what Observe would return, and records nothing.
func (e *ElapsedEstimator) Estimate(now time.Time, route model.RouteName, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.routes[route]
	switch {
	case g == nil:
		return 0
	case now.Sub(g.since) > elapsedWindow: // a new window would begin
		return max(g.current, timeout) - timeout
	}
	return max(g.current, g.previous, timeout) - timeout
}

// removeIdleRoutes drops routes whose current window began more than two window lengths
// ago, such as routes that were removed from the configuration.
func (e *ElapsedEstimator) removeIdleRoutes(now time.Time) {
	for name, g := range e.routes {
		if now.Sub(g.since) > 2*elapsedWindow {
			delete(e.routes, name)
		}
	}
}
