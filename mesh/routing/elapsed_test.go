package routing

import (
	"fmt"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

// Guards against taking a resent request for a new one, and against one long timeout
// that makes all later requests of the route look late for good.
func TestElapsedTracksMaximumTimeoutOfRoute(t *testing.T) {
	e := NewElapsedEstimator()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		second  float64
		timeout time.Duration
		want    time.Duration
	}{
		{0, time.Second, 0},
		{1, 700 * time.Millisecond, 300 * time.Millisecond},
		{2, time.Second, 0},
		{3, 5 * time.Second, 0},
		{4, time.Second, 4 * time.Second},
		{12, time.Second, 4 * time.Second},
		{23, time.Second, 0},
		{24, 900 * time.Millisecond, 100 * time.Millisecond},
	} {
		if got := e.Observe(at(c.second), "r", c.timeout); got != c.want {
			t.Errorf("second %v, timeout %v: estimated wait %v, want %v", c.second, c.timeout, got, c.want)
		}
	}
}

// Guards against removed routes that stay recorded until new routes find no space.
func TestElapsedRemovesIdleRoutes(t *testing.T) {
	e := NewElapsedEstimator()
	for i := range maxElapsedRoutes {
		e.Observe(start, model.RouteName(fmt.Sprint(i)), time.Second)
	}
	later := start.Add(3 * elapsedWindow)
	e.Observe(later, "new", time.Second)
	if got := e.Observe(later, "new", 600*time.Millisecond); got != 400*time.Millisecond {
		t.Errorf("estimated wait %v, want 400ms", got)
	}
}
