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

// ErrOutcomeUnknown is returned when a command may or may not have been
// accepted. Submitting it again with the same operation ID returns its result.
var ErrOutcomeUnknown = errors.New("outcome of the command unknown")

// submitRetryInterval is the wait between two attempts to submit a command.
const submitRetryInterval = 50 * time.Millisecond

// submit has the leader accept a command of an operator and retries until the
// propose timeout. The leader sets the time of the command, and the operation
// ID makes retries idempotent.
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
	// An unresponsive leader gets one election timeout to reply: after that the
	// others may have elected a new leader, and a retry is harmless.
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

// proposeNote proposes a note command to the log of this host, which must lead
// group 0.
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

// handleSubmit proposes a command that another control host has forwarded.
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
