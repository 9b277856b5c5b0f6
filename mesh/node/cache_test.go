package node

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

func announced(i int, dc model.DataCentre, s membership.State) membership.Announcement {
	return membership.Announcement{Host: model.HostID(fmt.Sprintf("n%d", i)), DataCentre: dc, PeerAddress: fmt.Sprintf("127.0.0.1:%d", i), State: s}
}

// Guards against a cache of peers that cannot be asked, without those of the own
// data centre, or without a bound.
func TestChoosePeersKeepsLiveNodesOwnDataCentreFirst(t *testing.T) {
	known := []membership.Announcement{announced(0, "thun", membership.StateServing), announced(1, "thun", membership.StateLapsed)}
	for i := range 2 * cachedPeers {
		known = append(known, announced(2+i, "burgdorf", membership.StateServing))
	}
	known = append(known, announced(900, "thun", membership.StateServing))
	got := choosePeers("n0", "thun", known)
	if len(got) != cachedPeers || got[0].Host != "n900" || got[1].DataCentre != "burgdorf" {
		t.Fatalf("%d peers: %+v", len(got), got[:min(len(got), 2)])
	}
}

// Guards against peers that are lost by a restart, and against a damaged file
// that keeps the node from starting.
func TestPeersSurviveARestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "peers")
	if got, err := readPeers(file); err != nil || len(got) != 0 {
		t.Fatalf("no file: %v, %v", got, err)
	}
	want := choosePeers("self", "thun", []membership.Announcement{announced(1, "thun", membership.StateServing)})
	if err := writePeers(file, want); err != nil {
		t.Fatal(err)
	}
	if got, err := readPeers(file); err != nil || !slices.Equal(got, want) {
		t.Fatalf("%v, %v; want %v", got, err, want)
	}
	if err := os.WriteFile(file, []byte{0xff}, 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := readPeers(file); err == nil || len(got) != 0 {
		t.Fatalf("damaged file: %v, %v", got, err)
	}
}
