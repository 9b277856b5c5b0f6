package replog

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a host that, after a loss of all power, serves only once it has replayed
// whole configurations again; and against a snapshot for each small entry.
func TestSnapshotInThePauseAfterLargeEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		cfg := Config{QuietSnapshotBytes: 1000}
		disks, _, logs := n.openGroup(t, cfg, threeHosts...)
		leader := waitLeader(t, logs...)
		propose(t, leader, "small")
		time.Sleep(time.Second)
		if st := leader.Status(); st.SnapshotIndex != 0 {
			t.Errorf("snapshot at %d for a small entry", st.SnapshotIndex)
		}
		for range 5 {
			propose(t, leader, strings.Repeat("x", 600))
		}
		time.Sleep(time.Second)
		n.closeAll(t)
		for _, h := range threeHosts {
			machine := &listMachine{}
			cfg.Self, cfg.Dir, cfg.FS, cfg.Voters = h, simDir, disks[h], threeHosts
			n.open(t, cfg, machine)
			if got := machine.values(); len(got) != 6 {
				t.Errorf("%s starts with %d of 6 entries applied", h, len(got))
			}
		}
	})
}
