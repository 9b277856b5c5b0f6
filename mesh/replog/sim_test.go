package replog

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/replog/wal"
)

const (
	simDir       = "/data"
	simStep      = 10 * time.Millisecond
	simElection  = 200 * time.Millisecond
	simHeartbeat = 40 * time.Millisecond
)

// testingT is the common part of testing.T and rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs the engines of several hosts step by step, with virtual time, a
// faulty network and disks that lose unsynced data. It compares every applied
// entry with the reference sequence.
type sim struct {
	t     testingT
	rng   *rand.Rand
	now   time.Time
	hosts map[hostID]*simHost
	order []hostID
	net   []inFlight
	// loss and duplicate are the probabilities that a message is lost or sent
	// again; delay is the maximum delay of a message in steps.
	loss, duplicate float64
	delay           int
	// blocked holds the pairs of sender and recipient whose messages are dropped.
	blocked map[[2]hostID]bool

	reference      []Entry // reference[i] is the entry committed at index i+1
	leaders        map[uint64]hostID
	acked          uint64 // greatest index of a proposed command that a leader has applied
	proposed       map[uint64]uint64
	reads          map[uint64]uint64 // value of acked when the read began
	nextID         uint64
	confirmedReads int
}

type inFlight struct {
	at time.Time
	m  Message
}

type simHost struct {
	id      hostID
	fs      *wal.MemFS
	disk    DiskID
	eng     *engine
	applied []Entry
	voters  []hostID
	// firstStart is CoreConfig.FirstStart of a host that starts with voters and an empty disk.
	firstStart bool
	diskFull   bool
}

func newSim(t testingT, seed uint64, hosts ...hostID) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), hosts: map[hostID]*simHost{},
		blocked: map[[2]hostID]bool{}, leaders: map[uint64]hostID{}, proposed: map[uint64]uint64{}, reads: map[uint64]uint64{}, delay: 2,
	}
	for _, h := range hosts {
		s.add(h, hosts)
	}
	return s
}

// add starts a host with an empty disk.
func (s *sim) add(h hostID, voters []hostID) *simHost {
	host := &simHost{id: h, fs: wal.NewMemFS(), voters: voters}
	if s.hosts[h] == nil {
		s.order = append(s.order, h)
	}
	s.hosts[h] = host
	s.start(host)
	return host
}

func (s *sim) start(h *simHost) {
	id, err := openIdentity(h.fs, simDir, identity{Cluster: "sim", Host: h.id, Founders: h.voters, FirstStart: h.firstStart})
	s.check(err)
	d, rec, err := openDisk(h.fs, simDir, 600, initialMembers(id.Founders))
	if eris.Is(err, ErrDiskFull) {
		return // recovery may need disk space; the host stays down
	}
	s.check(err)
	h.disk, h.diskFull, h.applied = id.Disk, false, nil
	if rec.state.Snapshot.Index > 0 {
		s.check(cbor.Unmarshal(rec.data, &h.applied))
		s.checkAllApplied(h)
	}
	core := NewCore(CoreConfig{
		Cluster: "sim", Self: h.id, Disk: id.Disk, Founder: len(id.Founders) > 0, FirstStart: id.FirstStart, ElectionTimeout: simElection, Heartbeat: simHeartbeat,
		MaxBatchBytes: 150, MaxInflight: 16, Rand: s.rng,
	}, s.now, rec.state)
	h.eng = &engine{core: core, disk: d, send: s.send, apply: func(r Ready) { s.apply(h, r) }}
}

func (s *sim) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatalf("%v", err)
	}
}

func (s *sim) send(messages []Message) {
	for _, m := range messages {
		if m.Kind == MsgSnapshot && m.Snapshot.Offset != noChunkData {
			chunk := *m.Snapshot
			data, err := readChunk(s.hosts[m.From].fs, simDir, chunk.Meta.Index, chunk.Offset, min(64, chunk.Meta.Size-chunk.Offset))
			if err != nil {
				continue
			}
			chunk.Data, m.Snapshot = data, &chunk
		}
		m = roundTrip(s, m)
		for s.rng.Float64() >= s.loss {
			delay := time.Duration(s.rng.IntN(s.delay)+1) * simStep
			s.net = append(s.net, inFlight{at: s.now.Add(delay), m: m})
			if s.rng.Float64() >= s.duplicate {
				break
			}
		}
	}
}

// roundTrip encodes and decodes a message, so that hosts share no memory.
func roundTrip(s *sim, m Message) Message {
	b, err := cbor.Marshal(m)
	s.check(err)
	var out Message
	s.check(cbor.Unmarshal(b, &out))
	return out
}

func (s *sim) apply(h *simHost, r Ready) {
	if r.Snapshot != nil {
		h.applied = nil
		s.check(cbor.Unmarshal(r.Snapshot.Data, &h.applied))
		s.checkAllApplied(h)
	}
	for _, e := range r.Committed {
		i := len(h.applied)
		if e.Index != uint64(i)+1 {
			s.t.Fatalf("%s applies entry %d after %d entries", h.id, e.Index, i)
		}
		h.applied = append(h.applied, e)
		if i == len(s.reference) {
			s.reference = append(s.reference, e)
		}
		s.checkApplied(h, i)
		if term, ok := s.proposed[e.Index]; ok && term == e.Term && h.eng.core.role == Leader {
			s.acked = max(s.acked, e.Index)
		}
	}
	for _, res := range r.Reads {
		if res.Err == nil && res.Index < s.reads[res.ID] {
			s.t.Fatalf("%s confirmed leadership at %d, but %d was committed before the call", h.id, res.Index, s.reads[res.ID])
		}
		if res.Err == nil {
			s.confirmedReads++
		}
	}
}

func (s *sim) checkAllApplied(h *simHost) {
	for i := range h.applied {
		s.checkApplied(h, i)
	}
}

func (s *sim) checkApplied(h *simHost, i int) {
	if i >= len(s.reference) || !reflect.DeepEqual(h.applied[i], s.reference[i]) {
		s.t.Fatalf("%s applied %+v at %d, which is not the committed entry", h.id, h.applied[i], i+1)
	}
}

// runHost processes the output of a host's core. A host with a full disk probes
// for space at each step.
func (s *sim) runHost(h *simHost) {
	if h.diskFull {
		if h.diskFull = h.eng.disk.probeSpace() != nil; h.diskFull {
			return
		}
	}
	if err := h.eng.run(); eris.Is(err, ErrDiskFull) {
		h.diskFull = true
	} else {
		s.check(err)
	}
	if c := h.eng.core; c.role == Leader {
		if other, ok := s.leaders[c.term]; ok && other != h.id {
			s.t.Fatalf("%s and %s both lead term %d", other, h.id, c.term)
		}
		s.leaders[c.term] = h.id
		if c.commit == c.log.last() && c.uncommittedBytes != 0 {
			s.t.Fatalf("%s counts %d uncommitted bytes, but all entries are committed", h.id, c.uncommittedBytes)
		}
	}
}

// steps advances virtual time by n steps. In each step it delivers the messages
// that are due, ticks all hosts and checks the log matching property.
func (s *sim) steps(n int) {
	for range n {
		s.now = s.now.Add(simStep)
		due := s.net
		s.net = nil
		var later []inFlight
		for _, f := range due {
			if f.at.After(s.now) {
				later = append(later, f)
			} else if h := s.hosts[f.m.To]; h != nil && h.eng != nil && !h.diskFull && !s.blocked[[2]hostID{f.m.From, f.m.To}] {
				h.eng.core.Step(s.now, f.m)
				s.runHost(h)
			}
		}
		s.net = append(later, s.net...)
		for _, id := range s.order {
			if h := s.hosts[id]; h.eng != nil {
				h.eng.core.Tick(s.now)
				s.runHost(h)
			}
		}
		s.checkLogMatching()
	}
}

// checkLogMatching checks the log matching property for all pairs of hosts.
func (s *sim) checkLogMatching() {
	for i, x := range s.order {
		for _, y := range s.order[i+1:] {
			s.checkLogPair(s.hosts[x], s.hosts[y])
		}
	}
}

// checkLogPair checks that two logs with the same term at an index hold the same
// entries up to that index.
func (s *sim) checkLogPair(x, y *simHost) {
	if x.eng == nil || y.eng == nil {
		return
	}
	a, b := &x.eng.core.log, &y.eng.core.log
	matched := false
	for i := min(a.last(), b.last()); i > max(a.offset, b.offset); i-- {
		if a.term(i) == b.term(i) {
			matched = true
		}
		if matched && !reflect.DeepEqual(a.slice(i, i), b.slice(i, i)) {
			s.t.Fatalf("%s and %s differ at %d below a matching entry", x.id, y.id, i)
		}
	}
}

// crash stops a host. Its disk keeps synced data and a random part of the rest.
func (s *sim) crash(id hostID) {
	h := s.hosts[id]
	h.eng = nil
	h.fs.Crash(func(n int) int { return s.rng.IntN(n + 1) })
}

func (s *sim) restart(id hostID) {
	if h := s.hosts[id]; h.eng == nil {
		s.start(h)
	}
}

// snapshot writes a snapshot of a host's state and compacts its log.
func (s *sim) snapshot(id hostID) {
	h := s.hosts[id]
	if h.eng == nil || h.diskFull || len(h.applied) == 0 {
		return
	}
	c := h.eng.core
	if c.applied <= c.snapshot.Index {
		return
	}
	state, err := cbor.Marshal(h.applied)
	s.check(err)
	meta := SnapshotMeta{
		Index: c.applied, Term: c.log.term(c.applied), Members: c.membersAtIndex(c.applied),
		Size: int64(len(state)), Checksum: xxhash.Sum64(state),
	}
	if err := saveSnapshot(h.fs, simDir, meta, state); eris.Is(err, ErrDiskFull) {
		return
	} else {
		s.check(err)
	}
	c.Compact(meta, meta.Index-min(meta.Index, 3))
	if err := h.eng.disk.compact(meta.Index); !eris.Is(err, ErrDiskFull) {
		s.check(err)
	}
}

// partition separates the given hosts from all others. Without arguments it ends
// a partition.
func (s *sim) partition(side ...hostID) {
	for _, x := range s.order {
		for _, y := range s.order {
			s.blocked[[2]hostID{x, y}] = slices.Contains(side, x) != slices.Contains(side, y)
		}
	}
}

// heal ends all faults and starts all stopped hosts.
func (s *sim) heal() {
	s.blocked = map[[2]hostID]bool{}
	s.loss, s.duplicate, s.delay = 0, 0, 2
	for _, h := range s.order {
		s.hosts[h].fs.SetFree(-1)
		s.restart(h)
	}
}

func (s *sim) leader() *simHost {
	var best *simHost
	for _, id := range s.order {
		if h := s.hosts[id]; h.eng != nil && h.eng.core.role == Leader && (best == nil || h.eng.core.term > best.eng.core.term) {
			best = h
		}
	}
	return best
}

// await runs steps until ok returns true, for at most 20 s of virtual time.
func (s *sim) await(what string, ok func() bool) {
	s.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		s.steps(1)
	}
	s.t.Fatalf("condition not reached: %s\n%s", what, s.describe())
}

func (s *sim) describe() string {
	var b strings.Builder
	for _, id := range s.order {
		if h := s.hosts[id]; h.eng != nil {
			c := h.eng.core
			fmt.Fprintf(&b, "%s %s term %d commit %d last %d applied %d members %v\n", id, c.role, c.term, c.commit, c.log.last(), c.applied, c.Members())
		}
	}
	return b.String()
}

// awaitLeader waits for a leader that has committed an entry of its term.
func (s *sim) awaitLeader() *simHost {
	s.t.Helper()
	s.await("leader", func() bool { l := s.leader(); return l != nil && l.eng.core.committedInTerm() })
	return s.leader()
}

// propose proposes a command on a host and does not wait until it is committed.
// A host that is not the leader ignores it.
func (s *sim) propose(h *simHost) {
	if h.eng == nil || h.diskFull {
		return
	}
	s.nextID++
	index, term, err := h.eng.core.Propose(s.now, fmt.Appendf(nil, "command %d", s.nextID))
	if err == nil {
		s.proposed[index] = term
		s.runHost(h)
	}
}

// confirm starts to confirm the leadership of a host.
func (s *sim) confirm(h *simHost) {
	if h.eng == nil || h.diskFull {
		return
	}
	s.nextID++
	s.reads[s.nextID] = s.acked
	h.eng.core.ConfirmLeader(s.now, s.nextID)
	s.runHost(h)
}

// checkConvergence ends all faults and checks that all members apply every entry
// that was ever committed.
func (s *sim) checkConvergence() {
	s.t.Helper()
	s.heal()
	s.propose(s.awaitLeader())
	s.await("all members have applied everything", func() bool {
		l := s.leader()
		if l == nil || !l.eng.core.committedInTerm() {
			return false
		}
		for _, m := range l.eng.core.Members() {
			h := s.hosts[m.Host]
			if h.disk == m.Disk && uint64(len(h.applied)) < max(s.acked, l.eng.core.log.last()) {
				return false
			}
		}
		return true
	})
	if uint64(len(s.reference)) < s.acked {
		s.t.Fatalf("entries up to %d were committed, but only %d remain", s.acked, len(s.reference))
	}
}
