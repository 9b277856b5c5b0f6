package replog

import (
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
)

// Config configures a Log. Zero values of the optional fields mean the defaults.
type Config struct {
	// Cluster is the identity of the mesh; messages of another one are dropped.
	Cluster string
	// Group is the number of the group; messages of another one are dropped.
	Group uint32
	// Self is this host.
	Self model.HostID
	// Dir is the data directory of this group on this host; no other log uses it.
	Dir string
	// Voters are the hosts that form a new group. All of them must be reachable
	// once to form it. It is empty on a host that joins by AddHost, and has no
	// effect after the group was formed.
	Voters []model.HostID
	// ElectionTimeout is the leader lease and the least silence before an
	// election. A shorter one replaces a lost leader sooner; it must cover the
	// round trip, a synced write and a pause of the process.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of an idle leader's broadcasts. A shorter one
	// costs messages; at least five should fit in the election timeout.
	Heartbeat time.Duration
	// MaxEntryBytes bounds one proposal. A larger one costs memory and delays
	// other entries; it must fit in a frame of the transport.
	MaxEntryBytes int
	// SnapshotEntries is the number of entries between snapshots. More entries
	// cost memory and a longer start, fewer cost disk writes.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the entries between snapshots, whichever of
	// the two bounds is reached first. A quarter of it is kept behind a snapshot.
	SnapshotBytes int64
	// KeepEntries is the number of entries kept in memory behind a snapshot for
	// slow followers. More cost memory, fewer make snapshot transfers frequent.
	KeepEntries uint64
	// SegmentBytes is the size of a segment of the write-ahead log.
	SegmentBytes int64
	// FS is the file system; the default is that of the operating system.
	FS wal.FS
	// Log receives one line for each change of role, host or disk state.
	Log *slog.Logger
}

// Defaults of Config.
const (
	DefaultElectionTimeout = time.Second
	DefaultHeartbeat       = 100 * time.Millisecond
	DefaultMaxEntryBytes   = 1 << 20
	DefaultSnapshotEntries = 50_000
	DefaultSnapshotBytes   = 64 << 20
	DefaultKeepEntries     = 5_000
)

const (
	// maxBatchBytes bounds the entries of one message beside a first large one.
	maxBatchBytes      = 1 << 20
	maxInflightEntries = 8_192
	snapshotChunkBytes = 512 << 10
	// maxUncommittedEntries stops taking proposals until the group keeps up.
	maxUncommittedEntries = 16_384
	// maxUncommittedBytes does the same for large proposals.
	maxUncommittedBytes = 64 << 20
)

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
