package replog

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
)

// listMachine keeps every applied command; its snapshot is their list.
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

// network connects Logs in one process; a cut host reaches nobody.
type network struct {
	mu   sync.Mutex
	logs map[model.HostID]*Log
	cut  map[model.HostID]bool
}

func newNetwork() *network {
	return &network{logs: map[model.HostID]*Log{}, cut: map[model.HostID]bool{}}
}

func (n *network) Send(to model.HostID, m Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.logs[to]; l != nil && !n.cut[to] && !n.cut[m.From] {
		l.Deliver(m)
	}
}

func (n *network) setCut(h model.HostID, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[h] = on
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
	t.Fatal("no leader")
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

// Guards against a Log that forms no group, answers a proposal before it is
// applied, or forgets accepted entries at a restart of all hosts.
func TestProposeAndRestart(t *testing.T) {
	dirs := map[model.HostID]string{}
	for _, h := range threeHosts {
		dirs[h] = t.TempDir()
	}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
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
		n.closeAll(t)
	})
}
