package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

var _ = Describe("Table", func() {
	cfg := config(note.Shares{"v1": model.ShareAll})
	for _, r := range []note.Route{
		{Name: "all", PathPrefix: "/"},
		{Name: "cabinets", PathPrefix: "/cabinets/", Methods: []string{"GET"}},
		{Name: "restock", PathPrefix: "/cabinets/restock", Methods: []string{"POST"}},
		{Name: "roster-b", PathPrefix: "/roster", Methods: []string{"PUT"}},
		{Name: "roster-a", PathPrefix: "/roster"},
	} {
		cfg.Routes[r.Name] = r
	}

	DescribeTable("matches the method and the longest prefix of whole segments", func(method, path, want string) {
		r, err := NewTable(cfg, nil).Match(method, path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Name)).To(Equal(want))
	},
		Entry(nil, "GET", "/cabinets", "cabinets"),
		Entry(nil, "GET", "/cabinets/7?full=1", "cabinets"),
		Entry("a longer segment does not match", "GET", "/cabinetsx", "all"),
		Entry("a route of another method falls back to the shorter prefix", "GET", "/cabinets/restock/7", "cabinets"),
		Entry(nil, "POST", "/cabinets/restock/7", "restock"),
		Entry("a query is not part of the path", "POST", "/x?/cabinets/restock", "all"),
		Entry("equal prefixes are decided by name", "PUT", "/roster/1", "roster-a"),
		Entry("a path longer than any prefix", "GET", "/cabinets/restock/7/8/9/10/11/12", "cabinets"),
	)

	It("distinguishes an unknown path from a method that is not allowed", func() {
		c := cfg.Clone()
		delete(c.Routes, "all")
		_, err := NewTable(c, nil).Match("GET", "/nothing")
		Expect(err).To(MatchError(ErrNoRoute))
		_, err = NewTable(c, nil).Match("DELETE", "/cabinets/7")
		Expect(err).To(MatchError(ErrMethodNotAllowed))
	})

	It("leaves out backend servers that accept no requests and reports versions without any", func() {
		c := config(note.Shares{"v1": 9000, "v2": 500, "v3": 500})
		c.DataCentres["burgdorf"] = note.DataCentreOut
		list := append(servers("v1", "thun", 2), servers("v2", "burgdorf", 2)...)
		for i, state := range []membership.State{membership.StateDraining, membership.StateLeft, membership.StateLapsed} {
			a := servers("v3", "bern", 3)[i]
			a.State = state
			list = append(list, a)
		}
		t := NewTable(c, list)
		Expect(t.Skipped()).To(Equal(map[model.ServiceName][]model.ServiceVersion{"s": {"v2", "v3"}}))
		p := NewPicker(PickerConfig{DataCentre: "thun", Seed: 1})
		p.SetTable(start, t)
		for range 100 {
			Expect(p.PickVersion("s")).To(Equal(model.ServiceVersion("v1")))
		}
	})
})

var _ = Describe("Budget and Bucket", func() {
	It("limits the retries over all levels", func() {
		tries := 0
		var call func(level int, budget *Budget)
		call = func(level int, budget *Budget) {
			for {
				if level < 25 {
					next := NewBudget(budget.Lend())
					call(level+1, next)
					budget.Return(next.Left())
				}
				if !budget.Take() { // each level fails and retries while the budget allows it
					return
				}
				tries++
			}
		}
		call(0, NewBudget(3))
		Expect(tries).To(Equal(3))
	})

	It("leaves its retries to the level next to the failure, 25 levels down", func() {
		budget := NewBudget(2)
		for range 24 {
			budget = NewBudget(budget.Lend())
		}
		Expect(budget.Take()).To(BeTrue())
	})

	It("does not multiply attempts if the connections of all levels are lost", func() {
		runs := 0
		var call func(levels int, budget *Budget)
		call = func(levels int, budget *Budget) {
			for {
				if levels == 0 {
					runs++
				} else {
					lent := budget.Lend()
					call(levels-1, NewBudget(lent))
					budget.Return(lent) // lost: how many were used at deeper levels is unknown
				}
				if !budget.Take() {
					return
				}
			}
		}
		call(24, NewBudget(2))
		Expect(runs).To(BeNumerically("<=", 26*25/2+26), "3 attempts at each level would be 3 to the power of 25")
	})

	It("limits the retries of a node to 10% of its calls, and charges the budget of a call only for allowed ones", func() {
		b, retries := NewRetryBucket(), 0
		last := NewBudget(1)
		for range 10_000 {
			b.Deposit()
			if TakeRetry(b, NewBudget(1)) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("~", 1000, RetryBurst))
		for b.Take() {
		}
		Expect(TakeRetry(b, last)).To(BeFalse())
		Expect(last.Left()).To(Equal(1))
	})
})

var _ = Describe("Attempts", func() {
	DescribeTable("decides on retries", func(kind model.Kind, r Result, notRun bool, after time.Duration, want RetryDecision) {
		route := note.Route{Kind: kind, MaxRetries: 1}
		a := NewAttempts(route, start.Add(time.Second), NewBudget(3), NewRetryBucket())
		Expect(a.Retry(start.Add(after), r, notRun)).To(Equal(want))
		if want == RetryAllowed {
			Expect(a.Retry(start, r, notRun)).To(Equal(RetriesExhausted))
			// The retry of an attempt that may have run needs both the budget of the call
			// and the bucket of the node. After a refusal without a run it needs only the
			// bucket, and after a failure before any byte was sent neither.
			empty := NewRetryBucket()
			for empty.Take() {
			}
			for _, spent := range []*Attempts{
				NewAttempts(route, start.Add(time.Second), NewBudget(3), empty),
				NewAttempts(route, start.Add(time.Second), NewBudget(0), NewRetryBucket()),
			} {
				left := notRun && (r == ResultFailed || spent.budget.Left() == 0)
				Expect(spent.Retry(start, r, notRun) == RetryAllowed).To(Equal(left))
			}
		}
	},
		Entry(nil, model.KindLookup, ResultFailed, false, time.Duration(0), RetryAllowed),
		Entry(nil, model.KindUrgent, ResultRefused, false, time.Duration(0), RetryAllowed),
		Entry("a write that may have run", model.KindWrite, ResultFailed, false, time.Duration(0), MayHaveRun),
		Entry("a write that has not run", model.KindWrite, ResultRefused, true, time.Duration(0), RetryAllowed),
		Entry("a request of which no byte was sent", model.KindWrite, ResultFailed, true, time.Duration(0), RetryAllowed),
		Entry("an upload that may have run", model.KindUpload, ResultFailed, false, time.Duration(0), MayHaveRun),
		Entry("an upload that has not run", model.KindUpload, ResultRefused, true, time.Duration(0), RetryAllowed),
		Entry("a download", model.KindDownload, ResultFailed, false, time.Duration(0), RetryAllowed),
		Entry("an error answer", model.KindLookup, ResultError, false, time.Duration(0), ErrorNotRetryable),
		Entry("after the deadline", model.KindLookup, ResultFailed, true, time.Second, PastDeadline),
	)
})

var _ = Describe("Builder", func() {
	It("builds the same tables as NewTable over 800 random changes", func() {
		r := rand.New(rand.NewPCG(4, 4))
		cfg := note.NewConfig()
		b := NewBuilder(cfg)
		known := map[model.HostID]membership.Announcement{}
		for i := range 800 {
			next := cfg.Clone()
			s, id := model.ServiceName(fmt.Sprint("s", r.IntN(5))), model.HostID(fmt.Sprint("h", r.IntN(30)))
			dc, route := model.DataCentre(s), model.RouteName(id)
			switch r.IntN(8) {
			case 0:
				next.Services[s] = note.Service{Name: s, Slots: 1 + r.IntN(9)}
				next.Shares[s] = note.Shares{"v1": model.ShareAll - model.Share(i), "v2": model.Share(i)}
			case 1:
				delete(next.Services, s)
				delete(next.Shares, s)
			case 2:
				next.Routes[route] = note.Route{Name: route, PathPrefix: "/" + string(s), Service: s}
			case 3:
				delete(next.Routes, route)
			case 4:
				next.DataCentres[dc] = note.DataCentreState(1 + r.IntN(3))
			case 5:
				delete(known, id)
				b.Forget(id)
			default:
				known[id] = membership.Announcement{Host: id, Incarnation: uint64(i), Service: s, DataCentre: dc,
					Version: model.ServiceVersion(fmt.Sprint("v", 1+r.IntN(2))), State: membership.State(1 + r.IntN(4))}
				b.Announce(known[id], membership.Announcement{Host: id, Service: "s0", State: membership.StateServing})
			}
			b.SetConfig(next, note.Diff(cfg, next))
			cfg = next
			got, want := b.Table(), NewTable(cfg, slices.Collect(maps.Values(known)))
			Expect(got.routes).To(Equal(want.routes))
			Expect(got.services).To(Equal(want.services))
			Expect(got.dataCentres).To(Equal(want.dataCentres))
		}
	})
})
