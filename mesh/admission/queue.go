package admission

import (
	"container/heap"
	"container/list"
	"time"

	"balsamtrail.org/mesh/model"
)

// Waiter is a request in the queue. The Gate fills it in.
type Waiter struct {
	Ticket
	// Arrived is when the request came.
	Arrived time.Time
	// ExpiresAt is when waiting is no longer of use: an admission at that time or
	// later comes too late.
	ExpiresAt time.Time
	// MissesTarget says that the latency target cannot be met any more.
	MissesTarget bool

	class *class
	elem  *list.Element
	index int // in the heap of its class
	seq   uint64
}

// class holds the waiters of one kind by arrival and by the time they give up.
type class struct {
	arrivals list.List // of *Waiter, oldest first
	byExpiry expiryHeap
	// lastServed is when the last waiter got a slot, pace the average time between two
	// while others waited.
	lastServed time.Time
	interval   time.Duration
}

// recordServed notes that a waiter got a slot, with others behind it or not.
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

// The classes of waiters in the order in which they are served: by kind, and
// behind them those of routes with an explicit priority.
const (
	urgentClass = iota
	writeClass
	lookupClass
	firstPriorityClass
	numClasses = firstPriorityClass + 2*MaxPriority
)

// Constants of the estimate of a wait.
const (
	// intervalWeight averages the time between two that leave a class over about ten.
	intervalWeight = 0.1
	// intervalTTL is how long an estimate counts without another one that leaves.
	intervalTTL = time.Second
	// minWaiters is the number of waiters that a class takes whatever the estimate, so
	// that it goes on.
	minWaiters = 2
)

// Queue orders the requests that wait for a slot. Urgent requests come first,
// those that give up soonest before others; then writes in order of arrival;
// then lookups, those that give up soonest first, but the newest first under
// overload, as the oldest would be late anyway; then those of routes with a
// priority, by priority, those that can still meet their latency target before
// others, and by the time they give up. It is not safe for concurrent use; Gate
// owns it.
type Queue struct {
	limit         int
	overloadAfter time.Duration

	classes  [numClasses]class
	size     int
	arrivals uint64
	// nonEmptySince is when the queue was last empty before its present waiters.
	nonEmptySince time.Time
}

// NewQueue returns a queue of at most limit waiters. It is overloaded while it
// has not been empty for overloadAfter.
func NewQueue(limit int, overloadAfter time.Duration) *Queue {
	return &Queue{limit: limit, overloadAfter: overloadAfter}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.size }

// Overloaded reports whether requests arrive faster than they are served.
func (q *Queue) Overloaded(now time.Time) bool {
	return q.size > 0 && now.Sub(q.nonEmptySince) >= q.overloadAfter
}

// Push adds a waiter. If the queue is full it returns the waiter that has to
// leave, which can be w itself: the oldest lookup, for an urgent request
// otherwise the newest write, for a request with a priority the newest of the
// last priority behind its own, otherwise w.
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
	q.arrivals++
	w.seq = q.arrivals
	w.class = &q.classes[q.classOf(w)]
	w.elem = w.class.arrivals.PushBack(w)
	heap.Push(&w.class.byExpiry, w)
	q.size++
	return evicted
}

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

// lowerPriorityVictim prefers the newest of the last priority: it has waited least, so
// that its caller has most of its time left.
func (q *Queue) lowerPriorityVictim(w *Waiter, classIndex int) *Waiter {
	for i := numClasses - 1; i > classIndex; i-- {
		if newest := q.classes[i].arrivals.Back(); newest != nil {
			return newest.Value.(*Waiter)
		}
	}
	return w
}

// Pop removes and returns the waiter that is served next; nil if there is none.
// Call Expire first: Pop does not examine ExpiresAt.
func (q *Queue) Pop(now time.Time) *Waiter {
	for i := range q.classes {
		c := &q.classes[i]
		if c.arrivals.Len() == 0 {
			continue
		}
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
	return nil
}

// Expire removes and returns the waiters whose time to give up has come.
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

// Remove takes a waiter out; it reports whether the waiter was in the queue.
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

// classOf returns the class of a waiter.
func (q *Queue) classOf(w *Waiter) int {
	switch {
	case w.Priority > 0:
		class := firstPriorityClass + 2*(int(min(w.Priority, MaxPriority))-1)
		if w.MissesTarget {
			class++
		}
		return class
	case w.Kind == model.KindUrgent:
		return urgentClass
	case w.Kind == model.KindWrite:
		return writeClass
	default:
		return lookupClass
	}
}

// WouldExpire reports whether a waiter with a priority would give up before its turn,
// as far as the pace of its class shows. Refused at once, its caller has more time
// left for another try.
func (q *Queue) WouldExpire(now time.Time, w *Waiter) bool {
	if w.Priority == 0 {
		return false
	}
	classIndex := q.classOf(w)
	c := &q.classes[classIndex]
	if c.lastServed.IsZero() || now.Sub(c.lastServed) > intervalTTL || c.arrivals.Len() < minWaiters {
		return false
	}
	wait := time.Duration(c.arrivals.Len()+1) * max(c.interval, now.Sub(c.lastServed))
	return now.Add(wait).After(w.ExpiresAt)
}

// expiryHeap implements heap.Interface by ExpiresAt, then by arrival.
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
