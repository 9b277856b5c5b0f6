package membership

import (
	"flag"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// init fixes the seed of rapid to make runs reproducible; -rapid.seed on the
// command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var baseTime = time.Unix(1_700_000_000, 0)

func announcement(host model.HostID, inc, seq uint64, s State) Announcement {
	return Announcement{Host: host, Incarnation: inc, Sequence: seq, Service: "ledger", Version: "v1",
		DataCentre: "thun", CallAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Slots: 20, State: s}
}

var nodeID = peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}
var controlID = peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}

func newHolder() LeaseServer {
	return LeaseServer{Table: NewTable(), Keeper: NewLeaseKeeper(), Log: slog.New(slog.DiscardHandler),
		Status: func() (model.Position, bool) { return model.Position{Epoch: 1, Index: 7}, true }}
}
