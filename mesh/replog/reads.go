package replog

import "time"

// readRequest is a pending confirmation of leadership.
type readRequest struct {
	id    uint64
	index uint64
	// round must be answered by a quorum.
	round uint64
}

// ReadResult answers a ConfirmLeader.
type ReadResult struct {
	ID uint64
	// Index is the commit index when the call began.
	Index uint64
	Err   error
}

// ConfirmLeader starts a confirmation that this host still leads; Ready brings
// the result under id. The index covers everything accepted before the call.
func (c *Core) ConfirmLeader(now time.Time, id uint64) {
	c.now = now
	if c.role != Leader {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Err: ErrNotLeader{Leader: c.leader}})
		return
	}
	r := readRequest{id: id, index: c.commit}
	if !c.committedInTerm() {
		// What earlier leaders committed is known only once the first entry of
		// this term, which is the last one that they can precede, is committed.
		r.index = c.log.last()
	}
	if n := len(c.reads); n > 0 && c.reads[n-1].round > c.round {
		r.round = c.reads[n-1].round
	} else {
		r.round = c.round + 1
	}
	c.reads = append(c.reads, r)
}

// startReadRound broadcasts once for all confirmations that wait for a round.
func (c *Core) startReadRound() {
	if n := len(c.reads); n > 0 && c.reads[n-1].round > c.round {
		c.broadcast()
		c.confirmReads()
	}
}

// confirmReads answers the reads whose round a quorum answered.
func (c *Core) confirmReads() {
	needed := c.Members().quorum()
	kept := c.reads[:0]
	for _, r := range c.reads {
		answered := c.countVoters(func(p *progress) bool { return p.ackedRound >= r.round })
		if r.round > c.round || r.index > c.commit || answered < needed {
			kept = append(kept, r)
			continue
		}
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Index: r.index})
	}
	c.reads = kept
}

func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: r.id, Err: ErrNotLeader{}})
	}
	c.reads = nil
}
