package control

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

// operatorBackend implements operator.Backend with the state of this control
// host.
type operatorBackend struct{ c *Control }

// serveOperators serves the operator interface until ctx ends.
func (c *Control) serveOperators(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", c.cfg.Listen.Operator)
	if err != nil {
		return eris.Wrapf(ErrStart, "listen.operator: %v", err)
	}
	if c.operatorHandler != nil {
		return c.servePlatformAdapter(ctx, l)
	}
	s, err := operator.NewServer(operator.ServerConfig{
		Listener: l, TLS: c.cfg.OperatorTLS, Operators: c.cfg.Operators, WatchTimeout: c.cfg.Timeouts.Watch,
		RequestTimeout: c.cfg.Timeouts.Request, RequestBytes: c.cfg.Limits.RequestBytes, Requests: c.cfg.Limits.Requests, Log: c.log,
	}, operatorBackend{c}, c.ready)
	if err != nil {
		return eris.Wrapf(ErrStart, "operator interface: %v", err)
	}
	return s.Serve(ctx, c.cfg.Timeouts.Shutdown)
}

// ready returns why this host cannot serve operators, or nil if it can.
func (c *Control) ready() error {
	if c.configLog.Status().Leader == "" {
		return eris.Wrap(ErrNoLeader, "no leader is known")
	}
	return nil
}

// confirmTimeout bounds the confirmation of a read by the leader. Without a
// confirmation the read returns the state of this host and is marked as
// unconfirmed.
const confirmTimeout = 500 * time.Millisecond

// confirmRead waits until this host has applied everything that a confirmed
// leader has accepted. If that fails, the result is marked as unconfirmed.
func (b operatorBackend) confirmRead(ctx context.Context) operator.Read {
	r := operator.Read{Host: b.c.cfg.Host}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	r.Confirmed = b.c.catchUp(ctx) == nil
	b.c.machine.View(func(n *note.State, _ *rollout.State) { r.Position = n.Position() })
	return r
}

// Submit implements operator.Backend.
func (b operatorBackend) Submit(ctx context.Context, cmd note.Command) (note.Result, error) {
	if err := b.c.checkDataCentre(cmd); err != nil {
		return note.Result{}, err
	}
	r, err := b.c.submit(ctx, cmd)
	return r, operatorError(err)
}

// checkDataCentre refuses a command for a data centre that the settings do not
// list.
func (c *Control) checkDataCentre(cmd note.Command) error {
	var dc model.DataCentre
	switch {
	case cmd.TakeOut != nil:
		dc = cmd.TakeOut.DataCentre
	case cmd.BeginReturn != nil:
		dc = cmd.BeginReturn.DataCentre
	default:
		return nil
	}
	if !slices.Contains(c.cfg.DataCentres, dc) {
		return eris.Wrapf(operator.ErrNotFound, "data centre %q", dc)
	}
	return nil
}

// operatorError maps errors of this package to those of package operator.
func operatorError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrOutcomeUnknown):
		return eris.Wrapf(operator.ErrOutcomeUnknown, "%v", err)
	case errors.Is(err, replog.ErrDiskFull):
		return eris.Wrapf(operator.ErrStorageFull, "%v", err)
	case errors.Is(err, ErrUnknownHost):
		return eris.Wrapf(operator.ErrNotFound, "%v", err)
	default:
		return eris.Wrapf(operator.ErrUnavailable, "%v", err)
	}
}

// Notes implements operator.Backend.
func (b operatorBackend) Notes(ctx context.Context, before uint64, limit int) ([]note.Record, operator.Read, error) {
	r := b.confirmRead(ctx)
	var out []note.Record
	b.c.machine.View(func(n *note.State, _ *rollout.State) { out = n.Notes(before, limit) })
	return out, r, nil
}

// Note implements operator.Backend.
func (b operatorBackend) Note(ctx context.Context, number uint64) (note.Record, operator.Read, error) {
	r := b.confirmRead(ctx)
	var out note.Record
	var err error
	b.c.machine.View(func(n *note.State, _ *rollout.State) { out, err = n.Note(number) })
	return out, r, err
}

// Moves implements operator.Backend.
func (b operatorBackend) Moves(ctx context.Context) ([]operator.MoveView, operator.Read, error) {
	r := b.confirmRead(ctx)
	var out []operator.MoveView
	b.c.machine.View(func(n *note.State, m *rollout.State) {
		for _, mv := range n.Moves() {
			out = append(out, moveView(mv, m))
		}
	})
	return out, r, nil
}

// Move implements operator.Backend.
func (b operatorBackend) Move(ctx context.Context, service model.ServiceName) (operator.MoveView, operator.Read, error) {
	moves, r, err := b.Moves(ctx)
	for _, m := range moves {
		if m.Service == service {
			return m, r, err
		}
	}
	return operator.MoveView{}, r, eris.Wrapf(operator.ErrNotFound, "no move of service %q", service)
}

// moveView combines a move of the notes with the status of its rollout.
func moveView(mv note.MoveState, moves *rollout.State) operator.MoveView {
	v := operator.MoveView{
		Service: mv.Move.Service, Note: mv.Note, Revision: mv.Revision, To: mv.Move.To, By: mv.Move.By,
		Accepted: mv.Accepted, Done: mv.Done, Reversed: mv.Reversed, Reason: mv.Reason, State: operator.MoveDone,
	}
	st, ok := moves.Status(rollout.MoveID{Note: mv.Note, Service: mv.Move.Service})
	switch {
	case mv.Withdrawn:
		v.State = operator.MoveWithdrawn
	case !ok && mv.IsFirstVersion():
		v.Share, v.Reason = model.ShareAll, "first version of the service"
	}
	if !ok {
		return v
	}
	v.State = operator.MovePhase(st.Phase.String())
	v.From, v.Share, v.AtRisk, v.Reason, v.Sequence = st.From, st.Share, st.AtRisk, st.Reason, st.Sequence
	v.Forecast = timeOfInstant(st.Forecast)
	if st.Completed != 0 {
		v.Done, v.WatchUntil = timeOfInstant(st.Completed), timeOfInstant(st.Completed).Add(st.Move.WatchFor)
	}
	if st.Phase == rollout.PhaseReversed {
		v.Reversed = timeOfInstant(st.Ended)
	}
	if st.Verdict != nil {
		v.Route, v.Kind = st.Verdict.Route, st.Verdict.Kind.String()
	}
	for _, s := range st.Steps {
		v.Steps = append(v.Steps, operator.StepView{At: s.Time.Time(), Action: s.Op.String(), Share: s.Share, Reason: s.Reason})
	}
	return v
}

func timeOfInstant(i rollout.Instant) time.Time {
	if i == 0 {
		return time.Time{}
	}
	return i.Time()
}

// Changed implements operator.Backend.
func (b operatorBackend) Changed() <-chan struct{} { return b.c.machine.Changed() }

// DataCentres implements operator.Backend.
func (b operatorBackend) DataCentres(ctx context.Context) ([]operator.DataCentreView, operator.Read, error) {
	r := b.confirmRead(ctx)
	var cfg note.Config
	b.c.machine.View(func(n *note.State, _ *rollout.State) { cfg = n.Config() })
	views := map[model.DataCentre]*operator.DataCentreView{}
	for _, dc := range b.c.cfg.DataCentres {
		views[dc] = &operator.DataCentreView{Name: dc, State: note.DataCentreInService.String()}
		if st, ok := cfg.DataCentres[dc]; ok {
			views[dc].State = st.String()
		}
	}
	for _, a := range b.c.endpoints.All() {
		v := views[a.DataCentre]
		switch {
		case v == nil:
		case a.State == membership.StateServing:
			v.Serving++
		case a.State == membership.StateDraining:
			v.Draining++
		}
	}
	var out []operator.DataCentreView
	for _, v := range views {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b operator.DataCentreView) int { return cmp.Compare(a.Name, b.Name) })
	return out, r, nil
}

// ControlHosts implements operator.Backend.
func (b operatorBackend) ControlHosts(ctx context.Context) ([]operator.ControlHostView, operator.Read, error) {
	r := b.confirmRead(ctx)
	st := b.c.configLog.Status()
	var out []operator.ControlHostView
	for _, m := range st.Members {
		h, _ := b.c.findHost(m.Host)
		v := operator.ControlHostView{Host: m.Host, DataCentre: h.DataCentre, Peer: h.Peer, Role: "follower"}
		switch {
		case m.Host == st.Leader:
			v.Role = "leader"
		case !m.Voter:
			v.Role = "learner"
		}
		v.LastContact = b.c.leaderWork.lastContact(m.Host)
		out = append(out, v)
	}
	return out, r, nil
}

// lastContact returns when this host, as the leader, last received the status
// of another control host; zero if this host does not lead.
func (l *leader) lastContact(id model.HostID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[id].receivedAt
}

// AddControlHost implements operator.Backend.
func (b operatorBackend) AddControlHost(ctx context.Context, caller operator.Caller, h operator.ControlHostChange) error {
	b.c.log.Info("adding control host", "operator", string(caller.Operator), "host", string(h.Host), "address", h.Peer)
	if err := b.c.addHost(ctx, HostAddress(h)); err != nil {
		return operatorError(err)
	}
	return b.recordHostChange(ctx, caller, note.RecordControlHost{Host: h.Host, DataCentre: h.DataCentre})
}

// recordHostChange records the addition or removal of a control host in the
// audit.
func (b operatorBackend) recordHostChange(ctx context.Context, caller operator.Caller, r note.RecordControlHost) error {
	_, err := b.c.submit(ctx, note.Command{Operator: caller.Operator, Operation: caller.Operation, RecordControlHost: &r})
	return operatorError(err)
}

// RemoveControlHost implements operator.Backend.
func (b operatorBackend) RemoveControlHost(ctx context.Context, caller operator.Caller, host model.HostID) error {
	b.c.log.Info("removing control host", "operator", string(caller.Operator), "host", string(host))
	for _, m := range b.c.configLog.Status().Members {
		if m.Host == host {
			if err := b.c.removeHost(ctx, host); err != nil {
				return operatorError(err)
			}
			return b.recordHostChange(ctx, caller, note.RecordControlHost{Host: host, Removed: true})
		}
	}
	return eris.Wrapf(operator.ErrNotFound, "control host %q", host)
}

// Audit implements operator.Backend.
func (b operatorBackend) Audit(ctx context.Context, after uint64, limit int) ([]note.AuditRecord, operator.Read, error) {
	r := b.confirmRead(ctx)
	var out []note.AuditRecord
	b.c.machine.View(func(n *note.State, _ *rollout.State) { out = n.Audit(after, limit) })
	return out, r, nil
}

// Status implements operator.Backend.
func (b operatorBackend) Status(ctx context.Context) (operator.StatusView, operator.Read, error) {
	r := b.confirmRead(ctx)
	st := b.c.configLog.Status()
	v := operator.StatusView{Cluster: b.c.cfg.Cluster, Leader: st.Leader, Term: st.Term, Violations: invariant.Violations()}
	b.c.machine.View(func(n *note.State, m *rollout.State) {
		v.HeadNote = n.Head()
		for dc, s := range n.Config().DataCentres {
			if s == note.DataCentreOut {
				v.DataCentresOut = append(v.DataCentresOut, dc)
			}
		}
		for _, s := range m.Active() {
			if s.Phase != rollout.PhaseDone {
				v.Moves++
			}
			if s.AtRisk {
				v.AtRisk++
			}
		}
	})
	slices.Sort(v.DataCentresOut)
	v.Nodes = b.c.endpoints.AliveHosts()
	nodes := b.c.fleetNodes(ctx)
	v.InForce = nodes.LowestPosition
	v.Behind = nodesBehind(v.Nodes, nodes, r.Position)
	v.Problems = b.c.problems(st)
	return v, r, nil
}

// problems returns the conditions that need the attention of an operator.
func (c *Control) problems(st replog.Status) []string {
	var out []string
	if st.Leader == "" {
		out = append(out, "no leader: notes and writes are not accepted")
	}
	if survives, ok := c.survivedLosses(st.Members); ok && !survives.Covers(c.cfg.Tolerate) {
		out = append(out, fmt.Sprintf("the control group survives fewer losses (%s) than the settings state (%s)", survives, c.cfg.Tolerate))
	}
	out = append(out, c.claimProblems()...)
	if st.DiskFull {
		out = append(out, "the disk of this control host is full")
	}
	if c.cfg.Host == st.Leader {
		for _, m := range st.Members {
			if m.Host != c.cfg.Host && time.Since(c.leaderWork.lastContact(m.Host)) > maxStatusAge {
				out = append(out, "control host "+string(m.Host)+" is not heard")
			}
		}
	}
	return out
}

// claimProblems returns a problem for each claim group that has no leader known
// to this host.
func (c *Control) claimProblems() []string {
	var out []string
	logs := c.transport.allLogs()
	for _, g := range slices.Sorted(maps.Keys(logs)) {
		st := logs[g].Status()
		if g == configGroup || st.Leader != "" {
			continue
		}
		reason := ""
		if !st.Members.Formed() {
			reason = "; it was never formed, for which all of its voters must run, or a majority with first_start"
		}
		out = append(out, fmt.Sprintf("claim group %d has no leader: writes with its keys are refused%s", g, reason))
	}
	return out
}

// Nodes implements operator.Backend.
func (b operatorBackend) Nodes(ctx context.Context, service model.ServiceName) ([]operator.NodeView, operator.Read, error) {
	r := b.confirmRead(ctx)
	var out []operator.NodeView
	for _, a := range b.c.endpoints.All() {
		if service != "" && a.Service != service {
			continue
		}
		out = append(out, operator.NodeView{
			Host: a.Host, DataCentre: a.DataCentre, Service: a.Service, Version: a.Version, State: a.State.String(),
			Incarnation: a.Incarnation, CallAddress: a.CallAddress, Slots: a.Slots,
		})
	}
	return out, r, nil
}

// Config implements operator.Backend.
func (b operatorBackend) Config(ctx context.Context) (note.Config, operator.Read, error) {
	r := b.confirmRead(ctx)
	var cfg note.Config
	b.c.machine.View(func(n *note.State, _ *rollout.State) { cfg = n.Config() })
	return cfg, r, nil
}
