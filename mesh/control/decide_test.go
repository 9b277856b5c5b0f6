package control

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/rollout"
)

func newTestDecisionLoop(m *ConfigMachine) (*decisionLoop, func() decisionState) {
	c := &Control{machine: m}
	d := &decisionLoop{l: &leader{c: c}, refusedShares: map[model.ServiceName]uint64{}, returningSince: map[model.DataCentre]time.Time{}}
	return d, c.decisionState
}

// applyRolloutCommand applies a rollout command to the current move of service
// ledger.
func (r *machineRun) applyRolloutCommand(op rollout.Op, share model.Share, s rollout.Summary) {
	r.t.Helper()
	st := r.status()
	res, ok := r.apply(encodeRollout(rollout.Command{Op: op, Move: rollout.Move{ID: st.Move.ID}, Time: st.Accepted + 1,
		ExpectedSequence: st.Sequence, Share: share, Summary: s, Reason: "test", Verdict: &rollout.Verdict{Bad: true}})).(rollout.Result)
	if !ok || res.Outcome != rollout.OutcomeApplied {
		r.t.Fatalf("%s: %+v", op, res)
	}
}

// applyLeaderCommands applies the note commands of the leader until there are
// none, and returns the number of rounds.
func (r *machineRun) applyLeaderCommands(d *decisionLoop, state func() decisionState) (n int) {
	r.t.Helper()
	for ; n < 10; n++ {
		cmds := d.noteCommands(machineStart, state())
		if len(cmds) == 0 {
			return n
		}
		for _, c := range cmds {
			r.note(c)
		}
	}
	r.t.Fatal("the leader still proposes commands after 10 rounds")
	return n
}

// shares returns the configured shares of service ledger and its newest move.
func (r *machineRun) shares() (s note.Shares, moved note.MoveState) {
	r.m.View(func(n *note.State, _ *rollout.State) {
		s = n.Config().Shares["ledger"]
		for _, m := range n.Moves() {
			if m.Move.Service == "ledger" {
				moved = m
			}
		}
	})
	return s, moved
}

// An accepted reversal must reach the configured shares and the note, even if
// the leader that decided it is lost after the rollout command and before the
// note commands.
func TestNewLeaderCarriesOutAnAcceptedReversal(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	d, state := newTestDecisionLoop(r.m)
	r.applyRolloutCommand(rollout.OpStep, rollout.StartShare, rollout.Summary{})
	r.applyLeaderCommands(d, state)
	if s, _ := r.shares(); s["v2"] != rollout.StartShare || s["v1"] != model.ShareAll-rollout.StartShare {
		t.Fatalf("shares after the first step: %v", s)
	}
	r.applyRolloutCommand(rollout.OpReverse, 0, rollout.Summary{})
	d, state = newTestDecisionLoop(r.m) // the next leader has only the replicated state
	r.applyLeaderCommands(d, state)
	s, m := r.shares()
	if s["v2"] != 0 || s["v1"] != model.ShareAll || m.Reversed.IsZero() {
		t.Errorf("after the reversal: shares %v, move %+v", s, m)
	}
	if n := r.applyLeaderCommands(d, state); n != 0 {
		t.Errorf("%d rounds of commands after the reversal was carried out", n)
	}
}

// Guards against a service that comes back while a move of it is active and whose calls
// then all go to the version that most backend servers announce, which may be the bad one.
func TestServiceThatComesBackKeepsTheShareOfItsMove(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	d, state := newTestDecisionLoop(r.m)
	d.l.c.endpoints = membership.NewTable()
	d.l.c.endpoints.Merge(membership.Announcement{Host: "n1", Service: "ledger", Version: "v2", State: membership.StateServing, Incarnation: 1})
	r.applyRolloutCommand(rollout.OpStep, rollout.StartShare, rollout.Summary{})
	r.applyLeaderCommands(d, state)
	ledger, roster := note.Service{Name: "ledger", Slots: 20, Connections: 100}, note.Service{Name: "roster", Slots: 20, Connections: 100}
	r.note(note.Command{Operation: "op-3", Declare: &note.Declare{Version: 1, Services: []note.Service{roster}}})
	r.note(note.Command{Operation: "op-4", Declare: &note.Declare{Version: 2, Base: 1, Services: []note.Service{ledger, roster}}})
	for range 3 {
		for _, c := range d.noteCommands(machineStart, state()) {
			r.note(c)
			if s, _ := r.shares(); s["v2"] > rollout.StartShare {
				t.Fatalf("shares %v after %+v", s, c.SetShares)
			}
		}
	}
	if s, _ := r.shares(); s["v2"] != rollout.StartShare {
		t.Errorf("shares %v", s)
	}
}

// Guards against a data centre that returns to service before the traffic ramp
// is over, or whose return is finished again at each later tick.
func TestReturnOfADataCentreEndsOnce(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	r.note(note.Command{Operation: "op-3", TakeOut: &note.TakeOut{DataCentre: "thun"}})
	r.note(note.Command{Operation: "op-4", BeginReturn: &note.BeginReturn{DataCentre: "thun"}})
	d, state := newTestDecisionLoop(r.m)
	for _, after := range []time.Duration{0, dataCentreReturnTime / 2, dataCentreReturnTime - time.Millisecond} {
		now := machineStart.Add(after)
		d.trackDataCentres(now, state().config)
		if cmds := d.noteCommands(now, state()); len(cmds) != 0 {
			t.Fatalf("after %s: %+v", after, cmds)
		}
	}
	cmds := d.noteCommands(machineStart.Add(dataCentreReturnTime), state())
	if len(cmds) != 1 || cmds[0].FinishReturn == nil {
		t.Fatalf("after the ramp: %+v", cmds)
	}
	r.note(cmds[0])
	d.trackDataCentres(machineStart.Add(dataCentreReturnTime), state().config)
	if cmds := d.noteCommands(machineStart.Add(2*dataCentreReturnTime), state()); len(cmds) != 0 {
		t.Errorf("after the return was finished: %+v", cmds)
	}
}
