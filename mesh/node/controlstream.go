package node

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
)

const (
	streamOpenTimeout = time.Second
	reconnectMinDelay = 50 * time.Millisecond
	reconnectMaxDelay = 2 * time.Second
	// uplinkSettled is how long a stream lives before the back-off starts anew.
	backoffResetAfter = 2 * time.Second
	// uplinkReview is how long a stream to a control host of another data centre
	// lives before one of the own data centre is tried. A shorter time follows a
	// return sooner and costs a connection each time.
	failbackInterval = 8 * time.Second
	// uplinkFirstReview comes soon: the settings need not state the data centres of
	// control hosts, which a node learns within its first second.
	firstFailbackInterval = 1500 * time.Millisecond
)

// controlHosts returns the control hosts in this node's order of preference:
// those of its data centre first, then by rendezvous hash, so that the nodes
// spread evenly.
func (n *Node) controlHosts() []distribute.Parent { return n.byPreference(n.directory.Hosts()) }

func (n *Node) byPreference(hosts []directory.Host) []distribute.Parent {
	var out []distribute.Parent
	for _, h := range hosts {
		out = append(out, distribute.Parent{Host: h.Host, Role: peer.RoleControl, DataCentre: h.DataCentre, Address: h.Peer})
	}
	weight := func(p distribute.Parent) uint64 {
		return xxhash.Sum64String(string(n.cfg.Host) + "\x00" + string(p.Host))
	}
	distance := func(p distribute.Parent) int {
		if p.DataCentre == n.cfg.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortFunc(out, func(a, b distribute.Parent) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(a), weight(b)))
	})
	return out
}

// claimHosts returns the control hosts for the claim client.
func (n *Node) claimHosts() []claim.ControlHost {
	var out []claim.ControlHost
	for _, h := range n.controlHosts() {
		out = append(out, claim.ControlHost{Host: h.Host, Address: h.Address})
	}
	return out
}

// open opens a stream to another process.
func (n *Node) open(ctx context.Context, p distribute.Parent, method string) (peer.Stream, error) {
	return n.ep.Open(ctx, p.Address, p.Identity(), method)
}

// keepStream keeps one stream to a control host: it serves it until it ends and
// then goes to the next host after a jittered delay.
func (n *Node) keepStream(ctx context.Context, method string, serve func(context.Context, peer.Stream) error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = reconnectMinDelay, reconnectMaxDelay
	for i := 0; ctx.Err() == nil; i++ {
		hosts := n.controlHosts()
		if i >= len(hosts) {
			hosts = append(hosts, n.byPreference(n.directory.Fallback())...)
		}
		host := hosts[i%len(hosts)]
		started := time.Now()
		err := n.serveStream(ctx, host, method, serve)
		if err == nil || ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, errFailback) {
			n.log.Info("stream moves to the own data centre", "method", method, "from", string(host.Host))
			i = -1
			continue
		}
		n.log.Info("stream to control host ended", "method", method, "peer", string(host.Host), "reason", err.Error())
		if time.Since(started) > backoffResetAfter {
			delays.Reset()
			i = -1 // the preferred host is tried first again
		}
		sleepContext(ctx, delays.NextBackOff())
	}
	return ctx.Err()
}

func (n *Node) serveStream(ctx context.Context, host distribute.Parent, method string, serve func(context.Context, peer.Stream) error) error {
	openCtx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	st, err := n.open(openCtx, host, method)
	cancel()
	if err != nil {
		return err
	}
	defer st.Abort()
	ctx, failBack := context.WithCancelCause(ctx)
	var failbackWatch sync.WaitGroup
	defer failbackWatch.Wait()
	defer failBack(nil)
	failbackWatch.Go(func() { n.watchFailback(ctx, host, method, failBack) })
	err = serve(ctx, st)
	if errors.Is(context.Cause(ctx), errFailback) {
		return errFailback
	}
	return err
}

// errMoved ends a stream to another data centre once one of the own data centre
// has a control host that answers.
var errFailback = errors.New("a control host of the own data centre answers")

// review ends a stream to another data centre as soon as a control host of the own
// one answers: bytes between data centres are billed. The stream goes on meanwhile.
func (n *Node) watchFailback(ctx context.Context, connected distribute.Parent, method string, failBack context.CancelCauseFunc) {
	after := firstFailbackInterval
	for {
		sleepContext(ctx, after/2+rand.N(after))
		after = failbackInterval
		if ctx.Err() != nil {
			return
		}
		hosts := n.controlHosts()
		i := slices.IndexFunc(hosts, func(h distribute.Parent) bool { return h.Host == connected.Host })
		if len(hosts) == 0 || hosts[0].DataCentre != n.cfg.DataCentre || i >= 0 && hosts[i].DataCentre == n.cfg.DataCentre {
			continue
		}
		openCtx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
		st, err := n.open(openCtx, hosts[0], method)
		cancel()
		if err != nil {
			n.log.Info("control host of the own data centre does not answer", "method", method, "peer", string(hosts[0].Host), "reason", err.Error())
			continue
		}
		st.Abort()
		failBack(errFailback)
		return
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// announce renews the lease of the backend server until it has left.
func (n *Node) announce(ctx context.Context) error {
	n.awaitDirectory(ctx)
	return n.keepStream(ctx, membership.MethodAnnounce, func(ctx context.Context, st peer.Stream) error {
		return membership.Announce(ctx, n.publisher, n.contact, st, membership.AnnounceOptions{
			Renew: n.cfg.Timeouts.LeaseRenew, Lease: n.cfg.Timeouts.EndpointLease,
		})
	})
}

// evidenceInterval is how often the outcomes of calls are reported while a
// service is in a move.
const evidenceInterval = 250 * time.Millisecond

// reportEvidence learns the active moves and reports the outcomes of calls.
func (n *Node) reportEvidence(ctx context.Context) error {
	n.awaitDirectory(ctx)
	return n.keepStream(ctx, rollout.MethodEvidence, n.evidenceStream)
}

func (n *Node) evidenceStream(ctx context.Context, st peer.Stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, st.Abort)()
	var wg sync.WaitGroup
	defer wg.Wait()
	moves := &activeMoves{}
	wg.Go(func() {
		if err := n.sendEvidence(ctx, st, moves); err != nil {
			st.Abort()
		}
	})
	defer cancel()
	for {
		var down rollout.EvidenceDown
		if err := st.Recv(&down); err != nil {
			return eris.Wrapf(ErrControlStream, "evidence stream: %v", err)
		}
		n.recorder.Watch(down.Moves)
		moves.set(down.Moves)
	}
}

// watchedMoves are the active moves. One mutex guards them.
type activeMoves struct {
	mu    sync.Mutex
	moves []rollout.Status
}

func (w *activeMoves) set(moves []rollout.Status) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moves = moves
}

func (w *activeMoves) get() []rollout.Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moves
}

// sendEvidence reports while there are active moves, and lifts the blocks of
// versions that this node had stopped.
func (n *Node) sendEvidence(ctx context.Context, st peer.Stream, moves *activeMoves) error {
	tick := time.NewTicker(evidenceInterval)
	defer tick.Stop()
	blocked := map[model.ServiceName]model.ServiceVersion{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		active := moves.get()
		n.updateBlockedVersions(active, blocked)
		if len(active) == 0 {
			continue
		}
		b, err := rollout.EncodeReport(n.recorder.Flush())
		if err != nil {
			return err
		}
		if err := st.Send(rollout.EvidenceUp{Report: b, Load: n.load()}); err != nil {
			return err
		}
	}
}

// load describes the own backend server over the last interval.
func (n *Node) load() rollout.Load {
	inFlight, _ := n.gate.Load()
	return rollout.Load{
		Service: n.cfg.Backend.Service, Version: n.cfg.Backend.Version, Servers: 1, Limit: n.gate.Limit(),
		InFlight: inFlight, CallsPerSecond: float64(n.serving.answeredCalls.Swap(0)) / evidenceInterval.Seconds(),
	}
}

// followStops blocks the versions that this node has strong evidence against
// and lifts the block afterwards.
func (n *Node) updateBlockedVersions(active []rollout.Status, blocked map[model.ServiceName]model.ServiceVersion) {
	now := time.Now()
	stopped := map[model.ServiceName]model.ServiceVersion{}
	for _, m := range active {
		if n.recorder.Stopped(now, m.Move.ID.Service, m.Move.To) {
			stopped[m.Move.ID.Service] = m.Move.To
		}
	}
	for service, version := range stopped {
		if blocked[service] != version {
			blocked[service] = version
			_ = n.picker.Block(service, version, true)
		}
	}
	for service, version := range blocked {
		if stopped[service] != version {
			delete(blocked, service)
			_ = n.picker.Block(service, version, false)
		}
	}
}

// tree is the shape of the fan-out tree.
func (n *Node) tree() distribute.Tree { return distribute.Tree{FirstLevel: n.cfg.FanOut.FirstLevel} }

// attach keeps the parent stream by which versions and endpoints arrive.
func (n *Node) attach(ctx context.Context) error {
	n.awaitDirectory(ctx)
	return distribute.Attach(ctx, n.acceptor, n.endpoints, distribute.AttachOptions{
		Self: n.cfg.Host, DataCentre: n.cfg.DataCentre,
		Follow: distribute.FollowOptions{
			Subtree: n.subtree, Freshness: n.freshness, Progress: &distribute.Progress{}, Log: n.log,
			Silence: n.cfg.Timeouts.ParentSilence,
		},
		Candidates: func() []distribute.Parent {
			return n.tree().ParentsOf(n.cfg.Host, n.cfg.DataCentre, n.knownNodes(), n.controlHosts(), n.cfg.FanOut.Candidates)
		},
		Preferred: func() []distribute.Parent {
			return n.tree().Preferred(n.cfg.Host, n.cfg.DataCentre, n.knownNodes(), n.controlHosts())
		},
		Open: func(ctx context.Context, p distribute.Parent) (peer.Stream, error) {
			return n.open(ctx, p, distribute.MethodWatch)
		},
		Log: n.log,
	})
}

// repair compares positions with random peers.
func (n *Node) repair(ctx context.Context) error {
	return distribute.Repair(ctx, n.acceptor, n.endpoints, distribute.RepairOptions{
		Self: n.cfg.Host, Freshness: n.freshness, Interval: n.cfg.Timeouts.Repair,
		Nodes: n.knownNodes,
		Open: func(ctx context.Context, p distribute.Parent) (peer.Stream, error) {
			return n.open(ctx, p, distribute.MethodExchange)
		},
		Log: n.log,
	})
}

// newerPeer is a peer that is known to have a newer position.
type newerPeer struct {
	host model.HostID
	pos  model.Position
}

// noteNewer remembers a peer with a newer position; it does not block.
func (n *Node) recordNewerPeer(from peer.Identity, pos model.Position) {
	select {
	case n.newerPeers <- newerPeer{host: from.Host, pos: pos}:
	default:
	}
}

const catchUpTimeout = 2 * time.Second

// catchUp fetches the missing versions from a peer whose call or answer showed
// a newer position. A node that is cut off from the source learns that way that
// a data centre is out.
func (n *Node) catchUp(ctx context.Context) error {
	for {
		select {
		case p := <-n.newerPeers:
			if n.acceptor.Position().Less(p.pos) {
				n.catchUpFrom(ctx, p)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) catchUpFrom(ctx context.Context, p newerPeer) {
	a, ok := n.endpoints.Get(p.host)
	if !ok {
		return
	}
	from := distribute.Parent{Host: a.Host, Role: peer.RoleNode, DataCentre: a.DataCentre, Address: a.PeerAddress}
	err := n.exchangeWith(ctx, from)
	if err != nil {
		n.log.Info("catch-up from peer failed", "peer", string(p.host), "reason", err.Error())
		return
	}
	n.log.Info("caught up from peer", "peer", string(p.host), "position", n.acceptor.Position().String())
}

// pullFrom takes versions and endpoints from the peer with the greatest position.
func (n *Node) pullFromNewest(ctx context.Context, answers []distribute.FloorAnswer, peers []distribute.Parent) {
	slices.SortFunc(answers, func(a, b distribute.FloorAnswer) int { return b.Position.Compare(a.Position) })
	for _, a := range answers {
		i := slices.IndexFunc(peers, func(p distribute.Parent) bool { return p.Host == a.From.Host })
		if i < 0 {
			continue
		}
		err := n.exchangeWith(ctx, peers[i])
		if err == nil {
			return
		}
		n.log.Info("nothing taken from peer", "peer", string(a.From.Host), "reason", err.Error())
	}
}

// exchangeWith pulls the versions and endpoints that a peer has and this node lacks.
func (n *Node) exchangeWith(ctx context.Context, p distribute.Parent) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	st, err := n.open(ctx, p, distribute.MethodExchange)
	if err != nil {
		return err
	}
	defer st.Abort()
	_, err = distribute.Exchange(ctx, n.acceptor, n.endpoints, st, true, n.log)
	return err
}
