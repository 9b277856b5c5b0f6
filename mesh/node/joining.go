package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

const (
	// joinWait bounds the wait for the first control host. A longer one delays a start
	// while none of the control hosts in the settings exists any more.
	joinWait = 600 * time.Millisecond
	// busyJoinWait is the bound while a control host answers that it is busy. It covers
	// the start of a whole mesh, in which a node that does not wait would connect to
	// further control hosts.
	busyJoinWait = 5 * time.Second
	// firstHostHold is the mean time for which a node prefers the control host that it
	// connected to first, also one in another data centre. A shorter one returns sooner
	// to the own data centre, a longer one keeps those handshakes out of the start of a
	// whole fleet.
	firstHostHold = 15 * time.Second
	// laterStreamsWait bounds the wait of the streams that a node does not need to
	// route, and laterStreamsSpread is the random delay after it.
	laterStreamsWait   = 2 * time.Second
	laterStreamsSpread = 500 * time.Millisecond
)

// joining is the progress of a node that has started without state. All its streams use
// the control host that it connected to first, since each further handshake costs that
// host and this node some milliseconds of processor time. One mutex guards it; the zero
// value is ready for use.
type joining struct {
	mu sync.Mutex
	// host is the control host that the node connected to first, or before that the one
	// that it has chosen. It is preferred until holdUntil.
	host        model.HostID
	holdUntil   time.Time
	isConnected bool
	// enquiring is set while the node asks which control hosts accept nodes.
	enquiring bool
	answers   []distribute.FloorAnswer
	// connected, welcomed and routes are closed once a control host has admitted this
	// node, once one has confirmed a position, and once this node can route. They are
	// made on first use.
	connected, welcomed, routes *signal
}

// signal is a channel that is closed once.
type signal struct {
	c    chan struct{}
	once sync.Once
}

func (s *signal) set() { s.once.Do(func() { close(s.c) }) }

// get returns the signal at p and makes it on first use.
func (j *joining) get(p **signal) *signal {
	j.mu.Lock()
	defer j.mu.Unlock()
	if *p == nil {
		*p = &signal{c: make(chan struct{})}
	}
	return *p
}

// connect records the first control host to which this node has connected.
func (j *joining) connect(now time.Time, host model.HostID) {
	j.mu.Lock()
	if !j.isConnected {
		j.isConnected = true
		j.host, j.holdUntil = host, now.Add(firstHostHold/2+rand.N(firstHostHold))
	}
	j.mu.Unlock()
	j.get(&j.connected).set()
}

// choose prefers a control host before this node has connected to one.
func (j *joining) choose(now time.Time, host model.HostID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.isConnected {
		j.host, j.holdUntil = host, now.Add(firstHostHold)
	}
}

func (j *joining) setEnquiring(on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.enquiring = on
}

func (j *joining) isEnquiring() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.enquiring
}

// release ends the preference for the first control host if it is this one.
func (j *joining) release(host model.HostID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.host == host {
		j.holdUntil = time.Time{}
	}
}

// held returns the control host that is preferred now; empty if there is none.
func (j *joining) held(now time.Time) model.HostID {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now.Before(j.holdUntil) {
		return j.host
	}
	return ""
}

// welcome records an answer to this node's request for the minimum position.
func (j *joining) welcome(a distribute.FloorAnswer) {
	j.mu.Lock()
	j.answers = append(slices.DeleteFunc(j.answers, func(b distribute.FloorAnswer) bool { return b.From.Host == a.From.Host }), a)
	j.mu.Unlock()
	if a.Confirmed {
		j.get(&j.welcomed).set()
	}
}

// floorAnswers returns the answers so far.
func (j *joining) floorAnswers() []distribute.FloorAnswer {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.answers)
}

// heldFirst moves the control host that is preferred while the fleet starts before the
// other control hosts.
func (n *Node) heldFirst(ps []distribute.Parent) []distribute.Parent {
	host := n.joining.held(time.Now())
	i := slices.IndexFunc(ps, func(p distribute.Parent) bool { return p.Host == host })
	first := slices.IndexFunc(ps, func(p distribute.Parent) bool { return p.Role == peer.RoleControl })
	if host == "" || i <= first || first < 0 {
		return ps
	}
	p := ps[i]
	return slices.Insert(slices.Delete(ps, i, i+1), first, p)
}

// onWelcome takes over what a control host has told this node after its start.
func (n *Node) onWelcome(w distribute.Welcome) {
	var hosts []directory.Host
	for _, h := range w.ControlHosts {
		hosts = append(hosts, directory.Host{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Address})
	}
	n.adoptDirectory(directory.List{Index: w.HostsIndex, Hosts: hosts})
	n.joining.welcome(w.Answer)
}

func (n *Node) adoptDirectory(l directory.List) {
	if n.directory.Update(l) {
		n.logDirectory()
	}
}

// awaitFirstHost waits until this node has connected to a control host, if its settings
// omit their data centres: a stream of its own choice would often go to another one.
func (n *Node) awaitFirstHost(ctx context.Context) {
	if !n.joining.isEnquiring() && n.knowsDataCentres() {
		return
	}
	awaitSignal(ctx, n.joining.get(&n.joining.connected).c, n.controlHostBusy)
}

// awaitWelcome waits until a control host has confirmed a position.
func (n *Node) awaitWelcome(ctx context.Context) {
	awaitSignal(ctx, n.joining.get(&n.joining.welcomed).c, n.controlHostBusy)
}

// awaitRoutes delays a stream that this node does not need to route until it does, or for
// laterStreamsWait.
func (n *Node) awaitRoutes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, laterStreamsWait)
	defer cancel()
	select {
	case <-n.joining.get(&n.joining.routes).c:
		sleepContext(ctx, rand.N(laterStreamsSpread))
	case <-ctx.Done():
	}
}

// enquire chooses the control host to connect to first, if the settings omit their data
// centres: one that accepts nodes, in the own data centre if possible. The settings may name
// some of the control hosts only, which the whole fleet would otherwise connect to.
func (n *Node) enquire(ctx context.Context) {
	if !n.cfg.ClosedNetwork || n.knowsDataCentres() {
		return
	}
	n.joining.setEnquiring(true)
	defer n.joining.setEnquiring(false)
	enquirer, err := peer.NewEnquirer()
	if err != nil {
		n.log.Warn("control hosts not asked before the first connection", "reason", err.Error())
		return
	}
	defer enquirer.Close()
	decision := directory.NewEnquiry(time.Now(), n.cfg.DataCentre)
	for {
		now := time.Now()
		if chosen, done := decision.Decide(now, n.hostsByPreference()); done {
			n.chooseFirstHost(now, chosen)
			return
		}
		enquirer.Ask(now, peerAddresses(decision.Targets(now, n.directory.Hosts())))
		target, payload, err := enquirer.Receive(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			n.log.Warn("control hosts not asked before the first connection", "reason", err.Error())
			return
		}
		n.recordAnswer(decision, target, payload)
	}
}

// recordAnswer takes over the answer of a control host to an enquiry; target is its address,
// empty if there was no answer.
func (n *Node) recordAnswer(decision *directory.Enquiry, target string, payload []byte) {
	if target == "" {
		return
	}
	a, err := directory.DecodeAnswer(payload)
	if err != nil {
		n.log.Warn("answer of a control host ignored", "address", target, "reason", err.Error())
		return
	}
	n.adoptDirectory(a.List)
	hosts := n.directory.Hosts()
	if i := slices.IndexFunc(hosts, func(h directory.Host) bool { return h.Peer == target }); i >= 0 {
		decision.Record(time.Now(), hosts[i].Host, a.Accepting)
	}
}

// chooseFirstHost makes a control host the one to connect to first; empty if none has
// answered in time, so that the node has to try them.
func (n *Node) chooseFirstHost(now time.Time, host model.HostID) {
	if host == "" {
		return
	}
	n.joining.choose(now, host)
	n.log.Info("node chose a control host", "host", string(host), "after", time.Since(n.started).String())
}

// hostsByPreference returns the known control hosts in this node's order of preference.
func (n *Node) hostsByPreference() []directory.Host {
	var hosts []directory.Host
	for _, p := range n.byPreference(n.directory.Hosts()) {
		hosts = append(hosts, directory.Host{Host: p.Host, DataCentre: p.DataCentre, Peer: p.Address})
	}
	return hosts
}

func peerAddresses(hosts []directory.Host) []string {
	var addresses []string
	for _, h := range hosts {
		addresses = append(addresses, h.Peer)
	}
	return addresses
}

func (n *Node) knowsDataCentres() bool {
	return slices.ContainsFunc(n.directory.Hosts(), func(h directory.Host) bool { return h.DataCentre != "" })
}

// controlHostBusy reports whether this node still asks which control hosts accept nodes, or
// one of them has just refused a connection for now.
func (n *Node) controlHostBusy() bool {
	return n.joining.isEnquiring() || slices.ContainsFunc(n.directory.Hosts(), func(h directory.Host) bool { return n.ep.Busy(h.Peer) })
}

// startRetryAfter returns the least time after which callers should retry while this node
// has no configuration.
func (n *Node) startRetryAfter() time.Duration {
	select {
	case <-n.joining.get(&n.joining.connected).c:
		return startRetryAfter(time.Since(n.started), true)
	default:
		return startRetryAfter(time.Since(n.started), false)
	}
}

// awaitSignal waits until done is closed, for joinWait, or for busyJoinWait while busy
// reports true.
func awaitSignal(ctx context.Context, done <-chan struct{}, busy func() bool) {
	deadline := time.Now().Add(busyJoinWait)
	timer := time.NewTimer(joinWait)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-timer.C:
			if !busy() || !now.Before(deadline) {
				return
			}
			timer.Reset(joinWait)
		case <-ctx.Done():
			return
		}
	}
}

// awaitRoutable waits until the configuration in force reaches the minimum position.
func (n *Node) awaitRoutable(ctx context.Context) {
	for {
		changed := n.acceptor.Changed(n.acceptor.InForce())
		if n.routable() {
			n.joining.get(&n.joining.routes).set()
			n.log.Info("node can route", "after", time.Since(n.started).String(), "position", n.acceptor.Position().String())
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
