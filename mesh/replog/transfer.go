package replog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// incoming collects the chunks of a snapshot on a follower.
type incoming struct {
	meta SnapshotMeta
	data []byte
}

// noChunk is the offset in a message that brings no data and only serves as a
// heartbeat during a transfer.
const noChunk = -1

// chunkRetry is the number of heartbeats after which an unanswered chunk is
// sent again. Less would repeat large chunks on a slow connection.
const chunkRetry = 5

// sendChunk sends the chunk that the host wants next. The owner of the core
// adds the data, which stands in the snapshot file.
func (c *Core) sendChunk(h hostID, p *progress) {
	if p.sending != c.snapshot.Index {
		p.sending, p.chunkOffset, p.chunkSent = c.snapshot.Index, 0, time.Time{}
	}
	offset := int64(noChunk)
	if c.now.Sub(p.chunkSent) >= chunkRetry*c.cfg.Heartbeat {
		offset, p.chunkSent = p.chunkOffset, c.now
	}
	c.send(Message{
		Kind: MsgSnapshot, To: h, ToDisk: p.disk, Round: c.round,
		Snapshot: &SnapshotChunk{Meta: c.snapshot, Offset: offset},
	})
}

// Transferring reports whether a host that answers is being sent a snapshot; a
// new snapshot would start the transfer again.
func (c *Core) Transferring() bool {
	since := c.now.Add(-c.cfg.ElectionTimeout)
	for _, p := range c.progress {
		if p.sending != 0 && p.heard.After(since) {
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
	c.follow(m)
	meta := m.Snapshot.Meta
	if meta.Index <= c.commit {
		c.reply(m, Message{Kind: MsgAppendReply, Index: c.commit, Round: m.Round})
		return
	}
	in := c.incoming
	if in == nil || in.meta.Index != meta.Index || in.meta.Checksum != meta.Checksum {
		in = &incoming{meta: meta}
		c.incoming = in
	}
	if m.Snapshot.Offset == int64(len(in.data)) {
		in.data = append(in.data, m.Snapshot.Data...)
	}
	if int64(len(in.data)) < meta.Size {
		next := &SnapshotChunk{Meta: SnapshotMeta{Index: meta.Index}, Offset: int64(len(in.data))}
		c.reply(m, Message{Kind: MsgSnapshotReply, Round: m.Round, Snapshot: next})
		return
	}
	c.incoming = nil
	if xxhash.Sum64(in.data) != meta.Checksum {
		return // starts again with the next chunk
	}
	c.install(in)
	c.reply(m, Message{Kind: MsgAppendReply, Index: meta.Index, Round: m.Round})
}

// install replaces log and state by a received snapshot.
func (c *Core) install(in *incoming) {
	c.setCommit(in.meta.Index)
	c.leaderCommit = in.meta.Index
	c.log.reset(in.meta.Index, in.meta.Term)
	c.applied = in.meta.Index
	c.snapshot = in.meta
	c.history = []membersAt{{index: in.meta.Index, members: in.meta.Members}}
	c.out.Snapshot = &Incoming{Meta: in.meta, Data: in.data}
}

func (c *Core) stepSnapshotReply(m Message) {
	p := c.answered(m)
	if p == nil || m.Snapshot == nil || m.Snapshot.Meta.Index != p.sending || m.Snapshot.Offset == p.chunkOffset {
		return
	}
	p.chunkOffset, p.chunkSent = m.Snapshot.Offset, time.Time{}
	c.sendChunk(m.From, p)
}
