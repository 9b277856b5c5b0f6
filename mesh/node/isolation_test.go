package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/settings"
)

// isolatedHostTest runs a node whose local control host c1 has lost the leader, while
// the remote one c2 has not. opened gets the host of each evidence stream.
func isolatedHostTest(t *testing.T) (n *Node, remote *membership.Table, opened chan model.HostID) {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	opened = make(chan model.HostID, 16)
	control := func(host model.HostID, dc model.DataCentre, leaderReachable bool) (directory.Host, *membership.Table) {
		leases := membership.LeaseServer{Table: membership.NewTable(), Keeper: membership.NewLeaseKeeper(), Log: slog.New(slog.DiscardHandler),
			Status: func() (model.Position, bool) { return model.Position{}, leaderReachable }}
		ep := listenPeer(t, ca, peer.Identity{Role: peer.RoleControl, DataCentre: dc, Host: host}, func(e *peer.Endpoint) {
			e.Handle(membership.MethodAnnounce, []peer.Role{peer.RoleNode}, func(ctx context.Context, st peer.Stream) error {
				return membership.ServeAnnounce(ctx, leases, st)
			})
			e.Handle(rollout.MethodEvidence, []peer.Role{peer.RoleNode}, func(_ context.Context, st peer.Stream) error {
				opened <- host
				<-st.Context().Done()
				return nil
			})
		})
		return directory.Host{Host: host, DataCentre: dc, Peer: ep.Addr().String()}, leases.Table
	}
	local, _ := control("c1", "thun", false)
	other, remote := control("c2", "bern", true)
	n = &Node{cfg: settings.DefaultNode(), log: slog.New(slog.DiscardHandler), directory: directory.New([]directory.Host{local, other}),
		contact: &membership.Contact{}, freshness: &distribute.Freshness{}, recorder: rollout.NewRecorder("n1", 1),
		publisher: membership.NewPublisher(membership.Announcement{Host: "n1", DataCentre: "thun", Service: "ledger", Version: "v1",
			CallAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Slots: 20, State: membership.StateServing}, time.Now())}
	n.cfg.Host, n.cfg.DataCentre = n.publisher.Current().Host, "thun"
	n.ep = listenPeer(t, ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: n.cfg.Host}, func(*peer.Endpoint) {})
	n.joining.get(&n.joining.routes).set()
	return n, remote, opened
}

// Guards against a node whose lease lapses at the leader, so that its backend server
// gets no calls, since it renews with a control host that is cut off from the others.
func TestStreamsLeaveAnIsolatedControlHost(t *testing.T) {
	n, remote, opened := isolatedHostTest(t)
	n.freshness.Contact = time.Now
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- n.announce(ctx) }()
	go func() { done <- n.reportEvidence(ctx) }()
	defer func() { cancel(); <-done; <-done }()
	deadline := time.After(membership.LeaseDuration)
	for host := model.HostID(""); host != "c2"; {
		select {
		case host = <-opened:
		case <-deadline:
			t.Fatal("the evidence stream stays with the isolated control host")
		}
	}
	for {
		if _, ok := remote.Get(n.cfg.Host); ok {
			return
		}
		select {
		case <-remote.Changed(0):
		case <-deadline:
			t.Fatal("the lease is not renewed with the other control host")
		}
	}
}

// Guards against nodes that all change their control hosts at each election.
func TestStreamsStayDuringAnElection(t *testing.T) {
	n, remote, _ := isolatedHostTest(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.announce(ctx) }()
	time.Sleep(3 * n.cfg.Timeouts.LeaseRenew)
	cancel()
	<-done
	if _, ok := remote.Get(n.cfg.Host); ok {
		t.Error("the node left its control host although it knows none with newer contact")
	}
}
