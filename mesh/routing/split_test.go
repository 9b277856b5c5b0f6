package routing

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// newTestPicker returns a picker with a fixed seed and the table of the arguments.
func newTestPicker(c note.Config, list []membership.Announcement) *Picker {
	p := NewPicker(PickerConfig{DataCentre: "thun", Seed: 1})
	p.SetTable(start, NewTable(c, list))
	return p
}

var _ = Describe("Virtual hosts and splits", func() {
	cfg := config(note.Shares{"v1": model.ShareAll})
	for _, r := range []note.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/", Service: "s"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/", Service: "s"},
		{Name: "any", PathPrefix: "/x", Service: "s"},
	} {
		cfg.Routes[r.Name] = r
	}

	DescribeTable("prefixes of a virtual host match byte by byte", func(host, path, want string) {
		r, known, err := NewTable(cfg, nil).MatchHost(host, "GET", path)
		Expect(known).To(Equal(host == "a.example"))
		if want == "" {
			Expect(err != nil || !known).To(BeTrue())
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(r.Name)).To(Equal(want))
	},
		Entry(nil, "a.example", "/x/1", "short"),
		Entry("the longest prefix wins", "a.example", "/x/y/1", "long"),
		Entry("empty segments are not removed", "a.example", "/x//y/1", "short"),
		Entry("a prefix that ends with a slash does not match without it", "a.example", "/x", ""),
		Entry("routes without a host do not apply to a host with routes", "a.example", "/z", ""),
		Entry("a host without routes is not known", "b.example", "/x/1", ""),
	)

	It("divides calls by weight to within one call for each destination", func() {
		p := newTestPicker(cfg, servers("v1", "thun", 1))
		r := note.Route{Name: "split", Service: "s", Split: []note.Destination{
			{Service: "s", Weight: 90}, {Service: "t", Weight: 10}, {Service: "u", Weight: 0}}}
		got := map[model.ServiceName]int{}
		for range 1000 {
			got[p.PickService(r)]++
		}
		Expect(got["s"]).To(BeNumerically("~", 900, 2))
		Expect(got["t"]).To(BeNumerically("~", 100, 2))
		Expect(got).NotTo(HaveKey(model.ServiceName("u")))
	})

	// Guards against parts that get more or less than their share over the fleet: with few
	// calls at each of many nodes, right after a change of weights or of parts, and after
	// restarts.
	It("divides the calls of 100 nodes by weight, also across changes and restarts", func() {
		nodes := make([]*Picker, 100)
		restart := func(i int, seed uint64) {
			nodes[i] = NewPicker(PickerConfig{DataCentre: "thun", Seed: seed})
			nodes[i].SetTable(start, NewTable(cfg, nil))
		}
		for i := range nodes {
			restart(i, uint64(i+1))
		}
		weights := [][]note.Destination{
			{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}},
			{{Service: "s", Weight: 10}, {Service: "t", Weight: 90}},
			{{Service: "t", Weight: 50}, {Service: "s", Weight: 50}},
			{{Service: "s", Weight: 0}, {Service: "t", Weight: 1}},
			{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}, {Service: "u", Weight: 2}},
			{{Service: "u", Weight: 999}, {Service: "s", Weight: 1}},
		}
		for round := range 60 {
			split := weights[round%len(weights)]
			total := 0.0
			for _, d := range split {
				total += float64(d.Weight)
			}
			calls := 1 + round%4 // at each node, before the next change
			got := map[model.ServiceName]float64{}
			for i, p := range nodes {
				if round%5 == 4 && i%3 == 0 {
					restart(i, uint64(1000*round+i))
					p = nodes[i]
				}
				for range calls {
					got[p.PickService(note.Route{Name: "split", Service: split[0].Service, Split: split})]++
				}
			}
			for _, d := range split {
				share := got[d.Service] / float64(calls*len(nodes))
				Expect(share).To(BeNumerically("~", float64(d.Weight)/total, 0.1), "round %d, %s", round, d.Service)
			}
		}
	})

	// Guards against an assertion that does not fire: a split without weights is not valid.
	It("checks the invariant split-weight", func() {
		p := newTestPicker(cfg, nil)
		Expect(func() { p.PickService(note.Route{Name: "split", Split: make([]note.Destination, 2)}) }).To(PanicWith(ContainSubstring("split-weight")))
	})

	// Guards against failed calls of a service that has no shares in the configuration
	// yet.
	It("divides calls by announced backend servers if a service has no shares", func() {
		c := cfg.Clone()
		delete(c.Shares, "s")
		p := newTestPicker(c, append(servers("v1", "thun", 3), servers("v2", "thun", 1)...))
		got := map[model.ServiceVersion]int{}
		for range 400 {
			v, err := p.PickVersion("s")
			Expect(err).NotTo(HaveOccurred())
			got[v]++
		}
		Expect(got["v1"]).To(BeNumerically("~", 300, 2))
	})
})

var _ = Describe("Declined attempts", func() {
	// Guards against a busy or draining backend server whose node declines requests and
	// so uses up the retries of a write, or the budgets that limit the load on backend
	// servers.
	It("count neither as retries nor against a budget, but are limited", func() {
		route := note.Route{Kind: model.KindWrite, Unkeyed: true}
		empty := &Bucket{}
		a := NewAttempts(route, start.Add(1e9), NewBudget(0), empty)
		for range maxDeclined {
			Expect(a.Retry(start, ResultDeclined, true)).To(Equal(RetryAllowed))
		}
		Expect(a.Retry(start, ResultDeclined, true)).To(Equal(RetriesExhausted))
		Expect(a.Retry(start, ResultFailed, false)).To(Equal(MayHaveRun))
	})
})
