package distribute

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// nodeCacheTTL is how long the list of a data centre's nodes is cached. When a
// whole data centre reconnects, each child would otherwise cost a scan of the
// endpoint table.
const nodeCacheTTL = 500 * time.Millisecond

// nodeCache caches the live nodes of each data centre. One mutex guards it.
type nodeCache struct {
	eps *membership.Table

	mu        sync.Mutex
	nodes     map[model.DataCentre][]Parent
	fetchedAt map[model.DataCentre]time.Time
}

func newNodeCache(eps *membership.Table) *nodeCache {
	return &nodeCache{eps: eps, nodes: map[model.DataCentre][]Parent{}, fetchedAt: map[model.DataCentre]time.Time{}}
}

// SourcePlan returns ServeOptions.Planned for a control host. The nodes of the
// first level are planned children; the alternatives are the child's parent
// candidates among the nodes.
func (t Tree) SourcePlan(eps *membership.Table) func(child peer.Identity) (bool, []Parent) {
	p := newNodeCache(eps)
	return func(child peer.Identity) (bool, []Parent) {
		nodes := p.nodesOf(child.DataCentre, time.Now())
		lower := lowerRankNodes(child.Host, child.DataCentre, nodes)
		return t.Level(len(lower)) == 1, t.Parents(child.Host, child.DataCentre, nodes, nil)
	}
}

// NodePlan returns ServeOptions.Planned for a node. The children that have this
// node among their preferred parents are planned; the alternatives are the
// child's other parent candidates among the nodes.
func (t Tree) NodePlan(self model.HostID, eps *membership.Table) func(child peer.Identity) (bool, []Parent) {
	p := newNodeCache(eps)
	return func(child peer.Identity) (bool, []Parent) {
		isSelf := func(p Parent) bool { return p.Host == self }
		nodes := p.nodesOf(child.DataCentre, time.Now())
		planned := slices.ContainsFunc(t.Preferred(child.Host, child.DataCentre, nodes, nil), isSelf)
		return planned, slices.DeleteFunc(t.Parents(child.Host, child.DataCentre, nodes, nil), isSelf)
	}
}

func (p *nodeCache) nodesOf(dc model.DataCentre, now time.Time) []Parent {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.fetchedAt[dc]; !ok || now.Sub(at) >= nodeCacheTTL {
		p.nodes[dc], p.fetchedAt[dc] = NodesOf(dc, p.eps.AliveInDataCentre(dc)), now
	}
	return p.nodes[dc]
}
