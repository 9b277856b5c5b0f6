package replog

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
)

// listMachine is a state machine that keeps every applied command. Its snapshot
// is the list of commands.
type listMachine struct {
	mu   sync.Mutex
	list []string
}

func (s *listMachine) Apply(e Entry) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, string(e.Data))
	return len(s.list)
}

func (s *listMachine) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []byte(strings.Join(s.list, "\n")), nil
}

func (s *listMachine) Restore(b []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = strings.Split(string(b), "\n")
	return nil
}

func (s *listMachine) values() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.list...)
}

// network connects Logs in one process. It drops all messages to and from
// isolated hosts.
type network struct {
	mu       sync.Mutex
	logs     map[model.HostID]*Log
	isolated map[model.HostID]bool
	// delay bounds the random delay of a message.
	delay time.Duration
}

func newNetwork(t testing.TB) *network {
	n := &network{logs: map[model.HostID]*Log{}, isolated: map[model.HostID]bool{}}
	t.Cleanup(func() { n.closeAll(t) })
	return n
}

func (n *network) Send(to model.HostID, m Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.logs[to]
	switch {
	case l == nil || n.isolated[to] || n.isolated[m.From]:
	case n.delay == 0:
		l.Deliver(m)
	default:
		time.AfterFunc(n.delay/2+rand.N(n.delay/2), func() { l.Deliver(m) })
	}
}

func (n *network) setIsolated(h model.HostID, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[h] = on
}

func (n *network) open(t testing.TB, cfg Config, sm StateMachine) *Log {
	t.Helper()
	cfg.Cluster = "test"
	l, err := Open(cfg, sm, n)
	if err != nil {
		t.Fatal(err)
	}
	n.mu.Lock()
	n.logs[cfg.Self] = l
	n.mu.Unlock()
	return l
}

func (n *network) close(t testing.TB, h model.HostID) {
	t.Helper()
	n.mu.Lock()
	l := n.logs[h]
	delete(n.logs, h)
	n.mu.Unlock()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

func (n *network) closeAll(t testing.TB) {
	for h := range n.logs {
		n.close(t, h)
	}
}

var threeHosts = []model.HostID{"a", "b", "c"}

func waitLeader(t testing.TB, logs ...*Log) *Log {
	t.Helper()
	for range 2000 {
		for _, l := range logs {
			if st := l.Status(); st.Role == Leader && st.Commit > 0 {
				return l
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no leader elected")
	return nil
}

func propose(t testing.TB, l *Log, data string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := l.Propose(ctx, []byte(data)); err != nil {
		t.Fatalf("propose %s: %v", data, err)
	}
}

// Guards against a group that is not bootstrapped, a proposal that is answered
// before it is applied, and committed entries that are lost when all hosts
// restart.
func TestProposeAndRestart(t *testing.T) {
	dirs := map[model.HostID]string{}
	for _, h := range threeHosts {
		dirs[h] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		var logs []*Log
		for _, h := range threeHosts {
			logs = append(logs, n.open(t, Config{Self: h, Dir: dirs[h], Voters: threeHosts}, &listMachine{}))
		}
		leader := waitLeader(t, logs...)
		for i := range 20 {
			v, err := leader.Propose(t.Context(), fmt.Appendf(nil, "e%d", i))
			if err != nil || v != i+1 {
				t.Fatalf("got %v, %v", v, err)
			}
		}
		for _, l := range logs {
			if l == leader {
				continue
			}
			var notLeader ErrNotLeader
			if _, err := l.Propose(t.Context(), []byte("x")); !errors.As(err, &notLeader) || notLeader.Leader != leader.cfg.Self {
				t.Fatalf("follower answered %v", err)
			}
		}
		n.closeAll(t)

		machines := map[model.HostID]*listMachine{}
		logs = nil
		for _, h := range threeHosts {
			machines[h] = &listMachine{}
			logs = append(logs, n.open(t, Config{Self: h, Dir: dirs[h], Voters: threeHosts}, machines[h]))
		}
		leader = waitLeader(t, logs...)
		if _, err := leader.ConfirmLeader(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := machines[leader.cfg.Self].values(); len(got) != 20 || got[19] != "e19" {
			t.Fatalf("after restart: %v", got)
		}
	})
}

// openGroup opens a Log with an in-memory disk on each host.
func (n *network) openGroup(t testing.TB, cfg Config, hosts ...model.HostID) (map[model.HostID]*wal.MemFS, map[model.HostID]*listMachine, []*Log) {
	t.Helper()
	disks, machines := map[model.HostID]*wal.MemFS{}, map[model.HostID]*listMachine{}
	var logs []*Log
	for _, h := range hosts {
		disks[h], machines[h] = wal.NewMemFS(), &listMachine{}
		cfg.Self, cfg.Dir, cfg.FS, cfg.Voters = h, simDir, disks[h], hosts
		logs = append(logs, n.open(t, cfg, machines[h]))
	}
	return disks, machines, logs
}

// Guards against a new host that never receives the state because the entries it
// needs were compacted, or that becomes a voter before it holds the state, and
// against a group that cannot continue after its leader is removed.
func TestAddHostBySnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		cfg := Config{SnapshotBytes: 2_200_000, SegmentBytes: 300_000}
		_, _, logs := n.openGroup(t, cfg, threeHosts...)
		leader := waitLeader(t, logs...)
		big := strings.Repeat("x", 100_000) // the snapshot needs several chunks
		for range 30 {
			propose(t, leader, big)
		}
		time.Sleep(time.Second)
		if st := leader.Status(); st.SnapshotIndex < 20 {
			t.Fatalf("no snapshot: %+v", st)
		}
		machine := &listMachine{}
		cfg.Self, cfg.Dir, cfg.FS = "d", simDir, wal.NewMemFS()
		added := n.open(t, cfg, machine)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if err := leader.AddHost(ctx, Member{Host: "d", Disk: added.Status().Disk, Address: "10.0.0.4:7"}); err != nil {
			t.Fatal(err)
		}
		if got := machine.values(); len(got) < 30 || got[0] != big {
			t.Fatalf("the new voter holds %d entries", len(got))
		}
		if err := leader.RemoveHost(ctx, leader.cfg.Self); err != nil {
			t.Fatal(err)
		}
		n.close(t, leader.cfg.Self)
		rest := slices.DeleteFunc(append(logs, added), func(l *Log) bool { return l == leader })
		time.Sleep(5 * time.Second)
		propose(t, waitLeader(t, rest...), "after")
	})
}

// Guards against a learner that becomes a voter although it would give its data centre
// half of the votes, and against one that stays a learner when it may vote again.
func TestMayVoteHoldsLearnerBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		var allowed atomic.Bool
		cfg := Config{MayVote: func(m Member, members Members) bool {
			if m.Host != "d" || members.Voters() != 3 {
				t.Errorf("asked about %s with %d voters", m.Host, members.Voters())
			}
			return allowed.Load()
		}}
		_, _, logs := n.openGroup(t, cfg, threeHosts...)
		leader := waitLeader(t, logs...)
		cfg.Self, cfg.Dir, cfg.FS = "d", simDir, wal.NewMemFS()
		added := n.open(t, cfg, &listMachine{})
		if err := leader.BeginAddHost(t.Context(), Member{Host: "d", Disk: added.Status().Disk}); err != nil {
			t.Fatal(err)
		}
		propose(t, leader, "before")
		time.Sleep(10 * time.Second)
		if ms := leader.Status().Members; ms.Voters() != 3 || len(ms) != 4 {
			t.Errorf("members %v, want three voters and a learner", ms)
		}
		allowed.Store(true)
		time.Sleep(10 * time.Second)
		if ms := leader.Status().Members; ms.Voters() != 4 {
			t.Errorf("members %v, want four voters", ms)
		}
	})
}

// Guards against a full disk that blocks callers or other hosts, loses committed
// entries, or requires a restart once there is space.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		disks, machines, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		for i := range 10 {
			propose(t, leader, fmt.Sprint("before ", i))
		}
		disks[leader.cfg.Self].SetFree(5)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		for range 3 {
			if _, err := leader.Propose(ctx, []byte("does not fit")); !errors.Is(err, ErrDiskFull) {
				t.Fatalf("on the full disk: %v", err)
			}
		}
		if _, err := leader.ConfirmLeader(ctx); err == nil || ctx.Err() != nil || !leader.Status().DiskFull {
			t.Fatalf("a host with a full disk confirmed its leadership; %+v", leader.Status())
		}
		// A refused proposal must not be committed if there is space before an
		// election.
		disks[leader.cfg.Self].SetFree(-1)
		time.Sleep(5 * time.Second)
		leader = waitLeader(t, logs...)
		disks[leader.cfg.Self].SetFree(5)
		if _, err := leader.Propose(ctx, []byte("does not fit")); !errors.Is(err, ErrDiskFull) {
			t.Fatalf("on the full disk: %v", err)
		}
		time.Sleep(5 * time.Second)
		next := waitLeader(t, slices.DeleteFunc(slices.Clone(logs), func(l *Log) bool { return l == leader })...)
		propose(t, next, "meanwhile")
		disks[leader.cfg.Self].SetFree(-1)
		time.Sleep(3 * time.Second)
		if got := machines[leader.cfg.Self].values(); len(got) != 11 || got[10] != "meanwhile" || leader.Status().DiskFull {
			t.Fatalf("with space again: %v", got)
		}
	})
}

// Guards against a host that continues after a failed sync, which leaves the
// contents of the disk unknown, and against calls that never return.
func TestFailedSyncStopsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		disks, _, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		disks[leader.cfg.Self].SetSyncError(errors.New("I/O error"))
		if _, err := leader.Propose(t.Context(), []byte("x")); !errors.Is(err, ErrOutcomeUnknown) {
			t.Fatalf("got %v", err)
		}
		synctest.Wait()
		if _, err := leader.Propose(t.Context(), []byte("y")); !errors.Is(err, ErrClosed) {
			t.Fatalf("got %v", err)
		}
		if err := leader.Status().Err; !errors.Is(err, ErrDisk) {
			t.Fatalf("status says %v", err)
		}
	})
}

// Guards against a proposal on a partitioned leader that is reported as refused
// although it may be committed, and against a stale read that is confirmed.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		_, _, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		n.setIsolated(leader.cfg.Self, true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		if _, err := leader.Propose(ctx, []byte("x")); !errors.Is(err, ErrOutcomeUnknown) || ctx.Err() != nil {
			t.Fatalf("got %v", err)
		}
		if _, err := leader.ConfirmLeader(ctx); err == nil {
			t.Fatal("a partitioned leader confirmed its leadership")
		}
		if _, err := leader.Propose(t.Context(), make([]byte, DefaultMaxEntryBytes+1)); !errors.Is(err, ErrTooLarge) {
			t.Fatalf("got %v", err)
		}
		next := waitLeader(t, logs...)
		propose(t, next, "majority")
		n.setIsolated(leader.cfg.Self, false)
		time.Sleep(3 * time.Second)
		if st := leader.Status(); st.Role != Follower || st.Commit != next.Status().Commit {
			t.Fatalf("after the partition: %+v", st)
		}
	})
}

// Guards against hosts that join one after another with a wait between them: a fleet that
// starts needs its control hosts before its nodes.
func TestHostsThatJoinTogetherWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		_, _, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var wg sync.WaitGroup
		for _, host := range []model.HostID{"d", "e", "f", "g", "h", "i", "j"} {
			added := n.open(t, Config{Self: host, Dir: simDir, FS: wal.NewMemFS()}, &listMachine{})
			wg.Go(func() {
				if err := leader.BeginAddHost(ctx, Member{Host: host, Disk: added.Status().Disk}); err != nil {
					t.Errorf("%s: %v", host, err)
				}
			})
		}
		wg.Wait()
		time.Sleep(2 * time.Second)
		if ms := leader.Status().Members; ms.Voters() != 10 {
			t.Errorf("%d of 10 hosts vote", ms.Voters())
		}
	})
}

// Guards against a planned stop of the leader that interrupts proposals or
// leaves the group without a leader for an election timeout.
func TestLeadershipTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		_, _, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		results := make(chan error, 50)
		for i := range cap(results) {
			go func() { _, err := leader.Propose(t.Context(), fmt.Appendf(nil, "%d", i)); results <- err }()
		}
		synctest.Wait()
		start := time.Now()
		if err := leader.TransferLeadership(t.Context()); err != nil {
			t.Fatal(err)
		}
		n.close(t, leader.cfg.Self)
		rest := slices.DeleteFunc(logs, func(l *Log) bool { return l == leader })
		propose(t, waitLeader(t, rest...), "after")
		if d := time.Since(start); d >= DefaultElectionTimeout/2 {
			t.Fatalf("the leadership transfer took %v", d)
		}
		for range cap(results) {
			if err := <-results; err != nil {
				t.Fatalf("a proposal was interrupted: %v", err)
			}
		}
	})
}

// Guards against a group that cannot elect a leader after all hosts lost power:
// a host must know the addresses of the others from its own log, before any
// entry is known to be committed.
func TestAddressesAreKnownWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		disks, _, logs := n.openGroup(t, Config{}, threeHosts...)
		leader := waitLeader(t, logs...)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		for _, l := range logs {
			m := Member{Host: l.cfg.Self, Disk: l.Status().Disk, Address: "at-" + string(l.cfg.Self)}
			if err := leader.AddHost(ctx, m); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		for _, l := range logs {
			n.close(t, l.cfg.Self)
		}
		self := threeHosts[0]
		l := n.open(t, Config{Self: self, Dir: simDir, FS: disks[self]}, &listMachine{})
		for _, id := range threeHosts {
			if m, ok := l.Status().Members.Find(id); !ok || !m.Voter || m.Address != "at-"+string(id) {
				t.Errorf("%s: %+v", id, m)
			}
		}
	})
}
