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

// Timing of automatic membership changes.
const (
	// joinInterval is how often a host that is not a member asks to be added.
	// It is short, so that a replacement becomes a member before the next host
	// fails.
	joinInterval = 300 * time.Millisecond
	// joinWait is how long the leader lets a host wait for the changes before its own.
	// It is shorter than hostCallTimeout, so that the host gets an answer.
	joinWait = 800 * time.Millisecond
	// joinElectionTimeouts is the number of election timeouts without a known
	// leader after which a member asks to be added too: the group may have
	// removed it while it was disconnected.
	joinElectionTimeouts = 3
	// voterResponseTimeout is the time without a reply after which the leader
	// removes a voter that is not needed. It exceeds the pauses of a busy host.
	voterResponseTimeout = 2 * time.Second
)

// keepMembership asks to be added to every group when this host is not a member
// of group 0 with its current disk, when its recorded address is outdated, or
// when no leader is known for joinElectionTimeouts.
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

// isMember reports whether this host is a member with its current disk. A founding voter
// counts as one until the group is formed; if the others have formed it without this host,
// it asks to join.
func isMember(st replog.Status) bool {
	m, ok := st.Members.Find(st.Self)
	return ok && (m.Disk == st.Disk || m.Disk == "" && !st.Members.Formed())
}

// isAddressRecorded reports whether both the member list and the replicated
// addresses hold the current address of this host.
func (c *Control) isAddressRecorded(st replog.Status) bool {
	m, _ := st.Members.Find(st.Self)
	h, _ := c.machine.Host(c.cfg.Host)
	return h == c.address() && m.Address == h.Peer
}

// address returns the address at which other control hosts reach this host.
func (c *Control) address() HostAddress {
	return HostAddress{Host: c.cfg.Host, DataCentre: c.cfg.DataCentre, Peer: c.ep.Addr().String()}
}

// requestJoin asks the known control hosts one after another to add this host,
// until the leader accepts. When a reply names the address of the leader, the
// leader is asked next.
func (c *Control) requestJoin(ctx context.Context) {
	req := joinRequest{Address: c.address(), Disks: map[uint32]replog.DiskID{}, Founder: map[uint32]bool{}}
	for group, l := range c.transport.allLogs() {
		st := l.Status()
		req.Disks[group], req.Founder[group] = st.Disk, st.Founder
	}
	if c.isLeader() {
		if _, err := c.handleJoin(ctx, peer.Identity{Host: c.cfg.Host}, req); err != nil {
			c.log.Warn("recording the address of this host failed", "reason", err.Error())
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
			c.log.Info("join request to control host failed", "peer", string(h.Host), "reason", err.Error())
			continue
		}
		c.learned.add(reply.Hosts)
		switch {
		case reply.Done:
			c.log.Info("leader accepted the join request of this host", "by", string(h.Host), "disk", string(req.Disks[configGroup]))
			return
		case reply.LeaderAddress != nil:
			targets = slices.Insert(targets, 0, *reply.LeaderAddress)
		}
	}
}

// joinTargets returns the other members of group 0, followed by the other
// control hosts of the settings.
func (c *Control) joinTargets() []HostAddress {
	out := c.otherHosts()
	for _, h := range c.cfg.ControlHosts {
		if h.Host != c.cfg.Host {
			out = append(out, addressOf(h))
		}
	}
	return out
}

// handleJoin starts to add the requesting host to every group if this host
// leads group 0. Otherwise it returns the leader.
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
	ctx, cancel := context.WithTimeout(ctx, joinWait)
	defer cancel()
	for group, disk := range req.Disks {
		l := c.transport.allLogs()[group]
		if l == nil {
			return memberReply{}, eris.Wrapf(ErrForbidden, "no group %d", group)
		}
		if err := l.BeginAddHost(ctx, replog.Member{Host: req.Address.Host, Disk: disk, Voter: req.Founder[group], Address: req.Address.Peer}); err != nil {
			return memberReply{}, eris.Wrapf(ErrNoLeader, "group %d: %v", group, err)
		}
	}
	c.log.Info("adding control host at its own request", "host", string(req.Address.Host), "address", req.Address.Peer,
		"disk", string(req.Disks[configGroup]))
	return memberReply{Done: true, Hosts: c.knownHosts()}, nil
}

// knownHosts returns the members of group 0 with their addresses, including
// this host.
func (c *Control) knownHosts() []HostAddress { return append(c.otherHosts(), c.address()) }

// voterPruner selects unresponsive voters that are not needed. It is used by
// the decision loop of the leader and created anew for each term.
type voterPruner struct {
	// lastResponse is when each voter last replied, or when it was first
	// checked if it has not replied in this term.
	lastResponse map[model.HostID]time.Time
}

// voterToRemove returns the voter whose last reply is the oldest among the
// unresponsive ones, and whether to remove it: at least target voters,
// including this host, must be responsive.
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
			p.lastResponse[m.Host] = now // the timeout starts at the first check in the term
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
