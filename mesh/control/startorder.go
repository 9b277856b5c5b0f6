package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// leaderFirst is how long a control host that has just started keeps nodes waiting
// until a leader has confirmed a position. A longer time protects a slow election; a shorter one lets
// nodes connect sooner to a group that has no quorum.
const leaderFirst = 5 * time.Second

// startOrder lets the control hosts elect a leader before the nodes connect. When a
// whole mesh starts, the handshakes of the nodes would otherwise delay the votes that
// end their waiting. It is safe for concurrent use.
type startOrder struct {
	started   time.Time
	confirmed atomic.Bool
}

func newStartOrder(now time.Time) *startOrder { return &startOrder{started: now} }

// acceptNodes implements peer.Config.AcceptNodes.
func (s *startOrder) acceptNodes() bool { return s.accepts(time.Now()) }

func (s *startOrder) accepts(now time.Time) bool {
	return s.confirmed.Load() || now.Sub(s.started) >= leaderFirst
}

// awaitLeader records and logs when this host first knows a leader.
func (c *Control) awaitLeader(ctx context.Context) error {
	for {
		st, changed := c.configLog.Watch()
		if st.Leader != "" {
			after := time.Since(c.startOrder.started)
			metrics.GetOrRegisterGauge("control.leader_known_after_ms", metrics.DefaultRegistry).Update(after.Milliseconds())
			c.log.Info("control host knows a leader after its start", "leader", string(st.Leader), "after", after.String())
			c.confirmBeforeNodes(ctx)
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// confirmRetryDelay is the wait before a confirmation that failed after the start is tried
// again.
const confirmRetryDelay = 30 * time.Millisecond

// confirmBeforeNodes lets nodes connect once the leader has confirmed a position. All nodes
// that have started before can route with it, and the messages for it would otherwise wait
// behind the handshakes of the fleet.
func (c *Control) confirmBeforeNodes(ctx context.Context) {
	for ctx.Err() == nil && !c.startOrder.acceptNodes() {
		if _, err := c.confirm(ctx, time.Now()); err == nil {
			break
		}
		sleep(ctx, confirmRetryDelay)
	}
	c.startOrder.confirmed.Store(true)
	c.log.Info("control host admits nodes", "after", time.Since(c.startOrder.started).String())
	c.ep.AnswerEnquirers()
}
