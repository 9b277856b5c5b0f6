package admission

import (
	"math/rand/v2"
	"slices"
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

// waiter returns a new waiter of a kind.
func waiter(k model.Kind) *Waiter { return &Waiter{Request: Request{Kind: k}} }

// know gives a route a distribution in which all requests have taken the given time.
func know(s *scheduler, route model.RouteName, taken time.Duration) {
	for range minDistributionCount {
		s.routes.observe(Sample{Route: route, Result: ResultOK, Latency: taken})
	}
}

var _ = Describe("scheduler", func() {
	now := time.Unix(1000, 0)
	var s *scheduler

	BeforeEach(func() { s = newScheduler(Config{Service: ledger, OverloadAfter: DefaultOverloadAfter, ColdLoad: 1}) })

	refusal := func(decided []decision) Reason {
		Expect(decided).To(HaveLen(1))
		return decided[0].refused
	}

	It("refuses at arrival a request that cannot be answered before its deadline", func() {
		know(s, "r", 100*time.Millisecond)
		w := &Waiter{Request: Request{Kind: model.KindLookup, Route: "r", Deadline: now.Add(90 * time.Millisecond)}}
		Expect(refusal(s.arrive(now, w))).To(Equal(ReasonStale))
		w.Deadline = now.Add(130 * time.Millisecond)
		Expect(refusal(s.arrive(now, w))).To(BeEmpty())
	})

	// Guards against a cold backend server that reports low load, and so attracts calls,
	// because its rate limit lets only few requests run.
	It("reports full load while requests wait for the rate limit of a cold backend server", func() {
		s.service.ColdRate = 10
		s.pacer.cold.rate = 10
		s.start(now, 20, time.Second)
		Expect(refusal(s.arrive(now, waiter(model.KindLookup)))).To(BeEmpty())
		Expect(s.utilization(now)).To(BeNumerically("~", 0.05, 0.001))
		Expect(s.arrive(now, waiter(model.KindLookup))).To(BeEmpty())
		Expect(s.utilization(now)).To(BeNumerically("~", 1.05, 0.001))
	})

	It("refuses new requests at once while draining, and queued ones after the grace period", func() {
		s.arrive(now, waiter(model.KindLookup))
		early, late := waiter(model.KindWrite), waiter(model.KindWrite)
		Expect(s.arrive(now, early)).To(BeEmpty())
		Expect(s.arrive(now, late)).To(BeEmpty())
		s.service.QueueTimeout = time.Minute
		early.ExpiresAt, late.ExpiresAt = now.Add(time.Minute), now.Add(time.Minute)
		s.drain(now.Add(time.Millisecond))
		Expect(refusal(s.arrive(now.Add(time.Millisecond), waiter(model.KindUrgent)))).To(Equal(ReasonDraining))
		Expect(s.advertisedLimit()).To(BeZero())
		decided := s.finish(now.Add(drainQueueGrace/2), Sample{Result: ResultCancelled})
		Expect(decided).To(ConsistOf(decision{waiter: early, inFlight: 1}))
		decided = s.finish(now.Add(2*drainQueueGrace), Sample{Result: ResultCancelled})
		Expect(decided).To(ConsistOf(decision{waiter: late, refused: ReasonDraining}))
	})

	It("refuses requests while the data centre is out and starts cold after its return", func() {
		s.limiter.limit, s.limiter.successes = 20, 1000
		s.setDataCentre(now, note.DataCentreOut)
		Expect(refusal(s.arrive(now, waiter(model.KindUrgent)))).To(Equal(ReasonDataCentreOut))
		s.setDataCentre(now.Add(time.Minute), note.DataCentreReturning)
		Expect(s.advertisedLimit()).To(Equal(1))
		Expect(refusal(s.arrive(now.Add(time.Minute), waiter(model.KindLookup)))).To(BeEmpty())
	})

	It("evicts the oldest lookup from a full queue for a write", func() {
		s.service.QueueLimit, s.queue.limit = 2, 2
		s.arrive(now, waiter(model.KindLookup))
		oldest := waiter(model.KindLookup)
		s.arrive(now, oldest)
		s.arrive(now, waiter(model.KindLookup))
		decided := s.arrive(now, waiter(model.KindWrite))
		Expect(decided).To(ConsistOf(decision{waiter: oldest, refused: ReasonQueueFull}))
	})

	// Guards against invariant checks that can never fail.
	DescribeTable("asserts", func(name string, breakState func()) {
		breakState()
		w := waiter(model.KindLookup)
		w.Arrived = now
		Expect(func() { s.admit(now, w) }).To(PanicWith(ContainSubstring(name)))
	},
		Entry("no more requests than the limit", "cold-start-limit", func() { s.inFlight = 1 }),
		Entry("no limit above the number of successes plus one", "cold-start-limit", func() { s.limiter.limit = 5 }),
		Entry("no admission on a draining backend server", "leaving-server", func() { s.drainingSince = now.Add(-time.Millisecond) }),
		Entry("no admission in a data centre that is out", "data-centre-out", func() { s.outSince = now.Add(-time.Millisecond) }),
	)
})

// listQueue is a simple reference implementation of Queue: one list in order of arrival
// that is sorted for each decision.
type listQueue struct {
	list          []*Waiter
	limit         int
	nonEmptySince time.Time
}

func (l *listQueue) push(now time.Time, w *Waiter) (evicted *Waiter) {
	if len(l.list) >= l.limit {
		i := slices.IndexFunc(l.list, func(o *Waiter) bool { return o.Kind == model.KindLookup || o.Kind == model.KindDownload })
		if i < 0 && w.Kind == model.KindUrgent {
			for j, o := range l.list {
				if !o.Kind.Idempotent() {
					i = j
				}
			}
		}
		if i < 0 {
			return w
		}
		evicted = l.list[i]
		l.list = slices.Delete(l.list, i, i+1)
	} else if len(l.list) == 0 {
		l.nonEmptySince = now
	}
	l.list = append(l.list, w)
	return evicted
}

func (l *listQueue) pop(now time.Time) *Waiter {
	if len(l.list) == 0 {
		return nil
	}
	overloaded := now.Sub(l.nonEmptySince) >= DefaultOverloadAfter
	key := func(w *Waiter) []int64 {
		arrival := int64(slices.Index(l.list, w))
		switch {
		case w.Kind == model.KindUrgent:
			return []int64{0, w.ExpiresAt.UnixNano(), arrival}
		case !w.Kind.Idempotent():
			return []int64{1, arrival}
		case overloaded:
			return []int64{2, -arrival}
		}
		return []int64{2, w.ExpiresAt.UnixNano(), arrival}
	}
	first := slices.SortedFunc(slices.Values(l.list), func(a, b *Waiter) int { return slices.Compare(key(a), key(b)) })[0]
	l.remove(first)
	return first
}

func (l *listQueue) remove(w *Waiter) bool {
	n := len(l.list)
	l.list = slices.DeleteFunc(l.list, func(o *Waiter) bool { return o == w })
	return len(l.list) < n
}

func (l *listQueue) expire(now time.Time) []*Waiter {
	var stale []*Waiter
	for _, w := range slices.Clone(l.list) {
		if !now.Before(w.ExpiresAt) {
			stale = append(stale, w)
			l.remove(w)
		}
	}
	return stale
}

var _ = Describe("Queue", func() {
	It("decides like a sorted list over 10,000 random steps", func() {
		r := rand.New(rand.NewPCG(5, 7))
		q, naive := NewQueue(12, DefaultOverloadAfter), &listQueue{limit: 12}
		now := time.Unix(1000, 0)
		var known []*Waiter
		for range 10_000 {
			now = now.Add(time.Duration(r.IntN(12)) * time.Millisecond)
			Expect(q.Expire(now)).To(ConsistOf(naive.expire(now)))
			switch op := r.IntN(10); {
			case op < 5:
				w := &Waiter{Request: Request{Kind: model.Kinds[r.IntN(len(model.Kinds))]}}
				w.ExpiresAt = now.Add(time.Duration(1+r.IntN(200)) * time.Millisecond)
				Expect(q.Push(now, w)).To(BeIdenticalTo(naive.push(now, w)))
				known = append(known, w)
			case op < 9:
				Expect(q.Pop(now)).To(BeIdenticalTo(naive.pop(now)))
			case len(known) > 0:
				w := known[len(known)-1-r.IntN(min(len(known), 20))]
				Expect(q.Remove(w)).To(Equal(naive.remove(w)))
			}
			Expect(q.Len()).To(Equal(len(naive.list)))
		}
	})

	It("serves the newest lookup first only under overload, and lookups after urgent requests and writes", func() {
		now := time.Unix(1000, 0)
		q := NewQueue(10, DefaultOverloadAfter)
		names := map[*Waiter]string{}
		push := func(name string, k model.Kind, expiresIn time.Duration) {
			w := &Waiter{Request: Request{Kind: k}, ExpiresAt: now.Add(expiresIn)}
			names[w] = name
			q.Push(now, w)
		}
		push("old", model.KindLookup, 3)
		push("middle", model.KindLookup, 2)
		push("new", model.KindLookup, 4)
		push("write 1", model.KindWrite, 9)
		push("write 2", model.KindWrite, 1)
		push("urgent", model.KindUrgent, 10)
		for _, want := range []string{"urgent", "write 1", "write 2", "middle"} {
			Expect(names[q.Pop(now)]).To(Equal(want))
		}
		Expect(names[q.Pop(now.Add(DefaultOverloadAfter))]).To(Equal("new"))
	})
})
