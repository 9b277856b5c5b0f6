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
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// Node is the process beside one backend server.
type Node struct {
	cfg settings.Node
	log *slog.Logger
	ep  *peer.Endpoint

	acceptor  *distribute.Acceptor
	endpoints *membership.Table
	directory *directory.Directory
	publisher *membership.Publisher
	contact   *membership.Contact
	subtree   *distribute.Subtree
	freshness *distribute.Freshness
	children  *distribute.Admission
	newer     chan newerPeer
	// cachedPeers are the peers in the cache file; it does not change after New.
	cachedPeers []distribute.Parent
	// floor is the least position by which the node may route; nil until known.
	floor atomic.Pointer[model.Position]

	view     *view
	picker   *routing.Picker
	recorder *rollout.Recorder
	claims   *claim.Client
	entry    *entry

	frontEnd FrontEnd
	// registration is set if the backend server registers itself.
	registration *registrar

	gate         *admission.Gate
	backend      *backend
	serving      *serving
	calls        *callmux.Client
	callServer   *callmux.Server
	callListener net.Listener
	started      time.Time
}

// New opens the sockets of a node; Run serves.
func New(ctx context.Context, cfg settings.Node, log *slog.Logger, options ...Option) (*Node, error) {
	log = log.With("cluster", cfg.Cluster, "region", cfg.Region)
	want := peer.Identity{Role: peer.RoleNode, DataCentre: cfg.DataCentre, Host: cfg.Host}
	creds, err := peer.CredentialsOf(want, cfg.Credentials, cfg.ClosedNetwork, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "credentials: %v", err)
	}
	base, err := url.Parse(cfg.Backend.URL)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "backend.url: %v", err)
	}
	ep, err := peer.Listen(peer.Config{Listen: cfg.Listen.Peer, Credentials: creds, Log: log})
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
		endpoints: membership.NewTable(), directory: directory.New(beginWith(cfg.ControlHosts)), contact: &membership.Contact{},
		freshness: &distribute.Freshness{}, children: distribute.NewAdmission(childAdmission(cfg.FanOut)),
		newer: make(chan newerPeer, 1),
	}
	for _, o := range options {
		o(n)
	}
	n.backend = newBackend(backendConfig{
		base: base, connections: cfg.Backend.Connections, dialTimeout: cfg.Timeouts.Connect, frontEnd: n.frontEnd.Backend,
		echoHeader: n.frontEnd.BackendEcho,
	})
	n.buildControlSide()
	if err := n.openCache(); err != nil {
		return nil, err
	}
	n.buildCallSide(creds, want, base)
	n.register()
	return n, nil
}

func childAdmission(f settings.FanOut) distribute.AdmissionConfig {
	a := distribute.NodeAdmission()
	a.Children, a.Snapshots = f.Children, f.Snapshots
	return a
}

// buildControlSide makes the parts that follow the control hosts.
func (n *Node) buildControlSide() {
	n.acceptor = distribute.NewAcceptor(n.cfg.Host, distribute.NewStore(), n.endpoints, n.log)
	n.subtree = distribute.NewSubtree(n.acceptor.Report)
	n.publisher = membership.NewPublisher(membership.Announcement{
		Host: n.cfg.Host, Service: n.cfg.Backend.Service, Version: n.cfg.Backend.Version, DataCentre: n.cfg.DataCentre,
		CallAddress: n.cfg.Advertise.Call, PeerAddress: n.cfg.Advertise.Peer, Slots: n.cfg.Backend.Slots,
		State: membership.StateServing,
	}, n.started)
	n.recorder = rollout.NewRecorder(n.cfg.Host, n.publisher.Current().Incarnation)
}

// buildCallSide makes the parts that carry requests.
func (n *Node) buildCallSide(creds *peer.Credentials, self peer.Identity, base *url.URL) {
	n.gate = admission.NewGate(admission.Config{
		Service: n.initialLimits(), Provisional: n.cfg.Listen.Registration != "",
		ColdLoad: n.cfg.Backend.ColdLoad, Log: n.log,
	})
	if n.cfg.Listen.Registration != "" {
		n.gate.SetAvailable(false)
		n.registration = newRegistrar(n, base.Host)
	}
	n.picker = routing.NewPicker(routing.PickerConfig{DataCentre: n.cfg.DataCentre, Ramp: n.cfg.Timeouts.ReturnRamp, Log: n.log})
	n.view = &view{
		log: n.log, dc: n.cfg.DataCentre, service: n.cfg.Backend.Service, slots: n.cfg.Backend.Slots,
		queueLimit: n.cfg.Queue.Limit, queueTimeout: n.cfg.Queue.Timeout,
		acceptor: n.acceptor, endpoints: n.endpoints, picker: n.picker, gate: n.gate, routable: n.routable,
	}
	logged := telemetry.NewRequests()
	n.serving = &serving{
		log: n.log, gate: n.gate, backend: n.backend, service: n.cfg.Backend.Service,
		version:  func() model.ServiceVersion { return n.publisher.Current().Version },
		logged:   logged,
		position: n.acceptor.Position, behind: n.noteNewer,
	}
	if n.registration != nil {
		n.serving.lost = n.registration.unreachable
	}
	mux := callmux.Config{
		Credentials: creds, DialTimeout: n.cfg.Timeouts.Connect, DrainLimit: n.cfg.Timeouts.Drain, Log: n.log,
	}
	n.calls, n.callServer = callmux.NewClient(mux), callmux.NewServer(mux)
	n.claims = claim.NewClient(claim.ClientConfig{
		Caller: n.ep, Hosts: n.claimHosts, Groups: uint32(n.cfg.ClaimGroups), Log: n.log,
		TryTimeout:  claimTries * n.cfg.Timeouts.Connect,
		Incarnation: func() uint64 { return n.publisher.Current().Incarnation },
	})
	retries := routing.NewBucket(n.cfg.Retries.Part, n.cfg.Retries.Burst)
	d := &dispatcher{
		log: n.log, self: self, picker: n.picker, hedger: routing.NewHedger(retries), retries: retries,
		calls: n.calls, local: n.serving, recorder: n.recorder, position: n.acceptor.Position, behind: n.noteNewer,
	}
	n.entry = &entry{
		elapsed: routing.NewElapsed(),
		log:     n.log, dispatcher: d, table: n.view.current, claims: n.claims, bodyLimit: n.cfg.Limits.BodyBytes,
		logged: logged, service: n.cfg.Backend.Service,
		calls:  semaphore.NewWeighted(int64(n.cfg.Limits.Calls)),
		bodies: semaphore.NewWeighted(max(bodyMemory, n.cfg.Limits.BodyBytes)),
	}
}

// claimTries is the time of one call to a control host in units of
// timeouts.connect: one to connect and one for the commit.
const claimTries = 2

// initialLimits hold until the first configuration.
func (n *Node) initialLimits() note.Service {
	return note.Service{
		Name: n.cfg.Backend.Service, Slots: n.cfg.Backend.Slots, Connections: n.cfg.Backend.Connections,
		QueueLimit: n.cfg.Backend.Slots, QueueTimeout: time.Second,
	}
}

// routable reports whether the node knows that its configuration is not older
// than what it served before.
func (n *Node) routable() bool {
	floor := n.floor.Load()
	return floor != nil && !n.acceptor.Position().Less(*floor)
}

var anyRole = []peer.Role{peer.RoleNode, peer.RoleControl}

// register adds the peer methods of a node.
func (n *Node) register() {
	options := distribute.ServeOptions{Subtree: n.subtree, Freshness: n.freshness, Admission: n.children,
		Planned: n.tree().NodePlan(n.cfg.Host, n.endpoints), Log: n.log}
	n.ep.Handle(distribute.MethodWatch, []peer.Role{peer.RoleNode}, func(ctx context.Context, st peer.Stream) error {
		return distribute.Serve(ctx, n.acceptor.Store(), n.endpoints, st, options)
	})
	n.ep.Handle(distribute.MethodExchange, anyRole, func(ctx context.Context, st peer.Stream) error {
		return distribute.ServeExchange(ctx, n.acceptor.Store(), n.endpoints, st, options)
	})
}

// Run serves until ctx ends, then stops gracefully: it announces that it
// leaves, goes on serving while that spreads, finishes running requests and
// hands over its children.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(life)
	calls, stopCalls := context.WithCancel(life)
	defer stopCalls()
	g.Go(func() error { return ignoreEnd(life, n.ep.Serve(life)) })
	g.Go(func() error { return ignoreEnd(life, n.learnFloor(life)) })
	g.Go(func() error { return ignoreEnd(life, n.attach(life)) })
	g.Go(func() error { return ignoreEnd(life, n.keepCache(life)) })
	g.Go(func() error { return ignoreEnd(life, n.repair(life)) })
	g.Go(func() error { return ignoreEnd(life, n.catchUp(life)) })
	g.Go(func() error { return ignoreEnd(life, n.reportEvidence(life)) })
	g.Go(func() error { return ignoreEnd(life, n.followDirectory(life)) })
	if n.cfg.ClaimGroups > 0 {
		g.Go(func() error { return ignoreEnd(life, n.claims.Run(life)) })
	}
	g.Go(func() error { return ignoreEnd(life, n.view.run(life)) })
	g.Go(func() error { return ignoreEnd(life, n.followBackend(life)) })
	callsDone := make(chan struct{})
	g.Go(func() error { defer close(callsDone); return n.listenCalls(calls) })
	servers := n.httpServers()
	for _, s := range servers {
		g.Go(func() error { return s.serve(life) })
	}
	n.log.Info("node started", "service", string(n.cfg.Backend.Service), "version", string(n.cfg.Backend.Version),
		"caller", n.cfg.Listen.Caller, "call", n.cfg.Advertise.Call, "peer", n.cfg.Advertise.Peer)
	select {
	case <-ctx.Done():
		n.stop(servers, stopCalls, callsDone)
	case <-life.Done():
		// A task failed, such as a listener whose address is in use; the HTTP servers
		// end only when they are stopped.
		for _, h := range servers {
			h.stop(life)
		}
	}
	end()
	err := g.Wait()
	n.calls.Close()
	n.backend.close()
	n.log.Info("node stopped")
	return err
}

// ignoreEnd hides the error of a task that ended because the node stops.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	return nil
}

// departTime is how long before it takes no more work a stopping node says that it
// leaves; within that every node hears of it. Callers may need longer to go elsewhere,
// and the backend server need not be idle meanwhile.
const departTime = 1500 * time.Millisecond

// stop ends the node without cutting a request.
func (n *Node) stop(servers []*httpServer, stopCalls context.CancelFunc, callsDone <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Timeouts.Drain)
	defer cancel()
	n.log.Info("planned stop begun", "drain_limit", n.cfg.Timeouts.Drain.String())
	n.entry.stopping.Store(true)
	n.children.Drain(n.cfg.Timeouts.Leave / 2)
	depart := min(n.cfg.Timeouts.Leave, departTime)
	wait(ctx, n.cfg.Timeouts.Leave-depart)
	n.publisher.Leave()
	wait(ctx, depart)
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
