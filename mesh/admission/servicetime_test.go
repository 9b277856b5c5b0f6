package admission

import (
	"testing"
	"time"
)

// Guards against a phase of slowness that shows only when it is over: the requests that it
// delays have not ended yet.
func TestServiceTimeFollowsSlownessBeforeRequestsEnd(t *testing.T) {
	var s serviceTime
	now := time.Unix(1000, 0)
	run := func(length, interval time.Duration) (recent, usual time.Duration) {
		for end := now.Add(length); now.Before(end); {
			now = now.Add(interval)
			s.advance(now, 10)
			s.ended(now)
		}
		return s.means(now)
	}
	if recent, usual := s.means(now); recent != 0 || usual != 0 {
		t.Errorf("%s and %s without a request, want unknown", recent, usual)
	}
	within := func(name string, got, least, most time.Duration) {
		if got < least || got > most {
			t.Errorf("%s service time %s, want %s to %s", name, got, least, most)
		}
	}
	recent, usual := run(10*time.Second, 20*time.Millisecond) // 10 requests run, each takes 200 ms
	within("recent", recent, 190*time.Millisecond, 210*time.Millisecond)
	within("usual", usual, 190*time.Millisecond, 210*time.Millisecond)
	recent, usual = run(300*time.Millisecond, 50*time.Millisecond) // now 500 ms, but none of these has ended
	within("recent", recent, 250*time.Millisecond, 400*time.Millisecond)
	within("usual", usual, 200*time.Millisecond, 225*time.Millisecond)
}

// Guards against service times of a cold server that count as its usual ones, so that
// requests are refused or moved behind others long after it has warmed up.
func TestColdServiceTimesDoNotBecomeUsual(t *testing.T) {
	s := newTargetScheduler(time.Unix(1000, 0))
	now := time.Unix(1001, 0)
	serve := func(n int, taken time.Duration) {
		for range n {
			started := now
			now = now.Add(taken)
			s.finish(now, Sample{Route: "r", Result: ResultOK, Started: started, Latency: taken})
			s.arrive(now, &Waiter{Request: Request{Route: "r", Priority: 3}})
		}
	}
	for range 2 {
		s.start(now, 1, 3*time.Second)
		if got := s.times.slowness(now); got < 1.9 {
			t.Errorf("slowness %.2f of a cold server, want its ratio", got)
		}
		serve(10, 290*time.Millisecond)
		if m := s.routes.of("r").median(); m > 0 && m > 170*time.Millisecond {
			t.Errorf("median %s, want that of the warm server", m)
		}
		now = s.times.coldUntil
		if _, usual := s.serviceTimes(now); usual < 130*time.Millisecond || usual > 160*time.Millisecond {
			t.Errorf("usual service time %s after the cold time, want half of 290 ms", usual)
		}
		serve(120, 145*time.Millisecond)
	}
}

// Guards against requests that are started although most like them would end too late, and
// against refusals only because nothing is known.
func TestRequestsThatCannotEndInTimeAreNotStarted(t *testing.T) {
	s, now := newTargetScheduler(time.Unix(1000, 0)), time.Unix(1001, 0)
	refused := func(left time.Duration) bool {
		d := s.arrive(now, &Waiter{Request: Request{Route: "r", Priority: 3, Deadline: now.Add(left), Target: now.Add(left)}})
		return len(d) == 1 && d[0].refused == ReasonStale
	}
	if refused(10 * time.Millisecond) {
		t.Error("refused without a known service time")
	}
	know(s, "r", 100*time.Millisecond)
	if !refused(80*time.Millisecond) || refused(150*time.Millisecond) {
		t.Error("want a refusal only with less time left than the median service time")
	}
	s.times.usual = decayedMean{seconds: 10, ended: 100}
	s.times.recent = decayedMean{seconds: 10, ended: 40} // 250 ms instead of 100 ms
	if !refused(150 * time.Millisecond) {
		t.Error("want a refusal in a phase of slowness")
	}
}

// Guards against callers that return while the queue is as full as before.
func TestRefusalSaysWhenTheQueueHasDrained(t *testing.T) {
	s, now := newTargetScheduler(time.Unix(1000, 0)), time.Unix(1000, 0)
	w := &Waiter{Request: Request{Route: "r", Priority: 3}}
	if got := s.retryAfter(now, w, ReasonQueueFull); got != 0 {
		t.Errorf("retry after %s with nothing known, want 0", got)
	}
	s.times.usual = decayedMean{seconds: 10, ended: 100}
	for range 4 {
		s.arrive(now, &Waiter{Request: Request{Route: "r", Priority: 3}})
	}
	if got, want := s.retryAfter(now, w, ReasonQueueFull), 500*time.Millisecond; got != want {
		t.Errorf("retry after %s, want %s for five requests of 100 ms at one slot", got, want)
	}
}

// Guards against a full server that gets further requests because callers have left, while
// it still works on theirs, and against slots that are never given back.
func TestAbandonedRequestsKeepTheirSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScheduler(Config{Service: ledger, OverloadAfter: DefaultOverloadAfter, ColdLoad: 1})
	s.start(now, 4, 0)
	know(s, "r", 100*time.Millisecond)
	for range 4 {
		s.arrive(now, &Waiter{Request: Request{Route: "r", Priority: 3}})
	}
	now = now.Add(20 * time.Millisecond)
	for range 3 {
		s.finish(now, Sample{Route: "r", Started: now.Add(-20 * time.Millisecond), Result: ResultCancelled, Abandoned: true})
	}
	if got := s.limit(now); got != 1 {
		t.Errorf("limit %d while the server works for callers that have left, want 1", got)
	}
	if got := s.limit(now.Add(100 * time.Millisecond)); got != 4 {
		t.Errorf("limit %d once it has ended, want 4", got)
	}
	now = now.Add(10 * time.Millisecond)
	for range 10 { // the server says itself that it runs nothing else
		now = now.Add(100 * time.Millisecond)
		s.finish(now, Sample{Route: "r", Started: now, Result: ResultCancelled, Abandoned: true})
		s.inFlight++
		s.observeLoad(now, ServerLoad{Running: 1, Slots: 4})
	}
	if got := s.limit(now); got != 4 {
		t.Errorf("limit %d although the server states one running request, want 4", got)
	}
}

// Guards against a stated slowness that is not used, or is used when it is old.
func TestStatedSlownessScalesTheServiceTime(t *testing.T) {
	s, now := newTargetScheduler(time.Unix(1000, 0)), time.Unix(1001, 0)
	s.times.usual, s.times.at = decayedMean{seconds: 10, ended: 100}, now
	s.observeLoad(now, ServerLoad{Slots: 1, Slowness: 100})
	now = now.Add(10 * time.Millisecond)
	s.observeLoad(now, ServerLoad{Slots: 1, Slowness: 250})
	if got := s.times.slowness(now); got < 2.4 || got > 2.5 {
		t.Errorf("slowness %.2f, want 2.5 as stated", got)
	}
	if got := s.times.slowness(now.Add(210 * time.Millisecond)); got > 1.1 {
		t.Errorf("slowness %.2f after 210 ms, want the measured one", got)
	}
}
