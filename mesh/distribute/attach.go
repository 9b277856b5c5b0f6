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

// Timeouts, delays and limits of Attach.
const (
	// openTimeout bounds opening a connection to a candidate. It covers a
	// handshake between regions; a longer timeout would hold up a node whose
	// candidates have restarted.
	openTimeout = 500 * time.Millisecond
	// initialBackoff is the first delay before the next candidate is tried. The
	// delay is jittered.
	initialBackoff = 30 * time.Millisecond
	// maxBackoff is the upper limit of that delay.
	maxBackoff = 3 * time.Second
	// failurePenalty is how long a candidate is skipped after a failure.
	failurePenalty = 2 * time.Second
	// busyPenalty is how long a candidate is skipped that refused the handshake for
	// now. It is short since the endpoint delays the next handshake with that
	// candidate itself; the others are tried meanwhile.
	busyPenalty = 50 * time.Millisecond
	// stalePenalty is how long a stale parent is skipped. It is longer than
	// failurePenalty, so that a node tries all its other candidates before it
	// returns to a stale parent.
	stalePenalty = 10 * time.Second
	// stableAfter is how long a stream must last before the backoff is reset.
	stableAfter = 2 * time.Second
	// outdatedRetryInterval is the mean time between two rounds in which a node
	// looks for a control host with newer contact to the source than its own. A
	// longer interval delays versions after an election, in which all of them
	// are outdated.
	outdatedRetryInterval = time.Second
	// outdatedPenalty is how long a candidate is skipped that was outdated too.
	// It is below the shortest time between two rounds.
	outdatedPenalty = outdatedRetryInterval / 2
	// initialStaleTimeout is how long a node stays with the first stale parent
	// that is a node too. The timeout doubles with each further one: while the
	// source is unreachable every parent is stale, and switching does not help.
	initialStaleTimeout = time.Second
	// maxStaleTimeout is the upper limit of that timeout.
	maxStaleTimeout = time.Minute
	// initialImproveInterval is the time until a node whose parent is not a
	// preferred one first tries to switch. The interval doubles with each
	// failed attempt.
	initialImproveInterval = 5 * time.Second
	// maxImproveInterval is the upper limit of that interval.
	maxImproveInterval = 5 * time.Minute
	// maxTrackedCandidates bounds the number of candidates whose failures are
	// counted.
	maxTrackedCandidates = 256
	// alternativesTTL is how long the alternatives that a busy parent named are
	// used. While a fleet restarts, their addresses are out of date within a
	// second.
	alternativesTTL = 2 * time.Second
)

// AttachOptions are the options of Attach.
type AttachOptions struct {
	Self model.HostID
	// DataCentre is the data centre of this node.
	DataCentre model.DataCentre
	Follow     FollowOptions
	// Candidates returns the possible parents, the best first.
	Candidates func() []Parent
	// Preferred returns the parents that the tree assigns to this node. If it
	// is nil, the node stays with any parent.
	Preferred func() []Parent
	// Open opens the watch stream to a parent.
	Open func(ctx context.Context, p Parent) (peer.Stream, error)
	Log  *slog.Logger
}

// candidate identifies a parent to the selector. A host whose address has changed
// counts as a new one, a host whose data centre has become known does not.
type candidate struct {
	host    model.HostID
	address string
}

func candidateOf(p Parent) candidate { return candidate{host: p.Host, address: p.Address} }

// parentSelector decides which candidate is tried next. It is used by one
// goroutine.
type parentSelector struct {
	self model.HostID
	// skipUntil is the time until which each candidate is skipped.
	skipUntil map[candidate]time.Time
	// failures counts the failures of each candidate since a stream last lasted
	// for stableAfter.
	failures          map[candidate]int
	alternatives      []Parent
	alternativesUntil time.Time
	retryBackoff      *backoff.ExponentialBackOff
	staleTimeout      time.Duration
}

func newParentSelector(self model.HostID) *parentSelector {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialBackoff, maxBackoff
	return &parentSelector{self: self, skipUntil: map[candidate]time.Time{}, failures: map[candidate]int{}, retryBackoff: b, staleTimeout: initialStaleTimeout}
}

// all returns the candidates, and the alternatives that have not expired.
func (s *parentSelector) all(now time.Time, candidates []Parent) []Parent {
	if now.Before(s.alternativesUntil) {
		return append(slices.Clone(candidates), s.alternatives...)
	}
	return candidates
}

// next returns the candidate that can be tried soonest and how long to wait for
// it. Ties go to the candidate with the fewest failures: the backoff can be
// longer than the time for which a busy candidate is skipped, and without the
// count the first candidate would be tried every time. The wait is at most
// failurePenalty, because the only live parent may have been stale just before
// it reached the source again.
func (s *parentSelector) next(now time.Time, candidates []Parent) (p Parent, wait time.Duration, ok bool) {
	for c, t := range s.skipUntil {
		if !now.Before(t) {
			delete(s.skipUntil, c)
		}
	}
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(p Parent) bool {
		return p.Role == peer.RoleNode && !hasLowerRank(p.Host, s.self)
	})
	if len(candidates) == 0 {
		return p, 0, false
	}
	best := slices.MinFunc(candidates, func(a, b Parent) int {
		x, y := candidateOf(a), candidateOf(b)
		return cmp.Or(s.skipUntil[x].Compare(s.skipUntil[y]), cmp.Compare(s.failures[x], s.failures[y]))
	})
	return best, min(max(0, s.skipUntil[candidateOf(best)].Sub(now)), failurePenalty), true
}

// failed records why a parent was lost and returns the backoff before the next
// attempt. The backoff does not grow with refused handshakes: in the start of a fleet
// the endpoint's own delays would add to it, and nodes would wait beside idle hosts.
func (s *parentSelector) failed(now time.Time, p Parent, lifetime time.Duration, err error) time.Duration {
	penalty := failurePenalty
	var busy *BusyError
	if errors.As(err, &busy) {
		penalty = min(busy.RetryAfter, maxBackoff)
		if len(busy.Alternatives) > 0 {
			s.alternatives, s.alternativesUntil = busy.Alternatives, now.Add(alternativesTTL)
		}
	}
	if errors.Is(err, peer.ErrBusy) {
		penalty = busyPenalty
	}
	if lifetime >= stableAfter {
		s.retryBackoff.Reset()
	}
	if lifetime >= stableAfter || len(s.failures) >= maxTrackedCandidates {
		clear(s.failures)
	}
	s.failures[candidateOf(p)]++
	if errors.Is(err, ErrStale) {
		penalty = stalePenalty
		s.staleTimeout = min(2*s.staleTimeout, maxStaleTimeout)
	} else if lifetime > 2*s.staleTimeout {
		s.staleTimeout = initialStaleTimeout
	}
	s.skipUntil[candidateOf(p)] = now.Add(penalty)
	if errors.Is(err, peer.ErrBusy) {
		return jitter(initialBackoff)
	}
	return s.retryBackoff.NextBackOff()
}

// attachment is one parent stream and its running Follow.
type attachment struct {
	parent    Parent
	startedAt time.Time
	cancel    context.CancelFunc
	handoff   chan time.Duration
	outdated  chan time.Duration
	ready     chan time.Duration
	done      chan error
	// sourceAge is the source age of the parent when it admitted this node.
	sourceAge time.Duration
}

// end ends the stream and returns the error with which Follow returned.
func (att *attachment) end() error {
	att.cancel()
	return <-att.done
}

// attacher keeps a node attached to one parent.
type attacher struct {
	a        *Acceptor
	eps      *membership.Table
	o        AttachOptions
	selector *parentSelector
}

// Attach keeps one parent stream open until ctx ends. When the parent times
// out, becomes stale, refuses this node or stops, it tries the next candidate.
func Attach(ctx context.Context, a *Acceptor, eps *membership.Table, o AttachOptions) error {
	at := &attacher{a: a, eps: eps, o: o, selector: newParentSelector(o.Self)}
	var wait time.Duration
	for sleep(ctx, wait) {
		p, pause, ok := at.selector.next(time.Now(), at.selector.all(time.Now(), o.Candidates()))
		if !ok {
			wait = maxBackoff
			o.Log.Warn("no parent candidates known", "retry_after", wait.String())
			continue
		}
		if !sleep(ctx, pause) {
			break
		}
		att, err := at.connect(ctx, p)
		if err == nil {
			at.logAttached(p)
			att, err = at.maintain(ctx, att)
		}
		if ctx.Err() != nil {
			break
		}
		var lifetime time.Duration
		if !att.startedAt.IsZero() {
			lifetime = time.Since(att.startedAt)
		}
		wait = at.selector.failed(time.Now(), att.parent, lifetime, err)
		o.Log.Info("parent lost", "parent", att.parent.Host, "reason", err.Error(), "lived", lifetime.String(), "retry_after", wait.String())
	}
	return ctx.Err()
}

// connect opens a stream to a candidate and waits until the candidate has
// admitted this node.
func (at *attacher) connect(ctx context.Context, p Parent) (*attachment, error) {
	att := &attachment{parent: p}
	openCtx, cancelOpen := context.WithTimeout(ctx, openTimeout)
	st, err := at.o.Open(openCtx, p)
	cancelOpen()
	if err != nil {
		return att, errors.Join(eris.Wrapf(ErrClosed, "open: %v", err), err)
	}
	at.start(ctx, att, st)
	select {
	case att.sourceAge = <-att.ready:
		return att, nil
	case err := <-att.done:
		att.startedAt = time.Time{}
		return att, err
	}
}

func (at *attacher) logAttached(p Parent) {
	at.o.Log.Info("attached to parent", "parent", p.Host, "role", string(p.Role), "address", p.Address)
}

// start runs Follow in a goroutine.
func (at *attacher) start(ctx context.Context, att *attachment, st peer.Stream) {
	ctx, att.cancel = context.WithCancel(ctx)
	att.startedAt = time.Now()
	att.handoff, att.ready, att.done = make(chan time.Duration, 1), make(chan time.Duration, 1), make(chan error, 1)
	o := at.o.Follow
	o.Handoff, o.Ready = att.handoff, att.ready
	if att.parent.Role == peer.RoleControl {
		// Only a control host can be cut off from the source while others are
		// not; its children pass the newer contact on to theirs.
		att.outdated = make(chan time.Duration, 1)
		o.Outdated = att.outdated
	} else {
		o.StaleTimeout = at.selector.staleTimeout
	}
	go func() {
		defer att.cancel()
		att.done <- Follow(ctx, at.a, at.eps, st, o)
	}()
}

// maintain waits until the stream ends. A parent that stops, is outdated or is
// not a preferred one is left only after another one has admitted this node.
func (at *attacher) maintain(ctx context.Context, att *attachment) (*attachment, error) {
	var leaveTimer <-chan time.Time
	interval := initialImproveInterval
	improveTimer := time.NewTimer(jitter(interval))
	defer improveTimer.Stop()
	var nextSearch time.Time
	for {
		select {
		case err := <-att.done:
			return att, err
		case after := <-att.handoff:
			at.o.Log.Info("parent asked this node to switch to another parent", "parent", att.parent.Host, "after", after.String())
			leaveTimer = time.After(after)
		case <-leaveTimer:
			leaveTimer = nil
			others := at.selector.all(time.Now(), at.o.Candidates())
			if next, err := at.switchParent(ctx, att, others, maxSourceAge); err == nil {
				att = next
			} else {
				leaveTimer = time.After(jitter(failurePenalty))
			}
		case age := <-att.outdated:
			if time.Now().Before(nextSearch) {
				continue
			}
			if next, ok := at.findNewerContact(ctx, att, age); ok {
				att = next
			}
			nextSearch = time.Now().Add(jitter(outdatedRetryInterval))
		case <-improveTimer.C:
			interval = min(2*interval, maxImproveInterval)
			if better := at.betterParents(att.parent); len(better) > 0 {
				if next, err := at.switchParent(ctx, att, better, recentLimit); err == nil {
					att, interval = next, initialImproveInterval
				}
			}
			improveTimer.Reset(jitter(interval))
		}
	}
}

// betterParents returns the preferred parents if the current one is not among
// them. If it is, but in another data centre, the result is the preferred
// parents in this node's data centre. The data centre of the current parent is
// taken from the list, because a node may attach before it knows its parent's
// data centre.
func (at *attacher) betterParents(currentParent Parent) []Parent {
	if at.o.Preferred == nil {
		return nil
	}
	ps := at.o.Preferred()
	i := slices.IndexFunc(ps, func(p Parent) bool { return p.Host == currentParent.Host })
	if i < 0 {
		return ps
	}
	if ps[i].DataCentre == at.o.DataCentre {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(ps), func(p Parent) bool { return p.DataCentre != at.o.DataCentre })
}

// findNewerContact switches to another control host whose contact with the
// source is recent. It tries all that are available; the current stream stays
// open until one of them has admitted this node.
func (at *attacher) findNewerContact(ctx context.Context, att *attachment, age time.Duration) (*attachment, bool) {
	at.o.Log.Info("parent is outdated", "parent", att.parent.Host, "source_age", age.String())
	others := slices.DeleteFunc(slices.Clone(at.o.Candidates()), func(p Parent) bool { return p.Role != peer.RoleControl })
	for range others {
		next, err := at.switchParent(ctx, att, others, recentLimit)
		if err == nil {
			return next, true
		}
		if errors.Is(err, errNoOtherParent) {
			break
		}
	}
	return nil, false
}

// errNoOtherParent is returned by switchParent if there is no candidate that can
// be tried at once.
var errNoOtherParent = errors.New("no other parent available")

// switchParent attaches to the best of the other parents that can be tried at
// once and has a source age of at most maxAge, and then leaves the current one.
// If that fails, the current stream stays open.
func (at *attacher) switchParent(ctx context.Context, att *attachment, others []Parent, maxAge time.Duration) (*attachment, error) {
	others = slices.DeleteFunc(slices.Clone(others), func(p Parent) bool { return p.Host == att.parent.Host })
	p, wait, ok := at.selector.next(time.Now(), others)
	if !ok || wait > 0 {
		return nil, errNoOtherParent
	}
	penalty := failurePenalty
	next, err := at.connect(ctx, p)
	if err == nil && next.sourceAge > maxAge {
		_ = next.end()
		penalty, err = outdatedPenalty, eris.Wrapf(ErrStale, "%s had contact with the source %s ago", p.Host, next.sourceAge)
	}
	if err != nil {
		at.selector.skipUntil[candidateOf(p)] = time.Now().Add(penalty)
		at.o.Log.Info("parent not switched", "parent", att.parent.Host, "candidate", p.Host, "reason", err.Error())
		return nil, err
	}
	at.logAttached(p)
	endErr := att.end()
	at.o.Log.Info("parent switched", "parent", att.parent.Host, "for", p.Host, "reason", endErr.Error())
	return next, nil
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// sleep waits for d and returns false if ctx ended first.
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
