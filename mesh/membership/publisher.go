package membership

import (
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Publisher holds a node's own announcement. One mutex guards it.
type Publisher struct {
	mu      sync.Mutex
	ann     Announcement
	changed chan struct{}
}

// NewPublisher returns the publisher of a node that starts at start. The
// incarnation is the start time in milliseconds; a clock that went backwards
// is corrected by Observe.
func NewPublisher(initial Announcement, start time.Time) *Publisher {
	initial.Incarnation = uint64(start.UnixMilli())
	initial.Sequence = 1
	if initial.State == 0 {
		initial.State = StateServing
	}
	return &Publisher{ann: initial, changed: make(chan struct{})}
}

// Current returns the announcement in force.
func (p *Publisher) Current() Announcement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ann
}

// Changed returns a channel that is closed once the announcement is newer than seen.
func (p *Publisher) Changed(seen Announcement) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ann.Compare(seen) > 0 {
		return closedChan
	}
	return p.changed
}

// SetBackendServer announces another version or size of the backend server.
func (p *Publisher) SetBackendServer(service model.ServiceName, version model.ServiceVersion, slots int) {
	p.update(func(a *Announcement) { a.Service, a.Version, a.Slots = service, version, slots })
}

// Restart announces a fresh backend server. Its incarnation is above the former
// one, and at least the start time in milliseconds, so that entry nodes forget
// what they learned of the one before it.
func (p *Publisher) Restart(version model.ServiceVersion, slots int, start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ann.Incarnation = max(p.ann.Incarnation+1, uint64(start.UnixMilli()))
	p.ann.Sequence = 1
	p.ann.Version, p.ann.Slots, p.ann.State = version, slots, StateServing
	p.notify()
}

// Drain announces that the backend server takes no new work. It does not
// bring back one that left.
func (p *Publisher) Drain() {
	p.update(func(a *Announcement) { a.State = max(a.State, StateDraining) })
}

// Serve announces that a draining backend server takes new work again.
func (p *Publisher) Serve() {
	p.update(func(a *Announcement) {
		if a.State == StateDraining {
			a.State = StateServing
		}
	})
}

// Leave announces that the backend server has left.
func (p *Publisher) Leave() { p.update(func(a *Announcement) { a.State = StateLeft }) }

// reannounce raises the sequence at the start of an announce stream. By the
// newer record the former lease holder sees that the node renews elsewhere.
func (p *Publisher) reannounce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ann.Sequence++
	p.notify()
}

// Observe compares the own announcement with the record that others hold of
// this host. If theirs replaces it, as after a lapse or a start with a clock
// that went backwards, the incarnation is raised above theirs.
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

func (p *Publisher) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}
