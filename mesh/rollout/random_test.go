package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a decision that State refuses, a share above the bound of its evidence and
// a reversed version with calls, under any order of common failures, missing reports, bad
// versions, capacity changes, new leaders and amended, replaced or withdrawn moves. A
// violated invariant panics.
func TestLeaderRandomRuns(t *testing.T) {
	phases := map[Phase]int{}
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		m := newLeaderRun()
		for range rapid.IntRange(5, 25).Draw(t, "episodes") {
			current, _ := m.Current("ledger")
			switch rapid.IntRange(0, 11).Draw(t, "event") {
			case 0:
				m.leader = NewLeader(nil)
			case 1:
				m.noReports = !m.noReports
			case 2:
				m.capacity.NewLimit = rapid.IntRange(0, 140).Draw(t, "new limit")
				m.capacity.OldServers = rapid.IntRange(0, 1).Draw(t, "old servers")
			case 3:
				m.capacity, m.noReports = warmCapacity, false
			case 4:
				m.do(Command{Op: OpWithdraw, Move: current.Move, Time: InstantOf(at(time.Duration(m.second) * time.Second))})
			case 5:
				amended := startOf(current.Move)
				amended.Move.Revision++
				amended.Move.By += Instant(rapid.IntRange(0, 60_000).Draw(t, "later"))
				amended.Time = InstantOf(at(time.Duration(m.second) * time.Second))
				m.do(amended)
			}
			calls := rapid.SampledFrom([]uint64{0, 20, 200, 1000, 1000}).Draw(t, "calls")
			oldErrors := rapid.SampledFrom([]uint64{0, 0, 0, 30}).Draw(t, "old errors")
			newErrors := rapid.SampledFrom([]uint64{0, 0, 0, 0, 5, 100}).Draw(t, "new errors")
			m.run(rapid.IntRange(1, 30).Draw(t, "seconds"), calls, oldErrors, max(oldErrors, newErrors))
			checkStatus(t, m.status(1))
		}
		phases[m.status(1).Phase]++
	})
	t.Log(phases)
	for _, p := range []Phase{PhaseMoving, PhaseDone, PhaseReversed, PhaseWithdrawn} {
		if phases[p] == 0 {
			t.Errorf("no run ends as %s: the runs cover too few cases", p)
		}
	}
}
