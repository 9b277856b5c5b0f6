package admission

import (
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
		if n := served[p]; n < 95 || n > 105 {
			t.Errorf("priority %d got %d of 2000 slots, want 100", p, n)
		}
	}
}
