package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

const (
	// floorRetryDelay is the wait between rounds that gave too few answers.
	floorRetryDelay = 300 * time.Millisecond
	// floorRoundTimeout bounds one round of questions. A shorter one skips unreachable
	// hosts sooner, but asks more hosts when some are merely busy.
	floorRoundTimeout = 600 * time.Millisecond
)

// learnFloor determines the floor, the minimum position at which this node may route.
// The control host that admits this node to the distribution tree confirms it with its
// welcome. Without one the node asks the control hosts, and peers if their answers do not suffice.
// It then fetches versions and endpoints from a peer, because without control hosts
// the node may know no parent in the distribution tree.
func (n *Node) learnFloor(ctx context.Context) error {
	n.awaitWelcome(ctx)
	for ctx.Err() == nil {
		answers := n.joining.floorAnswers()
		floor, ok := distribute.Floor(answers, len(n.directory.Hosts()), 0)
		busy := false
		if !ok {
			answers, floor, busy, ok = n.askControlHosts(ctx)
		}
		var peers []distribute.Parent
		if !ok && (!busy || time.Since(n.started) >= busyJoinWait) {
			peers = n.sampleFloorPeers()
			more, _ := n.askPositions(ctx, peers)
			answers = append(answers, more...)
			floor, ok = distribute.Floor(answers, len(n.directory.Hosts()), len(peers))
		}
		if ok {
			n.acceptor.SetFloor(floor)
			n.floor.Store(&floor)
			n.log.Info("node learned the minimum position for routing", "position", floor.String(), "answers", len(answers))
			if n.registration != nil {
				n.registration.learnHistory(ownRecords(answers))
			}
			n.pullFromNewest(ctx, answers, peers)
			n.awaitRoutable(ctx)
			return nil
		}
		select {
		case <-n.joining.get(&n.joining.welcomed).c:
		case <-time.After(floorRetryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// ownRecords returns the records of this node in the answers.
func ownRecords(answers []distribute.FloorAnswer) []membership.Announcement {
	var out []membership.Announcement
	for _, a := range answers {
		if a.Own != nil {
			out = append(out, *a.Own)
		}
	}
	return out
}

// askControlHosts first asks the preferred control host, whose confirmed answer
// suffices, then enough others for a quorum, then the rest. If every node asked all
// control hosts when a whole fleet starts at once, the handshakes would delay
// everything else. busy reports whether one refused the connection for now.
func (n *Node) askControlHosts(ctx context.Context) (answers []distribute.FloorAnswer, floor model.Position, busy, ok bool) {
	hosts := n.controlHosts()
	quorum := len(hosts)/2 + 1
	from := 0
	for _, to := range []int{1, quorum, len(hosts)} {
		if to <= from || to > len(hosts) {
			continue
		}
		var more []distribute.FloorAnswer
		more, busy = n.askPositions(ctx, hosts[from:to])
		answers = append(answers, more...)
		if busy {
			break // it answers later; all others would be busy too
		}
		from = to
		if floor, ok = distribute.Floor(answers, len(hosts), 0); ok {
			break
		}
	}
	return answers, floor, busy, ok
}

// maxFloorPeers bounds the number of peers asked for the floor. At least half of the
// peers asked must answer; asking half of a large data centre at each restart would
// cost too much.
const maxFloorPeers = 16

// sampleFloorPeers returns a random sample of the peers to ask for the floor.
func (n *Node) sampleFloorPeers() []distribute.Parent {
	peers := n.restartPeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxFloorPeers)]
}

// askPositions asks processes for their positions. busy reports whether one of them
// refused the connection for now.
func (n *Node) askPositions(ctx context.Context, from []distribute.Parent) (answers []distribute.FloorAnswer, busy bool) {
	ctx, cancel := context.WithTimeout(ctx, floorRoundTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range from {
		wg.Go(func() {
			st, err := n.open(ctx, p, distribute.MethodExchange)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				busy = busy || errors.Is(err, peer.ErrBusy)
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
	return answers, busy
}
