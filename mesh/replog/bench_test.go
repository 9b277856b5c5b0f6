package replog

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamtrail.org/mesh/replog/wal"
)

// benchPayload is the size of a proposal in bytes, similar to a small command.
const benchPayload = 200

// report adds p50 and p99 latency in microseconds and operations per second.
func report(b *testing.B, h *hdrhistogram.Histogram, elapsed time.Duration) {
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(float64(h.TotalCount())/elapsed.Seconds(), "ops/s")
	b.ReportMetric(0, "ns/op")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// BenchmarkSyncedWrite is the baseline: a single writer appends and syncs one
// record at a time.
func BenchmarkSyncedWrite(b *testing.B) {
	w, err := wal.Open(wal.OS{}, b.TempDir(), 1<<30, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	h, start := newHistogram(), time.Now()
	for b.Loop() {
		t := time.Now()
		if err := w.Write(make([]byte, benchPayload)); err != nil {
			b.Fatal(err)
		}
		if err := w.Sync(); err != nil {
			b.Fatal(err)
		}
		_ = h.RecordValue(time.Since(t).Microseconds())
	}
	report(b, h, time.Since(start))
}

// BenchmarkPropose measures committed proposals on three hosts in one process,
// each with its own directory on the same disk.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			n := newNetwork(b)
			var logs []*Log
			for _, h := range threeHosts {
				cfg := Config{Self: h, Dir: filepath.Join(b.TempDir(), string(h)), Voters: threeHosts}
				logs = append(logs, n.open(b, cfg, discardMachine{}))
			}
			leader := waitLeader(b, logs...)
			benchPropose(b, leader, callers)
		})
	}
}

func benchPropose(b *testing.B, leader *Log, callers int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	all, start := newHistogram(), time.Now()
	b.ResetTimer()
	for i := range callers {
		count := b.N / callers
		if i < b.N%callers {
			count++
		}
		wg.Go(func() {
			h := newHistogram()
			for range count {
				t := time.Now()
				if _, err := leader.Propose(context.Background(), make([]byte, benchPayload)); err != nil {
					b.Error(err)
					return
				}
				_ = h.RecordValue(time.Since(t).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			all.Merge(h)
		})
	}
	wg.Wait()
	report(b, all, time.Since(start))
}

// discardMachine is a state machine without state.
type discardMachine struct{}

func (discardMachine) Apply(Entry) any           { return nil }
func (discardMachine) Snapshot() ([]byte, error) { return nil, nil }
func (discardMachine) Restore([]byte) error      { return nil }
