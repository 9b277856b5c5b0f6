package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// newTargetScheduler returns a scheduler whose only slot is in use.
func newTargetScheduler(now time.Time) *scheduler {
	s := newScheduler(Config{ColdLoad: 1, OverloadAfter: DefaultOverloadAfter, Service: note.Service{
		Name: "roster", Slots: 1, QueueLimit: 100, QueueTimeout: time.Second,
	}})
	s.start(now, 1, 0)
	s.arrive(now, &Waiter{Request: Request{Kind: model.KindLookup, Priority: 3}})
	return s
}

// Guards against giving slots to requests that already miss their latency target while
// others, served after them, come to miss theirs.
func TestRequestsThatCanMeetTheirTargetAreServedFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTargetScheduler(now)
	know(s, "r", 150*time.Millisecond)
	ticket := func(priority uint8, target time.Duration) Request {
		return Request{Kind: model.KindLookup, Priority: priority, Route: "r", Target: now.Add(target)}
	}
	late, fresh := &Waiter{Request: ticket(3, 100*time.Millisecond)}, &Waiter{Request: ticket(3, 400*time.Millisecond)}
	urgent := &Waiter{Request: ticket(1, -time.Second)}
	for _, w := range []*Waiter{late, fresh, urgent} {
		if d := s.arrive(now, w); len(d) > 0 {
			t.Fatalf("decision on arrival, want the request queued: %+v", d)
		}
	}
	for i, want := range []*Waiter{urgent, fresh, late} {
		d := s.finish(now.Add(time.Duration(i)*time.Millisecond), Sample{Result: ResultCancelled})
		if len(d) != 1 || d[0].waiter != want {
			t.Fatalf("slot %d went to the wrong waiter", i)
		}
	}
}

// Guards against requests that wait as long as they may and are then refused, so that
// their callers have no time left for a retry.
func TestRequestsThatWouldExpireAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newTargetScheduler(now)
	arrive := func() []decision {
		return s.arrive(now, &Waiter{Request: Request{Kind: model.KindLookup, Priority: 3, MaxWait: 100 * time.Millisecond}})
	}
	admitted := 0
	for range 50 { // one slot is freed every 25 ms, 40 per second; five requests arrive meanwhile
		for range 5 {
			arrive()
		}
		now = now.Add(25 * time.Millisecond)
		for _, d := range s.finish(now, Sample{Result: ResultCancelled}) {
			switch {
			case d.refused == "":
				admitted++
			case d.waiter.Arrived.Before(now.Add(-100*time.Millisecond)) && admitted > 10:
				t.Fatalf("a request was refused %s after its arrival", now.Sub(d.waiter.Arrived))
			}
		}
		if n := s.queue.Len(); admitted > 10 && n > 4 {
			t.Fatalf("%d requests wait, want at most the 4 that get a slot in time", n)
		}
	}
	if admitted < 45 {
		t.Errorf("%d of 50 slots used", admitted)
	}
	var last []decision
	for range 6 {
		last = arrive()
	}
	if len(last) != 1 || last[0].refused != ReasonNoTurn {
		t.Errorf("decisions %+v, want a refusal with ReasonNoTurn", last)
	}
	now = now.Add(2 * intervalTTL)
	s.dispatch(now)
	if d := arrive(); len(d) > 0 && d[0].refused == ReasonNoTurn {
		t.Error("request refused because of an outdated interval")
	}
}

// Guards against lower priorities that starve while higher ones use all slots, and against
// more than their share for them.
func TestLowerPrioritiesGetTheirShareOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQueue(6, time.Hour)
	served := map[uint8]int{}
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		for range 4 { // more than the queue holds, most of them of the highest priority
			for _, p := range []uint8{5, 2, 1, 1} {
				q.Push(now, &Waiter{Request: Request{Kind: model.KindLookup, Priority: p}, ExpiresAt: now.Add(200 * time.Millisecond)})
			}
		}
		q.Expire(now)
		served[q.Pop(now).Priority]++
	}
	for _, p := range []uint8{2, 5} {
		if n := served[p]; n < 19 || n > 21 {
			t.Errorf("priority %d got %d of 2000 slots, want 20", p, n)
		}
	}
}

// Guards against long requests of a low priority that take the slots of short nested calls
// by their minimum share, so that the runs that made the calls fail.
func TestMinimumShareDoesNotDisplaceNestedCalls(t *testing.T) {
	type load struct {
		route model.RouteName
		share float64 // of the capacity
		taken time.Duration
	}
	loads := []load{{"nested", 0.9, 15 * time.Millisecond}, {"second", 0.2, 150 * time.Millisecond}, {"third", 0.2, 150 * time.Millisecond}}
	served := func(minShare float64) (inTime []int) {
		p := &play{now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(3, 5))}
		end := p.now.Add(20 * time.Second)
		s := newScheduler(Config{ColdLoad: 1, OverloadAfter: DefaultOverloadAfter, Service: note.Service{
			Name: "called", Slots: 17, QueueLimit: 12, QueueTimeout: 300 * time.Millisecond,
		}})
		s.start(p.now, 17, 0)
		s.queue.minShare = minShare
		inTime = make([]int, len(loads))
		var apply func([]decision)
		apply = func(decided []decision) {
			for _, d := range decided {
				if d.refused != "" {
					continue
				}
				i, started := int(d.waiter.Priority)-1, p.now
				taken := time.Duration(p.rand.ExpFloat64() * float64(loads[i].taken))
				p.after(taken, func() {
					inTime[i]++
					apply(s.finish(p.now, Sample{Route: loads[i].route, Started: started, Result: ResultOK, Latency: taken}))
				})
			}
		}
		for i, l := range loads {
			var arrive func()
			arrive = func() {
				w := &Waiter{Request: Request{Kind: model.KindLookup, Route: l.route, Priority: uint8(i + 1)}}
				apply(s.arrive(p.now, w))
				p.after(time.Duration(p.rand.ExpFloat64()*l.taken.Seconds()/(17*l.share)*float64(time.Second)), arrive)
			}
			arrive()
		}
		for p.events[0].at.Before(end) {
			e := heap.Pop(&p.events).(event)
			p.now = e.at
			e.do()
		}
		return inTime
	}
	with, without := served(minPriorityShare), served(0)
	t.Logf("served by priority with the minimum share %v, without it %v", with, without)
	if float64(with[0]) < 0.95*float64(without[0]) {
		t.Errorf("%d nested calls served, %d without the minimum share", with[0], without[0])
	}
	if with[2] < without[2] || with[2] < 18 { // 1% of 17 slots for 20 s would be 23
		t.Errorf("%d requests of priority 3 served, %d without the minimum share", with[2], without[2])
	}
}
