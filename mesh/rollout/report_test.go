package rollout

import (
	"bytes"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2/dsl/core"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/model"
)

func observation(version model.ServiceVersion, o CallOutcome) Observation {
	return Observation{Service: "ledger", Version: version, Route: "lookup", Kind: model.KindLookup, DataCentre: "thun",
		ServerAge: time.Hour, Outcome: o, Latency: fastLatency}
}

var _ = Describe("Recorder", func() {
	var r *Recorder
	BeforeEach(func() {
		r = NewRecorder("n1", 1)
		r.Watch([]Status{{Move: moveTo(1, 1, "v2"), From: "v1"}})
	})
	record := func(now time.Time, n int, version model.ServiceVersion, o CallOutcome) {
		for range n {
			r.Record(now, observation(version, o))
		}
	}

	It("counts by outcome, separately for cold backend servers, and resets the counters on a flush", func() {
		record(t0, 3, "v1", CallOK)
		record(t0, 2, "v1", CallError)
		record(t0, 4, "v1", CallRefused)
		record(t0, 5, "v1", CallUnreachable)
		cold := observation("v1", CallOK)
		cold.ServerAge = time.Second
		r.Record(t0, cold)
		other := cold
		other.Service = "unwatched"
		r.Record(t0, other)
		out := r.Flush()
		Expect(out.Cells).To(HaveLen(2))
		n := out.Cells[0].Counts
		Expect([]uint64{n.Calls, n.Errors, n.Refused, n.Unreachable}).To(Equal([]uint64{5, 2, 4, 5}))
		Expect(n.Latency[LatencyBucketOf(fastLatency)]).To(BeEquivalentTo(5))
		Expect(out.Cells[1].Key.Cold).To(BeTrue())
		Expect(r.Flush().Cells).To(BeEmpty())
	})

	It("stops a version locally on strong evidence, for a limited time", func() {
		record(t0, 20, "v1", CallOK)
		record(t0, 7, "v2", CallError)
		Expect(r.Stopped(t0, "ledger", "v2")).To(BeFalse())
		record(t0, 1, "v2", CallError)
		Expect(r.Stopped(t0, "ledger", "v2")).To(BeTrue())
		Expect(r.Stopped(t0, "ledger", "v1")).To(BeFalse())
		Expect(r.Stopped(at(stopDuration), "ledger", "v2")).To(BeFalse())
	})

	It("does not stop a version on a common failure, on refusals or on isolated errors", func() {
		record(t0, 20, "v1", CallError)
		record(t0, 20, "v2", CallError)
		Expect(r.Stopped(t0, "ledger", "v2")).To(BeFalse())
		record(at(time.Minute), 50, "v1", CallOK)
		record(at(time.Minute), 50, "v2", CallRefused)
		for i := range 40 {
			record(at(time.Minute+time.Duration(i)*3*time.Second), 1, "v2", CallError)
		}
		Expect(r.Stopped(at(3*time.Minute), "ledger", "v2")).To(BeFalse())
	})

	It("ends a local stop with its move", func() {
		record(t0, 20, "v1", CallOK)
		record(t0, 8, "v2", CallError)
		r.Watch([]Status{{Move: moveTo(1, 2, "v3"), From: "v1"}})
		Expect(r.Stopped(t0, "ledger", "v2")).To(BeFalse())
	})

	It("assigns latencies to buckets", func() {
		Expect(LatencyBucketOf(0)).To(BeZero())
		Expect(LatencyBucketOf(time.Hour)).To(Equal(LatencyBuckets - 1))
		Expect(LatencyBucketOf(latencyBounds[3])).To(Equal(3))
		Expect(LatencyBucketOf(latencyBounds[3] + 1)).To(Equal(4))
	})
})

// Guards against totals that depend on the order in which reports are merged.
func TestMergeAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var merged Report
		want := map[Key]uint64{}
		for range rapid.IntRange(1, 6).Draw(t, "reports") {
			one := Report{Nodes: 1}
			for _, v := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 5, rapid.ID).Draw(t, "cells") {
				k := Key{Service: "ledger", Route: model.RouteName(rune('a' + v)), Cold: v%2 == 0}
				n := rapid.Uint64Range(1, 100).Draw(t, "calls")
				one.Cells = append(one.Cells, Cell{Key: k, Counts: Counts{Calls: n}})
				want[k] += n
			}
			if rapid.Bool().Draw(t, "side") {
				merged, one = one, merged
			}
			merged.Merge(one)
		}
		got := map[Key]uint64{}
		for _, c := range merged.Cells {
			got[c.Key] += c.Counts.Calls
		}
		if len(got) != len(merged.Cells) || !maps.Equal(got, want) {
			t.Fatalf("%d cells sum up to %v, want %v", len(merged.Cells), got, want)
		}
	})
}

// Guards against a malformed log entry that makes the apply loop panic.
func FuzzCommand(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		m := newMachine()
		m.do(startOf(moveTo(1, 1, "v2")))
		m.raiseTo(500)
		c, err := DecodeCommand(b)
		if err != nil || c.Op == OpStep && c.Share > MaxNextShare(m.status(1), c.Summary) {
			return // a step above its bound violates an invariant on purpose
		}
		m.do(c)
		snap, err := m.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(snap); err != nil {
			t.Fatalf("state after %+v does not restore: %v", c, err)
		}
	})
}

// Guards against a damaged snapshot that panics or restores to a different state.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s, r := NewState(), NewState()
		if s.Restore(b) != nil {
			return
		}
		first, _ := s.Snapshot()
		if err := r.Restore(first); err != nil {
			t.Fatal(err)
		}
		if second, _ := r.Snapshot(); !bytes.Equal(first, second) {
			t.Fatal("snapshot changes when it is restored")
		}
	})
}

// Guards against a panic on counters from the network that overflow or are inconsistent.
func FuzzReport(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Report
		if decMode.Unmarshal(b, &r) != nil {
			return
		}
		l := NewLeader(nil)
		m := newMachine()
		m.do(startOf(moveTo(1, 1, "v2")))
		capacity := func(model.ServiceName) Capacity { return warmCapacity }
		l.Tick(t0, m.Active(), 1, capacity)
		l.Report(t0, r)
		l.Tick(at(maxWindowLength), m.Active(), 1, capacity)
	})
}
