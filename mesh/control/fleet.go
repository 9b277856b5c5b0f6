package control

import (
	"context"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// methodNodes asks the leader for the sum of the nodes that all control hosts
// serve.
const methodNodes = "control.nodes"

type nodesRequest struct{}

type nodesReply struct {
	Nodes distribute.SubtreeReport `cbor:"1,keyasint"`
}

func (c *Control) handleNodes(context.Context, peer.Identity, nodesRequest) (nodesReply, error) {
	return nodesReply{Nodes: c.leaderWork.gatherNodes(time.Now())}, nil
}

// fleetNodes sums up the nodes that all control hosts serve. Only the leader
// polls the others, so that a follower asks the leader. If no leader replies, a
// follower counts only its own nodes.
func (c *Control) fleetNodes(ctx context.Context) distribute.SubtreeReport {
	if leader, ok := c.findHost(c.configLog.Status().Leader); ok && !c.isLeader() {
		var reply nodesReply
		if c.call(ctx, leader, methodNodes, nodesRequest{}, &reply) == nil {
			return reply.Nodes
		}
	}
	return c.leaderWork.gatherNodes(time.Now())
}

// nodesBehind returns how many of the live nodes are not known to have reached
// the newest position: those that no control host reports, and at least one if
// the lowest reported position is older.
func nodesBehind(alive int, known distribute.SubtreeReport, newest model.Position) int {
	behind := max(alive-known.Nodes, 0)
	if known.LowestPosition.Less(newest) && alive > 0 {
		behind = max(behind, 1)
	}
	return behind
}
