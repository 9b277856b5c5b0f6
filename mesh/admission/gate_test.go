package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

// warmGate returns a gate whose limit has grown to 2.
func warmGate() *Gate {
	g := NewGate(Config{Service: ledger})
	g.sched.limiter.limit, g.sched.limiter.successes = 2, 1000
	return g
}

// reasonOf returns the reason of a *NotRun; empty for other errors.
func reasonOf(err error) Reason {
	var n *NotRun
	if errors.As(err, &n) {
		return n.Reason
	}
	return ""
}

// Guards against more concurrent requests at the backend server than its slots, and
// against waiters that are never served.
func TestGateBoundsConcurrency(t *testing.T) {
	invariant.SetFatal(true)
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Config{Service: ledger})
		var mu sync.Mutex
		var wg sync.WaitGroup
		active, served := 0, 0
		for range 2000 {
			time.Sleep(time.Millisecond)
			wg.Go(func() {
				release, err := g.Acquire(t.Context(), Request{Kind: model.KindLookup})
				if err != nil {
					return
				}
				mu.Lock()
				if active++; active > 20 {
					t.Errorf("%d concurrent requests, want at most 20", active)
				}
				served++
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				active--
				mu.Unlock()
				release(Outcome{Result: ResultOK})
				release(Outcome{Result: ResultOK})
			})
		}
		wg.Wait()
		if in, queued := g.Load(); in != 0 || queued != 0 || served < 1900 {
			t.Fatalf("%d running, %d queued, %d served", in, queued, served)
		}
	})
}

// Guards against slots that leak when a waiter expires or is cancelled, and against
// waits longer than the queue timeout.
func TestGateFreesSlotsOfWaitersThatExpireOrAreCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		first, _ := g.Acquire(t.Context(), Request{Kind: model.KindWrite})
		second, _ := g.Acquire(t.Context(), Request{Kind: model.KindWrite})
		began := time.Now()
		if _, err := g.Acquire(t.Context(), Request{Kind: model.KindWrite}); reasonOf(err) != ReasonStale {
			t.Fatalf("waiter at its queue timeout: %v", err)
		}
		if waited := time.Since(began); waited != ledger.QueueTimeout {
			t.Fatalf("waited %s", waited)
		}
		// The waiter is cancelled at the moment at which a slot becomes free. Cancelled
		// outcomes keep the limit at 2.
		for range 20 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			held := first
			time.AfterFunc(time.Millisecond, func() { held(Outcome{Result: ResultCancelled}) })
			if release, err := g.Acquire(ctx, Request{Kind: model.KindWrite}); err == nil {
				release(Outcome{Result: ResultCancelled})
			}
			synctest.Wait()
			first, _ = g.Acquire(t.Context(), Request{Kind: model.KindWrite})
			cancel()
		}
		first(Outcome{Result: ResultOK})
		second(Outcome{Result: ResultOK})
		if in, queued := g.Load(); in != 0 || queued != 0 {
			t.Fatalf("%d running, %d queued", in, queued)
		}
	})
}

// Guards against a shutdown that does not wait for running requests.
func TestGateWaitIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := warmGate()
		release, _ := g.Acquire(t.Context(), Request{Kind: model.KindWrite})
		g.Drain()
		if _, err := g.Acquire(t.Context(), Request{Kind: model.KindUrgent}); reasonOf(err) != ReasonDraining {
			t.Fatalf("request while draining: %v", err)
		}
		time.AfterFunc(3*time.Second, func() { release(Outcome{Result: ResultOK}) })
		began := time.Now()
		if err := g.WaitIdle(t.Context()); err != nil || time.Since(began) != 3*time.Second {
			t.Fatalf("idle after %s: %v", time.Since(began), err)
		}
	})
}

// BenchmarkAcquire measures a request that gets a slot at once.
func BenchmarkAcquire(b *testing.B) {
	g := warmGate()
	for b.Loop() {
		release, err := g.Acquire(b.Context(), Request{Kind: model.KindLookup, Route: "r"})
		if err != nil {
			b.Fatal(err)
		}
		release(Outcome{Result: ResultOK, Latency: time.Millisecond})
	}
}
