// Package fleet runs a source and its nodes in one process, each with its own
// socket, to compare the fan-out tree with simpler ways of distribution.
package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

// Mode is a way of distributing configuration and endpoints.
type Mode string

// Modes to compare.
const (
	// ModeTree is the fan-out tree with peer repair.
	ModeTree Mode = "tree"
	// ModePoll makes each node poll the source every second.
	ModePoll Mode = "poll"
	// ModePush makes the source send the full state to each node at each
	// change.
	ModePush Mode = "push"
)

const dataCentre model.DataCentre = "thun"

// countingStream counts the frames and bytes that the source sends.
type countingStream struct {
	peer.Stream
	frames, bytes *atomic.Int64
}

// Send counts and sends one frame.
func (s countingStream) Send(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrapf(peer.ErrBadFrame, "encode %T: %v", v, err)
	}
	s.frames.Add(1)
	s.bytes.Add(int64(len(b)) + 4)
	return s.Stream.Send(v)
}

// process is the state of a source or node.
type process struct {
	id    peer.Identity
	store *distribute.Store
	eps   *membership.Table
	serve distribute.ServeOptions
}

// Fleet is a source and its nodes. It is used by the goroutine that created it.
type Fleet struct {
	// Nodes are the running nodes.
	Nodes []*Node

	ctx    context.Context
	ca     *peer.DevCA
	mode   Mode
	source *process
	root   distribute.Parent
	holder membership.LeaseServer
	log    *slog.Logger
	done   sync.WaitGroup

	frames, bytes atomic.Int64
}

// Node is one node of a fleet. One mutex guards its samples.
type Node struct {
	*process
	a      *distribute.Acceptor
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	samples []sample
}

// sample is the time at which a node reached a position.
type sample struct {
	position model.Position
	at       time.Time
}

// New starts a source and n nodes that know only the source. dir receives the
// certificates. The processes run until ctx ends; the caller must then call
// Wait.
func New(ctx context.Context, dir string, mode Mode, n int) (*Fleet, error) {
	ca, err := peer.OpenDevCA(dir)
	if err != nil {
		return nil, err
	}
	id := peer.Identity{Role: peer.RoleControl, DataCentre: dataCentre, Host: "c1"}
	p := &process{id: id, store: distribute.NewStore(), eps: membership.NewTable()}
	f := &Fleet{ctx: ctx, ca: ca, mode: mode, source: p, log: slog.New(slog.DiscardHandler)}
	p.serve = distribute.ServeOptions{Subtree: distribute.NewSubtree(nil), Freshness: &distribute.Freshness{},
		Admission: distribute.NewAdmission(distribute.SourceAdmission()), Planned: distribute.DefaultTree.SourcePlan(p.eps), Log: f.log}
	f.holder = membership.LeaseServer{Table: p.eps, Keeper: membership.NewLeaseKeeper(), Log: f.log,
		Status: func() (model.Position, bool) { return p.store.Position(), true }}
	ep, err := f.listen(ctx, p, &f.done)
	if err != nil {
		return nil, err
	}
	f.root = distribute.Parent{Host: id.Host, Role: id.Role, DataCentre: dataCentre, Address: ep.Addr().String()}
	f.done.Go(f.tick)
	for i := range n {
		node, err := f.StartNode(i)
		if err != nil {
			return nil, err
		}
		f.Nodes = append(f.Nodes, node)
	}
	return f, nil
}

// tick keeps the source fresh and removes expired leases.
func (f *Fleet) tick() {
	tick := time.NewTicker(membership.SweepInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		f.source.serve.Freshness.RecordContact(now, 0)
		f.holder.Sweep(now, nil)
		select {
		case <-tick.C:
		case <-f.ctx.Done():
			return
		}
	}
}

// listen opens the socket of a process and registers its methods.
func (f *Fleet) listen(ctx context.Context, p *process, done *sync.WaitGroup) (*peer.Endpoint, error) {
	files, err := f.ca.Issue(p.id)
	if err != nil {
		return nil, err
	}
	creds, err := peer.LoadCredentials(files)
	if err != nil {
		return nil, err
	}
	ep, err := peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds})
	if err != nil {
		return nil, err
	}
	f.registerHandlers(p, ep)
	done.Go(func() { _ = ep.Serve(ctx) })
	return ep, nil
}

func (f *Fleet) registerHandlers(p *process, ep *peer.Endpoint) {
	all := []peer.Role{peer.RoleControl, peer.RoleNode}
	count := func(st peer.Stream) peer.Stream {
		if p == f.source {
			return countingStream{st, &f.frames, &f.bytes}
		}
		return st
	}
	ep.Handle(distribute.MethodWatch, all, func(ctx context.Context, st peer.Stream) error {
		return distribute.Serve(ctx, p.store, p.eps, count(st), p.serve)
	})
	ep.Handle(distribute.MethodExchange, all, func(ctx context.Context, st peer.Stream) error {
		return distribute.ServeExchange(ctx, p.store, p.eps, count(st), p.serve)
	})
	ep.Handle(membership.MethodAnnounce, all, func(ctx context.Context, st peer.Stream) error {
		return membership.ServeAnnounce(ctx, f.holder, st)
	})
	ep.Handle(methodPoll, all, func(_ context.Context, st peer.Stream) error { return f.servePoll(count(st)) })
	ep.Handle(methodPush, all, func(ctx context.Context, st peer.Stream) error { return f.servePush(ctx, count(st)) })
}

// Publish publishes a configuration at the source.
func (f *Fleet) Publish(index uint64, cfg note.Config) error {
	return f.source.store.Publish(position(index), cfg)
}

func position(index uint64) model.Position { return model.Position{Epoch: 1, Index: index} }

// Wait waits until all goroutines have ended. The ctx passed to New must have
// ended before.
func (f *Fleet) Wait() {
	for _, n := range f.Nodes {
		n.done.Wait()
	}
	f.done.Wait()
}

// StartNode starts a node that knows only the source. A node that is started
// again with the same number has no state and a new port.
func (f *Fleet) StartNode(i int) (*Node, error) {
	id := peer.Identity{Role: peer.RoleNode, DataCentre: dataCentre, Host: model.HostID(fmt.Sprintf("node-%d", i))}
	p := &process{id: id, store: distribute.NewStore(), eps: membership.NewTable()}
	n := &Node{process: p, a: distribute.NewAcceptor(id.Host, p.store, p.eps, f.log)}
	p.serve = distribute.ServeOptions{Subtree: distribute.NewSubtree(n.a.Report), Freshness: &distribute.Freshness{},
		Admission: distribute.NewAdmission(distribute.NodeAdmission()), Planned: distribute.DefaultTree.NodePlan(id.Host, p.eps), Log: f.log}
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	ep, err := f.listen(ctx, p, &n.done)
	if err != nil {
		cancel()
		return nil, err
	}
	pub := membership.NewPublisher(membership.Announcement{Host: id.Host, Service: serviceName(i % servedServices), Version: "v1",
		DataCentre: dataCentre, CallAddress: ep.Addr().String(), PeerAddress: ep.Addr().String(), Slots: 20}, time.Now())
	n.done.Go(func() { f.announceLoop(ctx, ep, pub) })
	n.done.Go(func() { n.recordPositions(ctx) })
	if f.mode == ModeTree {
		f.attach(ctx, ep, n)
	} else {
		n.done.Go(func() { f.runBaseline(ctx, ep, n) })
	}
	return n, nil
}

// attach starts the goroutines that keep a node attached to the tree and repair
// it from peers.
func (f *Fleet) attach(ctx context.Context, ep *peer.Endpoint, n *Node) {
	roots := []distribute.Parent{f.root}
	nodes := func() []distribute.Parent { return distribute.NodesOf(dataCentre, n.eps.AliveInDataCentre(dataCentre)) }
	open := func(method string) func(context.Context, distribute.Parent) (peer.Stream, error) {
		return func(ctx context.Context, p distribute.Parent) (peer.Stream, error) {
			return ep.Open(ctx, p.Address, p.Identity(), method)
		}
	}
	o := distribute.AttachOptions{Self: n.id.Host, Open: open(distribute.MethodWatch), Log: f.log,
		Follow: distribute.FollowOptions{Subtree: n.serve.Subtree, Freshness: n.serve.Freshness,
			Progress: &distribute.Progress{}, Log: f.log},
		Candidates: func() []distribute.Parent {
			return distribute.DefaultTree.Parents(n.id.Host, dataCentre, nodes(), roots)
		},
		Preferred: func() []distribute.Parent {
			return distribute.DefaultTree.Preferred(n.id.Host, dataCentre, nodes(), roots)
		}}
	n.done.Go(func() { _ = distribute.Attach(ctx, n.a, n.eps, o) })
	n.done.Go(func() {
		_ = distribute.Repair(ctx, n.a, n.eps, distribute.RepairOptions{
			Self: n.id.Host, Freshness: n.serve.Freshness, Nodes: nodes, Open: open(distribute.MethodExchange), Log: f.log,
		})
	})
}

func (f *Fleet) announceLoop(ctx context.Context, ep *peer.Endpoint, pub *membership.Publisher) {
	for sleep(ctx, 0) {
		st, err := ep.Open(ctx, f.root.Address, f.root.Identity(), membership.MethodAnnounce)
		if err == nil {
			_ = membership.Announce(ctx, pub, &membership.Contact{}, st, membership.AnnounceOptions{})
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// recordPositions records when the node reaches each position.
func (n *Node) recordPositions(ctx context.Context) {
	var at model.Position
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.store.Changed(at):
		}
		at = n.store.Position()
		n.mu.Lock()
		n.samples = append(n.samples, sample{at, time.Now()})
		n.mu.Unlock()
	}
}

// reachedAt returns when the node first reached pos or a later position.
func (n *Node) reachedAt(pos model.Position) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.samples, func(s sample) bool { return !s.position.Less(pos) })
	if i < 0 {
		return time.Time{}, false
	}
	return n.samples[i].at, true
}

// waitAll waits until every node has reached pos, but no longer than limit, and
// returns how many have not.
func (f *Fleet) waitAll(pos model.Position, limit time.Duration) int {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, n := range f.Nodes {
			if n.store.Position().Less(pos) {
				missing++
			}
		}
		if missing == 0 || time.Now().After(end) {
			return missing
		}
	}
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
