package replog

import (
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
)

// Guards against a group that waits a whole election timeout for a leader after
// all hosts were restarted, although there is no leader to disrupt.
func TestRestartedGroupElectsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		disks, _, logs := n.openGroup(t, Config{}, threeHosts...)
		propose(t, waitLeader(t, logs...), "before")
		for _, l := range logs {
			n.close(t, l.cfg.Self)
		}
		var again []*Log
		for _, id := range threeHosts {
			again = append(again, n.open(t, Config{Self: id, Dir: simDir, FS: disks[id]}, &listMachine{}))
		}
		began := time.Now()
		waitLeader(t, again...)
		if took := time.Since(began); took > DefaultElectionTimeout {
			t.Errorf("elected a leader only after %s", took)
		}
	})
}

// Guards against a group that waits out an election timeout although a quorum of its hosts
// is connected after a loss of all power, and against candidates that split the votes of
// hosts of which each is needed. The last host of the quorum starts at any time after the others.
func TestQuorumElectsAtOnceAfterALossOfAllPower(t *testing.T) {
	six := []model.HostID{"a", "b", "c", "d", "e", "f"}
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.delay = 30 * time.Millisecond // of hosts that get an eighth of a core
		cfg := Config{ElectionTimeout: 1200 * time.Millisecond, Heartbeat: 200 * time.Millisecond}
		disks, _, logs := n.openGroup(t, cfg, six...)
		propose(t, waitLeader(t, logs...), "before")
		slow := 0
		for round := range 40 {
			n.closeAll(t)
			cfg.Voters = nil
			var up []*Log
			start := func(h model.HostID) {
				cfg.Self, cfg.Dir, cfg.FS = h, simDir, disks[h]
				up = append(up, n.open(t, cfg, &listMachine{}))
			}
			for i := range 3 {
				start(six[(round+i)%len(six)])
			}
			time.Sleep(300*time.Millisecond + time.Duration(round)*7*time.Millisecond)
			began := time.Now()
			start(six[(round+3)%len(six)])
			waitLeader(t, up...)
			if time.Since(began) > 350*time.Millisecond {
				slow++
			}
		}
		if slow > 2 {
			t.Errorf("%d of 40 elections took over 350ms", slow)
		}
	})
}

// Guards against control hosts that start together and learn only with the next heartbeat
// of a new leader what is committed, so that they confirm no position until then.
func TestNewLeaderAnnouncesWhatIsCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.delay = 4 * time.Millisecond
		cfg := Config{ElectionTimeout: 10 * time.Second, Heartbeat: 2 * time.Second}
		disks, _, logs := n.openGroup(t, cfg, threeHosts...)
		propose(t, waitLeader(t, logs...), "before")
		n.closeAll(t)
		cfg.Voters, logs = nil, nil
		for _, h := range threeHosts {
			cfg.Self, cfg.Dir, cfg.FS = h, simDir, disks[h]
			logs = append(logs, n.open(t, cfg, &listMachine{}))
		}
		leader := waitLeader(t, logs...)
		time.Sleep(3 * n.delay)
		for _, l := range logs {
			if got, want := l.Status().Commit, leader.Status().Commit; got != want {
				t.Errorf("%s knows a commit index of %d, the leader of %d", l.Status().Self, got, want)
			}
		}
	})
}
