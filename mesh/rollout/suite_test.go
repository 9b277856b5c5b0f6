package rollout

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

// TestMain fixes the seed of the random runs; -rapid.seed=N sets another one. A violated
// invariant panics.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	invariant.SetFatal(true)
	os.Exit(m.Run())
}

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

var t0 = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func moveTo(note, revision uint64, to model.ServiceVersion) Move {
	return Move{ID: MoveID{note, "ledger"}, Revision: revision, To: to, By: InstantOf(at(2 * time.Minute)), WatchFor: time.Minute}
}

func startOf(m Move) Command { return Command{Op: OpStart, Move: m, From: "v1", Time: InstantOf(t0)} }

// strongEvidence is a summary that meets the limits of every stage.
var strongEvidence = Summary{
	Old: CallStats{Calls: 10_000, Timed: 10_000, Slow: 500}, New: CallStats{Calls: 5000, Timed: 5000, Slow: 250},
	Windows: 5, Nodes: 1, Reported: 1,
}

// machine applies commands to a State with increasing log indexes.
type machine struct {
	*State
	index uint64
}

func newMachine() *machine { return &machine{State: NewState()} }

func (m *machine) do(c Command) Result {
	m.index++
	return m.Apply(c, m.index)
}

// next applies a command that was decided on the current status.
func (m *machine) next(op Op, share model.Share, now time.Time) Result {
	st, _ := m.Current("ledger")
	return m.do(Command{Op: op, Move: Move{ID: st.Move.ID}, Time: InstantOf(now), ExpectedSequence: st.Sequence, Share: share, Summary: strongEvidence})
}

// raiseTo raises the share of the current move through the stages up to share.
func (m *machine) raiseTo(share model.Share) {
	for _, s := range []model.Share{100, 500, 2000, 5000, 8000, model.ShareAll} {
		if s <= share {
			m.next(OpStep, s, at(time.Second))
		}
	}
}

func (m *machine) status(note uint64) Status {
	st, _ := m.Status(MoveID{note, "ledger"})
	return st
}
