package routing

import (
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

const (
	// elapsedWindow is how long the greatest timeout of a route counts.
	elapsedWindow = 10 * time.Second
	// maxElapsedRoutes bounds the routes that are followed.
	maxElapsedRoutes = 4096
)

// Elapsed estimates how long the caller of a request has been waiting. A caller that
// sends a refused request again states a shorter timeout than at first; the greatest
// one that was stated lately on a route is what its callers begin with.
type Elapsed struct {
	// mu guards routes.
	mu     sync.Mutex
	routes map[model.RouteName]*maxTimeout
}

// maxTimeout is the greatest value of the present and the former window.
type maxTimeout struct {
	since             time.Time
	current, previous time.Duration
}

// NewElapsed returns an Elapsed without observations.
func NewElapsed() *Elapsed { return &Elapsed{routes: map[model.RouteName]*maxTimeout{}} }

// Observe adds a stated timeout and returns how long its caller has been waiting.
func (e *Elapsed) Observe(now time.Time, route model.RouteName, timeout time.Duration) time.Duration {
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

// removeIdleRoutes drops the routes without a request for two windows, such as those that are gone.
func (e *Elapsed) removeIdleRoutes(now time.Time) {
	for name, g := range e.routes {
		if now.Sub(g.since) > 2*elapsedWindow {
			delete(e.routes, name)
		}
	}
}
