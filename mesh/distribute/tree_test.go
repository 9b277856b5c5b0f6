package distribute

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

func nodeParents(n int) []Parent {
	out := make([]Parent, n)
	for i := range out {
		out[i] = Parent{Host: model.HostID(fmt.Sprintf("node-%d", i)), Role: peer.RoleNode, DataCentre: "thun"}
	}
	return out
}

var roots = []Parent{
	{Host: "c1", Role: peer.RoleControl, DataCentre: "burgdorf"},
	{Host: "c2", Role: peer.RoleControl, DataCentre: "thun"},
}

// TestParentsWithoutCycle guards against nodes that know different parts of the
// data centre and become each other's ancestors.
func TestParentsWithoutCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodeParents(rapid.IntRange(1, 60).Draw(t, "nodes"))
		parent := map[model.HostID]Parent{}
		for _, n := range all {
			view := rapid.Permutation(all).Draw(t, "view")[:rapid.IntRange(0, len(all)).Draw(t, "known")]
			candidates := DefaultTree.Parents(n.Host, "thun", view, roots)
			parent[n.Host] = rapid.SampledFrom(candidates).Draw(t, "choice")
		}
		for _, n := range all {
			at, steps := n, 0
			for at.Role == peer.RoleNode {
				if at = parent[at.Host]; steps > len(all) {
					t.Fatalf("cycle above %s", n.Host)
				}
				steps++
			}
		}
	})
}

// attachAll attaches every node to its first candidate with a free slot and
// returns the depth of the tree, the number of children of the source and the
// number of refusals.
func attachAll(nodes []Parent) (depth, source, refused int) {
	children, parents := map[model.HostID]int{}, map[model.HostID]Parent{}
	for _, n := range nodes {
		for _, c := range DefaultTree.Parents(n.Host, "thun", nodes, roots) {
			if c.Role == peer.RoleNode && children[c.Host] >= MaxChildren {
				refused++
				continue
			}
			children[c.Host]++
			parents[n.Host] = c
			break
		}
	}
	for _, n := range nodes {
		d := 0
		for at := n; at.Role == peer.RoleNode; at = parents[at.Host] {
			d++
		}
		depth = max(depth, d)
	}
	return depth, children["c1"] + children["c2"], refused
}

// placedChild is a child and whether it was admitted as a planned one.
type placedChild struct {
	Parent
	planned bool
}

// placements models the admission of nodes that arrive one after the other.
type placements struct {
	children map[model.HostID][]placedChild
}

// place attaches n to its first candidate with a free slot. When a candidate
// refuses n as a planned child, the unplanned children of that candidate are
// moved to unplaced.
func (m *placements) place(n Parent, known []Parent, unplaced *[]Parent) bool {
	best := DefaultTree.Preferred(n.Host, "thun", known, roots[:1])
	for _, c := range DefaultTree.Parents(n.Host, "thun", known, roots[:1]) {
		limits := map[bool]int{true: MaxChildren, false: NodeUnplannedChildren}
		total, class, planned := len(m.children[c.Host]), 0, slices.Contains(best, c)
		for _, child := range m.children[c.Host] {
			class += boolToInt(child.planned == planned)
		}
		if c.Role == peer.RoleControl {
			limits, total = map[bool]int{true: SourcePerDataCentre, false: SourceUnplannedChildren}, 0
		}
		if total < MaxChildren && class < limits[planned] {
			m.children[c.Host] = append(m.children[c.Host], placedChild{n, planned})
			return true
		}
		if planned && unplaced != nil {
			m.removeUnplanned(c, known, unplaced)
		}
	}
	return false
}

func (m *placements) removeUnplanned(c Parent, known []Parent, unplaced *[]Parent) {
	m.children[c.Host] = slices.DeleteFunc(m.children[c.Host], func(child placedChild) bool {
		belongs := slices.Contains(DefaultTree.Preferred(child.Host, "thun", known, roots[:1]), c)
		if !belongs {
			*unplaced = append(*unplaced, child.Parent)
		}
		return !belongs
	})
}

var _ = Describe("Parents", func() {
	DescribeTable("keeps the tree flat and the source's children few as the data centre grows",
		func(n, maxDepth int) {
			depth, source, refused := attachAll(nodeParents(n))
			Expect(depth).To(BeNumerically("<=", maxDepth))
			Expect(source).To(BeNumerically("<=", SourcePerDataCentre))
			Expect(refused).To(BeNumerically("<=", n/5))
		},
		Entry("one node", 1, 1), Entry("10 nodes", 10, 2), Entry("50 nodes", 50, 4),
		Entry("200 nodes", 200, 5), Entry("684 nodes, the planned size", 684, 6), Entry("1,000 nodes", 1000, 7),
	)

	It("finds a parent for every node even if the nodes arrive one by one and know only the earlier ones", func() {
		m := &placements{children: map[model.HostID][]placedChild{}}
		nodes := nodeParents(400)
		var unplaced []Parent
		for i, n := range nodes {
			if !m.place(n, nodes[:i], nil) {
				unplaced = append(unplaced, n)
			}
		}
		for steps := 0; len(unplaced) > 0; steps++ {
			Expect(steps).To(BeNumerically("<", 2*len(nodes)), "%d nodes have no parent", len(unplaced))
			n := unplaced[0]
			unplaced = unplaced[1:]
			if !m.place(n, nodes, &unplaced) {
				unplaced = append(unplaced, n)
			}
		}
	})

	It("prefers roots in the node's data centre and never offers the node itself", func() {
		Expect(DefaultTree.Parents("node-0", "thun", nodeParents(1), roots)).To(Equal([]Parent{roots[1], roots[0]}))
	})

	It("offers as many nodes of the next level up as asked for", func() {
		nodes := nodeParents(200)
		last := slices.MaxFunc(nodes, func(a, b Parent) int { return cmp.Compare(rankHash(a.Host), rankHash(b.Host)) })
		few := DefaultTree.ParentsWithCandidates(last.Host, "thun", nodes, roots, 1)
		many := DefaultTree.ParentsWithCandidates(last.Host, "thun", nodes, roots, 9)
		Expect(few).To(HaveLen(1 + spareCandidates + len(roots)))
		Expect(many).To(HaveLen(9 + spareCandidates + len(roots)))
		Expect(many[0]).To(Equal(few[0]))
	})

	It("keeps most parents when one node leaves", func() {
		nodes := nodeParents(200)
		moved := 0
		for _, n := range nodes[1:] {
			if DefaultTree.Parents(n.Host, "thun", nodes, roots)[0] != DefaultTree.Parents(n.Host, "thun", nodes[1:], roots)[0] {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<", 20))
	})
})

var _ = Describe("Admission", func() {
	It("limits children, keeps slots for planned ones and refuses all while stopping", func() {
		a := NewAdmission(SourceAdmission())
		admit := func(planned bool) bool { _, ok := a.Admit("thun", planned); return ok }
		for range SourceUnplannedChildren {
			Expect(admit(false)).To(BeTrue())
		}
		Expect(admit(false)).To(BeFalse())
		for range SourcePerDataCentre {
			Expect(admit(true)).To(BeTrue())
		}
		Expect(admit(true)).To(BeFalse())
		a.Release("thun", true)
		Expect(admit(false)).To(BeFalse())
		Expect(admit(true)).To(BeTrue())
		_, ok := a.Admit("burgdorf", false)
		Expect(ok).To(BeTrue())
		a.Drain(time.Second)
		Expect(a.Draining()).To(BeClosed())
		_, ok = a.Admit("sakiet", true)
		Expect(ok).To(BeFalse())
	})
})

var _ = Describe("Floor", func() {
	answer := func(role peer.Role, host string, i uint64, confirmed bool) FloorAnswer {
		return FloorAnswer{From: peer.Identity{Role: role, Host: model.HostID(host)}, Position: positionAt(i), Confirmed: confirmed}
	}
	c, n := peer.RoleControl, peer.RoleNode
	DescribeTable("returns the lowest position to route by",
		func(answers []FloorAnswer, controlHosts, peers int, want uint64, ok bool) {
			got, settled := Floor(answers, controlHosts, peers)
			Expect(settled).To(Equal(ok))
			if ok {
				Expect(got).To(Equal(positionAt(want)))
			}
		},
		Entry("no answer", nil, 3, 5, uint64(0), false),
		Entry("one confirmed control host", []FloorAnswer{answer(c, "c1", 7, true)}, 3, 5, uint64(7), true),
		Entry("one unconfirmed control host", []FloorAnswer{answer(c, "c1", 7, false)}, 3, 5, uint64(0), false),
		Entry("the same control host twice is no quorum",
			[]FloorAnswer{answer(c, "c1", 7, false), answer(c, "c1", 8, false)}, 3, 5, uint64(0), false),
		Entry("a quorum of control hosts", []FloorAnswer{answer(c, "c1", 7, false), answer(c, "c2", 9, false)}, 3, 5, uint64(9), true),
		Entry("a peer that says confirmed does not count as the source", []FloorAnswer{answer(n, "n1", 9, true)}, 3, 9, uint64(0), false),
		Entry("half of the peers, but fewer than three", []FloorAnswer{answer(n, "n1", 5, false), answer(n, "n2", 4, false)}, 3, 4, uint64(0), false),
		Entry("three peers, but less than half",
			[]FloorAnswer{answer(n, "n1", 5, false), answer(n, "n2", 4, false), answer(n, "n3", 6, false)}, 3, 7, uint64(0), false),
		Entry("half of the peers", []FloorAnswer{answer(n, "n1", 5, false), answer(n, "n2", 4, false), answer(n, "n3", 6, false)}, 3, 6, uint64(6), true),
		Entry("peers and one control host that knows more",
			[]FloorAnswer{answer(n, "n1", 5, false), answer(n, "n2", 4, false), answer(n, "n3", 6, false), answer(c, "c1", 8, false)}, 3, 3, uint64(8), true),
	)
})
