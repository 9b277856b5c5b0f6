package node

import (
	"context"
	"log/slog"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/link"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// Node is the sidecar process of one backend server.
type Node struct {
	cfg settings.Node
	log *slog.Logger
	ep  *peer.Endpoint

	acceptor   *distribute.Acceptor
	endpoints  *membership.Table
	directory  *directory.Directory
	publisher  *membership.Publisher
	contact    *membership.Contact
	subtree    *distribute.Subtree
	freshness  *distribute.Freshness
	isolation  isolation
	children   *distribute.Admission
	newerPeers chan newerPeer
	// cachedPeers are the peers read from the cache file; set by New only.
	cachedPeers []distribute.Parent
	// floor is the minimum position at which the node may route, so that a restart
	// does not take it back to an older configuration; nil until it is known.
	floor   atomic.Pointer[model.Position]
	joining joining

	tableUpdater *tableUpdater
	picker       *routing.Picker
	recorder     *rollout.Recorder
	claims       *claim.Client
	entry        *entry

	adapter PlatformAdapter
	// registration is nil unless the backend server registers itself.
	registration *registrar

	gate         *admission.Gate
	link         *link.Link
	backend      *backend
	bodyMemory   *bodyMemory
	serving      *serving
	callClient   *callmux.Client
	callServer   *callmux.Server
	callListener net.Listener
	started      time.Time
}

// New builds a node and opens its peer and call listeners. Run starts it.
func New(ctx context.Context, cfg settings.Node, log *slog.Logger, options ...Option) (*Node, error) {
	log = log.With("cluster", cfg.Cluster, "region", cfg.Region)
	creds, err := peer.CredentialsOf(identityOf(cfg), cfg.Credentials, cfg.ClosedNetwork, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "credentials: %v", err)
	}
	base, err := url.Parse(cfg.Backend.URL)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "backend.url: %v", err)
	}
	ep, err := peer.Listen(peer.Config{Listen: cfg.Listen.Peer, Credentials: creds, Handshakes: cfg.Limits.Handshakes, Log: log})
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen.peer: %v", err)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", cfg.Listen.Call)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen.call: %v", err)
	}
	n := &Node{
		cfg: cfg, log: log, ep: ep, callListener: listener, started: time.Now(),
		endpoints: membership.NewTable(), directory: directory.New(hostsFromSettings(cfg.ControlHosts)), contact: &membership.Contact{},
		freshness: &distribute.Freshness{}, children: distribute.NewAdmission(childAdmission(cfg.FanOut)),
		newerPeers: make(chan newerPeer, 1),
	}
	for _, o := range options {
		o(n)
	}
	n.backend = newBackend(backendConfig{
		base: base, connections: cfg.Backend.Connections, dialTimeout: cfg.Timeouts.Connect, adapter: n.adapter.Backend,
		echoHeader: n.adapter.BackendEchoHeader, log: n.log,
	})
	n.buildControlPlane()
	if err := n.loadCache(); err != nil {
		return nil, err
	}
	n.buildDataPlane(creds, identityOf(cfg), base)
	n.registerPeerMethods()
	return n, nil
}

// identityOf returns the identity in the certificate of a node.
func identityOf(cfg settings.Node) peer.Identity {
	return peer.Identity{Role: peer.RoleNode, DataCentre: cfg.DataCentre, Host: cfg.Host}
}

func childAdmission(f settings.FanOut) distribute.AdmissionConfig {
	a := distribute.NodeAdmission()
	a.Children, a.Snapshots = f.Children, f.Snapshots
	return a
}

// buildControlPlane creates the parts that exchange state with control hosts and
// peers.
func (n *Node) buildControlPlane() {
	n.acceptor = distribute.NewAcceptor(n.cfg.Host, distribute.NewStore(), n.endpoints, n.log)
	n.subtree = distribute.NewSubtree(n.acceptor.Report)
	n.publisher = membership.NewPublisher(membership.Announcement{
		Host: n.cfg.Host, Service: n.cfg.Backend.Service, Version: n.cfg.Backend.Version, DataCentre: n.cfg.DataCentre,
		CallAddress: n.cfg.Advertise.Call, PeerAddress: n.cfg.Advertise.Peer, Slots: n.cfg.Backend.Slots,
		State: membership.StateServing,
	}, n.started)
	n.recorder = rollout.NewRecorder(n.cfg.Host, n.publisher.Current().Incarnation)
	distribute.RegisterSourceAge(n.freshness)
}

// sourceAge returns the time since the last contact with the source of the configuration,
// directly or through parents.
func (n *Node) sourceAge() time.Duration { return n.freshness.Age(time.Now()) }

// buildDataPlane creates the parts that carry requests.
func (n *Node) buildDataPlane(creds *peer.Credentials, self peer.Identity, base *url.URL) {
	n.gate = admission.NewGate(admission.Config{
		Service: n.initialLimits(), Provisional: n.cfg.Listen.Registration != "",
		ColdLoad: n.cfg.Backend.ColdLoad, Log: n.log,
	})
	if n.cfg.Listen.Registration != "" {
		n.gate.SetAvailable(false)
		n.registration = newRegistrar(n, base.Host)
	}
	n.picker = routing.NewPicker(routing.PickerConfig{DataCentre: n.cfg.DataCentre, Ramp: n.cfg.Timeouts.ReturnRamp, Log: n.log})
	n.tableUpdater = &tableUpdater{
		log: n.log, dc: n.cfg.DataCentre, service: n.cfg.Backend.Service, slots: n.cfg.Backend.Slots,
		queueLimit: n.cfg.Queue.Limit, queueTimeout: n.cfg.Queue.Timeout,
		acceptor: n.acceptor, endpoints: n.endpoints, picker: n.picker, gate: n.gate, routable: n.routable,
	}
	logSampler := telemetry.NewRequestSampler()
	n.link = link.New(float64(n.cfg.Limits.LinkRate))
	n.bodyMemory = newBodyMemory(n.cfg.Limits.BodyMemory)
	n.serving = n.newServing(logSampler)
	mux := callmux.Config{
		Credentials: creds, DialTimeout: n.cfg.Timeouts.Connect, DrainLimit: n.cfg.Timeouts.Drain, Log: n.log,
	}
	n.callClient, n.callServer = callmux.NewClient(mux), callmux.NewServer(mux)
	n.claims = claim.NewClient(claim.ClientConfig{
		PeerCaller: n.ep, Hosts: n.claimHosts, Groups: uint32(n.cfg.ClaimGroups), Log: n.log,
		AttemptTimeout: claimTimeoutConnects * n.cfg.Timeouts.Connect,
		Incarnation:    func() uint64 { return n.publisher.Current().Incarnation },
	})
	retries := routing.NewBucket(n.cfg.Retries.Part, n.cfg.Retries.Burst)
	d := &dispatcher{
		log: n.log, self: self, picker: n.picker, hedger: newHedger(n.cfg, retries), retries: retries,
		link: n.link, sender: n.callClient, local: n.serving, recorder: n.recorder, position: n.acceptor.Position, onNewerPosition: n.recordNewerPeer,
	}
	n.entry = &entry{
		elapsed: routing.NewElapsedEstimator(), startRetryAfter: n.startRetryAfter,
		log: n.log, dispatcher: d, table: n.tableUpdater.current, claims: n.claims, bodyLimit: n.cfg.Limits.BodyBytes,
		logSampler: logSampler, freshness: n.freshness, service: n.cfg.Backend.Service,
		callLimiter: semaphore.NewWeighted(int64(n.cfg.Limits.Calls)),
		memory:      n.bodyMemory, bodyProgress: n.cfg.Timeouts.BodyProgress,
	}
}

func newHedger(cfg settings.Node, retries *routing.Bucket) *hedging.Hedger {
	return hedging.New(hedging.Config{
		Limit: cfg.Hedging.Limit, Burst: cfg.Hedging.Burst, MaxLoad: cfg.Hedging.MaxLoad, Retries: retries,
	})
}

func (n *Node) newServing(logSampler *telemetry.RequestSampler) *serving {
	s := &serving{
		log: n.log, self: identityOf(n.cfg), gate: n.gate, backend: n.backend, service: n.cfg.Backend.Service,
		version:    func() model.ServiceVersion { return n.publisher.Current().Version },
		logSampler: logSampler, memory: n.bodyMemory, link: n.link,
		position: n.position, onNewerPosition: n.recordNewerPeer,
	}
	if n.registration != nil {
		s.onUnreachable, s.onLeaving = n.registration.markUnreachable, n.registration.markLeaving
	}
	return s
}

// position returns the position in force on this node.
func (n *Node) position() model.Position { return n.acceptor.Position() }

// claimTimeoutConnects is the timeout of one call to a control host, as a multiple of
// timeouts.connect: one for the connection and one for the commit.
const claimTimeoutConnects = 2

// initialLimits returns the limits that apply until the first configuration arrives.
func (n *Node) initialLimits() note.Service {
	return note.Service{
		Name: n.cfg.Backend.Service, Slots: n.cfg.Backend.Slots, Connections: n.cfg.Backend.Connections,
		QueueLimit: n.cfg.Backend.Slots, QueueTimeout: time.Second,
	}
}

// routable reports whether the node's configuration is known to be at least as new as
// what it served before a restart.
func (n *Node) routable() bool {
	floor := n.floor.Load()
	return floor != nil && !n.acceptor.Position().Less(*floor)
}

var anyRole = []peer.Role{peer.RoleNode, peer.RoleControl}

// registerPeerMethods registers the handlers of the peer methods.
func (n *Node) registerPeerMethods() {
	options := distribute.ServeOptions{Subtree: n.subtree, Freshness: n.freshness, Admission: n.children,
		Planned: n.tree().NodePlan(n.cfg.Host, n.endpoints), Log: n.log}
	n.ep.Handle(distribute.MethodWatch, []peer.Role{peer.RoleNode}, func(ctx context.Context, st peer.Stream) error {
		return distribute.Serve(ctx, n.acceptor.Store(), n.endpoints, st, options)
	})
	n.ep.Handle(distribute.MethodExchange, anyRole, func(ctx context.Context, st peer.Stream) error {
		return distribute.ServeExchange(ctx, n.acceptor.Store(), n.endpoints, st, options)
	})
}

// Run serves until ctx ends and then stops gracefully: the node announces that it
// leaves, keeps serving while the announcement spreads, lets running requests finish,
// and asks its children in the distribution tree to reconnect elsewhere.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelRun()
	g, runCtx := errgroup.WithContext(runCtx)
	callsCtx, stopCalls := context.WithCancel(runCtx)
	defer stopCalls()
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.ep.Serve(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.learnFloor(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.attach(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.keepCache(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.repair(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.catchUp(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.reportEvidence(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.followDirectory(runCtx)) })
	if n.cfg.ClaimGroups > 0 {
		g.Go(func() error { return ignoreIfCanceled(runCtx, n.claims.Run(runCtx)) })
	}
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.tableUpdater.run(runCtx)) })
	g.Go(func() error { return ignoreIfCanceled(runCtx, n.followBackend(runCtx)) })
	callsDone := make(chan struct{})
	g.Go(func() error { defer close(callsDone); return n.listenCalls(callsCtx) })
	servers := n.httpServers()
	for _, s := range servers {
		g.Go(func() error { return s.serve(runCtx) })
	}
	n.log.Info("node started", "service", string(n.cfg.Backend.Service), "version", string(n.cfg.Backend.Version),
		"caller", n.cfg.Listen.Caller, "call", n.cfg.Advertise.Call, "peer", n.cfg.Advertise.Peer)
	select {
	case <-ctx.Done():
		n.stop(servers, stopCalls, callsDone)
	case <-runCtx.Done():
		// A task failed, for example because a listener's address is in use. The HTTP
		// servers do not end before they are stopped.
		for _, h := range servers {
			h.stop(runCtx)
		}
	}
	cancelRun()
	err := g.Wait()
	n.callClient.Close()
	n.backend.close()
	n.log.Info("node stopped")
	return err
}

// ignoreIfCanceled drops the error of a task if ctx has ended.
func ignoreIfCanceled(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

// leaveNotice is the time between the announcement that the node leaves and the
// refusal of new requests; every node receives the announcement within it.
// timeouts.leave may be longer, since callers may need more time to reconnect
// elsewhere; the backend server keeps getting work until then.
const leaveNotice = 1500 * time.Millisecond

// stop stops the node without interrupting a request, as long as all requests finish
// within the drain timeout.
func (n *Node) stop(servers []*httpServer, stopCalls context.CancelFunc, callsDone <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Timeouts.Drain)
	defer cancel()
	n.log.Info("node is draining for a planned stop", "drain_limit", n.cfg.Timeouts.Drain.String())
	n.entry.stopping.Store(true)
	n.children.Drain(n.cfg.Timeouts.Leave / 2)
	notice := min(n.cfg.Timeouts.Leave, leaveNotice)
	sleepContext(ctx, n.cfg.Timeouts.Leave-notice)
	n.publisher.Leave()
	sleepContext(ctx, notice)
	n.entry.closed.Store(true)
	n.gate.Drain()
	for _, s := range servers {
		s.stop(ctx)
	}
	err := n.gate.WaitIdle(ctx)
	inFlight, queued := n.gate.Load()
	invariant.Check(err == nil, invariant.GracefulStop, "planned stop cuts requests",
		"in_flight", inFlight, "queued", queued, "drain_limit", n.cfg.Timeouts.Drain.String())
	stopCalls()
	select {
	case <-callsDone:
	case <-ctx.Done():
	}
	n.entry.background.Wait()
}
