package control

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// handleConfirm confirms for another control host that this host leads, and
// returns the applied index.
func (c *Control) handleConfirm(ctx context.Context, _ peer.Identity, _ confirmRequest) (confirmReply, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	index, err := c.configLog.ConfirmLeader(ctx)
	return confirmReply{Index: index}, err
}

// appliedPollInterval is how often catchUp checks the applied index. The log
// raises the index just after the state machine has signalled the change, so
// that the signal alone can come too early.
const appliedPollInterval = 5 * time.Millisecond

// catchUp waits until this host has applied everything that was accepted before
// the call. A confirmed leader provides the index to wait for.
func (c *Control) catchUp(ctx context.Context) error {
	if c.isLeader() {
		_, err := c.configLog.ConfirmLeader(ctx)
		return err
	}
	leader, ok := c.findHost(c.configLog.Status().Leader)
	if !ok {
		return eris.Wrap(ErrNoLeader, "no leader is known")
	}
	var reply confirmReply
	if err := c.ep.Call(ctx, leader.Peer, leader.Identity(), methodConfirm, confirmRequest{}, &reply); err != nil {
		return eris.Wrapf(ErrUnreachable, "leader %s: %v", leader.Host, err)
	}
	for c.configLog.Status().Applied < reply.Index {
		select {
		case <-c.machine.Changed():
		case <-time.After(appliedPollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ErrNoLeader, "not caught up: %v", ctx.Err())
		}
	}
	return nil
}

// confirm returns a position that includes everything accepted before the call.
func (c *Control) confirm(ctx context.Context) (model.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	if err := c.catchUp(ctx); err != nil {
		return model.Position{}, err
	}
	return c.machine.Position(), nil
}
