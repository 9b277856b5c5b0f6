package replog

import (
	"time"

	"github.com/rotisserie/eris"
)

// handOver is a leader's attempt to give its place to another voter.
type handOver struct {
	target hostID
	until  time.Time
}

// HandOver lets the voter that is furthest in the log take the place of this
// leader. New proposals are refused until it does, at most for one election
// timeout; entries that are already in the log are accepted before.
func (c *Core) HandOver(now time.Time) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.leader}
	}
	c.handOver = handOver{until: now.Add(c.cfg.ElectionTimeout)}
	best := uint64(0)
	for _, m := range c.Members() {
		p := c.progress[m.Host]
		if m.Voter && p != nil && (c.handOver.target == "" || p.match > best) {
			c.handOver.target, best = m.Host, p.match
		}
	}
	if c.handOver.target == "" {
		return eris.Wrap(ErrMembers, "there is no other voter")
	}
	c.askCampaign()
	return nil
}

// askCampaign asks the target of a hand-over to campaign once nothing is
// pending. It is repeated at each heartbeat, since messages may be lost.
func (c *Core) askCampaign() {
	t := c.handOver.target
	if t == "" {
		return
	}
	if !c.now.Before(c.handOver.until) {
		c.handOver = handOver{}
		return
	}
	p := c.progress[t]
	if p != nil && c.commit == c.log.last() && p.match == c.log.last() {
		c.send(Message{Kind: MsgCampaign, To: t, ToDisk: p.disk})
	}
}

// stepCampaign campaigns at once because the leader asked for it.
func (c *Core) stepCampaign(m Message) {
	if m.Term != c.term || c.role != Follower || c.leader != m.From || !c.isVoter() {
		return
	}
	c.byRequest = true
	c.campaign(Candidate)
	c.byRequest = false
	c.resetElectionDeadline()
}
