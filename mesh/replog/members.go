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

// Formed reports whether the group is bootstrapped: its first leader records the disks of the
// voters that have elected it.
func (ms Members) Formed() bool {
	return !slices.ContainsFunc(ms, func(m Member) bool { return m.Voter }) ||
		slices.ContainsFunc(ms, func(m Member) bool { return m.Voter && m.Disk != "" })
}

// quorum returns the number of voters in a majority, or in all if the group is
// not bootstrapped yet. Before the disks are recorded, a host that lost its disk
// cannot be told apart from the original one; requiring all voters prevents
// bootstrapping two groups from the same hosts.
func (ms Members) quorum() int {
	if !ms.Formed() {
		return ms.Voters()
	}
	return ms.Voters()/2 + 1
}

// foundingElectionTimeouts is how long, in election timeouts, the founders of a first start
// wait for all of them. A host that comes later joins the group, which costs a few entries.
const foundingElectionTimeouts = 2

// electionQuorum returns the number of votes that elect a leader. At a first start, a host
// that lost its disk comes back without its settings as a founder and refuses to vote as one,
// so that any two majorities of founders have a voter in common that kept its disk.
func (c *Core) electionQuorum() int {
	ms := c.Members()
	if c.cfg.FirstStart && !ms.Formed() && !c.now.Before(c.majorityForms) {
		return ms.Voters()/2 + 1
	}
	return ms.quorum()
}

// with returns a copy in which m replaces the member with the same host, or is
// added.
func (ms Members) with(m Member) Members {
	out := append(ms.without(m.Host), m)
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// without returns a copy that lacks the member for h.
func (ms Members) without(h model.HostID) Members {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.Host == h })
}

// initialMembers returns the members of a group that is not bootstrapped yet:
// the voters that the settings name, with unknown disks.
func initialMembers(voters []model.HostID) Members {
	var ms Members
	for _, h := range voters {
		ms = ms.with(Member{Host: h, Voter: true})
	}
	return ms
}

// membersAt is a set of members and the index of the log entry that put it in
// force.
type membersAt struct {
	index   uint64
	members Members
}

// AddHost proposes a host with its disk as a learner. The leader promotes it to
// a voter once it has caught up. If the host is a member with another disk, the
// same change removes that old identity. If only the address differs, the host
// keeps its vote. So does a founder whose disk was not known until now, which it states
// by Voter: its vote has always been that of this disk.
func (c *Core) AddHost(m Member) error {
	if m.Disk == "" {
		return eris.Wrapf(ErrMembers, "add host %s: no disk id given", m.Host)
	}
	ms := c.Members()
	isFounder := m.Voter
	m.Voter = false
	switch known, ok := ms.Find(m.Host); {
	case ok && known.Disk == m.Disk:
		if m.Address == "" || known.Address == m.Address {
			return nil
		}
		m.Voter = known.Voter
	case ok && known.Disk == "":
		m.Voter = known.Voter && isFounder
	}
	next := ms.with(m)
	if next.Voters() == 0 {
		return eris.Wrapf(ErrMembers, "add host %s: no voter would remain", m.Host)
	}
	return c.proposeMembers(next)
}

// RemoveHost proposes the removal of host from the members.
func (c *Core) RemoveHost(host model.HostID) error {
	ms := c.Members()
	if _, ok := ms.Find(host); !ok {
		return nil
	}
	next := ms.without(host)
	if next.Voters() == 0 {
		return eris.Wrapf(ErrMembers, "remove host %s: no voter would remain", host)
	}
	return c.proposeMembers(next)
}

// proposeMembers appends a membership change. Only one change may be in
// progress, and only after an entry of the current term was committed: otherwise
// the quorums of two changes from different terms need not overlap.
func (c *Core) proposeMembers(next Members) error {
	switch {
	case c.role != Leader:
		return ErrNotLeader{Leader: c.leader}
	case !c.membersCommitted() || c.leaderTransfer.target != "":
		return eris.Wrap(ErrMembers, "another membership change or a leadership transfer is in progress")
	case !c.committedInTerm():
		return eris.Wrap(ErrMembers, "the leader has not committed an entry of its term yet")
	}
	c.appendAsLeader(Entry{Kind: EntryMembers, Members: next})
	return nil
}

// Members returns the members in force: those of the last members entry,
// committed or not.
func (c *Core) Members() Members { return c.membersHistory[len(c.membersHistory)-1].members }

func (c *Core) membersCommitted() bool {
	return c.membersHistory[len(c.membersHistory)-1].index <= c.commit
}

func (c *Core) committedInTerm() bool { return c.log.term(c.commit) == c.term }

func (c *Core) isVoter() bool { return c.isVoterIn(c.Members()) }

// isVoterIn reports whether this host, with its current disk, is a voter in ms.
func (c *Core) isVoterIn(ms Members) bool {
	m, ok := ms.Find(c.cfg.Self)
	return ok && m.Voter && (m.Disk == c.cfg.Disk || m.Disk == "" && c.cfg.Founder)
}

// mayCampaign reports whether this host is a voter, or was one before a
// membership change that is not known to be committed. A host that proposed its
// own removal may be the only one that holds the entry, and the other hosts
// cannot win an election without it.
func (c *Core) mayCampaign() bool {
	if c.isVoter() {
		return true
	}
	n := len(c.membersHistory)
	return n > 1 && !c.membersCommitted() && c.isVoterIn(c.membersHistory[n-2].members)
}

// membersAtIndex returns the members in force at a log index.
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

// truncateMembers reverts to the members before the entries from index on.
func (c *Core) truncateMembers(index uint64) {
	n := len(c.membersHistory)
	for len(c.membersHistory) > 1 && c.membersHistory[len(c.membersHistory)-1].index >= index {
		c.membersHistory = c.membersHistory[:len(c.membersHistory)-1]
	}
	if len(c.membersHistory) != n {
		c.reconcileProgress()
	}
}

// reconcileProgress adds and removes the leader's progress records to match the
// members in force.
func (c *Core) reconcileProgress() {
	if c.role != Leader {
		return
	}
	ms := c.Members()
	for h, p := range c.progress {
		if m, ok := ms.Find(h); !ok || m.Disk != p.disk {
			delete(c.progress, h) // what it has acknowledged may be on another disk
		}
	}
	for _, m := range ms {
		if _, ok := c.progress[m.Host]; !ok && m.Host != c.cfg.Self {
			c.progress[m.Host] = c.newProgress(m.Disk)
		}
	}
}

// recordDisks bootstraps the group: it appends the members with the disks that
// voted for this leader. From this entry on, a majority is a quorum. The disk of a voter
// that has not voted stays unknown; it joins by AddHost, or is removed.
func (c *Core) recordDisks() {
	ms := c.Members()
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

// promoteLearner makes a learner a voter once it has caught up, if MayVote allows
// it. At most one learner is promoted per call.
func (c *Core) promoteLearner() {
	if !c.membersCommitted() || !c.committedInTerm() {
		return
	}
	for _, m := range c.Members() {
		p := c.progress[m.Host]
		if m.Voter || p == nil || !c.advanceCatchUp(p) {
			continue
		}
		if c.cfg.MayVote != nil && !c.cfg.MayVote(m, c.Members()) {
			continue
		}
		m.Voter = true
		c.appendAsLeader(Entry{Kind: EntryMembers, Members: c.Members().with(m)})
		return
	}
}

// advanceCatchUp advances the learner's catch-up rounds and reports whether the
// learner has caught up. A round is the replication of all entries that existed
// when the round began. A learner has caught up if a round took at most an
// election timeout.
func (c *Core) advanceCatchUp(p *progress) bool {
	if p.match < p.catchUpEnd {
		return false
	}
	fast := p.catchUpEnd > 0 && c.now.Sub(p.catchUpStart) <= c.cfg.ElectionTimeout
	p.catchUpEnd, p.catchUpStart = c.log.last(), c.now
	return fast
}
