package distribute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Sizes of the fan-out tree.
const (
	// DefaultFirstLevel is the default of Tree.FirstLevel.
	DefaultFirstLevel = 4
	// plannedFanOut is the number of children per node for which the levels are
	// sized. It is below MaxChildren, so that a parent has slots left for the
	// uneven choice by hash and for the children of a failed neighbour.
	plannedFanOut = 5
	// levelCandidates is the default number of candidates from the level above.
	levelCandidates = 3
	// spareCandidates is the number of further candidates, of any lower rank.
	// Most of them are leaves with free slots, for a node whose preferred
	// parents are full.
	spareCandidates = 4
)

// Tree is the shape of the fan-out tree. It must be the same on all processes.
type Tree struct {
	// FirstLevel is the number of nodes per data centre that attach directly to
	// the source. A higher number reduces the load on the nodes and on slow
	// links between them, and increases the load on the source.
	FirstLevel int
}

// DefaultTree is the shape for the planned size of the fleet.
var DefaultTree = Tree{FirstLevel: DefaultFirstLevel}

// Parent is a process that can serve children.
type Parent struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	Role       peer.Role        `cbor:"2,keyasint"`
	DataCentre model.DataCentre `cbor:"3,keyasint"`
	Address    string           `cbor:"4,keyasint"`
}

// Identity returns the identity that the parent's certificate must carry.
func (p Parent) Identity() peer.Identity {
	return peer.Identity{Role: p.Role, DataCentre: p.DataCentre, Host: p.Host}
}

// rankHash determines the rank of a node in its data centre. A node attaches
// only to nodes of a lower rank, and the order is the same on every host
// whatever nodes it knows, so no cycle can form.
func rankHash(h model.HostID) uint64 { return xxhash.Sum64String("rank/" + string(h)) }

func rendezvousWeight(child, parent model.HostID) uint64 {
	return xxhash.Sum64String(string(child) + "\x00" + string(parent))
}

// hasLowerRank reports whether a has a lower rank than b.
func hasLowerRank(a, b model.HostID) bool {
	if c := cmp.Compare(rankHash(a), rankHash(b)); c != 0 {
		return c < 0
	}
	return a < b
}

// Level returns the level of the node with the given rank. The first level
// attaches to the source, and each further level is plannedFanOut times as wide
// as the one above.
func (t Tree) Level(rank int) int {
	level, end := 1, t.FirstLevel
	for width := t.FirstLevel; rank >= end; level++ {
		width *= plannedFanOut
		end += width
	}
	return level
}

// levelStart returns the lowest rank in a level.
func (t Tree) levelStart(level int) int {
	start, width := 0, t.FirstLevel
	for range level - 1 {
		start += width
		width *= plannedFanOut
	}
	return start
}

// NodesOf returns the live nodes of a data centre as possible parents.
func NodesOf(dc model.DataCentre, known []membership.Announcement) []Parent {
	var out []Parent
	for _, a := range known {
		if a.DataCentre == dc && a.Alive() {
			out = append(out, Parent{Host: a.Host, Role: peer.RoleNode, DataCentre: dc, Address: a.PeerAddress})
		}
	}
	return out
}

// Parents returns the parent candidates of a node in order of preference: the
// preferred ones, then some other nodes of a lower rank, then the roots. nodes
// are the nodes of the data centre, with or without self. roots are the control
// hosts.
func (t Tree) Parents(self model.HostID, dc model.DataCentre, nodes, roots []Parent) []Parent {
	return t.ParentsWithCandidates(self, dc, nodes, roots, levelCandidates)
}

// ParentsWithCandidates is Parents with the given number of preferred nodes. With more of
// them a node finds a parent sooner after failures, but children are spread
// less evenly.
func (t Tree) ParentsWithCandidates(self model.HostID, dc model.DataCentre, nodes, roots []Parent, candidates int) []Parent {
	lower := lowerRankNodes(self, dc, nodes)
	out := t.preferred(self, dc, lower, roots, candidates)
	spare := slices.DeleteFunc(slices.Clone(lower), func(p Parent) bool { return slices.Contains(out, p) })
	out = append(out, lowestWeight(self, spare, spareCandidates)...)
	if t.Level(len(lower)) > 1 {
		out = append(out, orderRoots(self, dc, roots)...)
	}
	return out
}

// Preferred returns the parents that the tree assigns to a node: some nodes of
// the level above, or the roots for a node of the first level.
func (t Tree) Preferred(self model.HostID, dc model.DataCentre, nodes, roots []Parent) []Parent {
	return t.preferred(self, dc, lowerRankNodes(self, dc, nodes), roots, levelCandidates)
}

func (t Tree) preferred(self model.HostID, dc model.DataCentre, lower, roots []Parent, candidates int) []Parent {
	level := t.Level(len(lower))
	if level == 1 {
		return orderRoots(self, dc, roots)
	}
	return lowestWeight(self, lower[t.levelStart(level-1):min(t.levelStart(level), len(lower))], candidates)
}

// weighted is the index of a parent and the hash to sort it by. Hashing each
// parent once instead of in every comparison matters with hundreds of nodes.
type weighted struct {
	weight uint64
	index  int
}

func sortByWeight(ps []Parent, weight func(Parent) uint64) []Parent {
	ws := make([]weighted, len(ps))
	for i, p := range ps {
		ws[i] = weighted{weight: weight(p), index: i}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		if c := cmp.Compare(a.weight, b.weight); c != 0 {
			return c
		}
		return cmp.Compare(ps[a.index].Host, ps[b.index].Host)
	})
	out := make([]Parent, len(ps))
	for i, w := range ws {
		out[i] = ps[w.index]
	}
	return out
}

// lowerRankNodes returns the nodes of the data centre that have a lower rank
// than self, sorted by rank.
func lowerRankNodes(self model.HostID, dc model.DataCentre, nodes []Parent) []Parent {
	lower := make([]Parent, 0, len(nodes))
	for _, n := range nodes {
		if n.Host != self && n.DataCentre == dc && hasLowerRank(n.Host, self) {
			lower = append(lower, n)
		}
	}
	return sortByWeight(lower, func(p Parent) uint64 { return rankHash(p.Host) })
}

// lowestWeight returns the n parents with the lowest rendezvous weight for the
// child.
func lowestWeight(child model.HostID, from []Parent, n int) []Parent {
	s := sortByWeight(from, func(p Parent) uint64 { return rendezvousWeight(child, p.Host) })
	return s[:min(n, len(s))]
}

// orderRoots sorts the roots by rendezvous weight, those in the node's data
// centre first.
func orderRoots(self model.HostID, dc model.DataCentre, roots []Parent) []Parent {
	s := lowestWeight(self, roots, len(roots))
	slices.SortStableFunc(s, func(a, b Parent) int {
		return cmp.Compare(boolToInt(a.DataCentre != dc), boolToInt(b.DataCentre != dc))
	})
	return s
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
