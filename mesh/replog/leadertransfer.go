package replog

import (
	"time"

	"github.com/rotisserie/eris"
)

// leaderTransfer is a leader's attempt to give its place to another voter.
type leaderTransfer struct {
	target   hostID
	deadline time.Time
}

// TransferLeadership lets the voter that is furthest in the log take the place of this
// leader. New proposals are refused until it does, at most for one election
// timeout; entries that are already in the log are accepted before.
func (c *Core) TransferLeadership(now time.Time) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.leader}
	}
	c.leaderTransfer = leaderTransfer{deadline: now.Add(c.cfg.ElectionTimeout)}
	bestMatch := uint64(0)
	for _, m := range c.Members() {
		p := c.progress[m.Host]
		if m.Voter && p != nil && (c.leaderTransfer.target == "" || p.match > bestMatch) {
			c.leaderTransfer.target, bestMatch = m.Host, p.match
		}
	}
	if c.leaderTransfer.target == "" {
		return eris.Wrap(ErrMembers, "there is no other voter")
	}
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the target of a hand-over to campaign once nothing is
// pending. It is repeated at each heartbeat, since messages may be lost.
func (c *Core) sendTimeoutNow() {
	t := c.leaderTransfer.target
	if t == "" {
		return
	}
	if !c.now.Before(c.leaderTransfer.deadline) {
		c.leaderTransfer = leaderTransfer{}
		return
	}
	p := c.progress[t]
	if p != nil && c.commit == c.log.last() && p.match == c.log.last() {
		c.send(Message{Kind: MsgTimeoutNow, To: t, ToDisk: p.disk})
	}
}

// stepTimeoutNow campaigns at once because the leader asked for it.
func (c *Core) stepTimeoutNow(m Message) {
	if m.Term != c.term || c.role != Follower || c.leader != m.From || !c.isVoter() {
		return
	}
	c.campaignTransfer = true
	c.campaign(Candidate)
	c.campaignTransfer = false
	c.resetElectionDeadline()
}
