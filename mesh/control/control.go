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

// configGroup is the group that holds the configuration; claims have the groups from 1.
const configGroup uint32 = 0

// Control is a control host.
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
	// nodeSubtree sums up the nodeSubtree that this host serves, hostSubtree what other control
	// hostSubtree report. They are apart, so that hostSubtree which follow each other do not
	// count each other's nodeSubtree again and again.
	nodeSubtree, hostSubtree *distribute.Subtree
	childPlan                func(peer.Identity) (bool, []distribute.Parent)
	freshness                *distribute.Freshness

	evidence   *evidence
	leaderWork *leader
	learned    learnedHosts

	// operatorHandler serves the operator interface in place of the package operator;
	// nil if that serves it.
	operatorHandler func(*Control) http.Handler
}

// Option changes how New builds a control host.
type Option func(*Control)

// WithOperators replaces the operator interface by that of a front end, which
// uses the methods of Operations. It is served without TLS and tokens.
func WithOperators(handler func(*Control) http.Handler) Option {
	return func(c *Control) { c.operatorHandler = handler }
}

// New opens the listening socket and the data directory of a control host.
func New(ctx context.Context, cfg settings.Control, log *slog.Logger, options ...Option) (*Control, error) {
	log = log.With("cluster", cfg.Cluster, "region", cfg.Region)
	self := peer.Identity{Role: peer.RoleControl, DataCentre: cfg.DataCentre, Host: cfg.Host}
	creds, err := peer.CredentialsOf(self, cfg.Credentials, cfg.ClosedNetwork, log)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "credentials: %v", err)
	}
	ep, err := peer.Listen(peer.Config{Listen: cfg.Listen.Peer, Credentials: creds, Log: log})
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "listen.peer: %v", err)
	}
	c := &Control{
		cfg: cfg, log: log, ep: ep,
		store: distribute.NewStore(), endpoints: membership.NewTable(), leaseKeeper: membership.NewLeaseKeeperOf(cfg.Timeouts.EndpointLease),
		admission:   distribute.NewAdmission(admissionConfig(cfg.Limits)),
		nodeSubtree: distribute.NewSubtree(nil), hostSubtree: distribute.NewSubtree(nil),
		freshness: &distribute.Freshness{}, evidence: newEvidence(cfg.Host, uint64(time.Now().UnixMilli())),
	}
	for _, o := range options {
		o(c)
	}
	c.childPlan = distribute.Tree{FirstLevel: cfg.Limits.FirstLevel}.SourcePlan(c.endpoints)
	c.machine = NewConfigMachine(cfg.Epoch, c.store, log)
	c.transport = newLogTransport(ctx, ep, log, c.findHost)
	if err := c.openLogs(); err != nil {
		return nil, err
	}
	c.leaderWork = newLeader(c)
	c.register()
	registerTrafficGauges()
	return c, nil
}

// registerTrafficGauges shows the bytes of peer connections among the metrics.
func registerTrafficGauges() {
	_ = metrics.NewRegisteredFunctionalGauge("control.bytes_sent", nil, func() int64 { sent, _ := peer.Traffic(); return sent })
	_ = metrics.NewRegisteredFunctionalGauge("control.bytes_received", nil, func() int64 { _, received := peer.Traffic(); return received })
}

// admissionConfig bounds the nodes that this host serves directly.
func admissionConfig(l settings.ControlLimits) distribute.AdmissionConfig {
	a := distribute.SourceAdmission()
	a.PerDataCentre, a.Snapshots = l.Children, l.Snapshots
	a.Children = max(a.Children, l.Children+a.Spare)
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
	l, err := replog.Open(replog.Config{
		Cluster: c.cfg.Cluster, Group: group, Self: c.cfg.Host,
		Dir: filepath.Join(c.cfg.DataDir, "group-"+strconv.Itoa(int(group))), Voters: c.initialVoters(),
		ElectionTimeout: c.cfg.Timeouts.Election, Heartbeat: c.cfg.Timeouts.Heartbeat,
		SnapshotEntries: uint64(c.cfg.Limits.SnapshotEntries),
		Log:             c.log.With("group", group),
	}, sm, c.transport)
	if err != nil {
		return nil, eris.Wrapf(ErrStart, "group %d: %v", group, err)
	}
	c.transport.add(group, l)
	return l, nil
}

// initialVoters returns the hosts that form new groups; none if this host joins later.
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

// Run serves until ctx ends, then stops gracefully.
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

// childHandoffSpread is the time over which the children of a stopping control host
// reconnect elsewhere.
const childHandoffSpread = time.Second

// leadershipTransferTimeout bounds the hand-over of one group; without it the others elect a
// leader after the election time.
const leadershipTransferTimeout = time.Second

// transferLeadership gives the groups that this host leads to other voters, so that a
// planned stop costs no election time.
func (c *Control) transferLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for number, l := range c.transport.allLogs() {
		wg.Go(func() {
			if err := l.HandOver(ctx); err != nil {
				c.log.Warn("leadership not handed over", "group", number, "reason", err.Error())
			}
		})
	}
	wg.Wait()
}

// stop hands leadership and children over and closes the logs.
func (c *Control) stop() {
	c.transferLeadership()
	c.admission.Drain(childHandoffSpread)
	deadline := time.Now().Add(min(2*childHandoffSpread, c.cfg.Timeouts.Shutdown))
	for c.admission.Children() > 0 && time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	c.claims.close()
	if err := c.configLog.Close(); err != nil {
		c.log.Error("log not closed cleanly", "group", configGroup, "reason", err.Error())
	}
}

// watchLogs ends the process when a log has stopped after a disk failure.
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
			return eris.Wrapf(st.Err, "group %d stopped", group)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
