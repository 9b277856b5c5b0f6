package replog

import "time"

// readRequest is a call of ConfirmLeader that waits for a quorum.
type readRequest struct {
	id    uint64
	index uint64
	// round is the broadcast round that a quorum must acknowledge.
	round uint64
}

// ReadResult is the result of Core.ConfirmLeader.
type ReadResult struct {
	ID uint64
	// Index is the index that the state machine must have applied before the read.
	Index uint64
	Err   error
}

// ConfirmLeader starts to confirm that this host is still the leader; a later
// Ready returns the result with the same id. The index in the result covers
// everything that was committed before the call.
func (c *Core) ConfirmLeader(now time.Time, id uint64) {
	c.now = now
	if c.role != Leader {
		c.out.Reads = append(c.out.Reads, ReadResult{ID: id, Err: ErrNotLeader{Leader: c.leader}})
		return
	}
	r := readRequest{id: id, index: c.commit}
	if !c.committedInTerm() {
		// Until an entry of this term is committed, the leader does not know what
		// earlier leaders committed. All of it is in the leader's log, so the read
		// waits for the whole log.
		r.index = c.log.last()
	}
	if n := len(c.reads); n > 0 && c.reads[n-1].round > c.round {
		r.round = c.reads[n-1].round
	} else {
		r.round = c.round + 1
	}
	c.reads = append(c.reads, r)
}

// startReadRound starts one broadcast round for all reads that wait for a new
// round.
func (c *Core) startReadRound() {
	if n := len(c.reads); n > 0 && c.reads[n-1].round > c.round {
		c.broadcast()
		c.confirmReads()
	}
}

// confirmReads answers the reads whose round was acknowledged by a quorum.
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
