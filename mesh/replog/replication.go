package replog

import (
	"cmp"
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

type hostID = model.HostID

// progress is what a leader knows of one other host.
type progress struct {
	disk DiskID
	// match is the last entry that the host has synced, next the next to send.
	match, next uint64
	// probing: the host's log is unknown, so one message at a time is sent.
	probing bool
	// probeSent: the message of a probing host is on its way.
	probeSent bool
	// lastReply is when the host last answered, round the round that it answered.
	lastReply  time.Time
	ackedRound uint64
	// pendingSnapshot is the index of the snapshot on its way, or 0.
	pendingSnapshot uint64
	chunkOffset     int64
	// chunkSentAt is when the current chunk was sent last.
	chunkSentAt time.Time
	// catchUpEnd and roundStart are the learner's round, see caughtUp.
	catchUpEnd   uint64
	catchUpStart time.Time
}

func (c *Core) newProgress(disk DiskID) *progress {
	return &progress{disk: disk, next: c.log.last() + 1, probing: true, lastReply: c.now}
}

func (c *Core) tickLeader() {
	if !c.quorumActive() {
		// The lease ended: another host may lead by now.
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

// quorumActive reports whether a quorum answered within an election timeout.
func (c *Core) quorumActive() bool {
	since := c.now.Add(-c.cfg.ElectionTimeout)
	return c.countVoters(func(p *progress) bool { return p.lastReply.After(since) }) >= c.Members().quorum()
}

// countVoters counts the voters that satisfy ok; this host, if it is a voter,
// always does.
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

// broadcast starts a round: each host gets a message even if nothing is new.
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

// sendAppends sends the entries that are new to each host.
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

// sendTo sends the next entries, an empty append, or a snapshot chunk.
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
		// The committed part matches in any case; what lies above is sent again.
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

// followLeader notes a sign of life of the leader of the current term.
func (c *Core) followLeader(m Message) {
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.lastLeaderContact = c.now
	c.resetElectionDeadline()
}

// rejectHint returns the last index at which the logs may agree.
func (c *Core) rejectHint(m Message) uint64 {
	i := min(m.Index-1, c.log.last())
	for i > c.commit && c.log.term(i) > m.LogTerm {
		i--
	}
	return i
}

// appendFromLeader appends entries of the leader and replaces those that conflict.
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
			return // of an earlier message
		}
		p.next = max(m.Hint, p.match) + 1
		p.probing, p.probeSent = true, false
		return
	}
	c.advanceMatch(p, m.Index)
}

// recordReply notes a sign of life of a follower in the current term.
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

// advanceCommit commits what a quorum has synced. An entry of an earlier term
// is committed only with one of the current term above it.
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
	c.setCommit(index)
	c.stepDownIfRemoved()
}

// stepDownIfRemoved gives up leadership once the removal of this host is committed.
func (c *Core) stepDownIfRemoved() {
	if c.membersCommitted() && !c.isVoter() {
		c.broadcast() // tells the others the commit index
		c.becomeFollower(c.term, "")
	}
}
