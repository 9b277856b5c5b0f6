package operator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestWatchMove guards against a long poll that misses a change, answers before a
// change or its timeout, or never ends.
func TestWatchMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := newFake()
		s := NewService(backend, 25*time.Second)
		start := time.Now()
		watch := func(seen uint64) (MoveView, time.Duration) {
			before := time.Now()
			a, err := s.WatchMove(context.Background(), "ledger", seen)
			if err != nil {
				t.Fatal(err)
			}
			return a.Move, time.Since(before)
		}
		if _, took := watch(0); took != 0 {
			t.Errorf("a long poll with an outdated sequence took %s", took)
		}
		if m, took := watch(1); took != 25*time.Second || m.Sequence != 1 {
			t.Errorf("without a change: answered sequence %d after %s", m.Sequence, took)
		}
		go func() {
			time.Sleep(3 * time.Second)
			backend.advance(MoveMoving)
		}()
		if m, took := watch(1); took != 3*time.Second || m.State != MoveMoving {
			t.Errorf("with a change: answered state %s after %s", m.State, took)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := s.WatchMove(ctx, "ledger", 2); err == nil {
			t.Error("a long poll whose client disconnected was answered")
		}
		s.Close()
		if _, took := watch(2); took != 0 {
			t.Errorf("a long poll during the shutdown took %s", took)
		}
		if time.Since(start) != 29*time.Second {
			t.Errorf("all long polls together took %s", time.Since(start))
		}
	})
}
