package node

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

const testLeave = 500 * time.Millisecond

// stoppingNode returns the parts of a node that a planned stop uses, with one
// request at its backend server.
func stoppingNode(t *testing.T, drain time.Duration) (*Node, func(admission.Outcome)) {
	t.Helper()
	n := &Node{
		log:       slog.New(slog.DiscardHandler),
		publisher: membership.NewPublisher(membership.Announcement{Host: "n1"}, time.Now()),
		children:  distribute.NewAdmission(distribute.NodeAdmission()),
		gate:      admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 2}}),
		entry:     &entry{},
	}
	n.cfg.Timeouts.Drain, n.cfg.Timeouts.Leave = drain, testLeave
	release, err := n.gate.Acquire(context.Background(), admission.Ticket{Kind: model.KindLookup})
	if err != nil {
		t.Fatal(err)
	}
	return n, release
}

func stopNode(n *Node) {
	callsDone := make(chan struct{})
	n.stop(nil, func() { close(callsDone) }, callsDone)
}

// The assertion of a graceful stop must fire when a request is still running at
// the drain limit, or cut requests would go unnoticed.
func TestStopThatCutsARequestIsAViolation(t *testing.T) {
	invariant.SetFatal(false)
	defer invariant.SetFatal(true)
	before := invariant.Violations()
	n, release := stoppingNode(t, 100*time.Millisecond)
	defer release(admission.Outcome{Result: admission.ResultOK})
	stopNode(n)
	if got := invariant.Violations() - before; got != 1 {
		t.Errorf("%d violations", got)
	}
}

// A stop must wait for the request that runs, and announce that the node leaves
// before it takes no more work.
func TestStopWaitsForRunningRequests(t *testing.T) {
	before := invariant.Violations()
	n, release := stoppingNode(t, 10*time.Second)
	time.AfterFunc(testLeave+200*time.Millisecond, func() { release(admission.Outcome{Result: admission.ResultOK}) })
	began := time.Now()
	stopNode(n)
	if took := time.Since(began); took < testLeave+200*time.Millisecond {
		t.Errorf("stopped after %s with a request running", took)
	}
	if n.publisher.Current().State != membership.StateLeft || invariant.Violations() != before {
		t.Errorf("state %s, %d violations", n.publisher.Current().State, invariant.Violations()-before)
	}
}
