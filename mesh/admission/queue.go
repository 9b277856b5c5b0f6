package admission

import (
	"container/heap"
	"container/list"
	"time"

	"balsamtrail.org/mesh/model"
)

// Waiter is a request that waits for a decision. The scheduler sets the exported
// fields other than Request, the queue the others.
type Waiter struct {
	Request
	// Arrived is when the request arrived at the gate.
	Arrived time.Time
	// ExpiresAt is when the request is refused if it has no slot by then.
	ExpiresAt time.Time
	// MissesTarget says that the request can no longer meet its latency target.
	MissesTarget bool

	class *class
	elem  *list.Element
	index int    // in the heap of its class
	seq   uint64 // order of arrival in the queue
}

// class holds the waiters of one kind or priority, both by arrival and by expiry.
type class struct {
	arrivals list.List // of *Waiter, oldest first
	byExpiry expiryHeap
	// lastServed is when a waiter of the class last got a slot, if others still waited
	// then; otherwise zero.
	lastServed time.Time
	// interval is the moving average of the time between two waiters of the class that
	// get a slot while others wait; zero before the first measurement.
	interval time.Duration
}

// recordServed updates the interval after a waiter got a slot. others says whether more
// waiters of the class are left.
func (c *class) recordServed(now time.Time, others bool) {
	switch {
	case c.lastServed.IsZero():
	case c.interval == 0:
		c.interval = now.Sub(c.lastServed)
	default:
		c.interval += time.Duration(intervalWeight * float64(now.Sub(c.lastServed)-c.interval))
	}
	c.lastServed = time.Time{}
	if others {
		c.lastServed = now
	}
}

// Indices of the classes, in the order in which they are served: one class for each
// kind, then two for each priority.
const (
	// urgentClass holds urgent requests.
	urgentClass = iota
	// writeClass holds writes and uploads.
	writeClass
	// lookupClass holds lookups and downloads.
	lookupClass
	// firstPriorityClass holds the requests of priority 1 that can meet their latency
	// target. The next class holds those that cannot; the other priorities follow.
	firstPriorityClass
	// numClasses is the number of classes.
	numClasses = firstPriorityClass + 2*MaxPriority
)

// minPriorityShare is the share of the time in slots that each priority gets at least while
// it has requests waiting. As a share of the number of slots it would let long requests of
// a low priority take a third of a server from short nested calls of a high one. A larger
// share of the time refuses nested calls at overload, and the runs that made them fail.
const minPriorityShare = 0.01

const (
	// unknownSlotTime stands for the time in a slot while nothing is known of it.
	unknownSlotTime = 100 * time.Millisecond
	// maxCredit bounds the time in slots that is due to a priority, and so how many of its
	// requests follow each other.
	maxCredit = time.Second
)

// Constants of the estimate of waiting times.
const (
	// intervalWeight is the weight of the newest interval in the moving average of
	// class.interval, which covers about ten intervals.
	intervalWeight = 0.1
	// intervalTTL is the time since a waiter of the class last got a slot after which
	// the interval is no longer used for an estimate.
	intervalTTL = time.Second
	// minWaiters is the number of waiters that a class accepts whatever the estimate, so
	// that the interval continues to be measured.
	minWaiters = 2
)

// Queue orders the requests that wait for a slot:
//
//   - urgent requests first, by expiry;
//   - then writes, in order of arrival;
//   - then lookups, by expiry; under overload the newest first, since the oldest would
//     be late anyway;
//   - then requests with a priority, by priority; within one priority those that can
//     still meet their latency target first, then by expiry. Each priority with waiters
//     gets at least minPriorityShare of the time in slots.
//
// It is not safe for concurrent use; Gate owns it.
type Queue struct {
	limit         int
	overloadAfter time.Duration
	// missesTarget reports whether a waiter that starts now would miss its latency target;
	// nil for none.
	missesTarget func(now time.Time, w *Waiter) bool

	classes [numClasses]class
	// size is the number of waiters in all classes.
	size int
	// arrivals counts the waiters pushed so far.
	arrivals uint64
	// slotTime returns how long a waiter is expected to hold its slot; nil if all waiters
	// hold it for the same time.
	slotTime func(now time.Time, w *Waiter) time.Duration
	// minShare is minPriorityShare, except in tests.
	minShare float64
	// credits holds for each priority from 1 the time in slots that is due to it whatever
	// else waits.
	credits [MaxPriority]time.Duration
	// nonEmptySince is when a waiter was last pushed to the empty queue.
	nonEmptySince time.Time
}

// NewQueue returns a queue of at most limit waiters. It counts as overloaded once it
// has been non-empty for overloadAfter.
func NewQueue(limit int, overloadAfter time.Duration) *Queue {
	return &Queue{limit: limit, overloadAfter: overloadAfter, minShare: minPriorityShare}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.size }

// Overloaded reports whether the queue has been non-empty for so long that requests
// must be arriving faster than they are served.
func (q *Queue) Overloaded(now time.Time) bool {
	return q.size > 0 && now.Sub(q.nonEmptySince) >= q.overloadAfter
}

// Push adds a waiter. If the queue is full it evicts a waiter and returns it. Without a
// priority w evicts the oldest lookup, or, if there is none and w is urgent, the newest
// write. With a priority w evicts the newest waiter of the last class after its own. If
// there is no such waiter, w itself is returned and not added.
func (q *Queue) Push(now time.Time, w *Waiter) (evicted *Waiter) {
	if q.size >= q.limit {
		evicted = q.victim(w)
		if evicted == w {
			return w
		}
		q.Remove(evicted)
	}
	if q.size == 0 && evicted == nil {
		q.nonEmptySince = now
	}
	q.insert(w)
	return evicted
}

func (q *Queue) insert(w *Waiter) {
	q.arrivals++
	w.seq = q.arrivals
	w.class = &q.classes[q.classOf(w)]
	w.elem = w.class.arrivals.PushBack(w)
	heap.Push(&w.class.byExpiry, w)
	q.size++
}

// victim returns the waiter to evict from the full queue for w, or w.
func (q *Queue) victim(w *Waiter) *Waiter {
	classIndex := q.classOf(w)
	if classIndex >= firstPriorityClass {
		return q.lowerPriorityVictim(w, classIndex)
	}
	if oldest := q.classes[lookupClass].arrivals.Front(); oldest != nil {
		return oldest.Value.(*Waiter)
	}
	if newest := q.classes[writeClass].arrivals.Back(); newest != nil && classIndex == urgentClass {
		return newest.Value.(*Waiter)
	}
	return w
}

// lowerPriorityVictim returns the newest waiter of the last class after classIndex, or
// w if there is none. The newest has waited least, so its caller has the most time
// left for a retry. A lower priority keeps its last waiter for the slots due to it.
func (q *Queue) lowerPriorityVictim(w *Waiter, classIndex int) *Waiter {
	for i := numClasses - 1; i > classIndex; i-- {
		newest := q.classes[i].arrivals.Back()
		if newest == nil {
			continue
		}
		if p := priorityOfClass(i); p != priorityOfClass(classIndex) && q.waitersOf(p) == 1 {
			continue
		}
		return newest.Value.(*Waiter)
	}
	return w
}

// Pop removes and returns the next waiter to serve; nil if there is none. Call Expire
// first, since Pop may return expired waiters. Waiters with a priority that have come to
// miss their latency target are served after those that can meet it.
func (q *Queue) Pop(now time.Time) *Waiter {
	i := q.nextClass(now)
	if i < 0 {
		return nil
	}
	c := &q.classes[i]
	w := c.byExpiry[0]
	switch {
	case i == writeClass:
		w = c.arrivals.Front().Value.(*Waiter)
	case i == lookupClass && q.Overloaded(now):
		w = c.arrivals.Back().Value.(*Waiter)
	}
	q.Remove(w)
	c.recordServed(now, c.arrivals.Len() > 0)
	return w
}

// nextClass returns the index of the class to serve next; -1 if no request waits.
func (q *Queue) nextClass(now time.Time) int {
	for i := range q.classes[:firstPriorityClass] {
		if q.classes[i].arrivals.Len() > 0 {
			return i
		}
	}
	priority := 0
	for p := 1; p <= MaxPriority; p++ {
		if q.waitersOf(p) == 0 {
			continue
		}
		if priority == 0 {
			priority = p
		} else if next := q.nextOfPriority(now, p); q.credits[p-1] >= q.timeInSlot(now, q.classes[next].byExpiry[0]) {
			priority = p
			break
		}
	}
	if priority == 0 {
		return -1
	}
	next := q.nextOfPriority(now, priority)
	q.charge(priority, q.timeInSlot(now, q.classes[next].byExpiry[0]))
	return next
}

// charge gives all priorities with waiters their share of a slot that goes to one of them
// for the given time, which that one pays.
func (q *Queue) charge(priority int, taken time.Duration) {
	for p := 1; p <= MaxPriority; p++ {
		if q.waitersOf(p) > 0 {
			q.credits[p-1] = min(q.credits[p-1]+time.Duration(q.minShare*float64(taken)), maxCredit)
		}
	}
	q.credits[priority-1] = max(q.credits[priority-1]-taken, 0)
}

// timeInSlot returns how long a waiter is expected to hold its slot.
func (q *Queue) timeInSlot(now time.Time, w *Waiter) time.Duration {
	if q.slotTime == nil {
		return unknownSlotTime
	}
	return min(q.slotTime(now, w), maxCredit)
}

// classOfPriority returns the index of the first class of a priority.
func classOfPriority(priority int) int { return firstPriorityClass + 2*(priority-1) }

// priorityOfClass returns the priority of a class with one.
func priorityOfClass(class int) int { return (class-firstPriorityClass)/2 + 1 }

// waitersOf returns the number of waiters of a priority.
func (q *Queue) waitersOf(priority int) int {
	i := classOfPriority(priority)
	return q.classes[i].arrivals.Len() + q.classes[i+1].arrivals.Len()
}

// nextOfPriority moves the waiters that have come to miss their latency target behind the
// others of the priority, and returns the index of its class to serve next.
func (q *Queue) nextOfPriority(now time.Time, priority int) int {
	i := classOfPriority(priority)
	c := &q.classes[i]
	for c.arrivals.Len() > 0 && q.missesTarget != nil && q.missesTarget(now, c.byExpiry[0]) {
		w := c.byExpiry[0]
		q.Remove(w)
		w.MissesTarget = true
		q.insert(w)
	}
	if c.arrivals.Len() > 0 {
		return i
	}
	return i + 1
}

// Expire removes and returns the expired waiters.
func (q *Queue) Expire(now time.Time) []*Waiter {
	var stale []*Waiter
	for i := range q.classes {
		c := &q.classes[i]
		for len(c.byExpiry) > 0 && !now.Before(c.byExpiry[0].ExpiresAt) {
			w := c.byExpiry[0]
			q.Remove(w)
			stale = append(stale, w)
		}
	}
	return stale
}

// Remove removes a waiter. It reports whether the waiter was in the queue.
func (q *Queue) Remove(w *Waiter) bool {
	if w.class == nil {
		return false
	}
	w.class.arrivals.Remove(w.elem)
	heap.Remove(&w.class.byExpiry, w.index)
	w.class, w.elem = nil, nil
	q.size--
	return true
}

// classOf returns the index of the class of a waiter.
func (q *Queue) classOf(w *Waiter) int {
	switch {
	case w.Priority > 0:
		class := classOfPriority(int(min(w.Priority, MaxPriority)))
		if w.MissesTarget {
			class++
		}
		return class
	case w.Kind == model.KindUrgent:
		return urgentClass
	case w.Kind == model.KindWrite || w.Kind == model.KindUpload:
		return writeClass
	default:
		return lookupClass
	}
}

// WouldExpire reports whether a new waiter with a priority is likely to expire before it
// gets a slot. If such a request is refused at once, its caller has more time left for a
// retry. drainInterval is the measured time between two free slots; 0 if unknown.
func (q *Queue) WouldExpire(now time.Time, w *Waiter, drainInterval time.Duration) bool {
	if w.Priority == 0 || q.classes[q.classOf(w)].arrivals.Len() < minWaiters {
		return false
	}
	return now.Add(q.ExpectedWait(now, w, drainInterval)).After(w.ExpiresAt)
}

// ExpectedWait returns the time that a new waiter is expected to wait, from the interval of
// its class while that is known, and at least from the waiters before it and the measured
// time between two free slots. It is 0 if neither is known.
func (q *Queue) ExpectedWait(now time.Time, w *Waiter, drainInterval time.Duration) time.Duration {
	classIndex := q.classOf(w)
	ahead := 0
	for i := range q.classes[:classIndex+1] {
		ahead += q.classes[i].arrivals.Len()
	}
	wait := time.Duration(ahead+1) * drainInterval
	c := &q.classes[classIndex]
	if c.lastServed.IsZero() || now.Sub(c.lastServed) > intervalTTL {
		return wait
	}
	return max(wait, time.Duration(c.arrivals.Len()+1)*max(c.interval, now.Sub(c.lastServed)))
}

// expiryHeap implements heap.Interface, ordered by ExpiresAt, then by arrival.
type expiryHeap []*Waiter

func (h expiryHeap) Len() int { return len(h) }
func (h expiryHeap) Less(i, j int) bool {
	if c := h[i].ExpiresAt.Compare(h[j].ExpiresAt); c != 0 {
		return c < 0
	}
	return h[i].seq < h[j].seq
}
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *expiryHeap) Push(x any) {
	w := x.(*Waiter)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
