package control

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
)

// The times of automatic changes of members.
const (
	// joinInterval is how often a host that is not a member asks to be added. It is
	// short against the time that a replaced host has before the next loss.
	joinInterval = 300 * time.Millisecond
	// joinElectionTimeouts is the silence of a leader, in election times, after which a
	// member asks too: it may have been removed while it was away.
	joinElectionTimeouts = 3
	// voterResponseTimeout is the silence after which a voter that is not needed is
	// removed. It is above the pauses that a busy host makes.
	voterResponseTimeout = 2 * time.Second
)

// keepMembership sees to it that this host's disk is a member of every group.
func (c *Control) keepMembership(ctx context.Context) error {
	tick := time.NewTicker(joinInterval)
	defer tick.Stop()
	leaderLastKnown := time.Now()
	for {
		select {
		case now := <-tick.C:
			st := c.configLog.Status()
			if st.Leader != "" {
				leaderLastKnown = now
			}
			if !isMember(st) || now.Sub(leaderLastKnown) > joinElectionTimeouts*c.cfg.Timeouts.Election || st.Leader != "" && !c.isAddressRecorded(st) {
				c.requestJoin(ctx)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// isMember reports whether the host, with its present disk, is a member or one
// of the hosts that form the group.
func isMember(st replog.Status) bool {
	m, ok := st.Members.Find(st.Self)
	return ok && (m.Disk == "" || m.Disk == st.Disk)
}

// isAddressRecorded reports whether the address of this host stands among the members
// and in the replicated list.
func (c *Control) isAddressRecorded(st replog.Status) bool {
	m, _ := st.Members.Find(st.Self)
	h, _ := c.machine.Host(c.cfg.Host)
	return h == c.address() && m.Address == h.Peer
}

// address is how other control hosts reach this one.
func (c *Control) address() HostAddress {
	return HostAddress{Host: c.cfg.Host, DataCentre: c.cfg.DataCentre, Peer: c.ep.Addr().String()}
}

// requestJoin asks the control hosts that are known here, until one has the leader add this host.
func (c *Control) requestJoin(ctx context.Context) {
	req := joinRequest{Address: c.address(), Disks: map[uint32]replog.DiskID{}}
	for group, l := range c.transport.allLogs() {
		req.Disks[group] = l.Status().Disk
	}
	if c.isLeader() {
		if _, err := c.handleJoin(ctx, peer.Identity{Host: c.cfg.Host}, req); err != nil {
			c.log.Warn("own address not recorded", "reason", err.Error())
		}
		return
	}
	asked := map[model.HostID]bool{c.cfg.Host: true}
	targets := c.joinTargets()
	for len(targets) > 0 && ctx.Err() == nil {
		h := targets[0]
		targets = targets[1:]
		if asked[h.Host] {
			continue
		}
		asked[h.Host] = true
		var reply memberReply
		if err := c.call(ctx, h, methodJoin, req, &reply); err != nil {
			c.log.Info("not joined", "peer", string(h.Host), "reason", err.Error())
			continue
		}
		c.learned.add(reply.Hosts)
		switch {
		case reply.Done:
			c.log.Info("joining the control group", "by", string(h.Host), "disk", string(req.Disks[configGroup]))
			return
		case reply.LeaderAddress != nil:
			targets = slices.Insert(targets, 0, *reply.LeaderAddress)
		}
	}
}

// joinTargets lists the control hosts of the replicated state and of the settings.
func (c *Control) joinTargets() []HostAddress {
	out := c.otherHosts()
	for _, h := range c.cfg.ControlHosts {
		if h.Host != c.cfg.Host {
			out = append(out, addressOf(h))
		}
	}
	return out
}

// handleJoin adds the asking host to every group if this host leads them, and
// otherwise names the leader.
func (c *Control) handleJoin(ctx context.Context, from peer.Identity, req joinRequest) (memberReply, error) {
	if from.Host != req.Address.Host {
		return memberReply{}, eris.Wrapf(ErrForbidden, "%s asks for %s", from, req.Address.Host)
	}
	if !c.isLeader() {
		reply := memberReply{NotLeader: true, Leader: c.configLog.Status().Leader, Hosts: c.knownHosts()}
		if h, ok := c.findHost(reply.Leader); ok {
			reply.LeaderAddress = &h
		}
		return reply, nil
	}
	if known, ok := c.machine.Host(req.Address.Host); !ok || known != req.Address {
		if err := c.recordAddress(ctx, req.Address); err != nil {
			return memberReply{}, eris.Wrapf(ErrNoLeader, "address not recorded: %v", err)
		}
	}
	for group, disk := range req.Disks {
		l := c.transport.allLogs()[group]
		if l == nil {
			return memberReply{}, eris.Wrapf(ErrForbidden, "no group %d", group)
		}
		if err := l.BeginAddHost(ctx, replog.Member{Host: req.Address.Host, Disk: disk, Address: req.Address.Peer}); err != nil {
			return memberReply{}, eris.Wrapf(ErrNoLeader, "group %d: %v", group, err)
		}
	}
	c.log.Info("control host added on its own request", "host", string(req.Address.Host), "address", req.Address.Peer,
		"disk", string(req.Disks[configGroup]))
	return memberReply{Done: true, Hosts: c.knownHosts()}, nil
}

// knownHosts lists the members of group 0 with their addresses, this host among them.
func (c *Control) knownHosts() []HostAddress { return append(c.otherHosts(), c.address()) }

// voterPruner removes voters that are silent and not needed. It belongs to the
// leader's decision loop and starts anew with each term.
type voterPruner struct {
	// lastResponse is when each voter last answered.
	lastResponse map[model.HostID]time.Time
}

// voterToRemove returns a voter to remove: the longest silent one, if enough others are heard.
func (p *voterPruner) voterToRemove(now time.Time, self model.HostID, members replog.Members, lastReply func(model.HostID) time.Time, target int) (model.HostID, bool) {
	if p.lastResponse == nil {
		p.lastResponse = map[model.HostID]time.Time{}
	}
	var unresponsive model.HostID
	live := 0
	for _, m := range members {
		if !m.Voter {
			continue
		}
		if m.Host == self {
			live++
			continue
		}
		if _, known := p.lastResponse[m.Host]; !known {
			p.lastResponse[m.Host] = now // silence counts from the begin of the term
		}
		if at := lastReply(m.Host); at.After(p.lastResponse[m.Host]) {
			p.lastResponse[m.Host] = at
		}
		if now.Sub(p.lastResponse[m.Host]) < voterResponseTimeout {
			live++
			continue
		}
		if unresponsive == "" || p.lastResponse[m.Host].Before(p.lastResponse[unresponsive]) {
			unresponsive = m.Host
		}
	}
	return unresponsive, unresponsive != "" && live >= target
}
