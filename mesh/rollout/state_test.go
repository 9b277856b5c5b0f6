package rollout

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/model"
)

var _ = Describe("State", func() {
	var m *machine
	BeforeEach(func() {
		m = newMachine()
		m.do(startOf(moveTo(1, 1, "v2")))
	})

	It("keeps steps, times and evidence of a whole move", func() {
		Expect(m.status(1).Phase).To(Equal(PhaseWaiting))
		m.raiseTo(model.ShareAll)
		m.next(OpComplete, 0, at(time.Minute))
		Expect(m.status(1).InTime()).To(BeTrue())
		m.next(OpEndWatch, 0, at(2*time.Minute))
		st := m.status(1)
		Expect(st.Active()).To(BeFalse())
		Expect(st.Steps).To(HaveLen(9))
		Expect(st.Steps[3].Share).To(BeEquivalentTo(2000))
		Expect(st.Steps[3].Summary).To(Equal(strongEvidence))
		Expect(st.Shares()).To(Equal(map[model.ServiceVersion]model.Share{"v2": model.ShareAll}))
	})

	// Guards against a former leader that raises the share of a version after the new leader has reversed it.
	It("refuses a decision on an older status and any step of an ended move", func() {
		m.raiseTo(500)
		old := m.status(1)
		m.next(OpReverse, 0, at(time.Second))
		late := Command{Op: OpStep, Move: old.Move, ExpectedSequence: old.Sequence, Share: 2000, Summary: strongEvidence}
		Expect(m.do(late).Outcome).To(Equal(OutcomeStale))
		Expect(m.next(OpStep, 2000, at(2*time.Second)).Outcome).To(Equal(OutcomeClosed))
		Expect(m.status(1).Shares()).To(Equal(map[model.ServiceVersion]model.Share{"v1": model.ShareAll}))
	})

	It("changes nothing on a resent start and only the deadline on an amended start", func() {
		m.raiseTo(2000)
		Expect(m.do(startOf(moveTo(1, 1, "v2"))).Outcome).To(Equal(OutcomeUnchanged))
		later := moveTo(1, 2, "v2")
		later.By = InstantOf(at(time.Hour))
		m.do(startOf(later))
		Expect(m.status(1).Share).To(BeEquivalentTo(2000))
		Expect(m.status(1).Move.By).To(Equal(later.By))
	})

	It("replaces a running move by that of another note, from the version that completed", func() {
		m.raiseTo(2000)
		m.do(startOf(moveTo(2, 1, "v3")))
		Expect(m.status(1).Phase).To(Equal(PhaseWithdrawn))
		Expect(m.status(1).Share).To(BeZero())
		Expect(m.status(2).From).To(BeEquivalentTo("v1"))
		Expect(m.do(startOf(moveTo(1, 2, "v2"))).Outcome).To(Equal(OutcomeStale), "an older note does not replace a newer one")
		m.raiseTo(model.ShareAll)
		m.next(OpComplete, 0, at(time.Minute))
		m.do(startOf(moveTo(3, 1, "v4")))
		Expect(m.status(3).From).To(BeEquivalentTo("v3"))
		Expect(m.status(2).WatchEnded).To(BeTrue())
	})

	It("replaces the target of an amended move and restarts a reversed one", func() {
		m.raiseTo(2000)
		m.do(startOf(moveTo(1, 2, "v3")))
		Expect(m.status(1).Shares()).To(Equal(map[model.ServiceVersion]model.Share{"v1": model.ShareAll}))
		m.next(OpStep, 100, t0)
		m.next(OpReverse, 0, t0)
		m.do(startOf(moveTo(1, 3, "v3")))
		Expect(m.status(1).Phase).To(Equal(PhaseReversed), "an amended title does not restart a reversed move")
		restarted := moveTo(1, 4, "v3")
		restarted.By = InstantOf(at(time.Hour))
		m.do(startOf(restarted))
		Expect(m.status(1).Steps).To(ContainElement(HaveField("Op", OpReverse)), "the former steps are kept")
		Expect(m.status(1).Phase).To(Equal(PhaseWaiting))
		Expect(m.status(1).From).To(BeEquivalentTo("v1"))
	})

	It("withdraws a move while it runs, but not after its watch", func() {
		m.raiseTo(5000)
		withdraw := Command{Op: OpWithdraw, Move: moveTo(1, 1, "v2")}
		Expect(m.do(withdraw).Status.Share).To(BeZero())
		m.do(startOf(moveTo(2, 1, "v3")))
		m.raiseTo(model.ShareAll)
		m.next(OpComplete, 0, at(time.Minute))
		m.next(OpEndWatch, 0, at(2*time.Minute))
		withdraw.Move.ID.Note = 2
		Expect(m.do(withdraw).Outcome).To(Equal(OutcomeClosed))
		Expect(m.status(2).Share).To(Equal(model.ShareAll))
	})

	It("keeps the record of a completed move when its note is amended", func() {
		m.raiseTo(model.ShareAll)
		m.next(OpComplete, 0, at(time.Minute))
		m.next(OpEndWatch, 0, at(2*time.Minute))
		before := m.status(1)
		m.do(startOf(moveTo(1, 2, "v2")))
		Expect(m.status(1).Completed).To(Equal(before.Completed))
		Expect(m.status(1).Active()).To(BeFalse())
	})

	It("completes at once the first version of a service", func() {
		c := startOf(Move{ID: MoveID{1, "new"}, Revision: 1, To: "v1"})
		c.From = ""
		Expect(m.do(c).Status.Shares()).To(Equal(map[model.ServiceVersion]model.Share{"v1": model.ShareAll}))
	})

	It("completes at once a move to the version that has all traffic", func() {
		m.raiseTo(500)
		m.do(startOf(moveTo(2, 1, "v1")))
		Expect(m.status(2).Phase).To(Equal(PhaseDone))
		Expect(m.status(1).Share).To(BeZero())
	})

	// Guards against an invariant check that cannot fail. The decisions of this package never
	// violate it.
	It("checks the invariant on the share of a bad version", func() {
		m.next(OpStep, 100, t0)
		st := m.status(1)
		Expect(func() {
			m.do(Command{Op: OpStep, Move: st.Move, ExpectedSequence: st.Sequence, Share: 500})
		}).To(PanicWith(ContainSubstring("bad-version-share")))
		Expect(func() { setShare(&Status{Phase: PhaseReversed}, 1, 0) }).To(PanicWith(ContainSubstring("bad-version-share")))
	})
})

// Guards against hosts that disagree on a move, shares that do not add up to all calls and a
// reversed version with a share, under any order of commands.
func TestStateRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newMachine(), newMachine()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := randomCommand(t, a)
			ra, rb := a.do(c), b.do(c)
			if ra.Outcome != rb.Outcome {
				t.Fatalf("%s: %s and %s", c.Op, ra.Outcome, rb.Outcome)
			}
			snap, err := a.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if err := b.Restore(snap); err != nil {
				t.Fatal(err)
			}
			for _, st := range a.All() {
				checkStatus(t, st)
			}
		}
	})
}

func randomCommand(t *rapid.T, m *machine) Command {
	op := rapid.SampledFrom([]Op{OpStart, OpStep, OpStep, OpStep, OpVerdict, OpComplete, OpReverse, OpWithdraw, OpEndWatch}).Draw(t, "op")
	version := rapid.SampledFrom([]model.ServiceVersion{"v1", "v2", "v3"}).Draw(t, "version")
	c := startOf(moveTo(rapid.Uint64Range(1, 4).Draw(t, "note"), rapid.Uint64Range(1, 3).Draw(t, "revision"), version))
	if op == OpStart {
		return c
	}
	st, _ := m.Current("ledger")
	c.Op, c.Summary, c.Move.ID = op, strongEvidence, st.Move.ID
	c.ExpectedSequence = st.Sequence - rapid.SampledFrom([]uint64{0, 0, 0, 1}).Draw(t, "behind")
	c.Share = min(rapid.SampledFrom([]model.Share{100, 500, 2000, 5000, 8000, model.ShareAll}).Draw(t, "share"), max(MaxNextShare(st, strongEvidence), 100))
	return c
}

func checkStatus(t *rapid.T, st Status) {
	var sum model.Share
	for _, share := range st.Shares() {
		sum += share
	}
	ended := st.Phase == PhaseReversed || st.Phase == PhaseWithdrawn
	switch {
	case sum != model.ShareAll:
		t.Fatalf("shares %v add up to %d", st.Shares(), sum)
	case ended && st.Share != 0:
		t.Fatalf("%s with share %d", st.Phase, st.Share)
	case len(st.Steps) > maxSteps:
		t.Fatalf("%d steps", len(st.Steps))
	}
}
