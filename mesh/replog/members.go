package replog

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Find returns the member for a host.
func (ms Members) Find(h model.HostID) (Member, bool) {
	for _, m := range ms {
		if m.Host == h {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voters.
func (ms Members) Voters() int {
	n := 0
	for _, m := range ms {
		if m.Voter {
			n++
		}
	}
	return n
}

// disksKnown reports whether the disk of every voter is known.
func (ms Members) disksKnown() bool {
	for _, m := range ms {
		if m.Voter && m.Disk == "" {
			return false
		}
	}
	return true
}

// quorum is a majority of the voters, or all of them before the group is
// formed. As long as the disks are not pinned, a host that lost its disk looks
// like the original one; requiring all voters keeps two such groups apart.
func (ms Members) quorum() int {
	if !ms.disksKnown() {
		return ms.Voters()
	}
	return ms.Voters()/2 + 1
}

// with returns a copy in which m replaces the member of the same host.
func (ms Members) with(m Member) Members {
	out := append(ms.without(m.Host), m)
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

func (ms Members) without(h model.HostID) Members {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Host == h })
}

// initialMembers are the voters that the settings name; their disks are unknown.
func initialMembers(voters []model.HostID) Members {
	var ms Members
	for _, h := range voters {
		ms = ms.with(Member{Host: h, Voter: true})
	}
	return ms
}

// membersAt is a configuration of hosts and the index of its entry.
type membersAt struct {
	index   uint64
	members Members
}

// AddHost proposes a host with its disk as a learner. The leader makes it a
// voter once it is caught up. If the host is a member with another disk, that
// old identity is removed in the same change; one with another address keeps its
// vote.
func (c *Core) AddHost(m Member) error {
	if m.Disk == "" {
		return eris.Wrapf(ErrMembers, "the disk of %s is not named", m.Host)
	}
	ms := c.Members()
	m.Voter = false
	if known, ok := ms.Find(m.Host); ok && known.Disk == m.Disk {
		if m.Address == "" || known.Address == m.Address {
			return nil
		}
		m.Voter = known.Voter
	}
	next := ms.with(m)
	if next.Voters() == 0 {
		return eris.Wrapf(ErrMembers, "%s is the last voter", m.Host)
	}
	return c.proposeMembers(next)
}

// RemoveHost proposes the members without host.
func (c *Core) RemoveHost(host model.HostID) error {
	ms := c.Members()
	if _, ok := ms.Find(host); !ok {
		return nil
	}
	next := ms.without(host)
	if next.Voters() == 0 {
		return eris.Wrapf(ErrMembers, "%s is the last voter", host)
	}
	return c.proposeMembers(next)
}

// proposeMembers appends a change of hosts. One change at a time, and only
// after an entry of the own term was committed: otherwise the quorums of two
// changes from different terms need not overlap.
func (c *Core) proposeMembers(next Members) error {
	switch {
	case c.role != Leader:
		return ErrNotLeader{Leader: c.leader}
	case !c.membersCommitted() || c.leaderTransfer.target != "":
		return eris.Wrap(ErrMembers, "another change is in progress")
	case !c.committedInTerm():
		return eris.Wrap(ErrMembers, "the leader has not committed an entry of its term yet")
	}
	c.appendAsLeader(Entry{Kind: EntryMembers, Members: next})
	return nil
}

// Members returns the hosts in force: those of the last members entry, whether
// or not it is committed.
func (c *Core) Members() Members { return c.membersHistory[len(c.membersHistory)-1].members }

func (c *Core) membersCommitted() bool {
	return c.membersHistory[len(c.membersHistory)-1].index <= c.commit
}

func (c *Core) committedInTerm() bool { return c.log.term(c.commit) == c.term }

func (c *Core) isVoter() bool { return c.isVoterIn(c.Members()) }

// isVoterIn reports whether this host, with its disk, is a voter of ms.
func (c *Core) isVoterIn(ms Members) bool {
	m, ok := ms.Find(c.cfg.Self)
	return ok && m.Voter && (m.Disk == "" || m.Disk == c.cfg.Disk)
}

// mayCampaign reports whether this host is a voter, or was one before a change
// that is not known to be accepted: the host that proposed its own removal may
// be the only one that holds the entry, and then the others cannot win.
func (c *Core) mayCampaign() bool {
	if c.isVoter() {
		return true
	}
	n := len(c.membersHistory)
	return n > 1 && !c.membersCommitted() && c.isVoterIn(c.membersHistory[n-2].members)
}

// membersAtIndex returns the hosts in force at an index of the log.
func (c *Core) membersAtIndex(index uint64) Members {
	for i := len(c.membersHistory) - 1; i > 0; i-- {
		if c.membersHistory[i].index <= index {
			return c.membersHistory[i].members
		}
	}
	return c.membersHistory[0].members
}

// appendMembers puts the members of an appended entry in force.
func (c *Core) appendMembers(e Entry) {
	c.membersHistory = append(c.membersHistory, membersAt{index: e.Index, members: e.Members})
	c.reconcileProgress()
}

// truncateMembers takes back the members of entries from index on.
func (c *Core) truncateMembers(index uint64) {
	n := len(c.membersHistory)
	for len(c.membersHistory) > 1 && c.membersHistory[len(c.membersHistory)-1].index >= index {
		c.membersHistory = c.membersHistory[:len(c.membersHistory)-1]
	}
	if len(c.membersHistory) != n {
		c.reconcileProgress()
	}
}

// reconcileProgress fits the leader's progress records to the members in force.
func (c *Core) reconcileProgress() {
	if c.role != Leader {
		return
	}
	ms := c.Members()
	for h, p := range c.progress {
		if m, ok := ms.Find(h); !ok || m.Disk != p.disk && p.disk != "" {
			delete(c.progress, h)
		}
	}
	for _, m := range ms {
		if _, ok := c.progress[m.Host]; !ok && m.Host != c.cfg.Self {
			c.progress[m.Host] = c.newProgress(m.Disk)
		}
	}
}

// recordDisks appends the members with the disks that voted for this leader. It
// forms the group: from here on a majority decides.
func (c *Core) recordDisks() {
	ms := c.Members()
	if ms.disksKnown() {
		return
	}
	next := slices.Clone(ms)
	for i, m := range next {
		switch {
		case m.Disk != "":
		case m.Host == c.cfg.Self:
			next[i].Disk = c.cfg.Disk
		default:
			next[i].Disk = c.votes[m.Host].disk
		}
	}
	for h, p := range c.progress {
		p.disk = c.votes[h].disk
	}
	c.appendAsLeader(Entry{Kind: EntryMembers, Members: next})
}

// promoteLearner makes a learner a voter once its synced log reached the end
// of the log within one election timeout.
func (c *Core) promoteLearner() {
	if !c.membersCommitted() || !c.committedInTerm() {
		return
	}
	for _, m := range c.Members() {
		p := c.progress[m.Host]
		if m.Voter || p == nil || !c.advanceCatchUp(p) {
			continue
		}
		m.Voter = true
		c.appendAsLeader(Entry{Kind: EntryMembers, Members: c.Members().with(m)})
		return
	}
}

// advanceCatchUp advances the learner's rounds. A round is the replication of all
// entries that existed at its start; the learner is caught up if a round took
// less than an election timeout.
func (c *Core) advanceCatchUp(p *progress) bool {
	if p.match < p.catchUpEnd {
		return false
	}
	fast := p.catchUpEnd > 0 && c.now.Sub(p.catchUpStart) <= c.cfg.ElectionTimeout
	p.catchUpEnd, p.catchUpStart = c.log.last(), c.now
	return fast
}
