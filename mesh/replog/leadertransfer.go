package replog

import (
	"time"

	"github.com/rotisserie/eris"
)

// leaderTransfer is a leader's attempt to transfer its leadership to another
// voter.
type leaderTransfer struct {
	target   hostID
	deadline time.Time
}

// TransferLeadership transfers leadership to the voter with the longest matching
// log. New proposals are refused until the transfer ends, at most for one
// election timeout. Entries that are already in the log are committed first.
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
		return eris.Wrap(ErrMembers, "transfer leadership: there is no other voter")
	}
	c.sendTimeoutNow()
	return nil
}

// sendTimeoutNow asks the target of a leadership transfer to campaign once all
// entries are committed and the target holds them. It is repeated at each
// heartbeat, since messages may be lost.
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

// stepTimeoutNow campaigns at once, without a pre-vote, because the leader
// requested it.
func (c *Core) stepTimeoutNow(m Message) {
	if m.Term != c.term || c.role != Follower || c.leader != m.From || !c.isVoter() {
		return
	}
	c.campaignTransfer = true
	c.campaign(Candidate)
	c.campaignTransfer = false
	c.resetElectionDeadline()
}
