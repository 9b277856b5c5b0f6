package membership

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Defaults of the tombstones of a Table.
const (
	// TombstoneRetention is how long the record of a left or lapsed host is kept. It
	// covers the longest time that a cut-off peer may still spread the older
	// record: regions lose contact for an hour now and then.
	TombstoneRetention = 2 * time.Hour
	// MaxTombstones bounds the kept records of left and lapsed hosts; at the
	// planned 1,100 replaced hosts a day it is reached only by a fault.
	MaxTombstones = 16_384
)

// record is the newest announcement of one host in a Table.
type record struct {
	ann Announcement
	// seq is the local change sequence of the last change.
	seq uint64
	// orderElem is the place in order.
	orderElem *list.Element
	// tombstoneElem is the place in tombstones, nil for a host that is alive.
	tombstoneElem *list.Element
	// tombstoneSince is when Prune first met the tombstone.
	tombstoneSince time.Time
}

// Table is the endpoint table: the newest announcement of each host. One mutex
// guards it.
type Table struct {
	instance uint64

	mu             sync.Mutex
	hosts          map[model.HostID]*record
	services       map[model.ServiceName]map[model.HostID]*record
	aliveByService map[model.ServiceName]int
	// aliveHosts is the number of hosts that are alive, centres holds them by data centre.
	aliveHosts         int
	dataCentres        map[model.DataCentre]*dataCentreHosts
	digest             Digest
	seq                uint64
	changed            chan struct{}
	maxTombstones      int
	tombstoneRetention time.Duration
	evictions          uint64
	// changeOrder holds the records by seq, the last change at the back.
	changeOrder *list.List
	// tombstones holds the records of left and lapsed hosts, the oldest in front.
	tombstones *list.List
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		instance:           rand.Uint64(),
		hosts:              map[model.HostID]*record{},
		services:           map[model.ServiceName]map[model.HostID]*record{},
		aliveByService:     map[model.ServiceName]int{},
		dataCentres:        map[model.DataCentre]*dataCentreHosts{},
		changed:            make(chan struct{}),
		maxTombstones:      MaxTombstones,
		tombstoneRetention: TombstoneRetention,
		changeOrder:        list.New(),
		tombstones:         list.New(),
	}
}

// Instance identifies this table among all tables; a change sequence is valid
// only for the table that gave it.
func (t *Table) Instance() uint64 { return t.instance }

// newer reports whether a replaces b. A keeper's lapse and a change by the
// node itself can carry the same incarnation and sequence; the greater state
// wins then, so that all tables settle on the same record.
func newer(a, b Announcement) bool {
	if c := a.Compare(b); c != 0 {
		return c > 0
	}
	return a.State > b.State
}

// Merge takes over the announcement if it is newer than the host's record and
// reports whether it was.
func (t *Table) Merge(a Announcement) bool { return t.MergeAll([]Announcement{a}) == 1 }

// MergeAll merges a batch, wakes the waiting goroutines once and returns the
// number of announcements taken over.
func (t *Table) MergeAll(batch []Announcement) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, a := range batch {
		if t.merge(a) {
			n++
		}
	}
	if n > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return n
}

func (t *Table) merge(a Announcement) bool {
	r, ok := t.hosts[a.Host]
	if ok && !newer(a, r.ann) {
		return false
	}
	if ok {
		t.unindex(r)
	} else {
		r = &record{}
		t.hosts[a.Host] = r
		r.orderElem = t.changeOrder.PushBack(r)
	}
	t.seq++
	r.ann, r.seq = a, t.seq
	t.changeOrder.MoveToBack(r.orderElem)
	t.index(r)
	if t.tombstones.Len() > t.maxTombstones {
		t.drop(t.tombstones.Front().Value.(*record))
		t.evictions++
	}
	return true
}

func (t *Table) index(r *record) {
	s := r.ann.Service
	if t.services[s] == nil {
		t.services[s] = map[model.HostID]*record{}
	}
	t.services[s][r.ann.Host] = r
	t.digest.toggle(r.ann)
	if r.ann.Alive() {
		t.aliveByService[s]++
		t.addAlive(r.ann)
		return
	}
	r.tombstoneElem = t.tombstones.PushBack(r)
	r.tombstoneSince = time.Time{}
}

func (t *Table) unindex(r *record) {
	s := r.ann.Service
	delete(t.services[s], r.ann.Host)
	if len(t.services[s]) == 0 {
		delete(t.services, s)
	}
	t.digest.toggle(r.ann)
	if r.tombstoneElem != nil {
		t.tombstones.Remove(r.tombstoneElem)
		r.tombstoneElem = nil
		return
	}
	t.removeAlive(r.ann)
	t.aliveByService[s]--
	if t.aliveByService[s] == 0 {
		delete(t.aliveByService, s)
	}
}

func (t *Table) drop(r *record) {
	t.unindex(r)
	t.changeOrder.Remove(r.orderElem)
	delete(t.hosts, r.ann.Host)
}

// Prune drops tombstones that it first met longer than TombstoneLife ago and
// returns how many; call it every few seconds.
func (t *Table) Prune(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for e := t.tombstones.Front(); e != nil; {
		r := e.Value.(*record)
		e = e.Next()
		if r.tombstoneSince.IsZero() {
			r.tombstoneSince = now
		}
		if now.Sub(r.tombstoneSince) >= t.tombstoneRetention {
			t.drop(r)
			n++
		}
	}
	return n
}

// Since returns the records that changed after seq in the order of their last
// change, and the sequence to pass next.
func (t *Table) Since(seq uint64) ([]Announcement, uint64) { return t.SinceN(seq, 0) }

// SinceN is Since with at most limit records; 0 means all.
func (t *Table) SinceN(seq uint64, limit int) ([]Announcement, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first *list.Element
	for e := t.changeOrder.Back(); e != nil && e.Value.(*record).seq > seq; e = e.Prev() {
		first = e
	}
	next := max(seq, t.seq)
	var out []Announcement
	for e := first; e != nil; e = e.Next() {
		r := e.Value.(*record)
		if limit > 0 && len(out) == limit {
			return out, next
		}
		out = append(out, r.ann)
		if limit > 0 {
			next = r.seq
		}
	}
	return out, max(next, t.seq)
}

// Sequence returns the local change sequence of the last change.
func (t *Table) Sequence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seq
}

// Changed returns a channel that is closed once there are changes after seq.
func (t *Table) Changed(seq uint64) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seq > seq {
		return closedChan
	}
	return t.changed
}

var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// Get returns the record of one host.
func (t *Table) Get(h model.HostID) (Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.hosts[h]
	if !ok {
		return Announcement{}, false
	}
	return r.ann, true
}

// Service returns the records of a service, tombstones included, by host.
func (t *Table) Service(name model.ServiceName) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Announcement, 0, len(t.services[name]))
	for _, r := range t.services[name] {
		out = append(out, r.ann)
	}
	slices.SortFunc(out, byHost)
	return out
}

// HasAlive reports whether the service has a host that is serving or draining.
func (t *Table) HasAlive(name model.ServiceName) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.aliveByService[name] > 0
}

// All returns every record, tombstones included, by host.
func (t *Table) All() []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Announcement, 0, len(t.hosts))
	for _, r := range t.hosts {
		out = append(out, r.ann)
	}
	slices.SortFunc(out, byHost)
	return out
}

func byHost(a, b Announcement) int { return cmp.Compare(a.Host, b.Host) }
