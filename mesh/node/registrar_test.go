package node

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/registration"
)

// newTestPublisher returns the publisher of node n1, started at the given time.
func newTestPublisher(start time.Time) *membership.Publisher {
	return membership.NewPublisher(membership.Announcement{
		Host: "n1", Service: "ledger", Version: "unregistered", DataCentre: "thun", CallAddress: "10.0.0.1:1", PeerAddress: "10.0.0.1:2", Slots: 1,
	}, start)
}

func newLeaseServer() membership.LeaseServer {
	return membership.LeaseServer{
		Table: membership.NewTable(), Keeper: membership.NewLeaseKeeper(), Log: slog.New(slog.DiscardHandler),
		Status: func() (model.Position, bool) { return model.Position{}, true },
	}
}

// announceTo announces the node to a control host until the test ends or stop is called.
func announceTo(t *testing.T, n *Node, control membership.LeaseServer) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	nodeEnd, controlEnd := peer.Pipe(peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"},
		peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"})
	var wg sync.WaitGroup
	wg.Go(func() { _ = membership.ServeAnnounce(ctx, control, controlEnd); controlEnd.Abort() })
	wg.Go(func() {
		_ = membership.Announce(ctx, n.publisher, &membership.Contact{}, nodeEnd, membership.AnnounceOptions{OnReply: func(r membership.RenewalReply) {
			if r.NewerRecord != nil && n.registration != nil {
				n.registration.observe(*r.NewerRecord)
			}
		}})
	})
	stop = func() { cancel(); wg.Wait() }
	t.Cleanup(stop)
	return stop
}

// startRegisteredNode returns a node whose backend server has registered as instance "a",
// and which announces it to a control host.
func startRegisteredNode(t *testing.T, control membership.LeaseServer) (n *Node, stop func()) {
	n = startServing(t, func(http.ResponseWriter, *http.Request) {})
	n.cfg.Advertise.Call = "10.0.0.1:1"
	return n, announceTo(t, n, control)
}

func testLifetime(n *Node, sequence uint64, state registration.State) registration.Heartbeat {
	return registration.Heartbeat{Instance: "a", Started: 1, Sequence: sequence, Service: "ledger", DataCentre: "thun",
		Address: n.backend.base.Host, Version: "v1", Slots: 16, State: state}
}

// Guards against a restarted node that takes a late heartbeat for a registration although
// it has confirmed, before the restart, that the backend server leaves.
func TestRestartedNodeKeepsADepartureThatItConfirmed(t *testing.T) {
	for name, leave := range map[string]func(context.Context, *Node) error{
		"draining": func(ctx context.Context, n *Node) error {
			return n.registration.Heartbeat(ctx, testLifetime(n, 2, registration.StateDraining))
		},
		"deregistered":             func(ctx context.Context, n *Node) error { return n.registration.Deregister(ctx, "a", 1) },
		"deregistered by instance": func(ctx context.Context, n *Node) error { return n.registration.Deregister(ctx, "a", 0) },
	} {
		control := newLeaseServer()
		before, stop := startRegisteredNode(t, control)
		if resp := before.call(t, nil); resp.Status != http.StatusOK {
			t.Fatalf("%s: status %d before the departure", name, resp.Status)
		}
		if err := leave(t.Context(), before); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		stop()
		after, _ := startRegisteredNode(t, control) // registers again by a late heartbeat
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := after.publisher.AwaitConfirmed(ctx); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		cancel()
		if resp := after.call(t, nil); resp.Refusal == nil {
			t.Errorf("%s: a request is admitted after the restart", name)
		}
		if a, _ := control.Table.Get("n1"); a.State == membership.StateServing {
			t.Errorf("%s: announced as %s", name, a.State)
		}
		next := testLifetime(after, 1, registration.StateReady)
		next.Started = 2
		if err := after.registration.Heartbeat(t.Context(), next); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if resp := after.call(t, nil); resp.Refusal != nil {
			t.Errorf("%s: the next lifetime gets no requests: %s", name, resp.Refusal.Reason)
		}
	}
}

// Guards against a confirmed departure that only this node knows: its restart would
// forget it.
func TestDepartureIsConfirmedOnceAControlHostHasIt(t *testing.T) {
	n := startServing(t, func(http.ResponseWriter, *http.Request) {})
	n.cfg.Advertise.Call = "10.0.0.1:1"
	if err := n.registration.Deregister(t.Context(), "a", 1); !errors.Is(err, ErrUnconfirmed) {
		t.Fatalf("without a control host: %v", err)
	}
	if resp := n.call(t, nil); resp.Refusal == nil {
		t.Error("a request is admitted after the deregistration")
	}
	control := newLeaseServer()
	announceTo(t, n, control)
	if err := n.registration.Deregister(t.Context(), "a", 1); err != nil {
		t.Fatalf("repeated: %v", err)
	}
	if a, _ := control.Table.Get("n1"); !a.Closed {
		t.Errorf("recorded as %+v", a)
	}
}

// Guards against a deregistration without a time of start that a node confirms right after
// its restart without keeping it: a late heartbeat would register the backend server again.
func TestDeregistrationRightAfterARestartIsKept(t *testing.T) {
	control := newLeaseServer()
	before, stop := startRegisteredNode(t, control)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := before.publisher.AwaitConfirmed(ctx); err != nil {
		t.Fatal(err)
	}
	stop()
	own, _ := control.Table.Get("n1")
	after := newUnregisteredNode(t, before.backend.base)
	after.cfg.Advertise.Call = "10.0.0.1:1"
	done := make(chan error, 1)
	go func() { done <- after.registration.Deregister(t.Context(), "a", 0) }()
	after.registration.learnHistory([]membership.Announcement{own})
	announceTo(t, after, control)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if err := after.registration.Heartbeat(t.Context(), testLifetime(after, 15, registration.StateReady)); err != nil {
		t.Fatal(err)
	}
	if resp := after.call(t, nil); resp.Refusal == nil {
		t.Error("a request is admitted after the late heartbeat")
	}
	if a, _ := control.Table.Get("n1"); !a.Closed {
		t.Errorf("recorded as %+v", a)
	}
}

// Guards against the record of a host that had the name of this one before: another
// backend server at another address must be able to register.
func TestRecordOfAnotherAddressIsIgnored(t *testing.T) {
	n := startServing(t, func(http.ResponseWriter, *http.Request) {})
	n.cfg.Advertise.Call = "10.0.0.2:1"
	n.registration.learnHistory([]membership.Announcement{{Host: "n1", CallAddress: "10.0.0.1:1", Instance: "z", Started: 9, Closed: true}})
	if resp := n.call(t, nil); resp.Refusal != nil {
		t.Errorf("refused: %s", resp.Refusal.Reason)
	}
}
