package control

import (
	"context"
	"log/slog"
	"net/http"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/settings"
)

// configGroup is the number of the group that replicates the configuration.
// Claim groups are numbered from 1.
const configGroup uint32 = 0

// Control runs a control host.
type Control struct {
	cfg settings.Control
	log *slog.Logger
	ep  *peer.Endpoint

	machine   *ConfigMachine
	configLog *replog.Log
	transport *logTransport
	claims    *claimGroups

	store       *distribute.Store
	endpoints   *membership.Table
	leaseKeeper *membership.LeaseKeeper
	admission   *distribute.Admission
	// nodeSubtree sums up the nodes that this host serves, hostSubtree the
	// reports of other control hosts. They are separate, because two control
	// hosts that follow each other would otherwise count the same nodes again
	// and again.
	nodeSubtree, hostSubtree *distribute.Subtree
	childPlan                func(peer.Identity) (bool, []distribute.Parent)
	freshness                *distribute.Freshness

	startOrder    *startOrder
	confirmations sharedConfirmation
	evidence      *evidence
	leaderWork    *leader
	learned       learnedHosts

	// operatorHandler returns the handler that replaces the operator interface
	// of package operator; nil if package operator serves it.
	operatorHandler func(*Control) http.Handler
}

// Option configures a control host in New.
type Option func(*Control)

// WithOperatorHandler replaces the operator interface by the handler of a platform adapter,
// which uses the methods of Operations. The handler is served without TLS and
// tokens.
func WithOperatorHandler(handler func(*Control) http.Handler) Option {
	return func(c *Control) { c.operatorHandler = handler }
}

// New opens the peer listener and the replicated logs of a control host.
func New(ctx context.Context, cfg settings.Control, log *slog.Logger, options ...Option) (*Control, error) {
	log = log.With("cluster", cfg.Cluster, "region", cfg.Region)
	self := peer.Identity{Role: peer.RoleControl, DataCentre: cfg.DataCentre, Host: cfg.Host}
	creds, err := peer.CredentialsOf(self, cfg.Credentials, cfg.ClosedNetwork, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "credentials: %v", err)
	}
	order := newStartOrder(time.Now())
	var c *Control
	endpoint := peer.Config{Listen: cfg.Listen.Peer, Credentials: creds, Handshakes: cfg.Limits.Handshakes, AcceptNodes: order.acceptNodes, Log: log}
	if cfg.ClosedNetwork {
		endpoint.AnswerEnquiry = func() ([]byte, bool) { return c.answerEnquiry() }
	}
	ep, err := peer.Listen(endpoint)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen.peer: %v", err)
	}
	c = &Control{
		cfg: cfg, log: log, ep: ep, startOrder: order,
		store: distribute.NewStore(), endpoints: membership.NewTable(), leaseKeeper: membership.NewLeaseKeeperWithDuration(cfg.Timeouts.EndpointLease),
		admission:   distribute.NewAdmission(admissionConfig(cfg.Limits)),
		nodeSubtree: distribute.NewSubtree(nil), hostSubtree: distribute.NewSubtree(nil),
		evidence: newEvidence(cfg.Host, uint64(time.Now().UnixMilli())),
	}
	for _, o := range options {
		o(c)
	}
	c.childPlan = distribute.Tree{FirstLevel: cfg.Limits.FirstLevel}.SourcePlan(c.endpoints)
	c.machine = NewConfigMachine(cfg.Epoch, c.store, log)
	c.transport = newLogTransport(ctx, ep, log, c.findHost)
	c.leaderWork = newLeader(c)
	if err := c.openLogs(); err != nil {
		return nil, err
	}
	c.freshness = &distribute.Freshness{Contact: c.quorumContact}
	c.register()
	registerTrafficGauges()
	distribute.RegisterSourceAge(c.freshness)
	return c, nil
}

// registerTrafficGauges adds the bytes of all peer connections to the metrics.
func registerTrafficGauges() {
	_ = metrics.NewRegisteredFunctionalGauge("control.bytes_sent", nil, func() int64 { sent, _ := peer.Traffic(); return sent })
	_ = metrics.NewRegisteredFunctionalGauge("control.bytes_received", nil, func() int64 { _, received := peer.Traffic(); return received })
}

// unplannedChildrenDivisor is the ratio of limits.children to the unplanned children of a
// data centre. It leaves the default of limits.children with SourceUnplannedChildren.
const unplannedChildrenDivisor = 4

// admissionConfig returns the limits on the nodes that this host serves
// directly.
func admissionConfig(l settings.ControlLimits) distribute.AdmissionConfig {
	a := distribute.SourceAdmission()
	a.PerDataCentre, a.Snapshots = l.Children, l.Snapshots
	// Where a host serves many nodes directly, it also has room for more that the tree
	// gives to other nodes, which have nothing to serve yet when a whole fleet starts.
	a.UnplannedPerDataCentre = max(a.UnplannedPerDataCentre, l.Children/unplannedChildrenDivisor)
	a.Children = max(a.Children, l.Children+a.UnplannedPerDataCentre)
	return a
}

// openLogs opens the replicated log of each group.
func (c *Control) openLogs() error {
	l, err := c.openLog(configGroup, c.machine)
	if err != nil {
		return err
	}
	c.configLog = l
	c.claims = newClaimGroups(c.log)
	for g := uint32(1); g <= uint32(c.cfg.ClaimGroups); g++ {
		state := claim.NewState()
		l, err := c.openLog(g, claimMachine{state: state})
		if err != nil {
			return err
		}
		c.claims.add(g, l, state)
	}
	c.claims.open()
	return nil
}

func (c *Control) openLog(group uint32, sm replog.StateMachine) (*replog.Log, error) {
	var quietSnapshotBytes int64
	if group == configGroup { // the entries of claims are small, and their state is large
		quietSnapshotBytes = c.cfg.Limits.QuietSnapshotBytes
	}
	var mayVote func(replog.Member, replog.Members) bool
	if c.cfg.AutoJoin { // otherwise operators choose the voters
		mayVote = c.mayVote
	}
	l, err := replog.Open(replog.Config{
		Cluster: c.cfg.Cluster, Group: group, Self: c.cfg.Host,
		Dir: filepath.Join(c.cfg.DataDir, "group-"+strconv.Itoa(int(group))), Voters: c.initialVoters(), FirstStart: c.cfg.FirstStart,
		ElectionTimeout: c.cfg.Timeouts.Election, Heartbeat: c.cfg.Timeouts.Heartbeat,
		SnapshotEntries: uint64(c.cfg.Limits.SnapshotEntries), QuietSnapshotBytes: quietSnapshotBytes, MayVote: mayVote,
		Log: c.log.With("group", group),
	}, sm, c.transport)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "group %d: %v", group, err)
	}
	c.transport.add(group, l)
	return l, nil
}

// initialVoters returns the hosts that form new groups, or nil if this host is
// not one of them and joins later.
func (c *Control) initialVoters() []model.HostID {
	var out []model.HostID
	self := false
	for _, h := range c.cfg.ControlHosts {
		if h.Voter {
			out = append(out, h.Host)
			self = self || h.Host == c.cfg.Host
		}
	}
	if !self {
		return nil
	}
	return out
}

// Run serves until ctx ends or a part of the control host fails, then stops
// gracefully.
func (c *Control) Run(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	g, gctx := errgroup.WithContext(ctx)
	var serving sync.WaitGroup
	serving.Go(func() { _ = c.ep.Serve(serveCtx) })
	g.Go(func() error { return c.serveOperators(gctx) })
	g.Go(func() error { return c.machine.publishChanges(gctx) })
	g.Go(func() error { return c.expireLeases(gctx) })
	g.Go(func() error { return c.followHosts(gctx) })
	g.Go(func() error { return c.watchOwners(gctx) })
	if c.cfg.ClaimGroups > 0 {
		g.Go(func() error { return c.claims.service.Run(gctx) })
	}
	if c.cfg.Listen.Admin != "" {
		g.Go(func() error { return c.serveAdmin(gctx) })
	}
	if c.cfg.AutoJoin {
		g.Go(func() error { return c.keepMembership(gctx) })
	}
	g.Go(func() error { return c.leaderWork.run(gctx) })
	g.Go(func() error { return c.watchLogs(gctx) })
	g.Go(func() error { return c.reportTolerance(gctx) })
	g.Go(func() error { return c.awaitLeader(gctx) })
	c.log.Info("control host started", "peer", c.ep.Addr().String(), "operator", c.cfg.Listen.Operator)
	err := g.Wait()
	c.stop()
	stopServing()
	serving.Wait()
	c.log.Info("control host stopped")
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// childHandoffSpread is the period over which a stopping control host asks its
// children, one after another, to reconnect elsewhere.
const childHandoffSpread = time.Second

// leadershipTransferTimeout bounds the leadership transfer of the groups. If a
// transfer fails, the other voters elect a leader after the election timeout.
const leadershipTransferTimeout = time.Second

// transferLeadership transfers the groups that this host leads to other voters,
// so that a planned stop does not cost an election timeout.
func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for number, l := range c.transport.allLogs() {
		wg.Go(func() {
			if err := l.TransferLeadership(ctx); err != nil {
				c.log.Warn("leadership transfer failed", "group", number, "reason", err.Error())
			}
		})
	}
	wg.Wait()
}

// stop transfers leadership, asks the children to reconnect elsewhere and
// closes the logs.
func (c *Control) stop() {
	c.transferLeadership()
	c.admission.Drain(childHandoffSpread)
	deadline := time.Now().Add(min(2*childHandoffSpread, c.cfg.Timeouts.Shutdown))
	for c.admission.Children() > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	c.claims.close()
	if err := c.configLog.Close(); err != nil {
		c.log.Error("closing the replicated log failed", "group", configGroup, "reason", err.Error())
	}
}

// watchLogs returns an error, which ends the process, when a log has stopped
// after a disk failure.
func (c *Control) watchLogs(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for number, l := range c.transport.allLogs() {
		g.Go(func() error { return watchLog(ctx, number, l) })
	}
	return g.Wait()
}

func watchLog(ctx context.Context, group uint32, l *replog.Log) error {
	for {
		st, changed := l.Watch()
		if st.Err != nil {
			return eris.Wrapf(st.Err, "replicated log of group %d stopped", group)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
