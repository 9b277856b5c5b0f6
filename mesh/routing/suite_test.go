package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

func TestRouting(t *testing.T) {
	invariant.SetFatal(true)
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

// config has one service "s" with the given shares.
func config(shares note.Shares) note.Config {
	c := note.NewConfig()
	c.Services["s"] = note.Service{Name: "s", Slots: 20, Connections: 100}
	c.Shares["s"] = shares
	return c
}

// servers returns n serving backend servers of a version of "s".
func servers(v model.ServiceVersion, dc model.DataCentre, n int) []membership.Announcement {
	var list []membership.Announcement
	for i := range n {
		list = append(list, membership.Announcement{
			Host: model.HostID(fmt.Sprintf("%s-%s-%d", dc, v, i)), Service: "s", Version: v, DataCentre: dc,
			Slots: 20, State: membership.StateServing, Incarnation: 1,
		})
	}
	return list
}

var _ = Describe("balance", func() {
	randomShares := func(r *rand.Rand, n int) note.Shares {
		shares, left := note.Shares{}, model.ShareAll
		for i := range n {
			s := model.Share(r.IntN(int(left) + 1))
			if i == n-1 {
				s = left
			}
			left -= s
			shares[model.ServiceVersion(fmt.Sprint("v", i))] = s
		}
		return shares
	}

	// count runs the balance against exact counting, with a change of shares
	// after every changeEvery calls, and returns the greatest error.
	count := func(r *rand.Rand, versions, calls, changeEvery int) float64 {
		b := newBalance(r)
		expected, got := map[model.ServiceVersion]float64{}, map[model.ServiceVersion]float64{}
		var shares note.Shares
		worst := 0.0
		for i := range calls {
			if i%changeEvery == 0 {
				shares = randomShares(r, versions)
				b.setShares(shares)
			}
			e, ok := b.next()
			Expect(ok).To(BeTrue())
			Expect(shares[e.version]).To(BeNumerically(">", 0), "call for a version with share 0")
			got[e.version]++
			for v, s := range shares {
				expected[v] += float64(s) / float64(model.ShareAll)
				worst = max(worst, expected[v]-got[v], got[v]-expected[v])
			}
		}
		return worst
	}

	It("differs from exact counting by less than one call, for 1 to 6 versions", func() {
		r := rand.New(rand.NewPCG(1, 1))
		for i := range 120 {
			Expect(count(r, 1+i%6, 1500, 1500)).To(BeNumerically("<", 1))
		}
	})

	It("differs by less than one call across changes of shares, for up to 3 versions", func() {
		r := rand.New(rand.NewPCG(2, 2))
		for i := range 120 {
			Expect(count(r, 1+i%3, 1500, 1+r.IntN(100))).To(BeNumerically("<", 1))
		}
	})

	// From 4 versions up no method can keep to one call when shares change after
	// each call: see docs/notes/traffic.md.
	It("stays within two calls when the shares of 4 to 6 versions change all the time", func() {
		r := rand.New(rand.NewPCG(3, 3))
		worst := 0.0
		for i := range 120 {
			worst = max(worst, count(r, 4+i%3, 1500, 1+r.IntN(100)))
		}
		fmt.Fprintln(GinkgoWriter, "greatest error", worst)
		Expect(worst).To(BeNumerically("<", 2))
	})
})
