package replog

import "balsamtrail.org/mesh/model"

// DiskID identifies the disk state of one host. It is drawn at random when the
// data directory is created, so a host whose disk was lost has a new one.
type DiskID string

// EntryKind tells what an entry of the log holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryCommand holds a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop opens the term of a leader.
	EntryNoop
	// EntryMembers holds the hosts of the group from this entry on.
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

// entryOverhead bounds the encoded size of an entry beside its data.
const entryOverhead = 48

func (e Entry) size() int { return len(e.Data) + entryOverhead*(1+len(e.Members)) }

// Member is one host of the group. Acknowledgements and votes count only if
// they come from the disk that is named here.
type Member struct {
	Host  model.HostID `cbor:"1,keyasint" json:"host"`
	Disk  DiskID       `cbor:"2,keyasint,omitempty" json:"disk"`
	Voter bool         `cbor:"3,keyasint,omitempty" json:"voter"`
	// Address is how other hosts reach this one; empty if their settings tell. It
	// is in force with the member, so that a host knows it after a restart, before
	// any entry is known to be committed.
	Address string `cbor:"4,keyasint,omitempty" json:"address,omitempty"`
}

// Members are the hosts of the group, sorted by host.
type Members []Member

// HardState is what a host must not forget.
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

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgSnapshot
	MsgSnapshotReply
	// MsgTimeoutNow asks the recipient to replace the leader that sends it.
	MsgTimeoutNow
)

// Message passes between the hosts of one group.
type Message struct {
	Kind     MessageKind  `cbor:"1,keyasint"`
	Cluster  string       `cbor:"2,keyasint"`
	Group    uint32       `cbor:"3,keyasint"`
	From     model.HostID `cbor:"4,keyasint"`
	FromDisk DiskID       `cbor:"5,keyasint"`
	To       model.HostID `cbor:"6,keyasint"`
	// ToDisk is empty as long as the disk of the recipient is not known.
	ToDisk DiskID `cbor:"7,keyasint,omitempty"`
	Term   uint64 `cbor:"8,keyasint"`
	// Index and LogTerm name the last entry of a candidate, the entry before
	// Entries, or in a reply the last entry known to match.
	Index   uint64  `cbor:"9,keyasint,omitempty"`
	LogTerm uint64  `cbor:"10,keyasint,omitempty"`
	Entries []Entry `cbor:"11,keyasint,omitempty"`
	Commit  uint64  `cbor:"12,keyasint,omitempty"`
	// Round numbers the leader's broadcasts; a reply repeats it.
	Round  uint64 `cbor:"13,keyasint,omitempty"`
	Reject bool   `cbor:"14,keyasint,omitempty"`
	// Hint is the index after which a rejecting follower wants entries.
	Hint     uint64         `cbor:"15,keyasint,omitempty"`
	Snapshot *SnapshotChunk `cbor:"16,keyasint,omitempty"`
	// LeaderTransfer marks a MsgVote that the leader itself asked for.
	LeaderTransfer bool `cbor:"17,keyasint,omitempty"`
}

// SnapshotChunk is a part of a snapshot, or in a reply the next offset wanted.
type SnapshotChunk struct {
	Meta   SnapshotMeta `cbor:"1,keyasint"`
	Offset int64        `cbor:"2,keyasint"`
	Data   []byte       `cbor:"3,keyasint,omitempty"`
}
