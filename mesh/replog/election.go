package replog

// campaign requests votes from the other voters. A pre-candidate asks whether it
// could win an election before it raises its term, so that a host returning from
// a partition does not disrupt the group.
func (c *Core) campaign(role Role) {
	c.role, c.leader = role, ""
	kind, term := MsgPreVote, c.term+1
	if role == Candidate {
		if c.probing {
			c.probing = false
			c.resetElectionDeadline() // the votes take longer than the interval of probes
		}
		kind = MsgVote
		c.term++
		c.vote = c.cfg.Self
	}
	c.votes = map[hostID]voteReply{c.cfg.Self: {granted: true, disk: c.cfg.Disk}}
	for _, m := range c.Members() {
		if m.Voter && m.Host != c.cfg.Self {
			c.send(Message{Kind: kind, To: m.Host, ToDisk: m.Disk, Term: term,
				Index: c.log.last(), LogTerm: c.log.lastTerm(), LeaderTransfer: c.campaignTransfer})
		}
	}
	c.countVotes()
}

func (c *Core) stepVote(m Message) {
	if m.ToDisk == "" && !c.cfg.Founder {
		return // asks a founder, whose disk is lost
	}
	pre := m.Kind == MsgPreVote
	r := Message{Kind: MsgVoteReply}
	grant := c.log.upToDate(m.Index, m.LogTerm) && m.Term >= c.term
	if pre {
		r.Kind = MsgPreVoteReply
		grant = grant && m.Term > c.term && !c.leaderAlive()
	} else {
		grant = grant && (c.vote == "" || c.vote == m.From)
	}
	r.Reject = !grant
	if grant && pre {
		r.Term = m.Term
		c.yieldProbe(m)
	}
	if grant && !pre {
		c.probing = false
		c.vote, c.role, c.votes = m.From, Follower, nil
		c.resetElectionDeadline()
	}
	c.reply(m, r)
}

// yieldProbe lets the sender of a pre-vote win while hosts that have started together all
// ask for pre-votes. Of two that ask at the same time the one with the lower ID goes on,
// because two candidates could split the votes of a quorum.
func (c *Core) yieldProbe(m Message) {
	if !c.probing || c.role == PreCandidate && m.From > c.cfg.Self && m.Index == c.log.last() && m.LogTerm == c.log.lastTerm() {
		return
	}
	c.role, c.votes = Follower, nil
	c.resetElectionDeadline()
}

func (c *Core) stepVoteReply(m Message) {
	switch {
	case m.Kind == MsgPreVoteReply && c.role != PreCandidate,
		m.Kind == MsgVoteReply && c.role != Candidate:
		return
	case m.Kind == MsgPreVoteReply && !m.Reject && m.Term != c.term+1,
		m.Kind == MsgVoteReply && m.Term != c.term:
		return // reply to an earlier campaign
	}
	if m.Reject && c.probing {
		// The sender knows a leader or more entries.
		c.probing, c.role, c.votes = false, Follower, nil
		c.resetElectionDeadline()
		return
	}
	c.votes[m.From] = voteReply{granted: !m.Reject, disk: m.FromDisk}
	c.countVotes()
}

func (c *Core) countVotes() {
	granted := 0
	for _, m := range c.Members() {
		if m.Voter && c.votes[m.Host].granted {
			granted++
		}
	}
	if granted < c.electionQuorum() {
		return
	}
	if c.role == PreCandidate {
		c.campaign(Candidate)
		return
	}
	c.becomeLeader()
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.noLeaderSinceStart = Leader, c.cfg.Self, false
	c.progress = map[hostID]*progress{}
	c.uncommittedBytes = 0
	for _, e := range c.log.slice(c.commit+1, c.log.last()) {
		c.uncommittedBytes += e.size()
	}
	for _, m := range c.Members() {
		if m.Host != c.cfg.Self {
			c.progress[m.Host] = c.newProgress(m.Disk)
		}
	}
	if c.Members().Formed() {
		// Entries of earlier terms are committed only together with a later entry of
		// the current term.
		c.appendAsLeader(Entry{Kind: EntryNoop})
	} else {
		c.recordDisks()
	}
	c.broadcast()
}
