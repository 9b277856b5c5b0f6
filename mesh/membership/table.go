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

// Limits of the tombstones in a Table. A tombstone is the kept record of a host
// that left or lapsed.
const (
	// TombstoneRetention is how long a tombstone is kept, so that an older record
	// of the host is not merged again. It must exceed the time for which a
	// partitioned peer may still spread the older record: regions lose contact for
	// an hour at times.
	TombstoneRetention = 2 * time.Hour
	// MaxTombstones is the maximum number of tombstones in a table. At the planned
	// 1,100 replaced hosts a day only a fault can reach it.
	MaxTombstones = 16_384
)

// record is the table entry of one host.
type record struct {
	// ann is the newest announcement of the host.
	ann Announcement
	// seq is the table's change sequence at the record's last change.
	seq uint64
	// orderElem is the record's element in Table.changeOrder.
	orderElem *list.Element
	// tombstoneElem is the record's element in Table.tombstones, nil while the host
	// is alive.
	tombstoneElem *list.Element
	// tombstoneSince is when Prune first saw the tombstone; the zero time means not
	// yet.
	tombstoneSince time.Time
}

// Table is the endpoint table: the newest announcement of each host. It is safe for
// concurrent use.
type Table struct {
	// instance is a random identifier of this table.
	instance uint64

	// mu guards the fields below.
	mu    sync.Mutex
	hosts map[model.HostID]*record
	// services holds the records by service, tombstones included.
	services map[model.ServiceName]map[model.HostID]*record
	// aliveByService counts the alive hosts of each service.
	aliveByService map[model.ServiceName]int
	// aliveHosts is the number of hosts that are serving or draining.
	aliveHosts int
	// dataCentres holds the alive hosts by data centre.
	dataCentres map[model.DataCentre]*dataCentreHosts
	digest      Digest
	// seq is the change sequence; each stored announcement increments it.
	seq uint64
	// changed is closed and replaced on each change.
	changed            chan struct{}
	maxTombstones      int
	tombstoneRetention time.Duration
	// evictions counts the tombstones that were dropped because of maxTombstones.
	evictions uint64
	// changeOrder holds the records by seq, the most recent change at the back.
	changeOrder *list.List
	// tombstones holds the records of left and lapsed hosts, the oldest at the
	// front.
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

// Instance returns a random identifier of this table. A change sequence is valid
// only for the table that issued it.
func (t *Table) Instance() uint64 { return t.instance }

// newer reports whether a replaces b. The control host that declares a lapse and
// the node itself can issue records with the same incarnation and sequence; the
// greater state wins then, so that all tables converge on the same record.
func newer(a, b Announcement) bool {
	if c := a.Compare(b); c != 0 {
		return c > 0
	}
	return a.State > b.State
}

// Merge stores the announcement if it is newer than the host's record and reports
// whether it did.
func (t *Table) Merge(a Announcement) bool { return t.MergeAll([]Announcement{a}) == 1 }

// MergeAll merges a batch, wakes the waiting goroutines at most once and returns
// the number of announcements stored.
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

// merge stores one announcement if it says something new; see join. If there are too
// many tombstones then, it evicts the oldest one. The caller holds the mutex.
func (t *Table) merge(a Announcement) bool {
	r, ok := t.hosts[a.Host]
	if ok {
		if a = join(r.ann, a); a == r.ann {
			return false
		}
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

// index adds the record to all indexes and to the digest. The caller holds the
// mutex.
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

// unindex removes the record from all indexes and from the digest. The caller holds
// the mutex.
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

// drop removes the record from the table. The caller holds the mutex.
func (t *Table) drop(r *record) {
	t.unindex(r)
	t.changeOrder.Remove(r.orderElem)
	delete(t.hosts, r.ann.Host)
}

// Prune drops the tombstones that it first saw at least TombstoneRetention ago and
// returns their number. Call it every few seconds.
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

// Since returns the records that changed after seq, ordered by their last change,
// and the sequence to pass to the next call.
func (t *Table) Since(seq uint64) ([]Announcement, uint64) { return t.SinceN(seq, 0) }

// SinceN is like Since, but returns at most limit records; 0 means all.
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

// Sequence returns the change sequence of the last change.
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

// closedChan is returned by Changed if there already is a change, so that the
// caller does not wait.
var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// Get returns the record of a host, which may be a tombstone.
func (t *Table) Get(h model.HostID) (Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.hosts[h]
	if !ok {
		return Announcement{}, false
	}
	return r.ann, true
}

// Service returns the records of a service, tombstones included, ordered by host.
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

// All returns every record, tombstones included, ordered by host.
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
