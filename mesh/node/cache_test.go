package node

import (
	"fmt"
	"testing"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

func announced(i int, dc model.DataCentre, s membership.State) membership.Announcement {
	return membership.Announcement{Host: model.HostID(fmt.Sprintf("n%d", i)), DataCentre: dc, PeerAddress: fmt.Sprintf("127.0.0.1:%d", i), State: s}
}

// Guards against a cache file whose peers are dead, lacks those in the local data
// centre, or has no limit on their number.
func TestChoosePeersKeepsLiveNodesOwnDataCentreFirst(t *testing.T) {
	known := []membership.Announcement{announced(0, "thun", membership.StateServing), announced(1, "thun", membership.StateLapsed)}
	for i := range 2 * maxCachedPeers {
		known = append(known, announced(2+i, "burgdorf", membership.StateServing))
	}
	known = append(known, announced(900, "thun", membership.StateServing))
	got := selectCachePeers("n0", "thun", known)
	if len(got) != maxCachedPeers || got[0].Host != "n900" || got[1].DataCentre != "burgdorf" {
		t.Fatalf("%d peers: %+v", len(got), got[:min(len(got), 2)])
	}
}
