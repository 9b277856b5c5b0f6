package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

type statusCmd struct {
	Service string        `arg:"" optional:"" help:"Service whose newest move is shown."`
	Watch   bool          `help:"Wait until the move is done, reversed or withdrawn." short:"w"`
	Wait    time.Duration `help:"Maximum time that --watch waits; 0 means no limit." default:"0s"`
}

// Help implements kong.HelpProvider.
func (statusCmd) Help() string {
	return `Without a service, shows a summary of the mesh and the newest move of each service. With --watch, the command
exits with code 0 once the move is done, with 4 if it was reversed and with 1 if it was withdrawn or --wait has passed. A
move that is done can still be reversed until its watch ends.

Example:
  balsamtrail status ledger --watch --wait 2h`
}

// Run shows the mesh or one move.
func (c *statusCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	switch {
	case c.Service == "" && c.Watch:
		return eris.Wrap(errUsage, "--watch needs a service")
	case c.Service == "":
		return showMesh(ctx, e, cl)
	case c.Watch:
		return c.watch(ctx, e, cl)
	}
	a, err := cl.Move(ctx, model.ServiceName(c.Service))
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	if err := e.print(a, func(t *table) { moveRows(t, a.Move) }); err != nil {
		return err
	}
	return moveError(a.Move, false)
}

// moveError returns the error of a command that ends with the move in this state:
// for a reversed move, and for a withdrawn one if it was watched.
func moveError(m operator.MoveView, watched bool) error {
	switch {
	case m.State == operator.MoveReversed:
		return eris.Wrapf(errReversed, "%s to %s: %s", m.Service, m.To, orDash(m.Reason))
	case watched && m.State == operator.MoveWithdrawn:
		return fmt.Errorf("move of %s to %s was withdrawn", m.Service, m.To)
	}
	return nil
}

// watch prints the move after each change until it has a final state.
func (c *statusCmd) watch(ctx context.Context, e *env, cl *operator.Client) error {
	if c.Wait > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Wait)
		defer cancel()
	}
	a, err := cl.Move(ctx, model.ServiceName(c.Service))
	if err != nil {
		return c.waitError(ctx, err)
	}
	for {
		if err := e.print(a, func(t *table) { progressRow(t, a.Move) }); err != nil {
			return err
		}
		if a.Move.State.Final() {
			return moveError(a.Move, true)
		}
		if a, err = nextChange(ctx, cl, a); err != nil {
			return c.waitError(ctx, err)
		}
	}
}

// nextChange waits for the next change of the move.
func nextChange(ctx context.Context, cl *operator.Client, seen operator.MoveAnswer) (operator.MoveAnswer, error) {
	for {
		a, err := cl.WatchMove(ctx, seen.Move.Service, seen.Move.Sequence)
		if err != nil || a.Move.Sequence != seen.Move.Sequence {
			return a, err
		}
	}
}

// waitError replaces err if --wait has passed.
func (c *statusCmd) waitError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("the move was not finished within %s", c.Wait)
	}
	return err
}

// progressRow writes the state of a watched move in one line.
func progressRow(t *table, m operator.MoveView) {
	risk := ""
	if m.AtRisk {
		risk = " at risk of missing the deadline"
	}
	t.row(fmt.Sprintf("%s %s to %s: %s at %s, due %s, forecast %s%s %s", formatTime(time.Now()), m.Service, m.To, m.State,
		formatShare(m.Share), formatTime(m.By), formatTime(m.Forecast), risk, m.Reason))
}

// moveRows writes the state of one move and its steps.
func moveRows(t *table, m operator.MoveView) {
	t.row("service", m.Service)
	t.row("note", fmt.Sprintf("%d revision %d", m.Note, m.Revision))
	t.row("move", fmt.Sprintf("%s to %s", orDash(string(m.From)), m.To))
	t.row("state", m.State)
	t.row("share", formatShare(m.Share))
	t.row("accepted", formatTime(m.Accepted))
	t.row("due", formatTime(m.By))
	t.row("forecast", formatTime(m.Forecast))
	t.row("at risk", m.AtRisk)
	t.row("done", formatTime(m.Done))
	t.row("reversed", formatTime(m.Reversed))
	t.row("watched until", formatTime(m.WatchUntil))
	t.row("route", orDash(string(m.Route)))
	t.row("reason", orDash(m.Reason))
	for _, s := range m.Steps {
		t.row("step", fmt.Sprintf("%s %s %s %s", formatTime(s.At), s.Action, formatShare(s.Share), s.Reason))
	}
}

// meshOutput is the JSON output of status without a service.
type meshOutput struct {
	Read   operator.Read       `json:"read"`
	Status operator.StatusView `json:"status"`
	Moves  []operator.MoveView `json:"moves"`
}

// showMesh prints the state of the mesh and the newest move of each service.
func showMesh(ctx context.Context, e *env, cl *operator.Client) error {
	s, err := cl.Status(ctx)
	if err != nil {
		return err
	}
	m, err := cl.Moves(ctx)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(s.Read)
	return e.print(meshOutput{s.Read, s.Status, m.Moves}, func(t *table) { meshRows(t, s, m) })
}

func meshRows(t *table, s operator.StatusAnswer, m operator.MovesAnswer) {
	v := s.Status
	t.row("cluster", v.Cluster)
	t.row("leader", orDash(string(v.Leader)))
	t.row("newest note", v.HeadNote)
	t.row("position", fmt.Sprintf("%s, in force %s", s.Read.Position, v.InForce))
	t.row("nodes", fmt.Sprintf("%d, %d behind", v.Nodes, v.Behind))
	t.row("moves", fmt.Sprintf("%d under way, %d at risk", v.Moves, v.AtRisk))
	t.row("out of service", fmt.Sprint(v.DataCentresOut))
	t.row("violations", v.Violations)
	for _, p := range v.Problems {
		t.row("problem", p)
	}
	t.row("")
	t.row("SERVICE", "NOTE", "TO", "STATE", "SHARE", "DUE", "FORECAST", "REASON")
	for _, mv := range m.Moves {
		t.row(mv.Service, mv.Note, mv.To, mv.State, formatShare(mv.Share), formatTime(mv.By), formatTime(mv.Forecast), mv.Reason)
	}
}
