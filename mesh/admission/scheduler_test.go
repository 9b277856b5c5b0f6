package admission

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

func TestAdmission(t *testing.T) {
	invariant.SetFatal(true)
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

func waiter(k model.Kind) *Waiter { return &Waiter{Ticket: Ticket{Kind: k}} }

var _ = Describe("scheduler", func() {
	now := time.Unix(1000, 0)
	var s *scheduler

	BeforeEach(func() { s = newScheduler(ledger, DefaultOverloadAfter) })

	refusal := func(decided []decision) Reason {
		Expect(decided).To(HaveLen(1))
		return decided[0].refused
	}

	It("refuses at arrival what cannot be answered before its deadline", func() {
		s.limiter.routes["r"] = &baseline{usual: 0.1, samples: 100}
		w := &Waiter{Ticket: Ticket{Kind: model.KindLookup, Route: "r", Deadline: now.Add(40 * time.Millisecond)}}
		Expect(refusal(s.arrive(now, w))).To(Equal(ReasonStale))
		w.Deadline = now.Add(60 * time.Millisecond)
		Expect(refusal(s.arrive(now, w))).To(BeEmpty())
	})

	It("refuses new requests at once while draining, and queued ones after the grace", func() {
		s.arrive(now, waiter(model.KindLookup))
		early, late := waiter(model.KindWrite), waiter(model.KindWrite)
		Expect(s.arrive(now, early)).To(BeEmpty())
		Expect(s.arrive(now, late)).To(BeEmpty())
		s.service.QueueTimeout = time.Minute
		early.GiveUp, late.GiveUp = now.Add(time.Minute), now.Add(time.Minute)
		s.drain(now.Add(time.Millisecond))
		Expect(refusal(s.arrive(now.Add(time.Millisecond), waiter(model.KindUrgent)))).To(Equal(ReasonDraining))
		Expect(s.limit()).To(BeZero())
		decided := s.finish(now.Add(queueGrace/2), Sample{Result: ResultCancelled})
		Expect(decided).To(ConsistOf(decision{waiter: early, inFlight: 1}))
		decided = s.finish(now.Add(2*queueGrace), Sample{Result: ResultCancelled})
		Expect(decided).To(ConsistOf(decision{waiter: late, refused: ReasonDraining}))
	})

	It("refuses while the data centre is out and starts cold after its return", func() {
		s.limiter.limit, s.limiter.successes = 20, 1000
		s.setDataCentre(now, note.DataCentreOut)
		Expect(refusal(s.arrive(now, waiter(model.KindUrgent)))).To(Equal(ReasonDataCentreOut))
		s.setDataCentre(now.Add(time.Minute), note.DataCentreReturning)
		Expect(s.limit()).To(Equal(1))
		Expect(refusal(s.arrive(now.Add(time.Minute), waiter(model.KindLookup)))).To(BeEmpty())
	})

	It("makes room in a full queue for a write by refusing the oldest lookup", func() {
		s.service.QueueLimit, s.queue.limit = 2, 2
		s.arrive(now, waiter(model.KindLookup))
		oldest := waiter(model.KindLookup)
		s.arrive(now, oldest)
		s.arrive(now, waiter(model.KindLookup))
		decided := s.arrive(now, waiter(model.KindWrite))
		Expect(decided).To(ConsistOf(decision{waiter: oldest, refused: ReasonQueueFull}))
	})

	// Each assertion must be able to fire: a check that can never fail guards nothing.
	DescribeTable("asserts", func(name string, breakState func()) {
		breakState()
		w := waiter(model.KindLookup)
		w.Arrived = now
		Expect(func() { s.admit(now, w) }).To(PanicWith(ContainSubstring(name)))
	},
		Entry("the cold-start limit against more requests than it", "cold-start-limit", func() { s.inFlight = 1 }),
		Entry("the cold-start limit against undemonstrated growth", "cold-start-limit", func() { s.limiter.limit = 5 }),
		Entry("no work on a leaving backend server", "leaving-server", func() { s.draining = now.Add(-time.Millisecond) }),
		Entry("no work in a data centre that is out", "data-centre-out", func() { s.out = now.Add(-time.Millisecond) }),
	)
})
