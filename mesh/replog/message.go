package replog

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// DiskID identifies the data directory of one host in one group. It is random
// and generated when the directory is created, so a host that lost its disk gets
// a new one.
type DiskID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is the empty entry that a new leader appends to commit entries of
	// earlier terms.
	EntryNoop
	// EntryMembers holds the members that are in force from this entry on.
	EntryMembers
)

// Entry is one entry of the log.
type Entry struct {
	Index   uint64    `cbor:"1,keyasint"`
	Term    uint64    `cbor:"2,keyasint"`
	Kind    EntryKind `cbor:"3,keyasint"`
	Data    []byte    `cbor:"4,keyasint,omitempty"`
	Members Members   `cbor:"5,keyasint,omitempty"`
}

// entryOverhead is an upper bound on the encoded size of an entry without its
// data, and of each member, in bytes.
const entryOverhead = 48

func (e Entry) size() int { return len(e.Data) + entryOverhead*(1+len(e.Members)) }

// Member is one host of the group. Replies from the host count only if they are
// sent from Disk.
type Member struct {
	Host  model.HostID `cbor:"1,keyasint" json:"host"`
	Disk  DiskID       `cbor:"2,keyasint,omitempty" json:"disk"`
	Voter bool         `cbor:"3,keyasint,omitempty" json:"voter"`
	// Address is the network address of the host; empty if the settings of the
	// other hosts contain it. It is stored in the members, which are in force
	// before they are known to be committed, so that a restarted host can reach the
	// others before there is a leader.
	Address string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
}

// Members are the hosts of the group, sorted by host.
type Members []Member

// HardState is the state that must be durable before a message that depends on
// it is sent.
type HardState struct {
	Term uint64       `cbor:"1,keyasint"`
	Vote model.HostID `cbor:"2,keyasint,omitempty"`
}

// SnapshotMeta describes a snapshot.
type SnapshotMeta struct {
	Index    uint64  `cbor:"1,keyasint"`
	Term     uint64  `cbor:"2,keyasint"`
	Members  Members `cbor:"3,keyasint"`
	Size     int64   `cbor:"4,keyasint"`
	Checksum uint64  `cbor:"5,keyasint"`
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	// MsgPreVote asks whether the recipient would vote for the sender in the next
	// term.
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	// MsgVote requests a vote.
	MsgVote
	MsgVoteReply
	// MsgAppend carries entries and the commit index; without entries it is a
	// heartbeat.
	MsgAppend
	MsgAppendReply
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	MsgSnapshotReply
	// MsgTimeoutNow asks the recipient to campaign at once and replace the sending
	// leader.
	MsgTimeoutNow
)

// Message is sent between two hosts of a group.
type Message struct {
	Kind     MessageKind  `cbor:"1,keyasint"`
	Cluster  string       `cbor:"2,keyasint"`
	Group    uint32       `cbor:"3,keyasint"`
	From     model.HostID `cbor:"4,keyasint"`
	FromDisk DiskID       `cbor:"5,keyasint"`
	To       model.HostID `cbor:"6,keyasint"`
	// ToDisk is empty if the disk of the recipient is not known.
	ToDisk DiskID `cbor:"7,keyasint,omitempty"`
	Term   uint64 `cbor:"8,keyasint"`
	// Index and LogTerm identify the last entry of a candidate or the entry before
	// Entries. In a reply to MsgAppend, Index is the last entry that matches, or
	// the rejected Index.
	Index   uint64  `cbor:"9,keyasint,omitempty"`
	LogTerm uint64  `cbor:"10,keyasint,omitempty"`
	Entries []Entry `cbor:"11,keyasint,omitempty"`
	Commit  uint64  `cbor:"12,keyasint,omitempty"`
	// Round is the number of the leader's broadcast round; a reply repeats it.
	Round  uint64 `cbor:"13,keyasint,omitempty"`
	Reject bool   `cbor:"14,keyasint,omitempty"`
	// Hint is the index after which a follower that rejects wants to receive
	// entries.
	Hint     uint64         `cbor:"15,keyasint,omitempty"`
	Snapshot *SnapshotChunk `cbor:"16,keyasint,omitempty"`
	// LeaderTransfer marks a MsgVote of a campaign that the leader requested. The
	// recipient considers it even if the leader is alive.
	LeaderTransfer bool `cbor:"17,keyasint,omitempty"`
	// QuorumAge is how long before a message of the leader a quorum had last
	// replied to it.
	QuorumAge time.Duration `cbor:"18,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot, or in a reply the offset of the next
// chunk.
type SnapshotChunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset int64        `cbor:"2,keyasint"`
	Data   []byte       `cbor:"3,keyasint,omitempty"`
}
