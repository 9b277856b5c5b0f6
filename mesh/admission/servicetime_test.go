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
			s.ended()
		}
		return s.means()
	}
	if recent, usual := s.means(); recent != 0 || usual != 0 {
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
