package control

import (
	"context"
	"errors"
	"log/slog"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog"
)

// claimMachine is the replicated state machine of a claim group.
type claimMachine struct{ state *claim.State }

// Apply implements replog.StateMachine.
func (m claimMachine) Apply(e replog.Entry) any {
	if e.Kind != replog.EntryCommand {
		return nil
	}
	c, err := claim.DecodeCommand(e.Data)
	if err != nil {
		return eris.Wrapf(ErrCorrupt, "entry %d: %v", e.Index, err)
	}
	return m.state.Apply(c, e.Index)
}

// Snapshot implements replog.StateMachine.
func (m claimMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements replog.StateMachine.
func (m claimMachine) Restore(b []byte) error { return m.state.Restore(b) }

// claimGroups holds the logs and states of the claim groups of this host.
type claimGroups struct {
	log     *slog.Logger
	groups  map[uint32]claim.Group
	logs    map[uint32]*replog.Log
	service *claim.Service
}

func newClaimGroups(log *slog.Logger) *claimGroups {
	return &claimGroups{log: log, groups: map[uint32]claim.Group{}, logs: map[uint32]*replog.Log{}}
}

func (g *claimGroups) add(number uint32, l *replog.Log, state *claim.State) {
	g.groups[number] = claim.Group{Log: l, State: state}
	g.logs[number] = l
}

func (g *claimGroups) open() {
	g.service = claim.NewService(claim.ServiceConfig{Groups: g.groups, NotLeader: notLeader, Log: g.log})
}

func (g *claimGroups) close() {
	for number, l := range g.logs {
		if err := l.Close(); err != nil {
			g.log.Error("closing the replicated log failed", "group", number, "reason", err.Error())
		}
	}
}

// notLeader reports whether a proposal failed because another host leads, and
// returns the leader if it is known.
func notLeader(err error) (model.HostID, bool) {
	var n replog.ErrNotLeader
	if errors.As(err, &n) {
		return n.Leader, true
	}
	return "", false
}

// watchOwners informs the claim groups of lost nodes, so that the writes in
// progress of these nodes become "outcome unknown" at once instead of at their
// run deadline.
func (c *Control) watchOwners(ctx context.Context) error {
	lostIncarnations := map[model.HostID]uint64{}
	var cursor uint64
	for {
		select {
		case <-c.endpoints.Changed(cursor):
		case <-ctx.Done():
			return ctx.Err()
		}
		var batch []membership.Announcement
		batch, cursor = c.endpoints.Since(cursor)
		for _, a := range batch {
			c.ownerChanged(ctx, a, lostIncarnations)
		}
	}
}

// ownerChanged marks the claims of the lost incarnations of a node: all earlier
// ones, and the announced one if the node is not alive.
func (c *Control) ownerChanged(ctx context.Context, a membership.Announcement, lostIncarnations map[model.HostID]uint64) {
	lostIncarnation := a.Incarnation
	if a.Alive() {
		lostIncarnation--
	}
	if lostIncarnation <= lostIncarnations[a.Host] && lostIncarnations[a.Host] != 0 {
		return
	}
	lostIncarnations[a.Host] = lostIncarnation
	if err := c.claims.service.MarkOwnerUnknown(ctx, a.Host, lostIncarnation); err != nil {
		c.log.Warn("marking the claims of a lost node as outcome unknown failed", "host", string(a.Host), "reason", err.Error())
	}
}
