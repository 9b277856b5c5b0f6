package control

import (
	"context"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/rollout"
)

// decisionLoop holds the state of the periodic decisions of the leader. It is
// used by one goroutine and created anew for each term.
type decisionLoop struct {
	l             *leader
	rolloutLeader *rollout.Leader
	// inForce is the last position that this leader recorded as in force on all
	// live nodes.
	inForce model.Position
	// refusedShares holds, by service, the sequence of the rollout status whose
	// SetShares command was refused because another note sets the shares of the
	// service. The command is not repeated until the status changes.
	refusedShares map[model.ServiceName]uint64
	// returningSince is when each returning data centre was first seen in that
	// state.
	returningSince map[model.DataCentre]time.Time
	// dataCentreStates are the states of the data centres at the previous tick.
	dataCentreStates map[model.DataCentre]note.DataCentreState
	// dataCentreChanged is when a data centre last changed its state.
	dataCentreChanged time.Time
	pruner            voterPruner
}

func (l *leader) decide(ctx context.Context) error {
	d := &decisionLoop{
		l: l, rolloutLeader: rollout.NewLeader(l.log), refusedShares: map[model.ServiceName]uint64{},
		returningSince: map[model.DataCentre]time.Time{},
	}
	tick := time.NewTicker(decideInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.tick(ctx, time.Now())
	}
}

// tick derives commands from the current state and proposes them. A command
// that is not accepted is derived again at the next tick.
func (d *decisionLoop) tick(ctx context.Context, now time.Time) {
	view, state, alive := d.l.gather(now), d.l.c.decisionState(), d.l.c.endpoints.AliveHosts()
	for _, r := range view.reports {
		d.rolloutLeader.Report(now, r)
	}
	d.trackDataCentres(now, state.config)
	capacity := func(s model.ServiceName) rollout.Capacity { return d.capacity(state, view, s) }
	for _, c := range d.rolloutLeader.Tick(now, state.active, uint32(alive), capacity) {
		d.proposeRollout(ctx, c)
	}
	for _, c := range d.noteCommands(now, state) {
		d.proposeNote(ctx, c)
	}
	d.markInForce(ctx, state, view, alive)
	d.pruneVoters(ctx, now)
}

// pruneVoters removes an unresponsive voter that is not needed to reach the
// target number of voters. It does nothing unless the settings enable AutoJoin.
func (d *decisionLoop) pruneVoters(ctx context.Context, now time.Time) {
	c := d.l.c
	st := c.configLog.Status()
	if !c.cfg.AutoJoin || !st.MembersCommitted {
		return
	}
	host, due := d.pruner.voterToRemove(now, c.cfg.Host, st.Members, d.l.lastReply, c.cfg.Tolerate.Voters())
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for group, l := range c.transport.allLogs() {
		if err := l.RemoveHost(ctx, host); err != nil {
			c.log.Warn("removing an unresponsive voter failed", "host", string(host), "group", group, "reason", err.Error())
			return
		}
	}
	c.log.Info("unresponsive voter removed", "host", string(host))
}

// initialShareCommands returns a SetShares command for each declared service
// that has no shares yet and gets none from a move. It gives all traffic to the
// version that most of its backend servers announce.
func (d *decisionLoop) initialShareCommands(s decisionState, moved map[model.ServiceName]bool) []note.Command {
	var out []note.Command
	for name := range s.config.Services {
		if len(s.config.Shares[name]) > 0 || moved[name] {
			continue
		}
		if shares := d.l.c.announcedShares(name, ""); shares != nil {
			out = append(out, note.Command{SetShares: &note.SetShares{Service: name, Shares: shares}})
		}
	}
	return out
}

// capacity sums up the backend servers, concurrency limits and load of the old
// and the new version of a service.
func (d *decisionLoop) capacity(s decisionState, view leaderView, service model.ServiceName) rollout.Capacity {
	st := s.current[service]
	c := rollout.Capacity{LastDataCentreChange: d.dataCentreChanged}
	for _, a := range d.l.c.endpoints.Service(service) {
		if a.State != membership.StateServing || s.config.DataCentres[a.DataCentre] == note.DataCentreOut {
			continue
		}
		switch a.Version {
		case st.Move.To:
			c.NewServers++
		case st.From:
			c.OldServers++
		}
	}
	oldLoad, newLoad := view.loads[versionKey{service, st.From}], view.loads[versionKey{service, st.Move.To}]
	c.NewLimit, c.OldLimit = newLoad.Limit, oldLoad.Limit
	c.Concurrency = float64(oldLoad.InFlight + newLoad.InFlight)
	c.CallsPerSecond = oldLoad.CallsPerSecond + newLoad.CallsPerSecond
	return c
}

// trackDataCentres records when a data centre last changed its state, and since
// when each one has been returning.
func (d *decisionLoop) trackDataCentres(now time.Time, cfg note.Config) {
	for dc, st := range cfg.DataCentres {
		if d.dataCentreStates != nil && d.dataCentreStates[dc] != st {
			d.dataCentreChanged = now
		}
		if _, ok := d.returningSince[dc]; st == note.DataCentreReturning && !ok {
			d.returningSince[dc] = now
		}
		if st != note.DataCentreReturning {
			delete(d.returningSince, dc)
		}
	}
	d.dataCentreStates = cfg.DataCentres
}

// noteCommands returns the commands that record the progress of the rollouts in
// the notes, set the shares of new services and finish the return of data
// centres.
func (d *decisionLoop) noteCommands(now time.Time, s decisionState) []note.Command {
	var out []note.Command
	add := func(c note.Command) {
		c.Operator, c.Time = note.RolloutOperator, now
		out = append(out, c)
	}
	moved := map[model.ServiceName]bool{}
	for _, m := range s.moves {
		st, ok := s.current[m.Move.Service]
		if !ok || st.Move.ID.Note != m.Note {
			continue
		}
		if d.sharesDiffer(s, st) {
			moved[m.Move.Service] = true
			add(note.Command{SetShares: &note.SetShares{
				Service: m.Move.Service, Shares: note.Shares(st.Shares()), Note: m.Note, To: st.Move.To}})
		}
		if st.Completed != 0 && m.Done.IsZero() && m.Reversed.IsZero() && !m.Withdrawn {
			add(note.Command{MarkDone: &note.MarkDone{Number: m.Note, Service: m.Move.Service, To: st.Move.To}})
		}
		if st.Phase == rollout.PhaseReversed && m.Reversed.IsZero() {
			add(note.Command{MarkReversed: &note.MarkReversed{
				Number: m.Note, Service: m.Move.Service, Reason: st.Reason, To: st.Move.To}})
		}
	}
	for _, c := range d.initialShareCommands(s, moved) {
		add(c)
	}
	for dc, since := range d.returningSince {
		if now.Sub(since) >= dataCentreReturnTime {
			add(note.Command{FinishReturn: &note.FinishReturn{DataCentre: dc}})
		}
	}
	return out
}

// sharesDiffer reports whether the configured shares of a service differ from
// those of its rollout. A rollout that has ended, unless by a reversal, no
// longer determines the shares.
func (d *decisionLoop) sharesDiffer(s decisionState, st rollout.Status) bool {
	if !st.Active() && st.Phase != rollout.PhaseReversed {
		return false
	}
	service := st.Move.ID.Service
	if seq, ok := d.refusedShares[service]; ok && seq == st.Sequence {
		return false
	}
	return !sameShares(s.config.Shares[service], note.Shares(st.Shares()))
}

// sameShares reports whether a and b are equal. A version with share 0 equals a
// missing version.
func sameShares(a, b note.Shares) bool {
	for v, s := range a {
		if b[v] != s {
			return false
		}
	}
	for v, s := range b {
		if a[v] != s {
			return false
		}
	}
	return true
}

func (d *decisionLoop) proposeRollout(ctx context.Context, c rollout.Command) {
	data, err := encodeRollout(c)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_, err = d.l.c.configLog.Propose(ctx, data)
	}
	if err != nil {
		d.l.log.Warn("rollout command of the leader not accepted", "service", string(c.Move.ID.Service), "op", c.Op.String(), "reason", err.Error())
	}
}

func (d *decisionLoop) proposeNote(ctx context.Context, c note.Command) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	r, err := d.l.c.proposeNote(ctx, c)
	switch {
	case err != nil:
		d.l.log.Warn("note command of the leader not accepted", "reason", err.Error())
	case r.Code != note.CodeOK:
		d.l.log.Warn("note command of the leader refused", "code", string(r.Code), "reason", r.Message)
		if c.SetShares != nil {
			st := d.l.c.decisionState().current[c.SetShares.Service]
			d.refusedShares[c.SetShares.Service] = st.Sequence
		}
	}
}

// markInForce records the current position as in force once all live nodes have
// reported that they reached it.
func (d *decisionLoop) markInForce(ctx context.Context, s decisionState, view leaderView, alive int) {
	if alive == 0 || view.nodes.Nodes < alive || view.nodes.LowestPosition.Less(s.position) || !d.inForce.Less(s.position) {
		return
	}
	c := note.Command{Operator: note.RolloutOperator, MarkInForce: &note.MarkInForce{Through: s.position}}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if _, err := d.l.c.proposeNote(ctx, c); err != nil {
		return
	}
	d.inForce = s.position
	d.l.log.Info("position in force on all live nodes", "position", s.position.String(), "nodes", alive)
}
