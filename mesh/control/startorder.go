package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// leaderFirst is how long a control host that has just started keeps nodes waiting
// until it knows a leader. A longer time protects a slow election; a shorter one lets
// nodes connect sooner to a group that has no quorum.
const leaderFirst = 5 * time.Second

// startOrder lets the control hosts elect a leader before the nodes connect. When a
// whole mesh starts, the handshakes of the nodes would otherwise delay the votes that
// end their waiting. It is safe for concurrent use.
type startOrder struct {
	started     time.Time
	leaderKnown atomic.Bool
}

func newStartOrder(now time.Time) *startOrder { return &startOrder{started: now} }

// acceptNodes implements peer.Config.AcceptNodes.
func (s *startOrder) acceptNodes() bool { return s.accepts(time.Now()) }

func (s *startOrder) accepts(now time.Time) bool {
	return s.leaderKnown.Load() || now.Sub(s.started) >= leaderFirst
}

// awaitLeader records and logs when this host first knows a leader.
func (c *Control) awaitLeader(ctx context.Context) error {
	for {
		st, changed := c.configLog.Watch()
		if st.Leader != "" {
			c.startOrder.leaderKnown.Store(true)
			after := time.Since(c.startOrder.started)
			metrics.GetOrRegisterGauge("control.leader_known_after_ms", metrics.DefaultRegistry).Update(after.Milliseconds())
			// Nodes that have started before can then route without a further question.
			go func() { _, _ = c.confirm(ctx, time.Now()) }()
			c.ep.AnswerEnquirers()
			c.log.Info("control host knows a leader after its start", "leader", string(st.Leader), "after", after.String())
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
