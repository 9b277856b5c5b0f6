package replog

import (
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
)

// Config configures a Log. A zero value of an optional field selects its
// default.
type Config struct {
	// Cluster identifies the mesh. Messages from other clusters are dropped.
	Cluster string
	// Group identifies the group. Messages from other groups are dropped.
	Group uint32
	// Self is the id of this host.
	Self model.HostID
	// Dir is the data directory of this group on this host. No other log may use
	// it.
	Dir string
	// Voters are the hosts that bootstrap a new group. The group is bootstrapped
	// once all of them can reach each other. Voters is empty on a host that joins
	// by AddHost, and is ignored once this host has stored them at its first start.
	Voters []model.HostID
	// FirstStart says that no host of Voters has run before and that none of them starts
	// with Voters again after the loss of its disk. A majority of them then bootstraps the
	// group if the others do not answer within a few election timeouts.
	FirstStart bool
	// ElectionTimeout is the leader lease and the minimum time without a message
	// from the leader before an election. A shorter timeout replaces a failed
	// leader sooner. It must cover the network round trip, a synced write and a
	// pause of the process.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between two heartbeats of an idle leader. A shorter
	// interval costs more messages. At least five heartbeats should fit in the
	// election timeout.
	Heartbeat time.Duration
	// MaxEntryBytes limits the size of one proposal, in bytes. Large proposals cost
	// memory and delay other entries. The limit must fit in a frame of the
	// transport.
	MaxEntryBytes int
	// SnapshotEntries is the number of entries between two snapshots. More entries
	// cost memory and a longer start, fewer entries cost disk writes.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the entries between two snapshots, in bytes. A
	// snapshot is due when either SnapshotEntries or SnapshotBytes is reached. Up
	// to a quarter of SnapshotBytes is kept in memory after compaction.
	SnapshotBytes int64
	// QuietSnapshotBytes is the size of the entries, in bytes, after which a snapshot is
	// also due once no entry has been committed for a while; 0 for never. With a small
	// size a host replays little when it starts; each snapshot costs as much as the
	// state is large.
	QuietSnapshotBytes int64
	// KeepEntries is the maximum number of entries before a snapshot that are kept
	// in memory for slow followers. More entries cost memory, fewer make snapshot
	// transfers frequent.
	KeepEntries uint64
	// SegmentBytes is the size of a segment of the write-ahead log, in bytes.
	SegmentBytes int64
	// MayVote reports whether the leader may make a learner that has caught up a
	// voter; nil allows it for every learner. It is called from the goroutine of the
	// log and must not call the log.
	MayVote func(learner Member, members Members) bool
	// FS is the file system; the default is that of the operating system.
	FS wal.FS
	// Log receives one line for each change of role, term, leader, members or
	// disk-full state.
	Log *slog.Logger
}

// Default values of Config.
const (
	// DefaultElectionTimeout is the leader lease and the minimum election timeout.
	DefaultElectionTimeout = time.Second
	// DefaultHeartbeat is the heartbeat interval of an idle leader.
	DefaultHeartbeat = 100 * time.Millisecond
	// DefaultMaxEntryBytes is the size limit of one proposal in bytes, 1 MiB.
	DefaultMaxEntryBytes = 1 << 20
	// DefaultSnapshotEntries is the number of entries between two snapshots.
	DefaultSnapshotEntries = 50_000
	// DefaultSnapshotBytes is the size of the entries between two snapshots in
	// bytes, 64 MiB.
	DefaultSnapshotBytes = 64 << 20
	// DefaultKeepEntries is the number of entries kept in memory for slow followers
	// when the log is compacted.
	DefaultKeepEntries = 5_000
)

const (
	// maxBatchBytes limits the size of the entries in one message, in bytes. A
	// single larger entry is sent alone.
	maxBatchBytes = 1 << 20
	// maxInflightEntries limits the number of entries sent to a host and not yet
	// acknowledged.
	maxInflightEntries = 8_192
	// snapshotChunkBytes is the maximum size of a chunk of a snapshot transfer, in
	// bytes.
	snapshotChunkBytes = 512 << 10
	// quietSnapshotDelay is how long no entry must have been committed before a snapshot
	// for QuietSnapshotBytes. It is checked at heartbeats, and longer by a random part
	// on each host, so that not all of a quorum write at the same time.
	quietSnapshotDelay = 200 * time.Millisecond
	// maxUncommittedEntries is the number of uncommitted entries above which no
	// proposals are taken until the group catches up.
	maxUncommittedEntries = 16_384
	// maxUncommittedBytes is the same limit for the size of the uncommitted
	// entries, in bytes.
	maxUncommittedBytes = 64 << 20
)

// complete sets the defaults and checks the configuration.
func (c *Config) complete() error {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.MaxEntryBytes == 0 {
		c.MaxEntryBytes = DefaultMaxEntryBytes
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = DefaultKeepEntries
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	switch {
	case c.Self == "":
		return eris.Wrap(ErrConfig, "Self is empty")
	case c.Dir == "":
		return eris.Wrap(ErrConfig, "Dir is empty")
	case c.Heartbeat < 0 || c.ElectionTimeout < 2*c.Heartbeat:
		return eris.Wrapf(ErrConfig, "ElectionTimeout %v must be at least twice Heartbeat %v", c.ElectionTimeout, c.Heartbeat)
	case len(c.Voters) > 0 && !slices.Contains(c.Voters, c.Self):
		return eris.Wrapf(ErrConfig, "Voters %v do not name Self %s", c.Voters, c.Self)
	}
	return nil
}
