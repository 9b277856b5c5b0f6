package distribute

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/note"
)

// Guards against a frame to each child for each node of a starting fleet, and against a
// single change of endpoints or a version that waits for a batch.
func TestEndpointsOfAStartingFleetAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, frames := startWatch(t, nil)
		time.Sleep(time.Second)
		before := frames.Load()
		source.eps.Merge(servingAnnouncement("first", "ledger", 1))
		time.Sleep(2 * pushBatchDelay)
		if _, ok := child.eps.Get("first"); !ok {
			t.Error("a single change is not sent at once")
		}
		const nodes = 60
		for i := range nodes {
			source.eps.Merge(servingAnnouncement(fmt.Sprint("n", i), "ledger", 1))
			time.Sleep(10 * time.Millisecond)
		}
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(minPushInterval + pushBatchDelay)
		expectPosition(t, child, 1)
		if child.eps.Digest() != source.eps.Digest() {
			t.Error("the endpoints are not complete with the version")
		}
		heartbeats := 610 / HeartbeatInterval.Milliseconds()
		if n := frames.Load() - before - heartbeats; n > 8 {
			t.Errorf("%d nodes took %d frames", nodes, n)
		}
	})
}

// Guards against a starting fleet whose control host encodes the whole configuration for
// each node, and sends it uncompressed.
func TestChildWithoutAVersionGetsTheSharedSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, _ := startWatch(t, nil)
		source.eps.Merge(servingAnnouncement("n2", "ledger", 1))
		var routes []note.Route
		for i := range 10 * maxFirstDelta {
			routes = append(routes, route(fmt.Sprint("r", i), "ledger", 0))
		}
		publish(t, source, 1, configOf(routes...))
		time.Sleep(time.Second)
		expectPosition(t, child, 1)
		shared, err := source.store.Snapshot(positionAt(0))
		if err != nil || source.store.snapshot != shared {
			t.Fatalf("no snapshot was sent: %v", err)
		}
		publish(t, source, 2, configOf(routes[1:]...))
		time.Sleep(time.Second)
		expectPosition(t, child, 2)
		if again, err := source.store.Snapshot(positionAt(0)); err != nil || again != shared {
			t.Errorf("a small change took another snapshot: %v", err)
		}
	})
}
