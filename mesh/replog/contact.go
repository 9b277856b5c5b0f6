package replog

import (
	"slices"
	"time"
)

// QuorumContact returns the time of this host's last contact with a quorum of the
// voters, directly on the leader and through the leader on the other hosts. It is
// the zero time if there was none.
func (c *Core) QuorumContact() time.Time {
	if c.role == Leader {
		return c.quorumReplied()
	}
	return c.quorumContact
}

// quorumReplied returns the time since which a quorum, counting this host, has
// replied to the leader.
func (c *Core) quorumReplied() time.Time {
	var replies []time.Time
	for _, m := range c.Members() {
		if !m.Voter {
			continue
		}
		if m.Host == c.cfg.Self {
			replies = append(replies, c.now)
		} else if p := c.progress[m.Host]; p != nil {
			replies = append(replies, p.lastReply)
		}
	}
	needed := c.Members().quorum()
	if len(replies) < needed {
		return time.Time{}
	}
	slices.SortFunc(replies, func(a, b time.Time) int { return b.Compare(a) })
	return replies[needed-1]
}

// recordQuorumContact takes over the leader's contact with the quorum from one of
// its messages.
func (c *Core) recordQuorumContact(m Message) {
	if at := c.now.Add(-max(m.QuorumAge, 0)); at.After(c.quorumContact) {
		c.quorumContact = at
	}
}
