package control

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

// A node must not be declared lapsed while any control host holds its lease,
// nor before its keeper's successor had time to hear it.
func TestOrphansLapseOnlyAfterTheWholeTime(t *testing.T) {
	o := newOrphans()
	now := time.Unix(1000, 0)
	alive := []membership.Announcement{
		{Host: "held", State: membership.StateServing, Sequence: 4},
		{Host: "lost", State: membership.StateServing, Sequence: 4},
		{Host: "found", State: membership.StateServing, Sequence: 4},
	}
	held := map[model.HostID]bool{"held": true}
	if got := o.observe(now, alive, held); len(got) != 0 {
		t.Fatalf("lapsed at once: %v", got)
	}
	held["found"] = true
	if got := o.observe(now.Add(orphanLife/2), alive, held); len(got) != 0 {
		t.Fatalf("lapsed early: %v", got)
	}
	delete(held, "found")
	got := o.observe(now.Add(orphanLife), alive, held)
	if len(got) != 1 || got[0].Host != "lost" || got[0].State != membership.StateLapsed || got[0].Sequence != 5 {
		t.Fatalf("got %v, want host lost lapsed with sequence 5", got)
	}
}
