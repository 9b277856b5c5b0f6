package control

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/replog"
)

// ErrOutcomeUnknown is returned when a command may or may not be accepted. A
// resend with the same operation id gets its result.
var ErrOutcomeUnknown = errors.New("outcome of the command unknown")

const submitRetryInterval = 50 * time.Millisecond

// submit has the leader accept a command of an operator. The leader stamps its
// own time; the operation id makes a repeated try harmless.
func (c *Control) submit(ctx context.Context, cmd note.Command) (note.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeouts.Propose)
	defer cancel()
	unknown := false
	reason := "no leader is known"
	for ctx.Err() == nil {
		r, err := c.submitOnce(ctx, cmd)
		switch {
		case err == nil:
			return r, nil
		case errors.Is(err, ErrOutcomeUnknown):
			unknown = true
		}
		reason = err.Error()
		sleep(ctx, submitRetryInterval)
	}
	if unknown {
		return note.Result{}, eris.Wrap(ErrOutcomeUnknown, reason)
	}
	return note.Result{}, eris.Wrap(ErrNoLeader, reason)
}

func (c *Control) submitOnce(ctx context.Context, cmd note.Command) (note.Result, error) {
	if c.isLeader() {
		return c.proposeNote(ctx, cmd)
	}
	leader, ok := c.findHost(c.configLog.Status().Leader)
	if !ok {
		return note.Result{}, eris.Wrap(ErrNoLeader, "no leader is known")
	}
	data, err := note.EncodeCommand(cmd)
	if err != nil {
		return note.Result{}, eris.Wrapf(ErrCorrupt, "%v", err)
	}
	// A leader that is silent is asked for one election time only: by then the
	// others may have elected another, and a second try is harmless.
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeouts.Election)
	defer cancel()
	var reply submitReply
	if err := c.ep.Call(ctx, leader.Peer, leader.Identity(), methodSubmit, submitRequest{Note: data}, &reply); err != nil {
		return note.Result{}, eris.Wrapf(ErrOutcomeUnknown, "leader %s: %v", leader.Host, err)
	}
	switch {
	case reply.NotLeader:
		return note.Result{}, eris.Wrapf(ErrNoLeader, "%s does not lead", leader.Host)
	case reply.Unknown:
		return note.Result{}, eris.Wrap(ErrOutcomeUnknown, reply.Error)
	case reply.Error != "":
		return note.Result{}, eris.Wrap(ErrNoLeader, reply.Error)
	}
	r, err := note.DecodeResult(reply.Result)
	if err != nil {
		return note.Result{}, eris.Wrapf(ErrOutcomeUnknown, "result: %v", err)
	}
	return r, nil
}

// proposeNote proposes a command on this host.
func (c *Control) proposeNote(ctx context.Context, cmd note.Command) (note.Result, error) {
	cmd.Time = time.Now()
	data, err := encodeNote(cmd)
	if err != nil {
		return note.Result{}, err
	}
	out, err := c.configLog.Propose(ctx, data)
	if err != nil {
		if errors.Is(err, replog.ErrOutcomeUnknown) {
			return note.Result{}, eris.Wrapf(ErrOutcomeUnknown, "%v", err)
		}
		return note.Result{}, eris.Wrapf(ErrNoLeader, "%v", err)
	}
	r, ok := out.(note.Result)
	if !ok {
		return note.Result{}, eris.Wrapf(ErrCorrupt, "the log returned %T", out)
	}
	return r, nil
}

// handleSubmit serves a control host that does not lead.
func (c *Control) handleSubmit(ctx context.Context, _ peer.Identity, req submitRequest) (submitReply, error) {
	cmd, err := note.DecodeCommand(req.Note)
	if err != nil {
		return submitReply{Error: err.Error()}, nil
	}
	if !c.isLeader() {
		return submitReply{NotLeader: true, Leader: c.configLog.Status().Leader}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeouts.Propose)
	defer cancel()
	r, err := c.proposeNote(ctx, cmd)
	if err != nil {
		return submitReply{Error: err.Error(), Unknown: errors.Is(err, ErrOutcomeUnknown)}, nil
	}
	b, err := note.EncodeResult(r)
	if err != nil {
		return submitReply{Error: err.Error(), Unknown: true}, nil
	}
	return submitReply{Result: b}, nil
}
