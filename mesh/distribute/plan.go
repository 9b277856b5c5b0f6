package distribute

import (
	"sync"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// planLife is how long the nodes of a data centre are taken from a cache: when
// a whole data centre reconnects, each child would cost a scan of the table.
const planLife = 500 * time.Millisecond

// sourcePlan tells which children the tree gives to the source. One mutex guards it.
type sourcePlan struct {
	eps *membership.Table

	mu    sync.Mutex
	nodes map[model.DataCentre][]Parent
	at    map[model.DataCentre]time.Time
}

// SourcePlan returns ServeOptions.Planned for a control host: children of the
// first level are planned, and each child is told its parents among the nodes.
func SourcePlan(eps *membership.Table) func(child peer.Identity) (bool, []Parent) {
	p := &sourcePlan{eps: eps, nodes: map[model.DataCentre][]Parent{}, at: map[model.DataCentre]time.Time{}}
	return p.planned
}

func (p *sourcePlan) planned(child peer.Identity) (bool, []Parent) {
	nodes := p.nodesOf(child.DataCentre, time.Now())
	rank := 0
	for _, n := range nodes {
		if n.Host != child.Host && below(n.Host, child.Host) {
			rank++
		}
	}
	return Level(rank) == 1, Parents(child.Host, child.DataCentre, nodes, nil)
}

func (p *sourcePlan) nodesOf(dc model.DataCentre, now time.Time) []Parent {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.at[dc]; !ok || now.Sub(at) >= planLife {
		p.nodes[dc], p.at[dc] = NodesOf(dc, p.eps.All()), now
	}
	return p.nodes[dc]
}
