package replog

import (
	"fmt"
	"testing"
	"time"
)

var simHosts = []hostID{"a", "b", "c"}

// others returns all hosts except id.
func (s *sim) others(id hostID) []*simHost {
	var out []*simHost
	for _, h := range s.order {
		if h != id {
			out = append(out, s.hosts[h])
		}
	}
	return out
}

// commitProposals proposes n commands on the leader and waits until all members
// have applied them.
func (s *sim) commitProposals(n int) {
	s.t.Helper()
	for range n {
		s.propose(s.awaitLeader())
		s.steps(1)
	}
	s.checkConvergence()
}

func electionSteps(n int) int { return n * int(simElection/simStep) }

// Guards against a partitioned leader that commits entries, confirms its
// leadership or does not step down, and against entries committed on both sides.
func TestLeaderBehindPartition(t *testing.T) {
	s := newSim(t, 1, simHosts...)
	s.commitProposals(5)
	oldLeader := s.awaitLeader()
	s.partition(oldLeader.id)
	commit, confirmed := oldLeader.eng.core.commit, s.confirmedReads
	s.propose(oldLeader)
	s.confirm(oldLeader)
	s.steps(electionSteps(1) + 5)
	if oldLeader.eng.core.role == Leader {
		t.Fatal("the leader did not step down when its lease expired")
	}
	s.steps(electionSteps(4))
	s.propose(s.awaitLeader())
	s.steps(20)
	if oldLeader.eng.core.commit != commit || s.confirmedReads != confirmed {
		t.Fatalf("on the partitioned leader: commit %d to %d, confirmations %d", commit, oldLeader.eng.core.commit, s.confirmedReads-confirmed)
	}
	if s.acked <= commit {
		t.Fatal("the majority committed nothing")
	}
	s.checkConvergence()
}

// Guards against a host on the smaller side of a partition that still reports
// contact with a quorum after two heartbeats, and one on the larger side that
// does not after an election.
func TestQuorumContactEndsWithThePartition(t *testing.T) {
	s := newSim(t, 3, "a", "b", "c", "d", "e")
	s.commitProposals(3)
	leader := s.awaitLeader()
	follower := s.others(leader.id)[0]
	cutAt := s.now
	s.partition(leader.id, follower.id)
	s.steps(electionSteps(1) / 2)
	for _, h := range []*simHost{leader, follower} {
		if after := h.eng.core.QuorumContact().Sub(cutAt); after > 2*simHeartbeat {
			t.Errorf("%s reports contact %s after the cut", h.id, after)
		}
	}
	s.steps(electionSteps(6))
	for _, h := range s.others(leader.id)[1:] {
		if age := s.now.Sub(h.eng.core.QuorumContact()); age > 3*simHeartbeat {
			t.Errorf("%s has had no contact for %s", h.id, age)
		}
	}
}

// Guards against a partitioned host that raises its term and deposes the leader
// when it rejoins.
func TestRejoiningHostDoesNotDisruptLeader(t *testing.T) {
	s := newSim(t, 2, simHosts...)
	s.commitProposals(3)
	l := s.awaitLeader()
	partitioned := s.others(l.id)[0]
	term := l.eng.core.term
	s.partition(partitioned.id)
	s.steps(electionSteps(20))
	s.partition()
	s.steps(electionSteps(4))
	if l.eng.core.role != Leader || l.eng.core.term != term || partitioned.eng.core.leader != l.id {
		t.Fatalf("term %d became\n%s", term, s.describe())
	}
	// A host that did raise its term is ignored as well while the leader is alive.
	c := s.others(l.id)[1].eng.core
	c.Step(s.now, Message{Kind: MsgVote, Cluster: "sim", From: partitioned.id, FromDisk: partitioned.disk, To: s.others(l.id)[1].id,
		Term: term + 5, Index: 1 << 20, LogTerm: term + 5})
	c.Step(s.now, Message{Kind: MsgPreVote, Cluster: "sim", From: partitioned.id, FromDisk: partitioned.disk, To: s.others(l.id)[1].id,
		Term: term + 5, Index: 1 << 20, LogTerm: term + 5})
	if r := c.Ready(); len(r.Messages) != 1 || !r.Messages[0].Reject {
		t.Fatalf("a pre-vote under a live leader got %+v", r.Messages)
	}
	if c.term != term {
		t.Fatalf("a vote request raised the term to %d under a live leader", c.term)
	}
}

// Guards against an entry of an earlier term being committed by counting its
// replicas: a later leader without the entry could replace it.
func TestEntryOfEarlierTermCommitsWithCurrentTerm(t *testing.T) {
	ms := initialMembers(simHosts)
	for i := range ms {
		ms[i].Disk = DiskID(ms[i].Host)
	}
	s := newSim(t, 3)
	c := NewCore(CoreConfig{Cluster: "sim", Self: "a", Disk: "a", Founder: true, ElectionTimeout: simElection, Heartbeat: simHeartbeat,
		MaxBatchBytes: 1000, MaxInflight: 16, Rand: s.rng}, s.now, CoreState{Hard: HardState{Term: 3},
		Snapshot: SnapshotMeta{Members: ms}, Entries: []Entry{{Index: 1, Term: 2, Kind: EntryCommand}}})
	disk := DiskID("b")
	sendReply := func(kind MessageKind, term, index uint64) {
		c.Step(s.now, Message{Kind: kind, Cluster: "sim", From: "b", FromDisk: disk, To: "a", Term: term, Index: index})
		c.Advance(c.Ready())
	}
	c.Tick(s.now.Add(time.Hour))
	sendReply(MsgPreVoteReply, 4, 0)
	sendReply(MsgVoteReply, 4, 0)
	if c.role != Leader {
		t.Fatalf("role is %s", c.role)
	}
	if err := c.AddHost(Member{Host: "d", Disk: "d"}); err == nil {
		t.Fatal("a membership change was proposed before the first entry of the term was committed")
	}
	sendReply(MsgAppendReply, 4, 1)
	if c.commit != 0 {
		t.Fatal("an entry of term 2 was committed by counting replicas in term 4")
	}
	disk = "former"
	sendReply(MsgAppendReply, 4, 2)
	if c.commit != 0 {
		t.Fatal("an acknowledgement from another disk was counted")
	}
	disk = "b"
	sendReply(MsgAppendReply, 4, 2)
	if c.commit != 2 {
		t.Fatalf("commit is %d, want 2", c.commit)
	}
}

// Guards against a leader that sends messages of a term before the term is on
// its own disk: after a crash it could vote for another leader in that term.
func TestTermIsStoredBeforeItIsSent(t *testing.T) {
	s := newSim(t, 8)
	c := NewCore(CoreConfig{Cluster: "sim", Self: "a", Disk: "a", Founder: true, ElectionTimeout: simElection, Heartbeat: simHeartbeat, MaxBatchBytes: 1000, Rand: s.rng},
		s.now, CoreState{Snapshot: SnapshotMeta{Members: Members{{Host: "a", Disk: "a", Voter: true}, {Host: "b", Disk: "b"}}}})
	c.Tick(s.now.Add(time.Hour))
	if r := c.Ready(); c.role != Leader || r.Hard == nil || len(r.EarlyMessages) > 0 || len(r.Messages) == 0 {
		t.Fatalf("%s returned Ready %+v", c.role, r)
	}
}

// Guards against a reply to a message for a former disk, and against installing
// a snapshot that was damaged in transit or losing a received one when the disk
// is full.
func TestIgnoresStaleAndDamagedMessages(t *testing.T) {
	s := newSim(t, 7, "a", "b")
	c := s.hosts["a"].eng.core
	meta, state := snapshotAt(9, 1)
	m := Message{Kind: MsgSnapshot, Cluster: "sim", From: "b", To: "a", Term: 1, Snapshot: &SnapshotChunk{Meta: meta, Data: state}}
	m.ToDisk = "former"
	c.Step(s.now, m)
	if r := c.Ready(); !r.Empty() {
		t.Fatalf("a message for a former disk caused %+v", r)
	}
	m.ToDisk = ""
	m.Snapshot.Data = append([]byte("X"), state[1:]...)
	c.Step(s.now, m)
	if c.commit != 0 {
		t.Fatal("a damaged snapshot was installed")
	}
	m.Snapshot.Data = state
	c.Step(s.now, m)
	c.Discard(c.Ready())
	if r := c.Ready(); c.commit != 9 || r.Snapshot == nil || len(r.Messages) > 0 {
		t.Fatal("the whole snapshot was not installed, or forgotten on a full disk")
	}
}

// Guards against bootstrapping two groups from the same hosts: while the disks
// are not recorded, a host with a lost disk cannot be told apart from the
// original one.
func TestGroupFormsOnlyWithAllHosts(t *testing.T) {
	s := newSim(t, 4, simHosts...)
	s.partition("c")
	s.steps(electionSteps(20))
	if s.leader() != nil {
		t.Fatalf("two of three hosts bootstrapped a group\n%s", s.describe())
	}
	s.partition()
	s.commitProposals(5)

	// The next command is committed by a and b only. Once a has lost its disk, only
	// b holds the command, and b is down.
	s.partition("c")
	s.propose(s.awaitLeader())
	s.steps(electionSteps(4))
	s.crash("a")
	s.crash("b")
	s.partition()
	s.add("a", simHosts)
	s.steps(electionSteps(20))
	if s.leader() != nil {
		t.Fatalf("a host with an empty disk helped to elect a leader\n%s", s.describe())
	}
	if s.hosts["a"].eng.core.commit != 0 {
		t.Fatal("a host with an empty disk got entries under its old identity")
	}
}

// replaceDisk gives a host a new, empty disk and waits until it is a voter
// again.
func (s *sim) replaceDisk(id hostID) {
	s.t.Helper()
	s.crash(id)
	h := s.add(id, simHosts)
	s.steps(electionSteps(3))
	if n := h.eng.core.log.last(); n != 0 {
		s.t.Fatalf("%s received %d entries under the identity of its former disk", id, n)
	}
	s.await("host with a new disk is a voter", func() bool {
		l := s.leader()
		if l == nil || l.id == id {
			return false
		}
		_ = l.eng.core.AddHost(Member{Host: id, Disk: h.disk}) // refused while another change is in progress
		s.runHost(l)
		m, ok := l.eng.core.Members().Find(id)
		return ok && m.Voter && m.Disk == h.disk && l.eng.core.membersCommitted()
	})
}

// Guards against a host with a new disk that counts as a voter before it holds
// the committed entries: the loss of one more host would then lose them.
func TestDiskReplacement(t *testing.T) {
	t.Run("a second host is lost right after a disk is replaced", func(t *testing.T) {
		for seed := range uint64(40) {
			for _, victim := range []hostID{"a", "b"} {
				s := newSim(t, seed, simHosts...)
				s.loss, s.duplicate, s.delay = 0.1, 0.1, 4
				for range 30 {
					s.propose(s.awaitLeader())
					s.steps(1)
				}
				if seed%2 == 0 {
					s.snapshot(s.awaitLeader().id)
				}
				s.replaceDisk("c")
				accepted := s.acked
				s.crash(victim)
				s.crash("c") // only what is synced counts
				s.restart("c")
				l := s.awaitLeader()
				s.propose(l)
				s.await("commit by the remaining two hosts", func() bool { return s.acked > accepted })
				if got := uint64(len(l.applied)); got < accepted {
					t.Fatalf("seed %d: %d entries committed, %d remain", seed, accepted, got)
				}
			}
		}
	})

	// Guards against a replaced disk that returns and votes in addition to the new
	// one.
	t.Run("the former disk never votes again", func(t *testing.T) {
		s := newSim(t, 5, simHosts...)
		s.commitProposals(5)
		former := s.hosts["c"].fs
		s.replaceDisk("c")
		s.commitProposals(3)
		s.crash("c")
		s.hosts["c"].fs = former
		s.restart("c")
		s.crash(s.awaitLeader().id)
		s.steps(electionSteps(20))
		if l := s.leader(); l != nil {
			t.Fatalf("%s leads with the vote of a replaced disk\n%s", l.id, s.describe())
		}
	})
}

// Guards against a learner that counts towards the quorum before it has caught
// up, and against a host that cannot be removed.
func TestAddAndRemoveHosts(t *testing.T) {
	s := newSim(t, 6, simHosts...)
	s.commitProposals(40)
	for _, h := range simHosts {
		s.snapshot(h)
	}
	x := s.add("x", nil)
	s.partition("x")
	if err := s.awaitLeader().eng.core.AddHost(Member{Host: "x", Disk: x.disk}); err != nil {
		t.Fatal(err)
	}
	s.steps(electionSteps(5))
	if m, ok := s.awaitLeader().eng.core.Members().Find("x"); !ok || m.Voter {
		t.Fatalf("an unreachable learner is %+v", m)
	}
	s.partition()
	s.await("x is a voter", func() bool { m, _ := s.awaitLeader().eng.core.Members().Find("x"); return m.Voter })
	for _, h := range simHosts[:2] {
		s.await(fmt.Sprintf("%s is removed", h), func() bool {
			l := s.awaitLeader()
			_ = l.eng.core.RemoveHost(h)
			s.runHost(l)
			s.steps(1)
			_, ok := l.eng.core.Members().Find(h)
			return !ok && l.eng.core.membersCommitted()
		})
		s.crash(h)
	}
	s.propose(s.awaitLeader())
	accepted := s.acked
	s.await("c and x commit", func() bool { return s.acked > accepted })
}
