package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

// isolationTTL is how long a control host stays marked as isolated unless it confirms
// a position before. A longer time spares attempts during a long cut; a shorter one
// returns sooner to a remote control host, which no failback asks.
const isolationTTL = time.Minute

// errIsolated ends a stream to a control host that is cut off from the leader.
var errIsolated = errors.New("control host has lost the leader")

// isolation holds the control hosts that have lost the leader while this node is in
// contact with the source through others. The zero value is ready for use.
type isolation struct {
	mu sync.Mutex
	// until is the time at which the mark of each host ends.
	until map[model.HostID]time.Time
	// changed is closed and replaced at each new mark.
	changed chan struct{}
}

func (i *isolation) mark(now time.Time, host model.HostID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.until == nil {
		i.until = map[model.HostID]time.Time{}
	}
	i.until[host] = now.Add(isolationTTL)
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}

func (i *isolation) clear(host model.HostID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.until, host)
}

// get reports whether a host is marked, and returns a channel that is closed at the
// next mark.
func (i *isolation) get(now time.Time, host model.HostID) (bool, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return now.Before(i.until[host]), i.changed
}

func (n *Node) isIsolated(host model.HostID) bool {
	marked, _ := n.isolation.get(time.Now(), host)
	return marked
}

// isolatedLast moves the control hosts that are marked as isolated to the end.
func (n *Node) isolatedLast(hosts []distribute.Parent) []distribute.Parent {
	slices.SortStableFunc(hosts, func(a, b distribute.Parent) int {
		switch x, y := n.isIsolated(a.Host), n.isIsolated(b.Host); {
		case x == y:
			return 0
		case x:
			return 1
		default:
			return -1
		}
	})
	return hosts
}

// watchIsolation ends a stream once its control host is marked as isolated.
func (n *Node) watchIsolation(ctx context.Context, connected model.HostID, end context.CancelCauseFunc) {
	// A stream to a host that is marked already is the last resort and stays.
	before, changed := n.isolation.get(time.Now(), connected)
	for !before {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		var marked bool
		if marked, changed = n.isolation.get(time.Now(), connected); marked {
			end(errIsolated)
			return
		}
	}
}

// checkReachability marks a control host whose reply says that it has lost the leader,
// if this node has recent contact with the source. Without that, all control hosts may
// have lost it, as during an election.
func (n *Node) checkReachability(host model.HostID, r membership.RenewalReply) {
	if r.LeaderReachable || !n.freshness.Recent(time.Now()) || n.isIsolated(host) {
		return
	}
	n.log.Warn("control host has lost the leader", "peer", string(host), "source_age_ms", n.sourceAge().Milliseconds())
	n.isolation.mark(time.Now(), host)
}

// reachesLeader asks a control host for a position that the leader confirms.
func (n *Node) reachesLeader(ctx context.Context, host distribute.Parent) bool {
	ctx, cancel := context.WithTimeout(ctx, streamOpenTimeout)
	defer cancel()
	st, err := n.open(ctx, host, distribute.MethodExchange)
	if err != nil {
		return false
	}
	answer, err := distribute.AskPosition(ctx, st)
	return err == nil && answer.Confirmed
}
