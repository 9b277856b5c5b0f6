package replog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// partialSnapshot collects the chunks of a snapshot on a follower.
type partialSnapshot struct {
	meta SnapshotMeta
	data []byte
}

// noChunkData is the offset in a MsgSnapshot that carries no data and only
// serves as a heartbeat during a transfer.
const noChunkData = -1

// chunkRetryHeartbeats is the number of heartbeat intervals after which an
// unanswered chunk is sent again. A smaller number would repeat large chunks on
// a slow connection.
const chunkRetryHeartbeats = 5

// sendChunk sends the chunk that the host needs next, or a heartbeat while a
// chunk is unanswered. The sender goroutine adds the data from the snapshot
// file.
func (c *Core) sendChunk(h hostID, p *progress) {
	if p.pendingSnapshot != c.snapshot.Index {
		p.pendingSnapshot, p.chunkOffset, p.chunkSentAt = c.snapshot.Index, 0, time.Time{}
	}
	offset := int64(noChunkData)
	if c.now.Sub(p.chunkSentAt) >= chunkRetryHeartbeats*c.cfg.Heartbeat {
		offset, p.chunkSentAt = p.chunkOffset, c.now
	}
	c.send(Message{
		Kind: MsgSnapshot, To: h, ToDisk: p.disk, Round: c.round,
		Snapshot: &SnapshotChunk{Meta: c.snapshot, Offset: offset},
	})
}

// SendingSnapshot reports whether a snapshot is being sent to a host that
// replies. A newer snapshot would restart the transfer.
func (c *Core) SendingSnapshot() bool {
	since := c.now.Add(-c.cfg.ElectionTimeout)
	for _, p := range c.progress {
		if p.pendingSnapshot != 0 && p.lastReply.After(since) {
			return true
		}
	}
	return false
}

func (c *Core) stepSnapshot(m Message) {
	if m.Term < c.term {
		c.reply(m, Message{Kind: MsgAppendReply, Reject: true})
		return
	}
	c.followLeader(m)
	meta := m.Snapshot.Meta
	if meta.Index <= c.commit {
		c.reply(m, Message{Kind: MsgAppendReply, Index: c.commit, Round: m.Round})
		return
	}
	in := c.partialSnapshot
	if in == nil || in.meta.Index != meta.Index || in.meta.Checksum != meta.Checksum {
		in = &partialSnapshot{meta: meta}
		c.partialSnapshot = in
	}
	if m.Snapshot.Offset == int64(len(in.data)) {
		in.data = append(in.data, m.Snapshot.Data...)
	}
	if int64(len(in.data)) < meta.Size {
		next := &SnapshotChunk{Meta: SnapshotMeta{Index: meta.Index}, Offset: int64(len(in.data))}
		c.reply(m, Message{Kind: MsgSnapshotReply, Round: m.Round, Snapshot: next})
		return
	}
	c.partialSnapshot = nil
	if xxhash.Sum64(in.data) != meta.Checksum {
		return // the next chunk starts the transfer again
	}
	c.installSnapshot(in)
	c.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index, Round: m.Round})
}

// installSnapshot replaces the log and the state with a received snapshot.
func (c *Core) installSnapshot(in *partialSnapshot) {
	c.setCommit(in.meta.Index)
	c.leaderCommit = in.meta.Index
	c.log.reset(in.meta.Index, in.meta.Term)
	c.applied = in.meta.Index
	c.snapshot = in.meta
	c.membersHistory = []membersAt{{index: in.meta.Index, members: in.meta.Members}}
	c.out.Snapshot = &ReceivedSnapshot{Meta: in.meta, Data: in.data}
}

func (c *Core) stepSnapshotReply(m Message) {
	p := c.recordReply(m)
	if p == nil || m.Snapshot == nil || m.Snapshot.Meta.Index != p.pendingSnapshot || m.Snapshot.Offset == p.chunkOffset {
		return
	}
	p.chunkOffset, p.chunkSentAt = m.Snapshot.Offset, time.Time{}
	c.sendChunk(m.From, p)
}
