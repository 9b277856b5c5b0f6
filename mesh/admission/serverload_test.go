package admission

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

// Guards against a malformed or impossible load that limits a backend server.
func TestParseServerLoad(t *testing.T) {
	if l, err := ParseServerLoad("3, 2,6"); err != nil || l != (ServerLoad{Running: 3, Waiting: 2, Slots: 6}) {
		t.Errorf("got %v, %v", l, err)
	}
	for text, slowness := range map[string]int{"3,2,6": 0, "3,2,6,1": 1, "3,2,6, 250": 250, "3,2,6,10000": 10_000} {
		if l, err := ParseServerLoad(text); err != nil || l.Slowness != slowness {
			t.Errorf("%q: got %v, %v", text, l, err)
		}
	}
	for _, text := range []string{"", "3", "3,2", "3,2,", "3,2,6,", "3,2,6,0", "3,2,6,-1", "3,2,6,10001", "3,2,6,1.5", "3,2,6,100,1", "-1,0,6", "1,-1,6", "7,0,6", "1,0,0", "1e3,0,6", "1,99999999999999999999,6", "100001,0,100001", "a,b,c"} {
		if l, err := ParseServerLoad(text); err == nil {
			t.Errorf("%q is accepted as %v", text, l)
		}
	}
}

// Guards against a limit that one overtaken answer lowers, and against one that stays
// low after the backend server has stopped stating its load.
func TestUnknownLoadMustLast(t *testing.T) {
	now := time.Unix(1000, 0)
	busy := ServerLoad{Running: 6, Waiting: 2, Slots: 6}
	var u unknownLoad
	u.observe(now, busy, 3)
	if n := u.requests(now); n != 0 {
		t.Errorf("%d unknown requests after one answer", n)
	}
	now = now.Add(loadWindow + 1)
	u.observe(now, busy, 4)
	if n := u.requests(now); n != 4 {
		t.Errorf("%d unknown requests, want 4", n)
	}
	u.observe(now, busy, 8)
	if n := u.requests(now); n != 0 {
		t.Errorf("%d unknown requests although all are known", n)
	}
	now = now.Add(loadWindow + 1)
	u.observe(now, busy, 0)
	now = now.Add(loadWindow + 1)
	u.observe(now, busy, 0)
	if n := u.requests(now.Add(maxLoadAge + 1)); n != 0 {
		t.Errorf("%d unknown requests of an old load", n)
	}
}

// Guards against a restarted node that fills all slots of a backend server which still
// works on the requests of the process before.
func TestRequestsOfAFormerProcessTakeSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newScheduler(Config{Service: ledger, OverloadAfter: DefaultOverloadAfter, ColdLoad: 1})
	s.start(now, 6, 0)
	s.observeLoad(now, ServerLoad{Running: 5, Slots: 6})
	now = now.Add(loadWindow + 1)
	s.observeLoad(now, ServerLoad{Running: 5, Slots: 6})
	admitted := 0
	for range 4 {
		for _, d := range s.arrive(now, waiter(model.KindLookup)) {
			if d.refused == "" {
				admitted++
			}
		}
	}
	if admitted != 1 {
		t.Errorf("%d requests admitted beside 5 that run in 6 slots", admitted)
	}
	if got := s.utilization(now); got < 1 {
		t.Errorf("utilization %.2f while all slots are taken", got)
	}
	if s.start(now, 6, 0); s.limit(now) != 6 {
		t.Errorf("limit %d of a new lifetime, want 6", s.limit(now))
	}
}
