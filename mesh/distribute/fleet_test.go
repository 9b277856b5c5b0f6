package distribute

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

// The methods of the baselines.
const (
	methodPoll = "measure.poll"
	methodPush = "measure.push"
)

// pollInterval is how often a node of the polling baseline asks the source.
const pollInterval = time.Second

// fullState is what the baselines send: everything, each time.
type fullState struct {
	Position  model.Position            `cbor:"1,keyasint"`
	Config    note.Config               `cbor:"2,keyasint"`
	Endpoints []membership.Announcement `cbor:"3,keyasint"`
}

// sentStream counts the frames and bytes that the source sends.
type sentStream struct {
	peer.Stream
	frames, bytes *atomic.Int64
}

func (s sentStream) Send(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	s.frames.Add(1)
	s.bytes.Add(int64(len(b)) + 4)
	return s.Stream.Send(v)
}

// fleet is a source and its nodes in one process with a socket each.
type fleet struct {
	t      *testing.T
	ca     *peer.DevCA
	mode   string
	source *process
	root   Parent
	holder membership.Holder
	nodes  []*fleetNode
	// incarnation is the start count, to give each start its own certificate file.
	incarnation int

	frames, bytes atomic.Int64
}

// fleetNode is one node of a fleet. mu guards the samples.
type fleetNode struct {
	*process
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	seen   []sample
}

// sample says when a node reached a position.
type sample struct {
	position model.Position
	at       time.Time
}

func newFleet(t *testing.T, mode string, n int) *fleet {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, ca: ca, mode: mode, source: newProcess(sourceIdentity)}
	f.source.speak(t.Context())
	f.source.serve.Planned = SourcePlan(f.source.eps)
	f.holder = membership.Holder{Table: f.source.eps, Keeper: membership.NewLeaseKeeper(), Log: quiet,
		Status: func() (model.Position, bool) { return f.source.store.Position(), true }}
	ep, wait := f.listen(t.Context(), f.source)
	t.Cleanup(wait)
	f.root = Parent{Host: sourceIdentity.Host, Role: peer.RoleControl, DataCentre: "thun", Address: ep.Addr().String()}
	go func() {
		for sleep(t.Context(), membership.TickInterval) {
			f.holder.Sweep(time.Now(), nil)
		}
	}()
	for i := range n {
		f.nodes = append(f.nodes, f.startNode(i))
	}
	return f
}

// listen opens the socket of a process and registers its methods.
func (f *fleet) listen(ctx context.Context, p *process) (*peer.Endpoint, func()) {
	f.incarnation++
	files, err := f.ca.Issue(p.id)
	if err == nil {
		var creds *peer.Credentials
		if creds, err = peer.LoadCredentials(files); err == nil {
			var ep *peer.Endpoint
			if ep, err = peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds, KeepAlive: *measureKeepAlive}); err == nil {
				f.handle(p, ep)
				done := make(chan struct{})
				go func() { defer close(done); _ = ep.Serve(ctx) }()
				return ep, func() { <-done }
			}
		}
	}
	f.t.Fatal(err)
	return nil, nil
}

func (f *fleet) handle(p *process, ep *peer.Endpoint) {
	all := []peer.Role{peer.RoleControl, peer.RoleNode}
	count := func(st peer.Stream) peer.Stream {
		if p == f.source {
			return sentStream{st, &f.frames, &f.bytes}
		}
		return st
	}
	ep.Handle(MethodWatch, all, func(ctx context.Context, st peer.Stream) error {
		return Serve(ctx, p.store, p.eps, count(st), p.serve)
	})
	ep.Handle(MethodExchange, all, func(ctx context.Context, st peer.Stream) error {
		return ServeExchange(ctx, p.store, p.eps, count(st), p.serve)
	})
	ep.Handle(membership.MethodAnnounce, all, func(ctx context.Context, st peer.Stream) error {
		return membership.ServeAnnounce(ctx, f.holder, st)
	})
	ep.Handle(methodPoll, all, func(_ context.Context, st peer.Stream) error { return f.servePoll(count(st)) })
	ep.Handle(methodPush, all, func(ctx context.Context, st peer.Stream) error { return f.servePush(ctx, count(st)) })
}

func (f *fleet) full() fullState {
	v := f.source.store.Current()
	return fullState{Position: v.Position, Config: v.Config, Endpoints: f.source.eps.All()}
}

func (f *fleet) servePoll(st peer.Stream) error {
	for {
		var have model.Position
		if err := st.Recv(&have); err != nil {
			return err
		}
		var reply fullState
		if f.source.store.Current() != nil && have.Less(f.source.store.Position()) {
			reply = f.full()
		}
		if err := st.Send(reply); err != nil {
			return err
		}
	}
}

func (f *fleet) servePush(ctx context.Context, st peer.Stream) error {
	var sent model.Position
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.source.store.Changed(sent):
		}
		s := f.full()
		sent = s.Position
		if err := st.Send(s); err != nil {
			return err
		}
	}
}

// startNode starts a node that knows only the source.
func (f *fleet) startNode(i int) *fleetNode {
	n := &fleetNode{process: newProcess(nodeIdentity(fmt.Sprintf("node-%d", i)))}
	n.serve.Planned = NodePlan(n.id.Host, n.eps)
	ctx, cancel := context.WithCancel(f.t.Context())
	n.cancel = cancel
	ep, wait := f.listen(ctx, n.process)
	n.done.Go(wait)
	ann := serving(string(n.id.Host), fmt.Sprintf("s%d", i%20), 1)
	ann.PeerAddress = ep.Addr().String()
	pub := membership.NewPublisher(ann, time.Now())
	open := func(ctx context.Context, p Parent) (peer.Stream, error) {
		return ep.Open(ctx, p.Address, p.Identity(), MethodWatch)
	}
	nodes := func() []Parent { return NodesOf("thun", n.eps.All()) }
	n.done.Go(func() { f.keepAnnounced(ctx, ep, pub) })
	n.done.Go(func() { n.record(ctx) })
	switch f.mode {
	case "tree":
		o := AttachOptions{Self: n.id.Host, Follow: n.follow(), Log: quiet, Open: open,
			Candidates: func() []Parent { return Parents(n.id.Host, "thun", nodes(), []Parent{f.root}) },
			Preferred:  func() []Parent { return Preferred(n.id.Host, "thun", nodes(), []Parent{f.root}) }}
		n.done.Go(func() { _ = Attach(ctx, n.a, n.eps, o) })
		n.done.Go(func() {
			_ = Repair(ctx, n.id.Host, n.a, n.eps, n.serve.Freshness, nodes, func(ctx context.Context, p Parent) (peer.Stream, error) {
				return ep.Open(ctx, p.Address, p.Identity(), MethodExchange)
			}, quiet)
		})
	case "poll", "push":
		n.done.Go(func() { f.baseline(ctx, ep, n) })
	}
	f.t.Cleanup(func() { cancel(); n.done.Wait() })
	return n
}

func (f *fleet) keepAnnounced(ctx context.Context, ep *peer.Endpoint, pub *membership.Publisher) {
	for sleep(ctx, 0) {
		st, err := ep.Open(ctx, f.root.Address, f.root.Identity(), membership.MethodAnnounce)
		if err == nil {
			_ = membership.Announce(ctx, pub, &membership.Contact{}, st)
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

// baseline keeps one stream to the source and takes whole states from it.
func (f *fleet) baseline(ctx context.Context, ep *peer.Endpoint, n *fleetNode) {
	method := map[string]string{"poll": methodPoll, "push": methodPush}[f.mode]
	for sleep(ctx, 0) {
		st, err := ep.Open(ctx, f.root.Address, f.root.Identity(), method)
		for err == nil {
			if f.mode == "poll" {
				if err = st.Send(n.store.Position()); err != nil {
					break
				}
			}
			var s fullState
			if err = st.Recv(&s); err == nil && !s.Position.IsZero() {
				n.eps.MergeAll(s.Endpoints)
				_ = n.a.acceptVersion(&Version{Position: s.Position, Config: s.Config.Clone(), Sum: sumOf(s.Config)})
			}
			if f.mode == "poll" {
				sleep(ctx, pollInterval)
			}
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// record notes when the node reaches each position.
func (n *fleetNode) record(ctx context.Context) {
	for {
		seen := n.a.InForce()
		if seen != nil {
			n.mu.Lock()
			n.seen = append(n.seen, sample{seen.Accepted.Position, time.Now()})
			n.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-n.a.Changed(seen):
		}
	}
}

// reached returns when the node first was at pos or later.
func (n *fleetNode) reached(pos model.Position) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.seen, func(s sample) bool { return !s.position.Less(pos) })
	if i < 0 {
		return time.Time{}, false
	}
	return n.seen[i].at, true
}

// waitAll waits until every node is at pos and returns how many are not.
func (f *fleet) waitAll(pos model.Position, limit time.Duration) int {
	for end := time.Now().Add(limit); ; time.Sleep(10 * time.Millisecond) {
		missing := 0
		for _, n := range f.nodes {
			if n.a.Position().Less(pos) {
				missing++
			}
		}
		if missing == 0 || time.Now().After(end) {
			return missing
		}
	}
}

// loopback returns the bytes and packets that the machine sent over loopback.
func loopback() (bytes, packets int64) {
	b, _ := os.ReadFile("/proc/net/dev")
	for line := range strings.Lines(string(b)) {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			_, _ = fmt.Sscan(rest, &bytes, &packets)
		}
	}
	return bytes, packets
}
