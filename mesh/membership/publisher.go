package membership

import (
	"context"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Publisher holds a node's own announcement. It is safe for concurrent use.
type Publisher struct {
	mu  sync.Mutex
	ann Announcement
	// changed is closed and replaced on each change.
	changed chan struct{}
	// confirmed is the newest announcement that a control host has accepted;
	// confirmedChanged is closed and replaced when it changes.
	confirmed        Announcement
	confirmedChanged chan struct{}
}

// NewPublisher returns the publisher of a node that was started at start. The
// incarnation is the start time in milliseconds. If the clock has been set back
// since the last start, Observe raises the incarnation.
func NewPublisher(initial Announcement, start time.Time) *Publisher {
	initial.Incarnation = uint64(start.UnixMilli())
	initial.Sequence = 1
	if initial.State == 0 {
		initial.State = StateServing
	}
	return &Publisher{ann: initial, changed: make(chan struct{}), confirmedChanged: make(chan struct{})}
}

// Current returns the current announcement.
func (p *Publisher) Current() Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ann
}

// Changed returns a channel that is closed once the announcement is newer than
// seen.
func (p *Publisher) Changed(seen Announcement) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ann.Compare(seen) > 0 {
		return closedChan
	}
	return p.changed
}

// SetBackendServer announces the service, version and number of slots of the
// backend server.
func (p *Publisher) SetBackendServer(service model.ServiceName, version model.ServiceVersion, slots int) {
	p.update(func(a *Announcement) { a.Service, a.Version, a.Slots = service, version, slots })
}

// Lifetime identifies one run of a backend server that registers itself; see
// Announcement.
type Lifetime struct {
	Instance string
	Started  int64
}

// Restart announces that the backend server was restarted. The new incarnation is
// greater than the previous one and at least the start time in milliseconds, so
// that entry nodes discard what they learned about the previous process.
func (p *Publisher) Restart(l Lifetime, version model.ServiceVersion, slots int, start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ann.Incarnation = max(p.ann.Incarnation+1, uint64(start.UnixMilli()))
	p.ann.Sequence = 1
	p.ann.Version, p.ann.Slots, p.ann.State = version, slots, StateServing
	p.ann.Instance, p.ann.Started, p.ann.Closed = l.Instance, l.Started, false
	p.notify()
}

// CloseLifetime announces that a lifetime of the backend server takes no new work any
// more. Other processes keep that for good, unlike the effect of Drain.
func (p *Publisher) CloseLifetime(l Lifetime) {
	p.update(func(a *Announcement) {
		a.Instance, a.Started, a.Closed = l.Instance, l.Started, true
		a.State = max(a.State, StateDraining)
	})
}

// confirm records that a control host has accepted an announcement.
func (p *Publisher) confirm(a Announcement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.Compare(p.confirmed) <= 0 {
		return
	}
	p.confirmed = a
	close(p.confirmedChanged)
	p.confirmedChanged = make(chan struct{})
}

// AwaitConfirmed waits until a control host has accepted the current announcement or a
// newer one. It returns the error of ctx if that ends first.
func (p *Publisher) AwaitConfirmed(ctx context.Context) error {
	p.mu.Lock()
	want := p.ann
	for p.confirmed.Compare(want) < 0 {
		changed := p.confirmedChanged
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		p.mu.Lock()
	}
	p.mu.Unlock()
	return nil
}

// Drain announces that the backend server accepts no new work. It has no effect on
// one that left.
func (p *Publisher) Drain() {
	p.update(func(a *Announcement) { a.State = max(a.State, StateDraining) })
}

// Serve announces that a draining backend server accepts new work again, unless its
// lifetime is closed.
func (p *Publisher) Serve() {
	p.update(func(a *Announcement) {
		if a.State == StateDraining && !a.Closed {
			a.State = StateServing
		}
	})
}

// Leave announces that the backend server has left.
func (p *Publisher) Leave() { p.update(func(a *Announcement) { a.State = StateLeft }) }

// reannounce raises the sequence at the start of an announce stream. The newer
// record tells the previous control host that the node renews with another one.
func (p *Publisher) reannounce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ann.Sequence++
	p.notify()
}

// Observe compares the node's announcement with a record of this host that another
// process holds. If that record would replace the announcement, as after a lapse or
// a restart with a clock that was set back, Observe raises the incarnation above
// the record's and returns true.
func (p *Publisher) Observe(seen Announcement) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen.Host != p.ann.Host || seen.Check() != nil || !newer(seen, p.ann) {
		return false
	}
	p.ann.Incarnation = seen.Incarnation + 1
	p.ann.Sequence = 1
	p.notify()
	return true
}

// update applies change and publishes the result if it differs.
func (p *Publisher) update(change func(*Announcement)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.ann
	change(&a)
	if a == p.ann {
		return
	}
	a.Sequence++
	p.ann = a
	p.notify()
}

// notify wakes the goroutines that wait for a change. The caller holds the mutex.
func (p *Publisher) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
