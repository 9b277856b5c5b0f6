package control

import (
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

// orphanLife is how long a live record may be held by no control host before
// the leader declares it lapsed. It covers the loss of a control host and the
// time in which its nodes reach another one.
const orphanLife = 6 * time.Second

// orphans finds live records whose lease no control host holds, as after the
// loss of a control host together with some of its nodes. It belongs to the
// leader's goroutine and starts anew with each leader.
type orphans struct {
	since map[model.HostID]time.Time
}

func newOrphans() *orphans { return &orphans{since: map[model.HostID]time.Time{}} }

// observe returns the lapsed records for hosts that were held by nobody for orphanLife.
func (o *orphans) observe(now time.Time, alive []membership.Announcement, held map[model.HostID]bool) []membership.Announcement {
	seen := map[model.HostID]time.Time{}
	var lapsed []membership.Announcement
	for _, a := range alive {
		if held[a.Host] {
			continue
		}
		first, ok := o.since[a.Host]
		if !ok {
			first = now
		}
		seen[a.Host] = first
		if now.Sub(first) >= orphanLife {
			a.Sequence++
			a.State = membership.StateLapsed
			lapsed = append(lapsed, a)
		}
	}
	o.since = seen
	return lapsed
}
