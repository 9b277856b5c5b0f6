package replog

import (
	"math/rand/v2"
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

// Role is the part that a host plays in its group.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the name used in logs.
func (r Role) String() string { return roleNames[r] }

// CoreConfig configures a Core.
type CoreConfig struct {
	Cluster string
	Group   uint32
	Self    model.HostID
	Disk    DiskID
	// ElectionTimeout is the leader lease, and the least silence of a leader
	// before a host campaigns; the most is twice as long.
	ElectionTimeout time.Duration
	// Heartbeat is the interval of broadcasts of an idle leader.
	Heartbeat time.Duration
	// MaxBatchBytes bounds the entries of one message.
	MaxBatchBytes int
	// MaxInflight bounds the entries sent to a host and not yet acknowledged.
	MaxInflight uint64
	// Rand draws the election timeouts.
	Rand *rand.Rand
}

// CoreState is what a host recovered from its disk.
type CoreState struct {
	Hard     HardState
	Snapshot SnapshotMeta
	// Entries follow the entry (Offset, OffsetTerm) without a gap. Offset is at
	// most Snapshot.Index.
	Offset, OffsetTerm uint64
	Entries            []Entry
}

// Core decides for one host of one group: terms, votes, commits, snapshots and
// changes of hosts. It reads no clock, does no I/O, and has one owner and no
// lock. After each call the owner takes Ready, stores it, and calls Advance.
type Core struct {
	cfg CoreConfig
	now time.Time

	term   uint64
	vote   model.HostID
	role   Role
	leader model.HostID
	log    memLog
	commit uint64
	// leaderCommit is the last entry that matches the leader's log and that the
	// leader has committed; it may not be synced here yet.
	leaderCommit uint64
	// uncommittedBytes is the size of this leader's entries after commit.
	uncommittedBytes int
	// applied is the last committed entry that Ready handed out.
	applied  uint64
	snapshot SnapshotMeta
	// membersHistory holds the members in force: first the committed ones, then those
	// of later entries in the log.
	membersHistory []membersAt

	votes            map[model.HostID]voteReply
	electionDeadline time.Time
	// noLeaderSinceStart says that this host has heard no leader since its start.
	noLeaderSinceStart bool
	// lastLeaderContact is when a leader of the current term was last heard.
	lastLeaderContact time.Time

	progress      map[model.HostID]*progress
	nextBroadcast time.Time
	round         uint64
	reads         []readRequest
	// leaderTransfer is in progress if its target is set.
	leaderTransfer leaderTransfer
	// campaignTransfer: the campaign was asked for by the leader.
	campaignTransfer bool
	// partialSnapshot is a snapshot being received.
	partialSnapshot *partialSnapshot

	out Ready
	// savedHard is the hard state that was handed to the disk.
	savedHard HardState
}

type voteReply struct {
	granted bool
	disk    DiskID
}

// Ready is what the owner of a Core has to do: send Early at once; store
// Snapshot, Hard and Entries and sync them; then send Messages, apply
// Committed and answer Reads; then call Advance.
type Ready struct {
	// EarlyMessages holds messages of a leader that need not wait for its own disk.
	EarlyMessages []Message
	Hard          *HardState
	Snapshot      *ReceivedSnapshot
	Entries       []Entry
	Messages      []Message
	// Committed entries are on the own disk and follow the former ones.
	Committed []Entry
	Reads     []ReadResult
}

// ReceivedSnapshot is a complete snapshot that replaces the log and the state.
type ReceivedSnapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return len(r.EarlyMessages) == 0 && !r.mustSync() && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

func (r *Ready) mustSync() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// NewCore returns a follower that continues from a recovered state.
func NewCore(cfg CoreConfig, now time.Time, st CoreState) *Core {
	c := &Core{cfg: cfg, now: now, term: st.Hard.Term, vote: st.Hard.Vote, savedHard: st.Hard}
	c.snapshot = st.Snapshot
	c.commit, c.applied = st.Snapshot.Index, st.Snapshot.Index
	c.log = memLog{offset: st.Offset, offsetTerm: st.OffsetTerm, entries: st.Entries}
	c.log.stable = c.log.last()
	c.membersHistory = []membersAt{{index: st.Snapshot.Index, members: st.Snapshot.Members}}
	for _, e := range st.Entries {
		if e.Kind == EntryMembers && e.Index > st.Snapshot.Index {
			c.appendMembers(e)
		}
	}
	c.noLeaderSinceStart = true
	c.resetElectionDeadline()
	return c
}

func (c *Core) resetElectionDeadline() {
	d := c.cfg.ElectionTimeout + time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout)))
	if c.noLeaderSinceStart {
		d /= startupElectionDivisor
	}
	c.electionDeadline = c.now.Add(d)
}

// startupElectionDivisor divides the election timeout of a host that has heard no leader
// since its start. If there is one, the others refuse the pre-vote; if all hosts
// have just started, the group is without a leader until one of them asks.
const startupElectionDivisor = 4

// Tick acts on the time that has passed.
func (c *Core) Tick(now time.Time) {
	c.now = now
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionDeadline()
	if c.mayCampaign() {
		c.campaign(PreCandidate)
	}
}

// Deadline returns when Tick has something to do next.
func (c *Core) Deadline() time.Time {
	if c.role == Leader {
		return c.nextBroadcast
	}
	return c.electionDeadline
}

// Step takes a message of another host.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	if m.Cluster != c.cfg.Cluster || m.Group != c.cfg.Group || m.To != c.cfg.Self || m.From == c.cfg.Self {
		return
	}
	if !m.wellFormed() {
		return
	}
	if m.ToDisk != "" && m.ToDisk != c.cfg.Disk {
		return // meant for an earlier disk of this host
	}
	if m.isReply() && !c.senderIsMember(m) {
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case MsgPreVote, MsgVote:
		c.stepVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		c.stepVoteReply(m)
	case MsgAppend:
		c.stepAppend(m)
	case MsgAppendReply:
		c.stepAppendReply(m)
	case MsgSnapshot:
		c.stepSnapshot(m)
	case MsgSnapshotReply:
		c.stepSnapshotReply(m)
	case MsgTimeoutNow:
		c.stepTimeoutNow(m)
	}
}

func (m *Message) isReply() bool {
	switch m.Kind {
	case MsgPreVoteReply, MsgVoteReply, MsgAppendReply, MsgSnapshotReply:
		return true
	}
	return false
}

// wellFormed reports whether the entries follow each other and the message, and
// whether a snapshot message brings a chunk of the announced size.
func (m *Message) wellFormed() bool {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		term = e.Term
	}
	if m.Kind != MsgSnapshot {
		return true
	}
	s := m.Snapshot
	return s != nil && s.Meta.Index > 0 && s.Meta.Term <= m.Term && s.Offset >= noChunkData &&
		s.Meta.Size >= max(s.Offset, 0)+int64(len(s.Data))
}

// senderIsMember reports whether the sender is a member with the disk that the
// members name: what a host with another disk says counts for nothing.
func (c *Core) senderIsMember(m Message) bool {
	mem, ok := c.Members().Find(m.From)
	return ok && (mem.Disk == "" || mem.Disk == m.FromDisk)
}

// adoptTerm takes over a higher term, unless the message is one that must not
// raise it.
func (c *Core) adoptTerm(m Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true // asks about a term that nobody has begun
	case m.Kind == MsgVote && c.leaderAlive() && !m.LeaderTransfer:
		return false // a host that was cut off must not disturb a live leader
	}
	leader := model.HostID("")
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// leaderAlive reports whether this host leads, or heard its leader within the
// least election timeout.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.leader != "" && c.now.Sub(c.lastLeaderContact) < c.cfg.ElectionTimeout
}

func (c *Core) becomeFollower(term uint64, leader model.HostID) {
	invariant.Check(term >= c.term, invariant.AcceptedNeverReverts, "a term would go back", "term", c.term, "to", term)
	if term > c.term {
		c.term, c.vote = term, ""
	}
	if c.role == Leader {
		c.failReads()
	}
	c.role, c.leader = Follower, leader
	c.noLeaderSinceStart = c.noLeaderSinceStart && leader == ""
	c.progress, c.votes, c.leaderTransfer = nil, nil, leaderTransfer{}
	c.resetElectionDeadline()
}

// send completes a message and queues it.
func (c *Core) send(m Message) {
	m.Cluster, m.Group = c.cfg.Cluster, c.cfg.Group
	m.From, m.FromDisk = c.cfg.Self, c.cfg.Disk
	if m.Term == 0 {
		m.Term = c.term
	}
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		c.out.EarlyMessages = append(c.out.EarlyMessages, m)
		return
	}
	c.out.Messages = append(c.out.Messages, m)
}

// reply answers the sender of m.
func (c *Core) reply(m, r Message) {
	r.To, r.ToDisk = m.From, m.FromDisk
	c.send(r)
}

// setCommit moves the commit index, never back.
func (c *Core) setCommit(index uint64) {
	invariant.Check(index >= c.commit, invariant.AcceptedNeverReverts, "a commit index would go back",
		"commit", c.commit, "to", index)
	if c.role == Leader {
		for _, e := range c.log.slice(c.commit+1, index) {
			c.uncommittedBytes -= e.size()
		}
	}
	c.commit = index
}

// Propose appends a command to the log of a leader and returns its index and
// term. The entry is accepted once it is committed.
func (c *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader {
		return 0, 0, ErrNotLeader{Leader: c.leader}
	}
	if c.leaderTransfer.target != "" {
		return 0, 0, ErrNotLeader{Leader: c.leaderTransfer.target}
	}
	c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return c.log.last(), c.term, nil
}

// appendAsLeader appends an entry of this leader; Ready sends it.
func (c *Core) appendAsLeader(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.uncommittedBytes += e.size()
	c.log.entries = append(c.log.entries, e)
	if e.Kind == EntryMembers {
		c.appendMembers(e)
	}
}

// Ready returns what has to be done since the last Advance.
func (c *Core) Ready() Ready {
	if c.role == Leader {
		c.startReadRound()
		c.sendAppends()
		c.confirmReads()
	}
	c.advanceToLeaderCommit()
	r := c.out
	c.out = Ready{}
	if hard := (HardState{Term: c.term, Vote: c.vote}); hard != c.savedHard {
		r.Hard = &hard
		// A term is announced to nobody before it is on the own disk.
		r.Messages = append(r.EarlyMessages, r.Messages...)
		r.EarlyMessages = nil
	}
	if c.log.stable < c.log.last() {
		r.Entries = c.log.slice(c.log.stable+1, c.log.last())
	}
	if to := min(c.commit, c.log.stable); to > c.applied {
		r.Committed = c.log.slice(c.applied+1, to)
	}
	return r
}

// Advance says that all of r is stored and synced and its committed entries
// are handed to the state machine.
func (c *Core) Advance(r Ready) {
	if r.Hard != nil {
		c.savedHard = *r.Hard
	}
	if n := len(r.Entries); n > 0 {
		c.log.stable = r.Entries[n-1].Index
	}
	if n := len(r.Committed); n > 0 {
		c.applied = r.Committed[n-1].Index
	}
	if c.role == Leader {
		c.advanceCommit()
	}
	c.advanceToLeaderCommit()
}

// advanceToLeaderCommit commits what the leader committed and this host has synced.
func (c *Core) advanceToLeaderCommit() {
	if to := min(c.leaderCommit, c.log.stable); to > c.commit {
		c.setCommit(to)
	}
}

// Discard says that the disk had no space for r, so that nothing of it was
// stored or sent. The host gives up leadership and forgets unsynced entries;
// an unsaved term and vote remain to be stored.
func (c *Core) Discard(r Ready) {
	if c.log.last() > c.log.stable {
		c.truncateMembers(c.log.stable + 1)
		c.log.truncate(c.log.stable+1, c.commit)
		c.leaderCommit = min(c.leaderCommit, c.log.stable)
	}
	c.out = Ready{Reads: append(c.out.Reads, r.Reads...), Snapshot: r.Snapshot}
	c.becomeFollower(c.term, "")
}

// Compact says that a snapshot is durable; entries up to keepAfter are dropped.
func (c *Core) Compact(meta SnapshotMeta, keepAfter uint64) {
	if meta.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = meta
	c.log.compact(min(keepAfter, meta.Index))
	for len(c.membersHistory) > 1 && c.membersHistory[1].index <= meta.Index {
		c.membersHistory = c.membersHistory[1:]
	}
}
