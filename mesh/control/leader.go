package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

// Intervals and timeouts of the leader.
const (
	// pollInterval is how often the leader asks each control host for its
	// status.
	pollInterval = 250 * time.Millisecond
	// decideInterval is how often the leader decides on rollouts, notes and
	// voters.
	decideInterval = 200 * time.Millisecond
	// maxStatusAge is how long the leader uses the last status of a control
	// host that no longer replies.
	maxStatusAge = 5 * time.Second
	// proposeTimeout bounds one proposal of the leader. A command whose
	// proposal times out is derived again at the next tick.
	proposeTimeout = 2 * time.Second
	// dataCentreReturnTime is how long a data centre stays in the returning
	// state. It covers the traffic ramp on the nodes and the warm-up of the
	// backend servers.
	dataCentreReturnTime = 30 * time.Second
)

// hostState is the last status that the leader received from another control
// host.
type hostState struct {
	nodes      distribute.SubtreeReport
	loads      []rollout.Load
	receivedAt time.Time
}

// leader does the work of the host that leads group 0: it decides on rollouts,
// marks notes as in force, and tracks the leases held by the other control
// hosts to detect lost nodes.
type leader struct {
	c   *Control
	log *slog.Logger

	// mu guards the fields below.
	mu    sync.Mutex
	hosts map[model.HostID]hostState
	// since is when this host began to lead; zero while it does not.
	since   time.Time
	reports []rollout.Report
	// holdings are the leases held by the other control hosts; nil while this
	// host does not lead.
	holdings *membership.RemoteLeases
}

func newLeader(c *Control) *leader {
	return &leader{c: c, log: c.log, hosts: map[model.HostID]hostState{}}
}

// run does the work of the leader in each term that this host leads, until ctx
// ends.
func (l *leader) run(ctx context.Context) error {
	for ctx.Err() == nil {
		st, changed := l.c.configLog.Watch()
		if st.Role == replog.Leader {
			l.leadTerm(ctx, st.Term)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// leadTerm does the work of the leader until this host no longer leads the term
// or the number of members changes. In the latter case run calls it again.
func (l *leader) leadTerm(ctx context.Context, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.reset(membership.NewRemoteLeases())
	defer l.reset(nil)
	l.log.Info("leader work for group 0 started on this host", "term", term)
	g, ctx := errgroup.WithContext(ctx)
	for _, h := range l.c.otherHosts() {
		g.Go(func() error { return l.pollHost(ctx, h.Host) })
		g.Go(func() error { return l.watchHoldings(ctx, h.Host) })
	}
	g.Go(func() error { return l.decide(ctx) })
	g.Go(func() error {
		defer cancel()
		return l.waitForTermEnd(ctx, term)
	})
	_ = g.Wait()
	l.log.Info("leader work for group 0 ended on this host", "term", term)
}

func (l *leader) reset(holdings *membership.RemoteLeases) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = map[model.HostID]hostState{}
	l.reports = nil
	l.holdings = holdings
	l.since = time.Time{}
	if holdings != nil {
		l.since = time.Now()
	}
}

// responds reports whether a control host has replied within voterResponseTimeout, or
// could not yet because this host began to lead only then.
func (l *leader) responds(now time.Time, id model.HostID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.since
	if at := l.hosts[id].receivedAt; at.After(last) {
		last = at
	}
	return id == l.c.cfg.Host || last.IsZero() || now.Sub(last) < voterResponseTimeout
}

// otherHoldings returns the leases held by the other control hosts; nil while
// this host does not lead.
func (l *leader) otherHoldings() *membership.RemoteLeases {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdings
}

// watchHoldings receives from another control host which leases it holds. With
// them the lease of a node expires even if the node is lost together with the
// control host that holds its lease.
func (l *leader) watchHoldings(ctx context.Context, id model.HostID) error {
	for ctx.Err() == nil {
		err := l.watchHoldingsOnce(ctx, id)
		if ctx.Err() == nil {
			l.log.Info("lease holdings stream from control host ended", "peer", string(id), "reason", err.Error())
		}
		sleep(ctx, hostRetryInterval)
	}
	return ctx.Err()
}

func (l *leader) watchHoldingsOnce(ctx context.Context, id model.HostID) error {
	st, err := l.c.openHostStream(ctx, id, membership.MethodHoldings)
	if err != nil {
		return err
	}
	return membership.WatchRemoteLeases(ctx, l.otherHoldings(), st)
}

// waitForTermEnd waits until this host no longer leads the term or the number
// of members changes.
func (l *leader) waitForTermEnd(ctx context.Context, term uint64) error {
	first, _ := l.c.configLog.Watch()
	for {
		st, changed := l.c.configLog.Watch()
		if st.Role != replog.Leader || st.Term != term || len(st.Members) != len(first.Members) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollHost asks one control host for its status every pollInterval until ctx
// ends.
func (l *leader) pollHost(ctx context.Context, id model.HostID) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if h, ok := l.c.findHost(id); ok {
			var reply statusReply
			if err := l.c.call(ctx, h, methodStatus, statusRequest{}, &reply); err == nil {
				l.recordReply(id, reply)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// lastReply returns when another control host last replied in this term, or the
// zero time if it has not.
func (l *leader) lastReply(id model.HostID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[id].receivedAt
}

func (l *leader) recordReply(id model.HostID, reply statusReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts[id] = hostState{nodes: reply.Nodes, loads: reply.Loads, receivedAt: time.Now()}
	if r, err := rollout.DecodeReport(reply.Evidence); err == nil {
		l.reports = append(l.reports, r)
	}
}

// handleStatus returns the nodes, loads and merged evidence of this host to the
// leader.
func (c *Control) handleStatus(_ context.Context, _ peer.Identity, _ statusRequest) (statusReply, error) {
	reply := statusReply{Nodes: c.nodeSubtree.Report(), Loads: c.evidence.loadsByVersion(time.Now())}
	b, err := rollout.EncodeReport(c.evidence.takeReport(time.Now()))
	if err != nil {
		return reply, err
	}
	reply.Evidence = b
	return reply, nil
}

// leaderView combines the last reports of all control hosts.
type leaderView struct {
	nodes   distribute.SubtreeReport
	loads   map[versionKey]rollout.Load
	reports []rollout.Report
}

// gather combines the state of this host with the last states of the other
// control hosts, except those older than maxStatusAge. It returns each evidence
// report only once.
func (l *leader) gather(now time.Time) leaderView {
	v := leaderView{nodes: l.c.nodeSubtree.Report(), loads: map[versionKey]rollout.Load{}}
	v.addLoads(l.c.evidence.loadsByVersion(now))
	v.reports = []rollout.Report{l.c.evidence.takeReport(now)}
	l.mu.Lock()
	defer l.mu.Unlock()
	v.reports = append(v.reports, l.reports...)
	l.reports = nil
	for _, h := range l.hosts {
		if now.Sub(h.receivedAt) <= maxStatusAge {
			v.addNodes(h.nodes)
			v.addLoads(h.loads)
		}
	}
	return v
}

// gatherNodes sums up the nodes that the control hosts serve. If this host does
// not lead, it counts only the nodes of this host.
func (l *leader) gatherNodes(now time.Time) distribute.SubtreeReport {
	v := leaderView{nodes: l.c.nodeSubtree.Report()}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if now.Sub(h.receivedAt) <= maxStatusAge {
			v.addNodes(h.nodes)
		}
	}
	return v.nodes
}

func (v *leaderView) addLoads(loads []rollout.Load) {
	for _, l := range loads {
		k := versionKey{l.Service, l.Version}
		if old, ok := v.loads[k]; ok {
			l = old.Add(l)
		}
		v.loads[k] = l
	}
}

func (v *leaderView) addNodes(r distribute.SubtreeReport) {
	if r.Nodes == 0 {
		return
	}
	if v.nodes.Nodes == 0 || r.LowestPosition.Less(v.nodes.LowestPosition) {
		v.nodes.LowestPosition = r.LowestPosition
	}
	v.nodes.Nodes += r.Nodes
	v.nodes.Held += r.Held
}

// decisionState is the part of the replicated state that the decisions of the
// leader use.
type decisionState struct {
	active   []rollout.Status
	moves    []note.MoveState
	current  map[model.ServiceName]rollout.Status
	config   note.Config
	position model.Position
}

func (c *Control) decisionState() decisionState {
	s := decisionState{current: map[model.ServiceName]rollout.Status{}}
	c.machine.View(func(n *note.State, r *rollout.State) {
		s.active, s.moves, s.config, s.position = r.Active(), n.Moves(), n.Config(), n.Position()
		for _, m := range s.moves {
			if st, ok := r.Current(m.Move.Service); ok {
				s.current[m.Move.Service] = st
			}
		}
	})
	return s
}
