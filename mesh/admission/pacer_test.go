package admission

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Guards against a cold backend server that gets more requests in a second than its
// rate and a small burst allow, and against requests that still wait once it is warm.
func TestColdServerIsPaced(t *testing.T) {
	t.Run("at its stated rate", func(t *testing.T) { testColdPace(t, 50, 0) })
	t.Run("at its rate times the factor of the settings", func(t *testing.T) { testColdPace(t, 50*1.3, 1.3) })
}

// testColdPace checks that a cold backend server of a service with a cold rate of 50
// requests per second gets rate requests per second if ColdLoad is load.
func testColdPace(t *testing.T, rate, load float64) {
	synctest.Test(t, func(t *testing.T) {
		const cold = 3 * time.Second
		g := NewGate(Config{ColdLoad: load, Service: note.Service{
			Name: "ledger", Slots: 1, QueueLimit: 1000, QueueTimeout: time.Minute, ColdRate: 50,
		}})
		g.SetAvailable(false)
		if _, err := g.Acquire(t.Context(), Request{Kind: model.KindLookup}); err == nil {
			t.Fatal("request admitted before the backend server registered")
		}
		g.Start(500, cold)
		began := time.Now()
		starts := make(chan time.Duration, 400)
		for range 400 {
			go func() {
				release, err := g.Acquire(t.Context(), Request{Kind: model.KindLookup, Priority: 2})
				if err != nil {
					t.Error(err)
					return
				}
				starts <- time.Since(began)
				release(Outcome{Result: ResultOK, Latency: time.Millisecond})
			}()
		}
		var times []time.Duration
		for range 400 {
			times = append(times, <-starts)
		}
		if early := slices.IndexFunc(times, func(at time.Duration) bool { return at >= 2*time.Second }); float64(early) < 2*rate*0.95 {
			t.Errorf("%d requests in the first two seconds, want about %.0f", early, 2*rate)
		}
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at >= from && at < from+time.Second && at < cold {
					n++
				}
			}
			if most := rate * (1 + coldBurstTime + 0.05); float64(n) > most {
				t.Fatalf("%d requests in the second from %s, want at most %.0f", n, from, most)
			}
		}
		if last := times[len(times)-1]; last > cold+50*time.Millisecond {
			t.Errorf("the last request started after %s, although the server was warm before", last)
		}
	})
}

// Guards against a full queue that refuses a request although one of lower priority
// waits, and against evicting a waiter other than the newest of the lowest priority,
// whose caller has the most time left.
func TestFullQueueEvictsTheLowestPriority(t *testing.T) {
	now := time.Now()
	q := NewQueue(2, time.Hour)
	at := func(p uint8, expiresIn int) *Waiter {
		return &Waiter{Request: Request{Kind: model.KindLookup, Priority: p}, ExpiresAt: now.Add(time.Duration(expiresIn) * time.Second)}
	}
	late, soon := at(3, 9), at(3, 5)
	q.Push(now, late)
	q.Push(now, soon)
	if evicted := q.Push(now, at(3, 1)); evicted == late || evicted == soon {
		t.Error("a new request evicted a waiter of the same priority")
	}
	first := at(1, 20)
	if evicted := q.Push(now, first); evicted != soon {
		t.Error("the evicted waiter is not the newest of the lowest priority")
	}
	if q.Pop(now) != first || q.Pop(now) != late || q.Len() != 0 {
		t.Error("waiters are not served in order of priority")
	}
}

// Guards against overloading a cold backend server that registers with a node, and gets
// calls, before the node has received the limits of the service.
func TestColdServerWithoutKnownLimitsGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Service: note.Service{Name: "ledger", Slots: 5}, Provisional: true})
		admitted := func() bool {
			release, err := g.Acquire(t.Context(), Request{Kind: model.KindLookup})
			if err == nil {
				release(Outcome{Result: ResultOK})
			}
			return err == nil
		}
		g.Start(5, 3*time.Second)
		if admitted() {
			t.Error("request admitted without a known rate limit")
		}
		g.SetService(note.Service{Name: "ledger", Slots: 5, ColdRate: 10})
		if !admitted() {
			t.Error("request refused with a known rate limit")
		}
		g.Start(5, 0)
		if !admitted() {
			t.Error("request refused although the server is warm")
		}
	})
}

// Guards against a refusal that does not say when a cold backend server has room again,
// and against one that says so where the cold rate is not the reason.
func TestColdRefusalSaysWhenThereIsRoom(t *testing.T) {
	g := NewGate(Config{Service: note.Service{Name: "ledger", Slots: 2, QueueLimit: 0, ColdRate: 1}})
	g.Start(2, 3*time.Second)
	refusal := func() *NotRun {
		for range 5 {
			if _, err := g.Acquire(t.Context(), Request{}); err != nil {
				var n *NotRun
				if !errors.As(err, &n) {
					t.Fatal(err)
				}
				return n
			}
		}
		t.Fatal("five requests admitted at once")
		return nil
	}
	if n := refusal(); n.RetryAfter < 2*time.Second || n.RetryAfter > 3*time.Second {
		t.Errorf("refused as %q, room after %s", n.Reason, n.RetryAfter)
	}
	g.Drain()
	if n := refusal(); n.RetryAfter != 0 {
		t.Errorf("refused as %q, room after %s", n.Reason, n.RetryAfter)
	}
}
