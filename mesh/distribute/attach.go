package distribute

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// The times of Attach.
const (
	// openTimeout bounds the connection to a candidate. It covers a handshake
	// between regions; a longer one holds up a node whose candidates restarted.
	openTimeout = 500 * time.Millisecond
	// firstBackoff and maxBackoff bound the jittered delay between candidates.
	firstBackoff = 30 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// failurePenalty is how long a candidate that failed is passed over.
	failurePenalty = 2 * time.Second
	// stalePenalty is longer, so that a node tries all its candidates before it
	// returns to a parent that was stale.
	stalePenalty = 10 * time.Second
	// settled is how long a stream lives before the back-off starts anew.
	settled = 2 * time.Second
	// firstPatience and maxPatience bound how long a stale parent is kept. The
	// patience doubles with each stale parent: during an outage of the source
	// every parent is stale, and moving around gains nothing.
	firstPatience = time.Second
	maxPatience   = time.Minute
	// firstImprove and maxImprove bound the interval at which a node that is not
	// with a preferred parent tries to move there. It doubles with each failure.
	firstImprove = 5 * time.Second
	maxImprove   = 5 * time.Minute
	// maxFails bounds the candidates whose failures are counted.
	maxFails = 256
	// alternativesLife is how long the alternatives of a busy parent are used.
	// While a fleet restarts, its addresses are out of date within a second.
	alternativesLife = 2 * time.Second
)

// AttachOptions are the settings of Attach.
type AttachOptions struct {
	Self model.HostID
	// DataCentre is that of this node.
	DataCentre model.DataCentre
	Follow     FollowOptions
	// Candidates returns the parents to try, the best first.
	Candidates func() []Parent
	// Preferred returns the candidates that the tree gives to this node; nil
	// keeps any parent.
	Preferred func() []Parent
	// Open opens the watch stream to a parent.
	Open func(ctx context.Context, p Parent) (peer.Stream, error)
	Log  *slog.Logger
}

// chooser decides which candidate comes next. It is used by one goroutine.
type chooser struct {
	self model.HostID
	// until holds the candidates to pass over and the end of that time. A
	// candidate with a new address is another one.
	until map[Parent]time.Time
	// fails counts the failures of each candidate since a stream last settled.
	fails        map[Parent]int
	alternatives []Parent
	altUntil     time.Time
	delays       *backoff.ExponentialBackOff
	patience     time.Duration
}

func newChooser(self model.HostID) *chooser {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstBackoff, maxBackoff
	return &chooser{self: self, until: map[Parent]time.Time{}, fails: map[Parent]int{}, delays: b, patience: firstPatience}
}

// all returns the candidates and the alternatives that are still in use.
func (c *chooser) all(now time.Time, candidates []Parent) []Parent {
	if now.Before(c.altUntil) {
		return append(slices.Clone(candidates), c.alternatives...)
	}
	return candidates
}

// next returns the best candidate that is not passed over and how long to wait
// for it. If all are passed over, it is the one whose time ends first. Among
// equal ones it is the one that failed least: the back-off outlasts the time
// that a busy first candidate is passed over, and the others would never have
// their turn. The wait is at most failurePenalty: the only parent alive may have
// been stale just before it found the source again.
func (c *chooser) next(now time.Time, candidates []Parent) (p Parent, wait time.Duration, ok bool) {
	for p, t := range c.until {
		if !now.Before(t) {
			delete(c.until, p)
		}
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(p Parent) bool {
		return p.Role == peer.RoleNode && !below(p.Host, c.self)
	})
	if len(candidates) == 0 {
		return p, 0, false
	}
	best := slices.MinFunc(candidates, func(a, b Parent) int {
		return cmp.Or(c.until[a].Compare(c.until[b]), cmp.Compare(c.fails[a], c.fails[b]))
	})
	return best, min(max(0, c.until[best].Sub(now)), failurePenalty), true
}

// failed notes why a parent was lost and returns the delay before the next try.
func (c *chooser) failed(now time.Time, p Parent, lived time.Duration, err error) time.Duration {
	penalty := failurePenalty
	var busy *BusyError
	if errors.As(err, &busy) {
		penalty = min(busy.RetryAfter, maxBackoff)
		if len(busy.Alternatives) > 0 {
			c.alternatives, c.altUntil = busy.Alternatives, now.Add(alternativesLife)
		}
	}
	if lived >= settled {
		c.delays.Reset()
	}
	if lived >= settled || len(c.fails) >= maxFails {
		clear(c.fails)
	}
	c.fails[p]++
	if errors.Is(err, ErrStale) {
		penalty = stalePenalty
		c.patience = min(2*c.patience, maxPatience)
	} else if lived > 2*c.patience {
		c.patience = firstPatience
	}
	c.until[p] = now.Add(penalty)
	return c.delays.NextBackOff()
}

// link is one running Follow.
type link struct {
	parent  Parent
	since   time.Time
	cancel  context.CancelFunc
	handoff chan time.Duration
	ready   chan struct{}
	done    chan error
}

// attacher keeps one parent stream.
type attacher struct {
	a   *Acceptor
	eps *membership.Table
	o   AttachOptions
	c   *chooser
}

// Attach keeps one parent stream until ctx ends. When the parent falls silent
// or stale, refuses or stops, it goes to the next candidate.
func Attach(ctx context.Context, a *Acceptor, eps *membership.Table, o AttachOptions) error {
	at := &attacher{a: a, eps: eps, o: o, c: newChooser(o.Self)}
	var wait time.Duration
	for sleep(ctx, wait) {
		p, pause, ok := at.c.next(time.Now(), at.c.all(time.Now(), o.Candidates()))
		if !ok {
			wait = maxBackoff
			o.Log.Warn("no candidate for a parent is known", "retry_after", wait.String())
			continue
		}
		if !sleep(ctx, pause) {
			break
		}
		l, err := at.connect(ctx, p)
		if err == nil {
			l, err = at.hold(ctx, l)
		}
		if ctx.Err() != nil {
			break
		}
		var lived time.Duration
		if !l.since.IsZero() {
			lived = time.Since(l.since)
		}
		wait = at.c.failed(time.Now(), l.parent, lived, err)
		o.Log.Info("parent lost", "parent", l.parent.Host, "reason", err.Error(), "lived", lived.String(), "retry_after", wait.String())
	}
	return ctx.Err()
}

// connect opens a stream to a candidate and waits until that admitted this node.
func (at *attacher) connect(ctx context.Context, p Parent) (*link, error) {
	l := &link{parent: p}
	openCtx, cancelOpen := context.WithTimeout(ctx, openTimeout)
	st, err := at.o.Open(openCtx, p)
	cancelOpen()
	if err != nil {
		return l, eris.Wrapf(ErrClosed, "open: %v", err)
	}
	at.start(ctx, l, st)
	select {
	case <-l.ready:
		at.o.Log.Info("parent attached", "parent", p.Host, "role", string(p.Role), "address", p.Address)
		return l, nil
	case err := <-l.done:
		l.since = time.Time{}
		return l, err
	}
}

// start runs Follow in its own goroutine.
func (at *attacher) start(ctx context.Context, l *link, st peer.Stream) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.since = time.Now()
	l.handoff, l.ready, l.done = make(chan time.Duration, 1), make(chan struct{}), make(chan error, 1)
	o := at.o.Follow
	o.Handoff, o.Ready, o.Patience = l.handoff, l.ready, at.c.patience
	go func() {
		defer l.cancel()
		l.done <- Follow(ctx, at.a, at.eps, st, o)
	}()
}

// hold waits until the stream ends. A parent that stops, or is not a preferred
// one, is left only once the next one has admitted this node.
func (at *attacher) hold(ctx context.Context, l *link) (*link, error) {
	var leave <-chan time.Time
	interval := firstImprove
	improve := time.NewTimer(jitter(interval))
	defer improve.Stop()
	for {
		select {
		case err := <-l.done:
			return l, err
		case after := <-l.handoff:
			at.o.Log.Info("parent asks to be left", "parent", l.parent.Host, "after", after.String())
			leave = time.After(after)
		case <-leave:
			leave = nil
			others := at.c.all(time.Now(), at.o.Candidates())
			if next, err := at.move(ctx, l, others); err == nil {
				l = next
			} else {
				leave = time.After(jitter(failurePenalty))
			}
		case <-improve.C:
			interval = min(2*interval, maxImprove)
			if better := at.better(l.parent); len(better) > 0 {
				if next, err := at.move(ctx, l, better); err == nil {
					l, interval = next, firstImprove
				}
			}
			improve.Reset(jitter(interval))
		}
	}
}

// better returns the preferred parents if the present one is not among them, and
// those of the own data centre if it is in another one. Its data centre is taken
// from the list: a node may have attached before it knew where its parent is.
func (at *attacher) better(present Parent) []Parent {
	if at.o.Preferred == nil {
		return nil
	}
	ps := at.o.Preferred()
	i := slices.IndexFunc(ps, func(p Parent) bool { return p.Host == present.Host })
	if i < 0 {
		return ps
	}
	if ps[i].DataCentre == at.o.DataCentre {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(ps), func(p Parent) bool { return p.DataCentre != at.o.DataCentre })
}

// move goes from one parent to the best of the others that need no waiting. If
// that fails, the present stream stays.
func (at *attacher) move(ctx context.Context, l *link, others []Parent) (*link, error) {
	others = slices.DeleteFunc(slices.Clone(others), func(p Parent) bool { return p.Host == l.parent.Host })
	p, wait, ok := at.c.next(time.Now(), others)
	if !ok || wait > 0 {
		return nil, eris.Wrap(ErrBusy, "no other parent is free")
	}
	next, err := at.connect(ctx, p)
	if err != nil {
		at.c.until[p] = time.Now().Add(failurePenalty)
		at.o.Log.Info("parent kept", "parent", l.parent.Host, "candidate", p.Host, "reason", err.Error())
		return nil, err
	}
	l.cancel()
	left := <-l.done
	at.o.Log.Info("parent left", "parent", l.parent.Host, "for", p.Host, "reason", left.Error())
	return next, nil
}

// jitter returns a random time around d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
