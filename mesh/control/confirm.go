package control

import (
	"context"
	"sync"
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

// confirm returns a position that includes everything accepted before the given time.
// Calls share questions to the leader: when a fleet starts, one for each node would cost
// the leader a round of messages each.
func (c *Control) confirm(ctx context.Context, before time.Time) (model.Position, error) {
	return c.confirmations.await(ctx, before, c.confirmNow)
}

func (c *Control) confirmNow() (model.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if err := c.catchUp(ctx); err != nil {
		return model.Position{}, err
	}
	return c.machine.Position(), nil
}

// confirmation is one question to the leader. done is closed once the result is set.
type confirmation struct {
	began time.Time
	done  chan struct{}
	pos   model.Position
	err   error
}

// sharedConfirmation runs one confirmation at a time. A call that arrives while one runs
// waits for the next, since the running one may have begun before something that was
// accepted before the call. One mutex guards it; the zero value is ready for use.
type sharedConfirmation struct {
	mu            sync.Mutex
	running, next *confirmation
	// last is the last one that succeeded.
	last *confirmation
}

// await returns the result of a confirmation that began at or after the given time, which
// must not lie in the future.
func (s *sharedConfirmation) await(ctx context.Context, before time.Time, confirm func() (model.Position, error)) (model.Position, error) {
	s.mu.Lock()
	if l := s.last; l != nil && !l.began.Before(before) {
		s.mu.Unlock()
		return l.pos, nil
	}
	if r := s.running; r != nil && !r.began.Before(before) {
		s.mu.Unlock()
		return r.wait(ctx)
	}
	if s.next == nil {
		s.next = &confirmation{done: make(chan struct{})}
	}
	c := s.next
	if s.running == nil {
		c.began, s.running, s.next = time.Now(), c, nil
		go s.run(c, confirm)
	}
	s.mu.Unlock()
	return c.wait(ctx)
}

func (c *confirmation) wait(ctx context.Context) (model.Position, error) {
	select {
	case <-c.done:
		return c.pos, c.err
	case <-ctx.Done():
		return model.Position{}, eris.Wrapf(ErrNoLeader, "not confirmed: %v", ctx.Err())
	}
}

// run runs confirmations until no call waits.
func (s *sharedConfirmation) run(c *confirmation, confirm func() (model.Position, error)) {
	for c != nil {
		c.pos, c.err = confirm()
		close(c.done)
		s.mu.Lock()
		if c.err == nil {
			s.last = c
		}
		s.running, s.next = s.next, nil
		if c = s.running; c != nil {
			c.began = time.Now()
		}
		s.mu.Unlock()
	}
}
