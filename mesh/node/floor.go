package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
)

const (
	floorRetryDelay = 300 * time.Millisecond
	// floorAskTimeout bounds one round of questions. A shorter one passes over silent
	// hosts sooner and asks more hosts that are merely busy.
	floorRoundTimeout = 600 * time.Millisecond
)

// learnFloor asks control hosts, and peers if those do not settle it, until it
// knows the least position by which this node may route. While the source is out
// it takes versions and endpoints from a peer, since no parent may be known.
func (n *Node) learnFloor(ctx context.Context) error {
	n.awaitDirectory(ctx)
	for ctx.Err() == nil {
		answers, floor, ok := n.askControlHosts(ctx)
		var peers []distribute.Parent
		if !ok {
			peers = n.sampleFloorPeers()
			answers = append(answers, n.askPositions(ctx, peers)...)
			floor, ok = distribute.Floor(answers, len(n.directory.Hosts()), len(peers))
		}
		if ok {
			n.acceptor.SetFloor(floor)
			n.floor.Store(&floor)
			n.log.Info("floor learned", "position", floor.String(), "answers", len(answers))
			n.pullFromNewest(ctx, answers, peers)
			return nil
		}
		sleepContext(ctx, floorRetryDelay)
	}
	return ctx.Err()
}

// askControlHosts asks the preferred control host, whose confirmed answer suffices,
// then as many more as make up a quorum, then the others: when a whole fleet starts
// at once, the handshakes of all nodes with all control hosts delay everything else.
func (n *Node) askControlHosts(ctx context.Context) (answers []distribute.FloorAnswer, floor model.Position, ok bool) {
	hosts := n.controlHosts()
	quorum := len(hosts)/2 + 1
	from := 0
	for _, to := range []int{1, quorum, len(hosts)} {
		if to <= from || to > len(hosts) {
			continue
		}
		answers = append(answers, n.askPositions(ctx, hosts[from:to])...)
		from = to
		if floor, ok = distribute.Floor(answers, len(hosts), 0); ok {
			break
		}
	}
	return answers, floor, ok
}

// floorPeers bounds the peers asked for a floor. At least half of those asked
// must answer: asking half of a large data centre would cost it more than the
// restart is worth.
const maxFloorPeers = 16

// floorSample returns peers to ask for a floor, in random order.
func (n *Node) sampleFloorPeers() []distribute.Parent {
	peers := n.restartPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxFloorPeers)]
}

func (n *Node) askPositions(ctx context.Context, from []distribute.Parent) []distribute.FloorAnswer {
	ctx, cancel := context.WithTimeout(ctx, floorRoundTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []distribute.FloorAnswer
	var wg sync.WaitGroup
	for _, p := range from {
		wg.Go(func() {
			st, err := n.open(ctx, p, distribute.MethodExchange)
			if err != nil {
				return
			}
			a, err := distribute.AskPosition(ctx, st)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	wg.Wait()
	return answers
}
