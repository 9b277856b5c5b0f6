package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
)

// registerHostMethods registers the peer methods that only control hosts may
// call.
func (c *Control) registerHostMethods() {
	peer.HandleCall(c.ep, methodSubmit, onlyControl, c.handleSubmit)
	peer.HandleCall(c.ep, methodStatus, onlyControl, c.handleStatus)
	peer.HandleCall(c.ep, methodConfirm, onlyControl, c.handleConfirm)
	peer.HandleCall(c.ep, methodNodes, onlyControl, c.handleNodes)
	peer.HandleCall(c.ep, methodDisk, onlyControl, c.handleDisk)
	peer.HandleCall(c.ep, methodMember, onlyControl, c.handleMember)
	if c.cfg.AutoJoin {
		peer.HandleCall(c.ep, methodJoin, onlyControl, c.handleJoin)
	}
}

// handleDisk returns the disk identity of this host in a group.
func (c *Control) handleDisk(_ context.Context, _ peer.Identity, req diskRequest) (diskReply, error) {
	l := c.transport.allLogs()[req.Group]
	if l == nil {
		return diskReply{}, eris.Wrapf(ErrForbidden, "no group %d", req.Group)
	}
	return diskReply{Disk: l.Status().Disk}, nil
}

// handleMember changes the members of a group, or records an address, if this
// host leads the group.
func (c *Control) handleMember(ctx context.Context, _ peer.Identity, req memberRequest) (memberReply, error) {
	l := c.transport.allLogs()[req.Group]
	if l == nil {
		return memberReply{}, eris.Wrapf(ErrForbidden, "no group %d", req.Group)
	}
	var err error
	switch {
	case req.Address != nil:
		err = c.recordAddress(ctx, *req.Address)
	case req.Remove:
		err = l.RemoveHost(ctx, req.Host)
	default:
		err = l.AddHost(ctx, replog.Member{Host: req.Host, Disk: req.Disk})
	}
	if err == nil {
		return memberReply{Done: true}, nil
	}
	if leader, not := notLeader(err); not {
		return memberReply{NotLeader: true, Leader: leader}, nil
	}
	return memberReply{Error: err.Error()}, nil
}

const (
	// memberChangeTimeout bounds the addition or removal of a control host in
	// all groups.
	memberChangeTimeout = 30 * time.Second
	// memberChangeRetryInterval is the wait between two attempts to change the
	// members of a group.
	memberChangeRetryInterval = 200 * time.Millisecond
	// hostCallTimeout bounds one call to another control host with
	// Control.call.
	hostCallTimeout = time.Second
)

// addHost records the address of a control host and adds the host to every
// group. It can be repeated after any error.
func (c *Control) addHost(ctx context.Context, h HostAddress) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	if err := c.changeMember(ctx, memberRequest{Group: configGroup, Host: h.Host, Address: &h}); err != nil {
		return err
	}
	for group := range c.transport.allLogs() {
		var d diskReply
		if err := c.call(ctx, h, methodDisk, diskRequest{Group: group}, &d); err != nil {
			return eris.Wrapf(ErrUnreachable, "disk of %s: %v", h.Host, err)
		}
		if err := c.changeMember(ctx, memberRequest{Group: group, Host: h.Host, Disk: d.Disk}); err != nil {
			return err
		}
	}
	c.log.Info("control host added", "host", string(h.Host), "address", h.Peer)
	return nil
}

// recordAddress records the address of a control host if this host leads group 0.
func (c *Control) recordAddress(ctx context.Context, h HostAddress) error {
	data, err := encodeCommand(command{Host: &h})
	if err != nil {
		return err
	}
	_, err = c.configLog.Propose(ctx, data)
	return err
}

// removeHost removes a control host from every group.
func (c *Control) removeHost(ctx context.Context, host model.HostID) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	for group := range c.transport.allLogs() {
		if err := c.changeMember(ctx, memberRequest{Group: group, Host: host, Remove: true}); err != nil {
			return err
		}
	}
	c.log.Info("control host removed", "host", string(host))
	return nil
}

// changeMember sends the request to the leader of the group until the leader
// has made the change or ctx ends.
func (c *Control) changeMember(ctx context.Context, req memberRequest) error {
	reason := "no leader is known"
	for ctx.Err() == nil {
		l := c.transport.allLogs()[req.Group]
		st := l.Status()
		reply, err := c.requestMemberChange(ctx, st, req)
		switch {
		case err != nil:
			reason = err.Error()
		case reply.Done:
			return nil
		case reply.Error != "":
			reason = reply.Error
		}
		sleep(ctx, memberChangeRetryInterval)
	}
	return eris.Wrapf(ErrNoLeader, "group %d, host %s: %s", req.Group, req.Host, reason)
}

// requestMemberChange sends the request once to the leader in st, which may be
// this host.
func (c *Control) requestMemberChange(ctx context.Context, st replog.Status, req memberRequest) (memberReply, error) {
	if st.Leader == c.cfg.Host {
		return c.handleMember(ctx, peer.Identity{}, req)
	}
	leader, ok := c.findHost(st.Leader)
	if !ok {
		return memberReply{}, eris.Wrapf(ErrUnknownHost, "leader %q", st.Leader)
	}
	var reply memberReply
	err := c.ep.Call(ctx, leader.Peer, leader.Identity(), methodMember, req, &reply)
	return reply, err
}

// call calls a method of another control host with hostCallTimeout.
func (c *Control) call(ctx context.Context, h HostAddress, method string, req, resp any) error {
	ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
	defer cancel()
	return c.ep.Call(ctx, h.Peer, h.Identity(), method, req, resp)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
