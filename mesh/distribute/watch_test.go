package distribute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

// countingStream counts the frames that its owner received.
type countingStream struct {
	peer.Stream
	frames *atomic.Int64
}

func (c countingStream) Recv(v any) error {
	c.frames.Add(1)
	return c.Stream.Recv(v)
}

// startWatch starts a source and one child that follows it.
func startWatch(t *testing.T, o func(*FollowOptions)) (source, child *process, done chan error, frames *atomic.Int64) {
	source, child = newProcess(sourceIdentity), newProcess(nodeIdentity("n1"))
	source.keepFresh(t.Context())
	frames, done = &atomic.Int64{}, make(chan error, 1)
	opts := child.follow()
	if o != nil {
		o(&opts)
	}
	st := countingStream{source.open(t.Context(), child.id), frames}
	go func() { done <- Follow(t.Context(), child.a, child.eps, st, opts) }()
	return source, child, done, frames
}

func publish(t *testing.T, p *process, i uint64, c note.Config) {
	t.Helper()
	if err := p.store.Publish(positionAt(i), c); err != nil {
		t.Fatal(err)
	}
}

func expectPosition(t *testing.T, p *process, want uint64) {
	t.Helper()
	if got := p.a.Position(); got != positionAt(want) {
		t.Fatalf("%s is at %s, want %s", p.id.Host, got, positionAt(want))
	}
}

// TestWatchBurst guards against a burst that costs a frame for each change, and
// against a single change that waits for the rate limiter.
func TestWatchBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, frames := startWatch(t, nil)
		source.eps.Merge(servingAnnouncement("n2", "ledger", 1))
		time.Sleep(time.Second)
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(2 * pushBatchDelay)
		expectPosition(t, child, 1)
		before := frames.Load()
		for i := range uint64(500) {
			publish(t, source, i+2, configOf(route("r", "ledger", int(i%3)), route(fmt.Sprintf("r%d", i%50), "ledger", 0)))
			source.eps.Merge(servingAnnouncement("n2", "ledger", i+2))
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(pushTokenInterval)
		expectPosition(t, child, 501)
		if n := frames.Load() - before; n > 30 {
			t.Fatalf("500 changes of each kind in a second took %d frames", n)
		}
		if !child.eps.HasAlive("ledger") || child.eps.Digest() != source.eps.Digest() {
			t.Fatal("endpoint tables differ")
		}
		if r := source.serve.Subtree.Report(); r.Nodes != 1 {
			t.Fatalf("report %+v", r)
		}
		time.Sleep(ReportInterval)
		if r := source.serve.Subtree.Report(); r.LowestPosition != positionAt(501) {
			t.Fatalf("lowest position %s", r.LowestPosition)
		}
	})
}

// TestWatchRefusal guards against a refused version that ends the stream, is
// not reported to the source, or keeps the child from accepting the next
// version.
func TestWatchRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, _ := startWatch(t, nil)
		source.eps.Merge(servingAnnouncement("n2", "ledger", 1))
		good := configOf(route("r", "ledger", 0))
		publish(t, source, 1, good)
		time.Sleep(time.Second)
		bad := configOf(route("r", "ledger", 0))
		bad.Routes["r"] = note.Route{Name: "r", Service: "ledger"}
		publish(t, source, 2, bad)
		time.Sleep(2 * ReportInterval)
		expectPosition(t, child, 1)
		r := source.serve.Subtree.Report()
		if len(r.Refusals) != 1 || r.Refusals[0].Position != positionAt(2) || r.Refusals[0].Host != "n1" {
			t.Fatalf("refusals %+v", r.Refusals)
		}
		publish(t, source, 3, configOf(route("r", "ledger", 1)))
		time.Sleep(2 * ReportInterval)
		expectPosition(t, child, 3)
		if r := source.serve.Subtree.Report(); len(r.Refusals) != 0 {
			t.Fatalf("refusals %+v", r.Refusals)
		}
	})
}

// TestWatchDiverged guards against a child that stays behind, or repeats its
// request forever, when a step of the parent's history does not lead from the
// child's version to the parent's.
func TestWatchDiverged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, frames := startWatch(t, nil)
		source.eps.Merge(servingAnnouncement("n2", "ledger", 1))
		base, changed := configOf(route("r", "ledger", 0)), configOf(route("r", "ledger", 1))
		// The source goes from 1 to 3 in one step and reverts the change that
		// the child has at 2.
		publish(t, source, 1, base)
		publish(t, source, 3, configOf(route("r", "ledger", 0), route("q", "ledger", 0)))
		middle := NewStore()
		if err := middle.Publish(positionAt(2), changed); err != nil {
			t.Fatal(err)
		}
		if err := child.a.acceptVersion(middle.Current()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		expectPosition(t, child, 3)
		if !sameConfig(child.store.Current().Config, source.store.Current().Config) {
			t.Fatal("configurations differ")
		}
		if n := frames.Load(); n > 10 {
			t.Fatalf("repair took %d frames", n)
		}
	})
}

// TestWatchSnapshot guards against a child that is too far behind for deltas
// and gets no snapshot, against a transfer slot that is never freed, and
// against a child that waits for a slot without limit.
func TestWatchSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, _ := startWatch(t, nil)
		publish(t, source, 1, largeConfig(3000))
		publish(t, source, 2, largeConfig(3001))
		time.Sleep(time.Second)
		expectPosition(t, child, 2)
		for range maxSnapshots {
			if !source.serve.Admission.BeginSnapshot() {
				t.Fatal("a transfer slot was not freed")
			}
		}
		late := newProcess(nodeIdentity("n2"))
		start := time.Now()
		err := Follow(t.Context(), late.a, late.eps, source.open(t.Context(), late.id), late.follow())
		var busy *BusyError
		if !errors.As(err, &busy) || busy.RetryAfter <= 0 || time.Since(start) > 2*snapshotWait {
			t.Fatalf("without a free slot: %v after %s", err, time.Since(start))
		}
	})
}

// TestWatchSubscription guards against a subscribed child that is sent
// endpoints of other services, and against a host that has left a subscribed
// service and still counts there.
func TestWatchSubscription(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, _ := startWatch(t, func(o *FollowOptions) { o.Services = []model.ServiceName{"ledger"} })
		source.eps.MergeAll([]membership.Announcement{servingAnnouncement("a", "ledger", 1), servingAnnouncement("b", "roster", 1)})
		time.Sleep(time.Second)
		source.eps.Merge(servingAnnouncement("a", "roster", 2))
		time.Sleep(time.Second)
		if got := child.eps.All(); len(got) != 1 || got[0] != servingAnnouncement("a", "roster", 2) {
			t.Fatalf("child has %v", got)
		}
	})
}

// TestWatchParentLost guards against a child that stays with an unresponsive or
// stale parent, and against a cursor or digest with which a returning child
// misses records or receives them again.
func TestWatchParentLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		child := newProcess(nodeIdentity("n1"))
		clientEnd, _ := peer.Pipe(child.id, sourceIdentity)
		start := time.Now()
		err := Follow(t.Context(), child.a, child.eps, clientEnd, child.follow())
		if !errors.Is(err, ErrTimeout) || time.Since(start) > time.Second {
			t.Fatalf("unresponsive parent: %v after %s", err, time.Since(start))
		}
		clientEnd, _ = peer.Pipe(child.id, sourceIdentity)
		longTimeout := child.follow()
		longTimeout.HeartbeatTimeout = 5 * time.Second
		start = time.Now()
		err = Follow(t.Context(), child.a, child.eps, clientEnd, longTimeout)
		if !errors.Is(err, ErrTimeout) || time.Since(start) != longTimeout.HeartbeatTimeout {
			t.Fatalf("unresponsive parent with a timeout of %s: %v after %s", longTimeout.HeartbeatTimeout, err, time.Since(start))
		}
		stale := newProcess(sourceIdentity)
		stale.serve.Freshness.RecordContact(time.Now(), 0)
		for i := range 300 {
			stale.eps.Merge(servingAnnouncement(fmt.Sprintf("h%d", i), "ledger", 1))
		}
		opts := child.follow()
		opts.StaleTimeout = initialStaleTimeout
		start = time.Now()
		err = Follow(t.Context(), child.a, child.eps, stale.open(t.Context(), child.id), opts)
		if !errors.Is(err, ErrStale) || time.Since(start) > staleLimit+2*initialStaleTimeout {
			t.Fatalf("stale parent: %v after %s", err, time.Since(start))
		}
		if child.eps.Digest() != stale.eps.Digest() {
			t.Fatal("tables differ")
		}
		// The next parent has one more record and finds it by comparing
		// digests.
		other := newProcess(sourceIdentity)
		other.eps.MergeAll(append(stale.eps.All(), servingAnnouncement("new", "ledger", 1)))
		ctx, cancel := context.WithCancel(t.Context())
		opts.StaleTimeout = 0
		seq := child.eps.Sequence()
		done := make(chan error, 1)
		go func() { done <- Follow(ctx, child.a, child.eps, other.open(ctx, child.id), opts) }()
		time.Sleep(time.Second)
		cancel()
		<-done
		if child.eps.Sequence() != seq+1 {
			t.Fatalf("%d records merged", child.eps.Sequence()-seq)
		}
	})
}

// TestHeartbeatAges guards against a source age at the end of a chain of
// parents that stays low after contact with the source is lost, or rises while
// there is contact.
func TestHeartbeatAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stopSource := context.WithCancel(t.Context())
		parent := newProcess(sourceIdentity)
		parent.keepFresh(ctx)
		var last *process
		for i := range 4 {
			last = newProcess(nodeIdentity(fmt.Sprintf("n%d", i)))
			go func(p, c *process) {
				_ = Follow(t.Context(), c.a, c.eps, p.open(t.Context(), c.id), c.follow())
			}(parent, last)
			parent = last
		}
		time.Sleep(5 * time.Second)
		if age := last.serve.Freshness.Age(time.Now()); age > staleLimit {
			t.Fatalf("age %s at level 4 while there is contact with the source", age)
		}
		stopSource()
		time.Sleep(10 * time.Second)
		if age := last.serve.Freshness.Age(time.Now()); age < 9*time.Second {
			t.Fatalf("age %s after 10 s without contact", age)
		}
	})
}

// TestReportsOmitEqualRefusals guards against reports that repeat a kilobyte of
// refusals each second, and against a source that loses the refusals that a
// report leaves out.
func TestReportsOmitEqualRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, child, _, _ := startWatch(t, nil)
		publish(t, source, 1, largeConfig(100))
		time.Sleep(10 * ReportInterval)
		if r := source.serve.Subtree.Report(); len(r.Refusals) != maxRefusals || r.SameRefusals {
			t.Fatalf("%d refusals at the source", len(r.Refusals))
		}
		child.eps.Merge(servingAnnouncement("n2", "ledger", 1))
		child.a.ReleaseHeldRoutes()
		time.Sleep(2 * ReportInterval)
		if r := source.serve.Subtree.Report(); len(r.Refusals) != 0 || r.Held != 0 {
			t.Fatalf("%+v", r)
		}
	})
}

// TestReportsReachTheSource guards against a report delay of a second for each
// level before the leader learns that a version is in force everywhere.
func TestReportsReachTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newProcess(sourceIdentity)
		source.keepFresh(t.Context())
		parent := source
		for i := range 6 {
			c := newProcess(nodeIdentity(fmt.Sprintf("n%d", i)))
			go func(p *process) { _ = Follow(t.Context(), c.a, c.eps, p.open(t.Context(), c.id), c.follow()) }(parent)
			parent = c
		}
		time.Sleep(10 * time.Second)
		publish(t, source, 1, configOf(route("r", "ledger", 0)))
		time.Sleep(1500 * time.Millisecond)
		if r := source.serve.Subtree.Report(); r.LowestPosition != positionAt(1) || r.Nodes != 6 {
			t.Fatalf("%+v", r)
		}
	})
}

// TestSubtreeReport guards against a subtree without nodes that lowers the
// lowest position, and against an unbounded report.
func TestSubtreeReport(t *testing.T) {
	many := slices.Repeat([]Refusal{{Host: "n1", Reason: strings.Repeat("x", maxReason)}}, maxRefusals)
	got := mergeReports([]SubtreeReport{{}, {LowestPosition: positionAt(5), Nodes: 2, Held: 1, Refusals: many}, {LowestPosition: positionAt(3), Nodes: 1, Refusals: many}})
	if got.LowestPosition != positionAt(3) || got.Nodes != 3 || got.Held != 1 || len(got.Refusals) != maxRefusals {
		t.Fatalf("%+v", got)
	}
}
