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
	// streamOpenTimeout bounds opening a stream to another process.
	streamOpenTimeout = time.Second
	// reconnectMinDelay is the first delay of the reconnect backoff.
	reconnectMinDelay = 50 * time.Millisecond
	// reconnectMaxDelay bounds the delays of the reconnect backoff.
	reconnectMaxDelay = 2 * time.Second
	// backoffResetAfter is the lifetime of a stream after which the reconnect backoff
	// is reset.
	backoffResetAfter = 2 * time.Second
	// maxBusyAttempts is how often a node tries a busy control host again before it
	// tries the next one. More keep a starting fleet from connecting to every control
	// host, fewer find a free one sooner.
	maxBusyAttempts = 6
	// failbackInterval is the mean time between attempts to move a stream from a
	// remote data centre back to the local one. A shorter one returns sooner and costs
	// one connection per attempt.
	failbackInterval = 8 * time.Second
	// firstFailbackInterval is the mean time until the first such attempt. It is short
	// because the settings may omit the data centres of the control hosts, which a
	// node learns within its first second.
	firstFailbackInterval = 1500 * time.Millisecond
)

// controlHosts returns the control hosts in this node's order of preference: those of
// the local data centre first, then by rendezvous hash, which spreads the nodes
// evenly. While a fleet starts, the one that this node connected to first comes before them.
func (n *Node) controlHosts() []distribute.Parent {
	return n.heldFirst(n.byPreference(n.directory.Hosts()))
}

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

// claimHosts returns the control hosts in the form that the claim client takes.
func (n *Node) claimHosts() []claim.ControlHost {
	var out []claim.ControlHost
	for _, h := range n.controlHosts() {
		out = append(out, claim.ControlHost{Host: h.Host, Address: h.Address})
	}
	return out
}

// open opens a stream for the given method to another process.
func (n *Node) open(ctx context.Context, p distribute.Parent, method string) (peer.Stream, error) {
	return n.ep.Open(ctx, p.Address, p.Identity(), method)
}

// keepStream keeps one stream to a control host open until ctx ends or serve returns
// nil. When the stream fails, it connects to the next control host after a jittered
// backoff.
func (n *Node) keepStream(ctx context.Context, method string, serve func(context.Context, peer.Stream) error) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = reconnectMinDelay, reconnectMaxDelay
	busy := 0
	for i := 0; ctx.Err() == nil; i++ {
		hosts := n.isolatedLast(n.controlHosts())
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
			n.log.Info("moving control stream to the local data centre", "method", method, "from", string(host.Host))
			i = -1
			continue
		}
		if errors.Is(err, errIsolated) {
			n.log.Info("moving control stream from an isolated control host", "method", method, "from", string(host.Host))
			i = -1
			continue
		}
		if errors.Is(err, peer.ErrBusy) && busy < maxBusyAttempts {
			busy++ // the endpoint delays the next attempt
			i--
			continue
		}
		busy = 0
		n.joining.release(host.Host)
		n.log.Info("control stream ended", "method", method, "peer", string(host.Host), "reason", err.Error())
		if time.Since(started) > backoffResetAfter {
			delays.Reset()
			i = -1 // start again with the preferred control host
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
	ctx, end := context.WithCancelCause(ctx)
	var watches sync.WaitGroup
	defer watches.Wait()
	defer end(nil)
	watches.Go(func() { n.watchFailback(ctx, host, method, end) })
	watches.Go(func() { n.watchIsolation(ctx, host.Host, end) })
	err = serve(ctx, st)
	if cause := context.Cause(ctx); errors.Is(cause, errFailback) || errors.Is(cause, errIsolated) {
		return cause
	}
	return err
}

// errFailback ends a stream to a remote data centre once a control host in the local
// one answers.
var errFailback = errors.New("a control host in the local data centre answers")

// watchFailback ends a stream to a remote data centre as soon as a control host in the
// local one answers, because traffic between data centres is billed. The stream stays
// in use until then.
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
		if len(hosts) == 0 || hosts[0].Host == connected.Host || hosts[0].DataCentre != n.cfg.DataCentre || i >= 0 && hosts[i].DataCentre == n.cfg.DataCentre {
			continue
		}
		if n.isIsolated(hosts[0].Host) && !n.reachesLeader(ctx, hosts[0]) {
			n.log.Info("control host in the local data centre is isolated", "method", method, "peer", string(hosts[0].Host))
			continue
		}
		n.isolation.clear(hosts[0].Host)
		openCtx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
		st, err := n.open(openCtx, hosts[0], method)
		cancel()
		if err != nil {
			n.log.Info("control host in the local data centre does not answer", "method", method, "peer", string(hosts[0].Host), "reason", err.Error())
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

// announce renews the lease of the backend server with a control host until the
// backend server has left.
func (n *Node) announce(ctx context.Context) error {
	n.awaitFirstHost(ctx)
	return n.keepStream(ctx, membership.MethodAnnounce, func(ctx context.Context, st peer.Stream) error {
		return membership.Announce(ctx, n.publisher, n.contact, st, membership.AnnounceOptions{
			RenewInterval: n.cfg.Timeouts.LeaseRenew, LeaseDuration: n.cfg.Timeouts.EndpointLease,
			OnReply: func(r membership.RenewalReply) {
				n.checkReachability(st.Peer().Host, r)
				if r.NewerRecord != nil && n.registration != nil {
					n.registration.observe(*r.NewerRecord)
				}
			},
		})
	})
}

// evidenceInterval is how often the outcomes of calls are reported during a move.
const evidenceInterval = 250 * time.Millisecond

// reportEvidence receives the active moves from a control host and reports the
// outcomes of calls to it.
func (n *Node) reportEvidence(ctx context.Context) error {
	n.awaitRoutes(ctx)
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

// activeMoves holds the active moves. It is safe for concurrent use.
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

// sendEvidence reports the outcomes of calls while moves are active, and keeps this
// node's block of versions up to date.
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

// load returns the load of this node's backend server since the last report.
func (n *Node) load() rollout.Load {
	inFlight, _ := n.gate.Load()
	return rollout.Load{
		Service: n.cfg.Backend.Service, Version: n.cfg.Backend.Version, Servers: 1, Limit: n.gate.Limit(),
		InFlight: inFlight, CallsPerSecond: float64(n.serving.answeredCalls.Swap(0)) / evidenceInterval.Seconds(),
	}
}

// updateBlockedVersions blocks the versions against which this node has strong
// evidence, and lifts the blocks of the others.
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

// tree returns the shape of the distribution tree.
func (n *Node) tree() distribute.Tree { return distribute.Tree{FirstLevel: n.cfg.FanOut.FirstLevel} }

// attach keeps a stream to a parent in the distribution tree, from which this node
// receives versions of the configuration and endpoints.
func (n *Node) attach(ctx context.Context) error {
	n.enquire(ctx)
	return distribute.Attach(ctx, n.acceptor, n.endpoints, distribute.AttachOptions{
		Self: n.cfg.Host, DataCentre: n.cfg.DataCentre,
		Follow: distribute.FollowOptions{
			Subtree: n.subtree, Freshness: n.freshness, Progress: &distribute.Progress{}, Log: n.log,
			HeartbeatTimeout: n.cfg.Timeouts.ParentSilence,
			Join:             func() (bool, time.Duration) { return n.floor.Load() == nil, time.Since(n.started) },
			OnWelcome:        n.onWelcome,
		},
		Candidates: func() []distribute.Parent {
			return n.heldFirst(n.tree().ParentsWithCandidates(n.cfg.Host, n.cfg.DataCentre, n.knownNodes(), n.controlHosts(), n.cfg.FanOut.Candidates))
		},
		Preferred: func() []distribute.Parent {
			if n.joining.held(time.Now()) != "" {
				return nil // stay with any parent while the fleet starts
			}
			return n.tree().Preferred(n.cfg.Host, n.cfg.DataCentre, n.knownNodes(), n.controlHosts())
		},
		Open: func(ctx context.Context, p distribute.Parent) (peer.Stream, error) {
			st, err := n.open(ctx, p, distribute.MethodWatch)
			if p.Role != peer.RoleControl {
				return st, err
			}
			switch {
			case err == nil:
				n.joining.connect(time.Now(), p.Host)
			case !errors.Is(err, peer.ErrBusy):
				n.joining.release(p.Host)
			}
			return st, err
		},
		Log: n.log,
	})
}

// repair periodically compares positions with a random peer and exchanges what is
// missing.
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

// newerPeer is a peer that has a newer position than this node.
type newerPeer struct {
	host model.HostID
	pos  model.Position
}

// recordNewerPeer queues a peer with a newer position for catchUp. It does not block;
// the peer is dropped if another one is queued already.
func (n *Node) recordNewerPeer(from peer.Identity, pos model.Position) {
	select {
	case n.newerPeers <- newerPeer{host: from.Host, pos: pos}:
	default:
	}
}

// catchUpTimeout bounds one exchange with a peer.
const catchUpTimeout = 2 * time.Second

// catchUp fetches missing versions from a peer whose call or answer carried a newer
// position. A node that cannot reach the control hosts learns this way that a data
// centre has been taken out.
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
		n.log.Info("node failed to catch up from peer", "peer", string(p.host), "reason", err.Error())
		return
	}
	n.log.Info("node caught up from peer", "peer", string(p.host), "position", n.acceptor.Position().String())
}

// pullFromNewest fetches versions and endpoints from the peer with the highest
// position that answers.
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
		n.log.Info("node failed to fetch versions from peer", "peer", string(a.From.Host), "reason", err.Error())
	}
}

// exchangeWith fetches the versions and endpoints that a peer has and this node lacks.
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
