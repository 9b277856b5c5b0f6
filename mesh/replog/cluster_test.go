package replog

import (
	"fmt"
	"testing"
	"time"
)

var simHosts = []hostID{"a", "b", "c"}

// others returns the hosts of the simulation beside id.
func (s *sim) others(id hostID) []*simHost {
	var out []*simHost
	for _, h := range s.order {
		if h != id {
			out = append(out, s.hosts[h])
		}
	}
	return out
}

// commitProposals proposes n commands on the leader and waits until all hosts applied them.
func (s *sim) commitProposals(n int) {
	s.t.Helper()
	for range n {
		s.propose(s.awaitLeader())
		s.steps(1)
	}
	s.checkConvergence()
}

func electionSteps(n int) int { return n * int(simElection/simStep) }

// Guards against a leader behind a partition that commits, confirms its
// leadership or goes on leading, and against two sides that both accept.
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
		t.Fatal("the leader outlived its lease")
	}
	s.steps(electionSteps(4))
	s.propose(s.awaitLeader())
	s.steps(20)
	if oldLeader.eng.core.commit != commit || s.confirmedReads != confirmed {
		t.Fatalf("behind the partition: commit %d to %d, confirmations %d", commit, oldLeader.eng.core.commit, s.confirmedReads-confirmed)
	}
	if s.acked <= commit {
		t.Fatal("the majority accepted nothing")
	}
	s.checkConvergence()
}

// Guards against a host that raises its term behind a partition and deposes
// the leader on its return.
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
	// A host that did raise its term is not heard either while the leader lives.
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

// Guards against an entry of an earlier term that counts as accepted by its
// copies alone: a later leader without it could replace it.
func TestEntryOfEarlierTermCommitsWithCurrentTerm(t *testing.T) {
	ms := initialMembers(simHosts)
	for i := range ms {
		ms[i].Disk = DiskID(ms[i].Host)
	}
	s := newSim(t, 3)
	c := NewCore(CoreConfig{Cluster: "sim", Self: "a", Disk: "a", ElectionTimeout: simElection, Heartbeat: simHeartbeat,
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
		t.Fatal("a change of hosts was taken before the first entry of the term was accepted")
	}
	sendReply(MsgAppendReply, 4, 1)
	if c.commit != 0 {
		t.Fatal("an entry of term 2 was committed by counting copies in term 4")
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

// Guards against a leader that announces a term before it is on its own disk:
// after a crash it could vote for another leader of that term.
func TestTermIsStoredBeforeItIsSent(t *testing.T) {
	s := newSim(t, 8)
	c := NewCore(CoreConfig{Cluster: "sim", Self: "a", Disk: "a", ElectionTimeout: simElection, Heartbeat: simHeartbeat, MaxBatchBytes: 1000, Rand: s.rng},
		s.now, CoreState{Snapshot: SnapshotMeta{Members: Members{{Host: "a", Disk: "a", Voter: true}, {Host: "b", Disk: "b"}}}})
	c.Tick(s.now.Add(time.Hour))
	if r := c.Ready(); c.role != Leader || r.Hard == nil || len(r.EarlyMessages) > 0 || len(r.Messages) == 0 {
		t.Fatalf("%s has to do %+v", c.role, r)
	}
}

// Guards against messages for a former disk being answered, and against a
// snapshot that was damaged on its way being installed.
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

// Guards against a group that is formed twice: as long as the disks are not
// known, a host with a lost disk looks like the original one.
func TestGroupFormsOnlyWithAllHosts(t *testing.T) {
	s := newSim(t, 4, simHosts...)
	s.partition("c")
	s.steps(electionSteps(20))
	if s.leader() != nil {
		t.Fatalf("two of three hosts formed a group\n%s", s.describe())
	}
	s.partition()
	s.commitProposals(5)

	// c never saw the partitioned entries, a loses its disk: b alone knows them.
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

// replaceDisk replaces the disk of a host and waits until it is a voter again.
func (s *sim) replaceDisk(id hostID) {
	s.t.Helper()
	s.crash(id)
	h := s.add(id, simHosts)
	s.steps(electionSteps(3))
	if n := h.eng.core.log.last(); n != 0 {
		s.t.Fatalf("%s got %d entries under the identity of its former disk", id, n)
	}
	s.await("repair", func() bool {
		l := s.leader()
		if l == nil || l.id == id {
			return false
		}
		_ = l.eng.core.AddHost(Member{Host: id, Disk: h.disk}) // refused while another change runs
		s.runHost(l)
		m, ok := l.eng.core.Members().Find(id)
		return ok && m.Voter && m.Disk == h.disk && l.eng.core.membersCommitted()
	})
}

// Guards against a repaired host that counts as a voter before it holds the
// accepted entries on its disk: then the loss of one more host would lose them.
func TestDiskReplacement(t *testing.T) {
	t.Run("a second host is lost right after a repair", func(t *testing.T) {
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
				s.await("acceptance by the two that remain", func() bool { return s.acked > accepted })
				if got := uint64(len(l.applied)); got < accepted {
					t.Fatalf("seed %d: %d entries accepted, %d remain", seed, accepted, got)
				}
			}
		}
	})

	// Guards against an old disk that comes back and votes beside the new one.
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

// Guards against learners that count for the quorum before they have caught
// up, and against hosts that are not let go.
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
	s.await("c and x accept", func() bool { return s.acked > accepted })
}
