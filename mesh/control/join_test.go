package control

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog"
)

// Guards against removing a voter after a short pause or in a partition, which
// would weaken the group.
func TestVoterToRemove(t *testing.T) {
	start := time.Unix(1000, 0)
	voters := func(hosts ...model.HostID) (ms replog.Members) {
		for _, h := range hosts {
			ms = append(ms, replog.Member{Host: h, Disk: replog.DiskID(h), Voter: true})
		}
		return ms
	}
	cases := []struct {
		name         string
		members      replog.Members
		unresponsive map[model.HostID]bool
		after        time.Duration
		want         model.HostID
	}{
		{"all respond", voters("a", "b", "c", "d"), nil, time.Minute, ""},
		{"one does not respond and three are left", voters("a", "b", "c", "d"), map[model.HostID]bool{"c": true}, voterResponseTimeout, "c"},
		{"one does not respond for less than the timeout", voters("a", "b", "c", "d"), map[model.HostID]bool{"c": true}, voterResponseTimeout / 2, ""},
		{"only two would be left", voters("a", "b", "c"), map[model.HostID]bool{"c": true}, time.Minute, ""},
		{"two of four do not respond", voters("a", "b", "c", "d"), map[model.HostID]bool{"c": true, "d": true}, time.Minute, ""},
	}
	for _, c := range cases {
		p := &voterPruner{}
		now := start
		lastReply := func(h model.HostID) time.Time {
			if c.unresponsive[h] {
				return time.Time{}
			}
			return now
		}
		p.voterToRemove(now, "a", c.members, lastReply, 3)
		now = start.Add(c.after)
		if got, due := p.voterToRemove(now, "a", c.members, lastReply, 3); due != (c.want != "") || due && got != c.want {
			t.Errorf("%s: remove %q (%v), want %q", c.name, got, due, c.want)
		}
	}
}

// Guards against a host that does not ask to join although its disk differs
// from the one that the group has recorded, or although the group was formed without it;
// and against a founder that asks while the group is not formed yet.
func TestIsMember(t *testing.T) {
	formed := replog.Members{{Host: "a", Disk: "d1", Voter: true}, {Host: "b", Voter: true}}
	founders := replog.Members{{Host: "a", Voter: true}, {Host: "b", Voter: true}}
	for _, c := range []struct {
		members replog.Members
		self    model.HostID
		disk    replog.DiskID
		want    bool
	}{
		{formed, "a", "d1", true}, {formed, "a", "d2", false}, {formed, "b", "d3", false}, {formed, "c", "d4", false},
		{founders, "b", "d3", true}, {founders, "c", "d4", false},
	} {
		if got := isMember(replog.Status{Self: c.self, Disk: c.disk, Members: c.members}); got != c.want {
			t.Errorf("%v: host %s with disk %s: isMember returned %v", c.members, c.self, c.disk, got)
		}
	}
}
