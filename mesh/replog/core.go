package replog

import (
	"math/rand/v2"
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

// Role is the Raft role of a host in its group.
type Role uint8

// The roles of a host.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the lower-case name of the role, as in logs and in the status.
func (r Role) String() string { return roleNames[r] }

// CoreConfig configures a Core.
type CoreConfig struct {
	Cluster string
	Group   uint32
	Self    model.HostID
	Disk    DiskID
	// Founder says that the disk of this host has held the voters that form the group since
	// its first start. Only a founder is a voter while its disk is not recorded.
	Founder bool
	// FirstStart lets a majority of the voters form the group; see Config.
	FirstStart bool
	// ElectionTimeout is the leader lease and the minimum of the randomized
	// election timeout; the maximum is twice this value.
	ElectionTimeout time.Duration
	// Heartbeat is the interval between two heartbeats of an idle leader.
	Heartbeat time.Duration
	// MaxBatchBytes limits the size of the entries in one message, in bytes.
	MaxBatchBytes int
	// MaxInflight limits the number of entries that are sent to a host and not yet
	// acknowledged.
	MaxInflight uint64
	// Rand is the source of randomness for the election timeouts.
	Rand *rand.Rand
	// MayVote reports whether the leader may make a learner a voter; nil allows it
	// for every learner.
	MayVote func(learner Member, members Members) bool
}

// CoreState is the state that a host recovers from its disk at start.
type CoreState struct {
	Hard     HardState
	Snapshot SnapshotMeta
	// Offset and OffsetTerm are index and term of the entry before Entries, which
	// are contiguous. Offset is at most Snapshot.Index.
	Offset, OffsetTerm uint64
	Entries            []Entry
}

// Core is the Raft state machine for one host of one group: terms, votes, commit
// index, snapshots and membership changes. It reads no clock and does no I/O. It
// is not safe for concurrent use. After each call, the caller takes Ready,
// processes it and calls Advance.
type Core struct {
	cfg CoreConfig
	now time.Time

	term   uint64
	vote   model.HostID
	role   Role
	leader model.HostID
	log    memLog
	commit uint64
	// leaderCommit is the last entry that is known to match the leader's log and to
	// be committed by the leader. It may not be synced on this host yet.
	leaderCommit uint64
	// uncommittedBytes is the size in bytes of the uncommitted entries of a leader.
	uncommittedBytes int
	// applied is the index of the last committed entry that Ready returned and
	// Advance acknowledged.
	applied  uint64
	snapshot SnapshotMeta
	// membersHistory holds the members of the snapshot and those of each later
	// members entry, in log order. The last element is in force.
	membersHistory []membersAt

	votes            map[model.HostID]voteReply
	electionDeadline time.Time
	// majorityForms is when a majority of the voters may form the group.
	majorityForms time.Time
	// noLeaderSinceStart is set until this host hears from a leader for the first
	// time after its start.
	noLeaderSinceStart bool
	// probing is set until this host has voted or learned that it cannot win, and at the
	// latest until probeUntil; see startupProbeDivisor.
	probing    bool
	probeUntil time.Time
	// lastLeaderContact is the time of the last message from the leader of the
	// current term.
	lastLeaderContact time.Time
	// quorumContact is the time at which the leader last had contact with a
	// quorum, as far as its messages tell; see QuorumContact.
	quorumContact time.Time

	progress      map[model.HostID]*progress
	nextBroadcast time.Time
	round         uint64
	reads         []readRequest
	// leaderTransfer is in progress if its target is set.
	leaderTransfer leaderTransfer
	// campaignTransfer is set during a campaign that the leader requested to
	// transfer its leadership.
	campaignTransfer bool
	// partialSnapshot is the snapshot that is being received, or nil.
	partialSnapshot *partialSnapshot

	out Ready
	// savedHard is the hard state that was last stored on disk.
	savedHard HardState
}

// voteReply is the answer of one voter, with the disk that it was sent from.
type voteReply struct {
	granted bool
	disk    DiskID
}

// Ready is the work that a Core has for its caller: send EarlyMessages at once;
// store Snapshot, Hard and Entries and sync them; then send Messages, apply
// Committed and answer Reads; then call Advance.
type Ready struct {
	// EarlyMessages are messages of a leader that may be sent before its own disk
	// is synced.
	EarlyMessages []Message
	Hard          *HardState
	Snapshot      *ReceivedSnapshot
	Entries       []Entry
	Messages      []Message
	// Committed are the next committed entries in log order. They are synced on the
	// local disk.
	Committed []Entry
	Reads     []ReadResult
}

// ReceivedSnapshot is a complete snapshot from the leader. It replaces the log
// and the state of the state machine.
type ReceivedSnapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Empty reports whether there is no work.
func (r *Ready) Empty() bool {
	return len(r.EarlyMessages) == 0 && !r.mustSync() && len(r.Messages) == 0 && len(r.Committed) == 0 && len(r.Reads) == 0
}

func (r *Ready) mustSync() bool { return r.Hard != nil || r.Snapshot != nil || len(r.Entries) > 0 }

// NewCore returns a follower with the recovered state st.
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
	c.majorityForms = now.Add(foundingElectionTimeouts * cfg.ElectionTimeout)
	c.probing, c.probeUntil = c.Members().Formed(), now.Add(startupProbeTimeouts*cfg.ElectionTimeout)
	c.resetElectionDeadline()
	return c
}

func (c *Core) resetElectionDeadline() {
	d := c.cfg.ElectionTimeout + time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout)))
	switch {
	case c.noLeaderSinceStart && c.probing && c.now.Before(c.probeUntil):
		d /= startupProbeDivisor
	case c.noLeaderSinceStart:
		d /= startupElectionDivisor
	}
	c.electionDeadline = c.now.Add(d)
}

// startupElectionDivisor shortens the election timeout of a host that has not
// heard from a leader since its start. If there is a leader, the other hosts
// refuse the pre-vote; if all hosts have just started, the group has no leader
// until one of them campaigns.
const startupElectionDivisor = 4

// startupProbeDivisor shortens it further for the first elections of a host that has
// started: it asks for pre-votes again and again, so that a group whose hosts start
// together has a leader as soon as a quorum is connected. A host that knows a live leader
// refuses, and pre-votes change no term. A greater divisor costs more messages.
const startupProbeDivisor = 24

// startupProbeTimeouts bounds the probing after a start, in election timeouts, so that a
// host that reaches no quorum does not send messages every few milliseconds for good.
const startupProbeTimeouts = 3

// Tick handles the timers that have expired at now.
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

// Deadline returns the time at which the next timer expires.
func (c *Core) Deadline() time.Time {
	if c.role == Leader {
		return c.nextBroadcast
	}
	return c.electionDeadline
}

// Step handles a message from another host.
func (c *Core) Step(now time.Time, m Message) {
	c.now = now
	if m.Cluster != c.cfg.Cluster || m.Group != c.cfg.Group || m.To != c.cfg.Self || m.From == c.cfg.Self {
		return
	}
	if !m.wellFormed() {
		return
	}
	if m.ToDisk != "" && m.ToDisk != c.cfg.Disk {
		return // addressed to a disk that this host no longer has
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

// wellFormed reports whether the entries are contiguous with the message and
// with each other, and whether a snapshot chunk lies within the announced size.
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

// senderIsMember reports whether the sender is a member and, if the member's
// disk is known, sent the message from that disk. Replies from any other disk
// are ignored.
func (c *Core) senderIsMember(m Message) bool {
	mem, ok := c.Members().Find(m.From)
	return ok && (mem.Disk == "" || mem.Disk == m.FromDisk)
}

// adoptTerm handles a message with a higher term. It returns false if the
// message must be ignored. Pre-vote messages are handled without raising the
// term.
func (c *Core) adoptTerm(m Message) bool {
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteReply && !m.Reject:
		return true // the term is only proposed; no host has entered it
	case m.Kind == MsgVote && c.leaderAlive() && !m.LeaderTransfer:
		return false // a partitioned host must not disrupt a live leader
	}
	leader := model.HostID("")
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		leader = m.From
	}
	c.becomeFollower(m.Term, leader)
	return true
}

// leaderAlive reports whether this host is the leader, or heard from its leader
// within the minimum election timeout.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.leader != "" && c.now.Sub(c.lastLeaderContact) < c.cfg.ElectionTimeout
}

func (c *Core) becomeFollower(term uint64, leader model.HostID) {
	invariant.Check(term >= c.term, invariant.AcceptedNeverReverts, "term would decrease", "term", c.term, "to", term)
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

// send fills in the common fields of a message and queues it.
func (c *Core) send(m Message) {
	m.Cluster, m.Group = c.cfg.Cluster, c.cfg.Group
	m.From, m.FromDisk = c.cfg.Self, c.cfg.Disk
	if m.Term == 0 {
		m.Term = c.term
	}
	if m.Kind == MsgAppend || m.Kind == MsgSnapshot {
		m.QuorumAge = c.now.Sub(c.quorumReplied())
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

// setCommit raises the commit index.
func (c *Core) setCommit(index uint64) {
	invariant.Check(index >= c.commit, invariant.AcceptedNeverReverts, "commit index would decrease",
		"commit", c.commit, "to", index)
	if c.role == Leader {
		for _, e := range c.log.slice(c.commit+1, index) {
			c.uncommittedBytes -= e.size()
		}
	}
	c.commit = index
}

// Propose appends a command to the log if this host is the leader, and returns
// its index and term. The command takes effect once the entry is committed.
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

// appendAsLeader appends a new entry to the leader's log; the next Ready sends
// it.
func (c *Core) appendAsLeader(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.uncommittedBytes += e.size()
	c.log.entries = append(c.log.entries, e)
	if e.Kind == EntryMembers {
		c.appendMembers(e)
	}
}

// Ready returns the work that has accumulated since the last Advance.
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
		// Messages of a new term must not be sent before the term is synced on the
		// local disk.
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

// Advance tells the core that r is stored and synced and that its committed
// entries were passed to the state machine.
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

// advanceToLeaderCommit raises the commit index to what the leader has committed
// and this host has synced.
func (c *Core) advanceToLeaderCommit() {
	if to := min(c.leaderCommit, c.log.stable); to > c.commit {
		c.setCommit(to)
	}
}

// Discard tells the core that the disk had no space for r, so nothing in it was
// stored or sent. The host gives up leadership and drops its unsynced entries. A
// term or vote that was not stored stays pending and is returned by the next
// Ready.
func (c *Core) Discard(r Ready) {
	if c.log.last() > c.log.stable {
		c.truncateMembers(c.log.stable + 1)
		c.log.truncate(c.log.stable+1, c.commit)
		c.leaderCommit = min(c.leaderCommit, c.log.stable)
	}
	c.out = Ready{Reads: append(c.out.Reads, r.Reads...), Snapshot: r.Snapshot}
	c.becomeFollower(c.term, "")
}

// Compact tells the core that the snapshot described by meta is durable, and
// drops the entries up to keepAfter.
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
