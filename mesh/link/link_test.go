package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const testRate = 1_500_000 // bytes per second, a link of 12 Mbit/s

func body(size int) io.ReadCloser { return io.NopCloser(bytes.NewReader(make([]byte, size))) }

// Guards against bodies that together exceed the paced rate, which fills the queue in
// front of the link.
func TestBodiesTogetherKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, started := New(testRate), time.Now()
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() {
				n, err := io.Copy(io.Discard, l.Pace(t.Context(), body(150_000), 150_000))
				if n != 150_000 || err != nil {
					t.Errorf("read %d bytes, error %v", n, err)
				}
			})
		}
		wg.Wait()
		seconds := float64(1_500_000-burstBytes) / testRate / pacedRatio
		want := time.Duration(seconds * float64(time.Second))
		if took := time.Since(started); took < want || took > want+100*time.Millisecond {
			t.Errorf("1.5 MB took %s, want about %s", took, want)
		}
	})
}

// Guards against short answers that wait behind large bodies.
func TestShortBodiesNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testRate)
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = io.Copy(io.Discard, l.Pace(t.Context(), body(500_000), 500_000)) })
		synctest.Wait()
		started := time.Now()
		_, _ = io.Copy(io.Discard, l.Pace(t.Context(), body(4000), 4000))
		if took := time.Since(started); took != 0 {
			t.Errorf("a body of 4,000 bytes waited %s", took)
		}
		wg.Wait()
	})
}

// Guards against a read that outlives its request, and against bytes that stay counted
// after a body was given up.
func TestAbandonedBodyEndsItsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(testRate)
		ctx, cancel := context.WithCancel(t.Context())
		b := l.Pace(ctx, body(5_000_000), 5_000_000)
		time.AfterFunc(200*time.Millisecond, cancel)
		_, err := io.Copy(io.Discard, b)
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want context.Canceled", err)
		}
		_ = b.Close()
		if l.load.queued != 0 {
			t.Errorf("%.0f bytes are still counted", l.load.queued)
		}
	})
}

// Guards against reservations that are never returned, after which the link would decline
// requests for good.
func TestReservationsAreReturned(t *testing.T) {
	l, now := New(testRate), time.Unix(1000, 0)
	for i := range 3 {
		r := l.Reserve(now)
		if i%2 == 0 {
			r.Begin(now.Add(100*time.Millisecond), 90_000)
		}
		r.Cancel()
	}
	if l.load.expected != 0 {
		t.Errorf("%d answers are still expected", l.load.expected)
	}
}

// Guards against a link without a rate that changes or refuses anything.
func TestNoRateMeansNoLimit(t *testing.T) {
	l := New(0)
	ok, _ := l.Admit(0)
	r := l.Reserve(time.Now())
	r.Begin(time.Now(), 10)
	r.Cancel()
	want := body(10)
	if got := l.Pace(t.Context(), want, 10); !ok || got != want {
		t.Error("a link without a rate has an effect")
	}
}

func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name     string
		load     *load
		timeLeft time.Duration
		ok       bool
		after    time.Duration
	}{
		{"nothing known yet", &load{rate: 1e6}, 100 * time.Millisecond, true, 0},
		{"idle link", &load{rate: 1e6, meanSize: 1e5, meanService: 0.2}, 800 * time.Millisecond, true, 0},
		{"queue shorter than the service time", &load{rate: 1e6, queued: 1e5, meanSize: 1e5, meanService: 0.2}, 500 * time.Millisecond, true, 0},
		{"queue longer than the time left", &load{rate: 1e6, queued: 1e6, meanSize: 1e5, meanService: 0.2}, 800 * time.Millisecond, false, 620 * time.Millisecond},
		{"expected answers count", &load{rate: 1e6, expected: 10, meanSize: 1e5, meanService: 0.2}, 800 * time.Millisecond, false, 620 * time.Millisecond},
		{"late, idle link", &load{rate: 1e6, meanSize: 1e5, meanService: 0.2}, -time.Second, true, 0},
		{"late, full link", &load{rate: 1e6, queued: 5e5, meanSize: 1e5, meanService: 0.2}, -time.Second, false, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			ok, after := c.load.admit(c.timeLeft)
			if ok != c.ok || (after-c.after).Abs() > time.Microsecond {
				t.Errorf("admit returned %v, %s; want %v, %s", ok, after, c.ok, c.after)
			}
		})
	}
}

// Answers the load of downloads that ask for 1.4 times what the link carries. Guards
// against a link on which every answer is late, because all share it.
func TestOverloadedLinkKeepsAdmittedAnswersInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			target   = 800 * time.Millisecond
			service  = 200 * time.Millisecond
			size     = 90_000
			requests = 300
			overload = 1.4
		)
		l, random := New(testRate), rand.New(rand.NewPCG(1, 2))
		gap := size / (testRate * pacedRatio) / overload // seconds
		var mu sync.Mutex
		var wg sync.WaitGroup
		admitted, inTime := 0, 0
		for range requests {
			time.Sleep(time.Duration(random.ExpFloat64() * gap * float64(time.Second)))
			if ok, _ := l.Admit(target); !ok {
				continue
			}
			admitted++
			r, started := l.Reserve(time.Now()), time.Now()
			wg.Go(func() {
				time.Sleep(service)
				r.Begin(time.Now(), size)
				b := l.Pace(t.Context(), body(size), size)
				defer b.Close()
				_, _ = io.Copy(io.Discard, b)
				mu.Lock()
				defer mu.Unlock()
				if time.Since(started) <= target {
					inTime++
				}
			})
		}
		wg.Wait()
		t.Logf("of %d requests %d were admitted and %d of them answered in time", requests, admitted, inTime)
		if admitted < requests*60/100 || inTime < admitted*90/100 {
			t.Errorf("of %d requests %d were admitted and %d of them answered in time; want at least 60%% and 90%%", requests, admitted, inTime)
		}
	})
}
