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

// claimMachine applies the entries of a claim group to its state.
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

// claimGroups are the claim groups of this host.
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
			g.log.Error("log not closed cleanly", "group", number, "reason", err.Error())
		}
	}
}

// notLeader reports whether a proposal failed because another host leads.
func notLeader(err error) (model.HostID, bool) {
	var n replog.ErrNotLeader
	if errors.As(err, &n) {
		return n.Leader, true
	}
	return "", false
}

// watchOwners tells the claim groups of nodes that are gone, so that their
// writes in progress become "outcome unknown" at once and not only at their
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

func (c *Control) ownerChanged(ctx context.Context, a membership.Announcement, lostIncarnations map[model.HostID]uint64) {
	lostIncarnation := a.Incarnation
	if a.Alive() {
		lostIncarnation--
	}
	if lostIncarnation <= lostIncarnations[a.Host] && lostIncarnations[a.Host] != 0 {
		return
	}
	lostIncarnations[a.Host] = lostIncarnation
	if err := c.claims.service.OwnerGone(ctx, a.Host, lostIncarnation); err != nil {
		c.log.Warn("claims of a lost node not marked", "host", string(a.Host), "reason", err.Error())
	}
}
