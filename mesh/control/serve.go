package control

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

var (
	onlyNodes   = []peer.Role{peer.RoleNode}
	onlyControl = []peer.Role{peer.RoleControl}
	anyRole     = []peer.Role{peer.RoleNode, peer.RoleControl}
)

// register registers the peer methods of a control host.
func (c *Control) register() {
	c.ep.Handle(membership.MethodAnnounce, onlyNodes, c.serveAnnounce)
	c.ep.Handle(distribute.MethodWatch, anyRole, c.serveWatch)
	c.ep.Handle(distribute.MethodExchange, anyRole, func(ctx context.Context, st peer.Stream) error {
		return distribute.ServeExchange(ctx, c.store, c.endpoints, st, c.serveOptions(st.Peer()))
	})
	c.ep.Handle(membership.MethodHoldings, onlyControl, func(ctx context.Context, st peer.Stream) error {
		return membership.ServeLeases(ctx, c.leaseKeeper, st)
	})
	c.ep.Handle(rollout.MethodEvidence, onlyNodes, c.serveEvidence)
	c.ep.Handle(directory.Method, onlyNodes, func(ctx context.Context, st peer.Stream) error {
		return directory.Serve(ctx, c.directory, st)
	})
	c.claims.service.Register(c.ep)
	c.registerHostMethods()
}

// leaseHolder returns the lease state that the announce streams and the lease
// expiry share.
func (c *Control) leaseHolder() membership.LeaseServer {
	return membership.LeaseServer{Table: c.endpoints, Keeper: c.leaseKeeper, Status: c.positionAndLeader, Log: c.log}
}

func (c *Control) serveAnnounce(ctx context.Context, st peer.Stream) error {
	return membership.ServeAnnounce(ctx, c.leaseHolder(), st)
}

// positionAndLeader returns the position in force on this host and whether it is
// in contact with the leader's quorum.
func (c *Control) positionAndLeader() (model.Position, bool) {
	return c.store.Position(), c.freshness.Recent(time.Now())
}

// quorumContact returns the time of this host's last contact with a quorum of the
// control hosts.
func (c *Control) quorumContact() time.Time { return c.configLog.Status().QuorumContact }

func (c *Control) serveWatch(ctx context.Context, st peer.Stream) error {
	return distribute.Serve(ctx, c.store, c.endpoints, st, c.serveOptions(st.Peer()))
}

// serveOptions returns the options for serving the configuration to a child.
func (c *Control) serveOptions(child peer.Identity) distribute.ServeOptions {
	o := distribute.ServeOptions{
		Subtree: c.nodeSubtree, Freshness: c.freshness, Admission: c.admission,
		Planned: c.childPlan, Confirm: c.confirm, ControlHosts: c.hostsForNodes, Log: c.log,
	}
	if child.Role == peer.RoleControl {
		o.Subtree = c.hostSubtree
	}
	return o
}

// expireLeases expires the leases of unresponsive nodes and prunes old endpoint
// records. Expiry is suspended while no leader is known.
func (c *Control) expireLeases(ctx context.Context) error {
	tick := time.NewTicker(membership.SweepInterval)
	defer tick.Stop()
	suspended := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		leaderKnown := c.configLog.Status().Leader != ""
		switch {
		case !leaderKnown && !suspended:
			c.leaseKeeper.Suspend()
			c.log.Warn("lease expiry suspended", "reason", "no leader is known")
		case leaderKnown && suspended:
			c.leaseKeeper.Resume(now)
			c.log.Info("lease expiry resumed")
		}
		suspended = !leaderKnown
		c.leaseHolder().Sweep(now, c.leaderWork.otherHoldings())
		c.endpoints.Prune(now)
	}
}

// followHosts keeps one endpoint stream open to each other control host.
func (c *Control) followHosts(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := map[model.HostID]context.CancelFunc{}
	for {
		_, changed := c.configLog.Watch()
		wanted := map[model.HostID]bool{}
		for _, h := range c.otherHosts() {
			wanted[h.Host] = true
			if running[h.Host] != nil {
				continue
			}
			hostCtx, cancel := context.WithCancel(ctx)
			running[h.Host] = cancel
			wg.Go(func() { c.followHost(hostCtx, h.Host) })
		}
		for id, cancel := range running {
			if !wanted[id] {
				cancel()
				delete(running, id)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return ctx.Err()
		}
	}
}

const (
	// hostRetryInterval is the wait before a stream to another control host is
	// opened again.
	hostRetryInterval = 300 * time.Millisecond
	// hostOpenTimeout bounds opening a stream to another control host.
	hostOpenTimeout = time.Second
)

// followHost applies the endpoint changes of another control host until ctx
// ends.
func (c *Control) followHost(ctx context.Context, id model.HostID) {
	progress := &distribute.Progress{}
	for ctx.Err() == nil {
		err := c.followHostOnce(ctx, id, progress)
		if ctx.Err() != nil {
			return
		}
		c.log.Info("endpoint stream from control host ended", "peer", string(id), "reason", err.Error())
		select {
		case <-time.After(hostRetryInterval):
		case <-ctx.Done():
		}
	}
}

func (c *Control) followHostOnce(ctx context.Context, id model.HostID, progress *distribute.Progress) error {
	st, err := c.openHostStream(ctx, id, distribute.MethodWatch)
	if err != nil {
		return err
	}
	return distribute.Follow(ctx, nil, c.endpoints, st, distribute.FollowOptions{
		Subtree: c.nodeSubtree, Freshness: &distribute.Freshness{}, Progress: progress, Log: c.log,
	})
}

// openHostStream opens a stream to another control host.
func (c *Control) openHostStream(ctx context.Context, id model.HostID, method string) (peer.Stream, error) {
	h, ok := c.findHost(id)
	if !ok {
		return nil, eris.Wrapf(ErrUnknownHost, "%s", id)
	}
	ctx, cancel := context.WithTimeout(ctx, hostOpenTimeout)
	defer cancel()
	st, err := c.ep.Open(ctx, h.Peer, h.Identity(), method)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", id, err)
	}
	return st, nil
}

// isLeader reports whether this host leads group 0.
func (c *Control) isLeader() bool { return c.configLog.Status().Role == replog.Leader }
