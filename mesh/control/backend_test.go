package control

import (
	"testing"

	"balsamtrail.org/mesh/replog"
)

// Guards against a status that confuses a claim group that never had a leader,
// and needs all of its voters to form, with one that lost its quorum.
func TestFormedNeedsTheDiskOfEachVoter(t *testing.T) {
	for name, c := range map[string]struct {
		members replog.Members
		want    bool
	}{
		"disks known":             {replog.Members{{Host: "c1", Disk: "d1", Voter: true}, {Host: "c2", Disk: "d2", Voter: true}}, true},
		"disk of a voter unknown": {replog.Members{{Host: "c1", Disk: "d1", Voter: true}, {Host: "c2", Voter: true}}, false},
	} {
		if got := formed(c.members); got != c.want {
			t.Errorf("%s: formed returned %t", name, got)
		}
	}
}
