package distribute

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// network connects the processes of a test. One mutex guards it.
type network struct {
	ctx   context.Context
	opens atomic.Int64

	mu           sync.Mutex
	running      map[model.HostID]*process
	cancel       map[model.HostID]context.CancelFunc
	contexts     map[model.HostID]context.Context
	unresponsive map[model.HostID]bool
}

func newNetwork(ctx context.Context) *network {
	return &network{ctx: ctx, running: map[model.HostID]*process{}, cancel: map[model.HostID]context.CancelFunc{},
		contexts: map[model.HostID]context.Context{}, unresponsive: map[model.HostID]bool{}}
}

func (n *network) start(id peer.Identity) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newProcess(id)
	n.running[id.Host] = p
	n.contexts[id.Host], n.cancel[id.Host] = context.WithCancel(n.ctx)
	return p
}

// stop crashes a process: its streams end and no new ones open.
func (n *network) stop(h model.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, h)
	n.cancel[h]()
}

func (n *network) open(child peer.Identity) func(context.Context, Parent) (peer.Stream, error) {
	return func(_ context.Context, p Parent) (peer.Stream, error) {
		n.opens.Add(1)
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.unresponsive[p.Host] {
			st, _ := peer.Pipe(child, p.Identity())
			return st, nil
		}
		if target := n.running[p.Host]; target != nil {
			return target.open(n.contexts[p.Host], child), nil
		}
		return nil, errors.New("unreachable")
	}
}

// attach starts Attach on a node with fixed candidates.
func (n *network) attach(p *process, candidates ...Parent) {
	n.mu.Lock()
	ctx := n.contexts[p.id.Host]
	n.mu.Unlock()
	o := AttachOptions{Self: p.id.Host, Follow: p.follow(), Log: discardLog, Open: n.open(p.id),
		Candidates: func() []Parent { return candidates }}
	go func() { _ = Attach(ctx, p.a, p.eps, o) }()
}

// threeNodes returns a running source and three nodes sorted by rank.
func threeNodes(t *testing.T) (n *network, source *process, nodes []*process, root Parent, parents []Parent) {
	n = newNetwork(t.Context())
	source = n.start(sourceIdentity)
	source.keepFresh(t.Context())
	source.eps.Merge(servingAnnouncement("h", "ledger", 1))
	all := nodeParents(3)
	root = Parent{Host: sourceIdentity.Host, Role: peer.RoleControl}
	for range all { // sort by rank
		for i := 1; i < len(all); i++ {
			if hasLowerRank(all[i].Host, all[i-1].Host) {
				all[i], all[i-1] = all[i-1], all[i]
			}
		}
	}
	for _, p := range all {
		nodes = append(nodes, n.start(peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: p.Host}))
	}
	return n, source, nodes, root, all
}

// TestAttachFailover guards against a child that stays with a crashed or
// unresponsive parent for more than about a second.
func TestAttachFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		n.attach(nodes[0], root)
		n.attach(nodes[1], root)
		n.attach(nodes[2], all[0], all[1], root)
		time.Sleep(time.Second)
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(time.Second)
		expectPosition(t, nodes[2], 1)
		if nodes[0].serve.Admission.Children() != 1 {
			t.Fatal("the first candidate has no child")
		}
		n.stop(all[0].Host)
		publish(t, source, 2, configOf(route("r", "ledger", 1)))
		time.Sleep(time.Second)
		expectPosition(t, nodes[2], 2)
		n.mu.Lock()
		n.unresponsive[all[1].Host] = true
		n.mu.Unlock()
		n.stop(all[1].Host)
		publish(t, source, 3, configOf(route("r", "ledger", 2)))
		time.Sleep(2 * time.Second)
		expectPosition(t, nodes[2], 3)
	})
}

// TestAttachHandoff guards against a planned stop during which a child has no
// parent, or after which the stopping parent still has children.
func TestAttachHandoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		n.attach(nodes[0], root)
		n.attach(nodes[1], root)
		n.attach(nodes[2], all[0], all[1], root)
		time.Sleep(time.Second)
		nodes[0].serve.Admission.Drain(time.Second)
		for i := range uint64(20) {
			publish(t, source, i+1, configOf(route("r", "ledger", int(i%3))))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(pushTokenInterval * 3)
		expectPosition(t, nodes[2], 20)
		if nodes[0].serve.Admission.Children() != 0 || nodes[1].serve.Admission.Children() != 1 {
			t.Fatalf("children %d and %d", nodes[0].serve.Admission.Children(), nodes[1].serve.Admission.Children())
		}
		n.stop(all[0].Host)
		publish(t, source, 21, configOf(route("r", "ledger", 2)))
		time.Sleep(500 * time.Millisecond)
		expectPosition(t, nodes[2], 21)
	})
}

// TestAttachTriesAllCandidates guards against a node that keeps trying its busy
// first candidate while another one would admit it.
func TestAttachTriesAllCandidates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		n.attach(nodes[0], root)
		time.Sleep(time.Second)
		source.serve.Admission.Drain(time.Hour)
		unreachable := Parent{Host: "absent", Role: peer.RoleControl}
		n.unresponsive[all[1].Host] = true
		n.attach(nodes[2], root, unreachable, all[1], all[0])
		time.Sleep(3 * time.Second)
		expectPosition(t, nodes[2], 1)
	})
}

// TestUnplannedChildMakesRoom guards against a node of the first level that
// cannot attach because a node that came earlier holds its slot at the source.
func TestUnplannedChildMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		source.serve.Planned = func(child peer.Identity) (bool, []Parent) { return child == nodes[0].id, nil }
		source.serve.Admission = NewAdmission(AdmissionConfig{Children: 1, PerDataCentre: 1, UnplannedPerDataCentre: 1, Snapshots: 1, RetryAfter: defaultRetryAfter})
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		n.attach(nodes[1], root, all[0])
		time.Sleep(time.Second)
		expectPosition(t, nodes[1], 1)
		n.attach(nodes[0], root)
		time.Sleep(10 * time.Second)
		publish(t, source, 2, configOf(route("r", "ledger", 1)))
		time.Sleep(time.Second)
		expectPosition(t, nodes[0], 2)
		expectPosition(t, nodes[1], 2)
		if nodes[0].serve.Admission.Children() != 1 {
			t.Fatal("the unplanned child did not switch to the planned one")
		}
	})
}

// TestAttachReturnsToPreferredParent guards against a node that stays with a
// parent that it took while its preferred one was full, and against versions
// missed during the switch.
func TestAttachReturnsToPreferredParent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		n.attach(nodes[0], root)
		n.attach(nodes[1], root)
		for range MaxChildren {
			nodes[0].serve.Admission.Admit("thun", true)
		}
		o := AttachOptions{Self: nodes[2].id.Host, Follow: nodes[2].follow(), Log: discardLog, Open: n.open(nodes[2].id),
			Candidates: func() []Parent { return all[:2] }, Preferred: func() []Parent { return all[:1] }}
		go func() { _ = Attach(t.Context(), nodes[2].a, nodes[2].eps, o) }()
		time.Sleep(time.Second)
		if nodes[1].serve.Admission.Children() != 1 {
			t.Fatal("the second candidate was not taken")
		}
		time.Sleep(time.Minute)
		nodes[0].serve.Admission.Release("thun", true)
		for i := range uint64(1200) {
			publish(t, source, i+1, configOf(route("r", "ledger", int(i%3))))
			time.Sleep(500 * time.Millisecond)
			expectPosition(t, nodes[2], i+1)
		}
		if nodes[0].serve.Admission.Children() != MaxChildren || nodes[1].serve.Admission.Children() != 0 {
			t.Fatal("the node did not switch to its preferred parent")
		}
	})
}

// TestAttachSourceOutage guards against nodes that keep switching between stale
// parents while the source is unreachable, or that lose their last version.
func TestAttachSourceOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		n.attach(nodes[0], root)
		n.attach(nodes[1], all[0], root)
		n.attach(nodes[2], all[0], all[1], root)
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(5 * time.Second)
		n.stop(sourceIdentity.Host)
		before := n.opens.Load()
		time.Sleep(time.Hour)
		expectPosition(t, nodes[2], 1)
		// The first node tries its only candidate about every 3 s, the others
		// rarely switch.
		if got := n.opens.Load() - before; got > 3000 {
			t.Fatalf("%d streams opened in an hour", got)
		}
		restarted := n.start(sourceIdentity)
		restarted.keepFresh(t.Context())
		publish(t, restarted, 1, configOf(route("r", "ledger", 0)))
		publish(t, restarted, 2, configOf(route("r", "ledger", 1)))
		time.Sleep(maxBackoff * 2)
		expectPosition(t, nodes[2], 2)
	})
}

// TestNodeLeavesIsolatedControlHost guards against a node that stays behind the
// accepted version for more than 2 s because its control host, which still
// serves it, is cut off from the others.
func TestNodeLeavesIsolatedControlHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t.Context())
		isolated, connected := n.start(sourceIdentity), n.start(peer.Identity{Role: peer.RoleControl, DataCentre: "bern", Host: "c2"})
		contact, isolate := context.WithCancel(t.Context())
		isolated.keepFresh(contact)
		connected.keepFresh(t.Context())
		node := n.start(nodeIdentity("n1"))
		var candidates []Parent
		for _, p := range []*process{isolated, connected} {
			p.eps.Merge(servingAnnouncement("h", "ledger", 1))
			candidates = append(candidates, Parent{Host: p.id.Host, Role: p.id.Role, DataCentre: p.id.DataCentre})
		}
		n.attach(node, candidates...)
		time.Sleep(5 * time.Second)
		if isolated.serve.Admission.Children() != 1 {
			t.Fatal("the node is not attached to its first candidate")
		}
		isolate()
		publish(t, connected, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(2 * time.Second)
		expectPosition(t, node, 1)
	})
}

// TestElectionMovesNoNode guards against nodes that change between control hosts
// that have all lost the source, as in an election.
func TestElectionMovesNoNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t.Context())
		var hosts []*process
		var candidates []Parent
		for i := range 3 {
			p := n.start(peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: model.HostID(fmt.Sprintf("c%d", i))})
			p.serve.Freshness.RecordContact(time.Now(), time.Duration(i)*HeartbeatInterval)
			hosts = append(hosts, p)
			candidates = append(candidates, Parent{Host: p.id.Host, Role: p.id.Role, DataCentre: p.id.DataCentre})
		}
		n.attach(n.start(nodeIdentity("n1")), candidates[2], candidates[1], candidates[0])
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if hosts[2].serve.Admission.Children() != 1 {
				t.Fatal("the node left its control host")
			}
		}
	})
}

// TestAttachRedirect guards against a node that knows only the source and finds
// no parent after the source has refused it, and against alternatives that
// would close a cycle.
func TestAttachRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, source, nodes, root, all := threeNodes(t)
		source.serve.Planned = func(child peer.Identity) (bool, []Parent) { return false, all }
		source.serve.Admission = NewAdmission(AdmissionConfig{Children: 1, PerDataCentre: 1, UnplannedPerDataCentre: 1, Snapshots: 1, RetryAfter: defaultRetryAfter})
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		for _, p := range nodes {
			n.attach(p, root)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		for _, p := range nodes {
			expectPosition(t, p, 1)
		}
	})
}

// exchange runs one exchange in which a pulls from b.
func exchange(t *testing.T, a, b *process, withEndpoints bool) (Comparison, error) {
	clientEnd, serverEnd := peer.Pipe(a.id, b.id)
	go func() { _ = ServeExchange(t.Context(), b.store, b.eps, serverEnd, b.serve) }()
	return Exchange(t.Context(), a.a, a.eps, clientEnd, withEndpoints, discardLog)
}

// TestRepairInterval guards against Repair ignoring its interval.
func TestRepairInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newProcess(nodeIdentity("n1"))
		tries := 0
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Minute)
		defer cancel()
		_ = Repair(ctx, p.a, p.eps, RepairOptions{
			Self: "n1", Freshness: p.serve.Freshness, Interval: time.Minute, Log: discardLog,
			Nodes: func() []Parent { tries++; return nil },
		})
		if tries < 80 || tries > 120 {
			t.Fatalf("%d exchanges in 100 intervals", tries)
		}
	})
}

// TestExchange guards against an exchange that misses versions or endpoints,
// and against transfers between peers that have the same state.
func TestExchange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := newProcess(nodeIdentity("n1")), newProcess(nodeIdentity("n2"))
		for i := range 300 {
			ahead.eps.Merge(servingAnnouncement(fmt.Sprintf("h%d", i), "ledger", 1))
		}
		if err := ahead.a.acceptVersion(&Version{Position: positionAt(4), Config: largeConfig(2000), Sum: sumOf(largeConfig(2000))}); err != nil {
			t.Fatal(err)
		}
		c, err := exchange(t, behind, ahead, false)
		if err != nil || !c.Pulled || !c.EndpointsDiffer || len(behind.eps.All()) != 0 {
			t.Fatalf("%+v %v, %d endpoints", c, err, len(behind.eps.All()))
		}
		expectPosition(t, behind, 4)
		if c, err = exchange(t, behind, ahead, true); err != nil || behind.eps.Digest() != ahead.eps.Digest() {
			t.Fatalf("%+v %v", c, err)
		}
		if len(behind.a.InForce().Held) != 0 {
			t.Fatal("routes stay held after their endpoints came")
		}
		if c, err = exchange(t, behind, ahead, true); err != nil || c.Pulled || c.EndpointsDiffer {
			t.Fatalf("%+v %v", c, err)
		}
		if c, err = exchange(t, ahead, newProcess(nodeIdentity("n3")), true); err != nil || ahead.a.Position() != positionAt(4) {
			t.Fatalf("a peer with an older version changed the position: %+v %v", c, err)
		}
	})
}

// TestAskPosition guards against a confirmed position of a control host that is
// reported as unconfirmed, and against a node's position that is reported as
// confirmed.
func TestAskPosition(t *testing.T) {
	source := newProcess(sourceIdentity)
	source.serve.Confirm = func(context.Context, time.Time) (model.Position, error) { return positionAt(9), nil }
	for _, p := range []*process{source, newProcess(nodeIdentity("n1"))} {
		clientEnd, serverEnd := peer.Pipe(nodeIdentity("n2"), p.id)
		go func() { _ = ServeExchange(t.Context(), p.store, p.eps, serverEnd, p.serve) }()
		a, err := AskPosition(t.Context(), clientEnd)
		if err != nil || a.From != p.id || a.Confirmed != (p == source) {
			t.Fatalf("%+v %v", a, err)
		}
	}
}

// TestSourcePlan guards against a source that reserves slots for nodes deep in
// the tree, or names no parents to the nodes that it refuses.
func TestSourcePlan(t *testing.T) {
	eps := membership.NewTable()
	for i := range 100 {
		eps.Merge(servingAnnouncement(fmt.Sprintf("node-%d", i), "ledger", 1))
	}
	plan := DefaultTree.SourcePlan(eps)
	planned := 0
	for i := range 100 {
		ok, alternatives := plan(nodeIdentity(fmt.Sprintf("node-%d", i)))
		if ok {
			planned++
		} else if len(alternatives) < 2 {
			t.Fatalf("node-%d: alternatives %v", i, alternatives)
		}
	}
	if planned != DefaultFirstLevel {
		t.Fatalf("%d planned children", planned)
	}
}

// TestOnlyCandidateIsRetriedSoon guards against a node that waits 10 s for the
// only live parent because that parent was stale once. After the repair of a
// control group, a note then took 8.4 s to arrive.
func TestOnlyCandidateIsRetriedSoon(t *testing.T) {
	c := newParentSelector("n2")
	only := Parent{Host: "c1", Role: peer.RoleControl, DataCentre: "thun", Address: "127.0.0.1:1"}
	now := time.Unix(1000, 0)
	c.failed(now, only, time.Minute, ErrStale)
	if p, wait, ok := c.next(now, []Parent{only}); !ok || p != only || wait > failurePenalty {
		t.Fatalf("%v after %s, %v", p, wait, ok)
	}
}

// TestSkippedCandidateStaysSkipped guards against a node that returns at once to
// the parent that it has just left because it has meanwhile learned the parent's
// data centre.
func TestSkippedCandidateStaysSkipped(t *testing.T) {
	c := newParentSelector("n2")
	left := Parent{Host: "c1", Role: peer.RoleControl, Address: "127.0.0.1:1"}
	other := Parent{Host: "c2", Role: peer.RoleControl, DataCentre: "bern", Address: "127.0.0.1:2"}
	now := time.Unix(1000, 0)
	c.failed(now, left, time.Minute, ErrTimeout)
	left.DataCentre = "thun"
	if p, _, ok := c.next(now, []Parent{left, other}); !ok || p != other {
		t.Fatalf("%v, %v", p, ok)
	}
}
