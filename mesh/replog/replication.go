package replog

import (
	"cmp"
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

type hostID = model.HostID

// progress is the leader's view of one other host.
type progress struct {
	disk DiskID
	// match is the last entry that the host is known to have synced, next is the
	// next entry to send.
	match, next uint64
	// probing is set until the position at which the host's log matches is found.
	// Meanwhile, one message at a time is sent.
	probing bool
	// probeSent is set while a probe is unanswered; the next broadcast clears it.
	probeSent bool
	// lastReply is the time of the host's last reply.
	lastReply time.Time
	// ackedRound is the highest broadcast round that the host has acknowledged.
	ackedRound uint64
	// pendingSnapshot is the index of the snapshot that is being sent, or 0.
	pendingSnapshot uint64
	chunkOffset     int64
	// chunkSentAt is the time at which the current chunk was last sent; zero if it
	// must be sent now.
	chunkSentAt time.Time
	// catchUpEnd is the last index of the learner's current catch-up round, see
	// advanceCatchUp.
	catchUpEnd uint64
	// catchUpStart is the time at which the current catch-up round began.
	catchUpStart time.Time
}

func (c *Core) newProgress(disk DiskID) *progress {
	return &progress{disk: disk, next: c.log.last() + 1, probing: true, lastReply: c.now}
}

func (c *Core) tickLeader() {
	if !c.quorumActive() {
		// The leader lease has expired: another host may be the leader.
		c.becomeFollower(c.term, "")
		return
	}
	if c.now.Before(c.nextBroadcast) {
		return
	}
	if c.leaderTransfer.target == "" {
		c.promoteLearner()
	}
	c.sendTimeoutNow()
	c.broadcast()
}

// quorumActive reports whether a quorum of voters replied within an election
// timeout.
func (c *Core) quorumActive() bool {
	since := c.now.Add(-c.cfg.ElectionTimeout)
	return c.countVoters(func(p *progress) bool { return p.lastReply.After(since) }) >= c.Members().quorum()
}

// countVoters counts the voters that satisfy ok. This host always counts if it
// is a voter.
func (c *Core) countVoters(ok func(p *progress) bool) int {
	n := 0
	for _, m := range c.Members() {
		if !m.Voter {
			continue
		}
		if p := c.progress[m.Host]; m.Host == c.cfg.Self || p != nil && ok(p) {
			n++
		}
	}
	return n
}

// broadcast starts a new round: it sends a message to every other host, an empty
// append if there are no new entries.
func (c *Core) broadcast() {
	c.round++
	c.nextBroadcast = c.now.Add(c.cfg.Heartbeat)
	for _, m := range c.Members() {
		if p := c.progress[m.Host]; p != nil {
			p.probeSent = false
			c.sendTo(m.Host, p)
		}
	}
}

// sendAppends sends to each host the entries that it has not been sent yet, up
// to MaxInflight.
func (c *Core) sendAppends() {
	for _, m := range c.Members() {
		p := c.progress[m.Host]
		if p == nil {
			continue
		}
		for p.next <= c.log.last() && !p.probeSent && p.pendingSnapshot == 0 && p.next-p.match <= c.cfg.MaxInflight {
			c.sendTo(m.Host, p)
		}
	}
}

// sendTo sends the next entries, an empty append if there are none, or a
// snapshot chunk if the entries the host needs were compacted.
func (c *Core) sendTo(h hostID, p *progress) {
	if !c.log.holds(p.next - 1) {
		c.sendChunk(h, p)
		return
	}
	p.pendingSnapshot = 0
	m := Message{Kind: MsgAppend, To: h, ToDisk: p.disk, Index: p.next - 1, LogTerm: c.log.term(p.next - 1), Commit: c.commit, Round: c.round}
	if p.next <= c.log.last() && p.next-p.match <= c.cfg.MaxInflight {
		m.Entries = c.log.batch(p.next, c.cfg.MaxBatchBytes)
	}
	if p.probing {
		p.probeSent = true
	} else {
		p.next += uint64(len(m.Entries))
	}
	c.send(m)
}

func (c *Core) stepAppend(m Message) {
	r := Message{Kind: MsgAppendReply, Round: m.Round}
	if m.Term < c.term {
		r.Reject = true
		c.reply(m, r)
		return
	}
	c.followLeader(m)
	if m.Index < c.commit {
		// Entries up to the commit index always match, so only those above it are
		// checked. If the message has none, the reply makes the leader continue after
		// the commit index.
		r.Index = c.commit
		if n := len(m.Entries); n == 0 || m.Entries[n-1].Index <= c.commit {
			c.reply(m, r)
			return
		}
		m.Entries = m.Entries[c.commit-m.Index:]
		m.Index, m.LogTerm = c.commit, c.log.term(c.commit)
	}
	if c.log.term(m.Index) != m.LogTerm || !c.log.holds(m.Index) {
		r.Reject, r.Index, r.Hint = true, m.Index, c.rejectHint(m)
		c.reply(m, r)
		return
	}
	c.appendFromLeader(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	c.leaderCommit = max(c.leaderCommit, min(m.Commit, last))
	r.Index = last
	c.reply(m, r)
}

// followLeader makes this host a follower of the sender, resets the election
// timer and renews the lease.
func (c *Core) followLeader(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.recordQuorumContact(m)
	c.resetElectionDeadline()
}

// rejectHint returns the last index at which this log may match the leader's.
func (c *Core) rejectHint(m Message) uint64 {
	i := min(m.Index-1, c.log.last())
	for i > c.commit && c.log.term(i) > m.LogTerm {
		i--
	}
	return i
}

// appendFromLeader appends the leader's entries and replaces conflicting ones.
func (c *Core) appendFromLeader(entries []Entry) {
	for i, e := range entries {
		if e.Index <= c.log.last() {
			if c.log.term(e.Index) == e.Term {
				continue
			}
			c.truncateMembers(e.Index)
			c.log.truncate(e.Index, c.commit)
		}
		c.log.entries = append(c.log.entries, entries[i:]...)
		for _, e := range entries[i:] {
			if e.Kind == EntryMembers {
				c.appendMembers(e)
			}
		}
		return
	}
}

func (c *Core) stepAppendReply(m Message) {
	p := c.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		if m.Index <= p.match || p.probing && m.Index != p.next-1 {
			return // reply to an earlier message
		}
		p.next = max(m.Hint, p.match) + 1
		p.probing, p.probeSent = true, false
		return
	}
	c.advanceMatch(p, m.Index)
}

// recordReply records a follower's reply and returns the follower's progress. It
// returns nil if the reply is not of the current term or this host does not
// lead.
func (c *Core) recordReply(m Message) *progress {
	if c.role != Leader || m.Term != c.term {
		return nil
	}
	p := c.progress[m.From]
	if p == nil {
		return nil
	}
	p.lastReply = c.now
	p.ackedRound = max(p.ackedRound, m.Round)
	c.confirmReads()
	return p
}

func (c *Core) advanceMatch(p *progress, index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing, p.probeSent = false, false
	if p.pendingSnapshot <= p.match {
		p.pendingSnapshot = 0
	}
	c.advanceCommit()
	if c.role == Leader {
		c.sendTimeoutNow()
	}
}

// advanceCommit commits the entries that a quorum has synced. An entry of an
// earlier term is committed only together with a later entry of the current
// term.
func (c *Core) advanceCommit() {
	var synced []uint64
	for _, m := range c.Members() {
		if !m.Voter {
			continue
		}
		if m.Host == c.cfg.Self {
			synced = append(synced, c.log.stable)
		} else if p := c.progress[m.Host]; p != nil {
			synced = append(synced, p.match)
		}
	}
	needed := c.Members().quorum()
	if len(synced) < needed {
		return
	}
	slices.SortFunc(synced, func(a, b uint64) int { return cmp.Compare(b, a) })
	index := synced[needed-1]
	if index <= c.commit || c.log.term(index) != c.term {
		return
	}
	isFirst := !c.committedInTerm()
	c.setCommit(index)
	if isFirst {
		// Hosts that have started apply nothing, and confirm no position, before they
		// know a commit index; the next heartbeat may be a while away.
		c.broadcast()
	}
	c.stepDownIfRemoved()
}

// stepDownIfRemoved gives up leadership once the removal of this host from the
// voters is committed.
func (c *Core) stepDownIfRemoved() {
	if c.membersCommitted() && !c.isVoter() {
		c.broadcast() // announces the commit index to the other hosts
		c.becomeFollower(c.term, "")
	}
}
