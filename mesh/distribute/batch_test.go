package distribute

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
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
