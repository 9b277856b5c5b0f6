package fleet

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/mesh/peer"
)

var (
	measure        = flag.Bool("measure", false, "run the measurements over real sockets")
	measureNodes   = flag.String("measure.nodes", "50", "fleet sizes, separated by commas")
	measureModes   = flag.String("measure.modes", "tree,poll,push", "ways of distribution to compare")
	measureChanges = flag.Int("measure.changes", 20, "number of published changes")
	measureGap     = flag.Duration("measure.gap", 150*time.Millisecond, "time between two changes")
	measureHerd    = flag.Bool("measure.herd", false, "measure the restart of all nodes instead of changes")
)

// measureIdle is how long the traffic without changes is measured.
const measureIdle = 3 * time.Second

// TestMeasure compares the tree with the two baselines. It runs only with
// -measure and fails only if a fleet does not converge.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("runs with -measure only")
	}
	for size := range strings.SplitSeq(*measureNodes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for mode := range strings.SplitSeq(*measureModes, ",") {
			t.Run(fmt.Sprintf("%s-%d", mode, n), func(t *testing.T) {
				if *measureHerd {
					measureRestart(t, mode, n)
				} else {
					measureConvergence(t, mode, n)
				}
			})
		}
	}
}

func publish(t *testing.T, f *Fleet, index uint64) {
	t.Helper()
	if err := f.Publish(index, Config(int(index))); err != nil {
		t.Fatal(err)
	}
}

func startConverged(t *testing.T, mode string, n int) *Fleet {
	f, err := New(t.Context(), t.TempDir(), Mode(mode), n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Wait)
	publish(t, f, 1)
	if missing := f.waitAll(position(1), 20*time.Second); missing > 0 {
		t.Fatalf("%d of %d nodes got no version", missing, n)
	}
	time.Sleep(2 * time.Second)
	return f
}

func measureConvergence(t *testing.T, mode string, n int) {
	f := startConverged(t, mode, n)
	idle := f.traffic()
	time.Sleep(measureIdle)
	idleCost := f.traffic().minus(idle)
	start, began := f.traffic(), time.Now()
	published := map[uint64]time.Time{}
	for i := range uint64(*measureChanges) {
		published[i+2] = time.Now()
		publish(t, f, i+2)
		time.Sleep(*measureGap)
	}
	if missing := f.waitAll(position(uint64(*measureChanges)+1), 10*time.Second); missing > 0 {
		t.Errorf("%d of %d nodes did not converge", missing, n)
	}
	took := time.Since(began)
	cost := f.traffic().minus(start)
	var times []time.Duration
	for i, when := range published {
		for _, node := range f.Nodes {
			if reached, ok := node.reachedAt(position(i)); ok {
				times = append(times, reached.Sub(when))
			}
		}
	}
	t.Logf("%s nodes=%d convergence %s", mode, n, quantiles(times))
	t.Logf("%s nodes=%d changes: node %.0f B/s in frames; source %d frames, %d bytes for %d changes; loopback %.0f B/s a node",
		mode, n, perNode(cost.all, n, took), cost.frames, cost.bytes, *measureChanges, perNode(cost.loopback, n, took))
	t.Logf("%s nodes=%d idle: node %.0f B/s in frames; source %.1f frames/s, %.0f B/s; loopback %.0f B/s, %.1f packets/s a node",
		mode, n, perNode(idleCost.all, n, measureIdle), float64(idleCost.frames)/measureIdle.Seconds(),
		float64(idleCost.bytes)/measureIdle.Seconds(), perNode(idleCost.loopback, n, measureIdle), perNode(idleCost.packets, n, measureIdle))
	if mode == "tree" {
		r := f.source.serve.Subtree.Report()
		t.Logf("tree nodes=%d source children %d, reported nodes %d at %s", n, f.source.serve.Admission.Children(), r.Nodes, r.LowestPosition)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.Logf("%s nodes=%d process memory %d MB", mode, n, m.Sys>>20)
}

// measureRestart stops all nodes and starts them again without state within a
// second.
func measureRestart(t *testing.T, mode string, n int) {
	f := startConverged(t, mode, n)
	for _, node := range f.Nodes {
		node.cancel()
	}
	for _, node := range f.Nodes {
		node.done.Wait()
	}
	start, began := f.traffic(), time.Now()
	starts := make([]time.Time, n)
	for i := range f.Nodes {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(n))))
		starts[i] = time.Now()
		node, err := f.StartNode(i)
		if err != nil {
			t.Fatal(err)
		}
		f.Nodes[i] = node
	}
	missing := f.waitAll(position(1), 20*time.Second)
	var times []time.Duration
	for i, node := range f.Nodes {
		if reached, ok := node.reachedAt(position(1)); ok {
			times = append(times, reached.Sub(starts[i]))
		}
	}
	tablesEqualAfter := time.Duration(0)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && tablesEqualAfter == 0; time.Sleep(10 * time.Millisecond) {
		d := f.source.eps.Digest()
		if !slices.ContainsFunc(f.Nodes, func(node *Node) bool { return node.eps.Digest() != d }) {
			tablesEqualAfter = time.Since(began)
		}
	}
	cost := f.traffic().minus(start)
	t.Logf("%s nodes=%d herd: version after start %s; missing %d", mode, n, quantiles(times), missing)
	if tablesEqualAfter > 0 { // the baselines send endpoints only with a new version
		t.Logf("%s nodes=%d herd: all endpoint tables equal after %s", mode, n, tablesEqualAfter)
	}
	t.Logf("%s nodes=%d herd: source %d frames, %d bytes; %d bytes of frames a node", mode, n, cost.frames, cost.bytes, cost.all/int64(n))
}

// trafficTotals are running totals: the bytes in frames sent by all processes,
// the frames and bytes sent by the source, and the bytes and packets on the
// loopback interface.
type trafficTotals struct{ all, frames, bytes, loopback, packets int64 }

func (f *Fleet) traffic() trafficTotals {
	sent, _ := peer.Traffic()
	lo, packets := loopback()
	return trafficTotals{sent, f.frames.Load(), f.bytes.Load(), lo, packets}
}

func (c trafficTotals) minus(d trafficTotals) trafficTotals {
	return trafficTotals{c.all - d.all, c.frames - d.frames, c.bytes - d.bytes, c.loopback - d.loopback, c.packets - d.packets}
}

func perNode(total int64, n int, d time.Duration) float64 {
	return float64(total) / float64(n) / d.Seconds()
}

func quantiles(times []time.Duration) string {
	if len(times) == 0 {
		return "no samples"
	}
	slices.Sort(times)
	q := func(p float64) time.Duration {
		return times[min(len(times)-1, int(p*float64(len(times))))].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s p99 %s max %s", q(0.5), q(0.99), q(1))
}

// loopback returns the bytes and packets that the machine has transferred over
// the loopback interface.
func loopback() (bytes, packets int64) {
	b, _ := os.ReadFile("/proc/net/dev")
	for line := range strings.Lines(string(b)) {
		if name, rest, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(name) == "lo" {
			_, _ = fmt.Sscan(rest, &bytes, &packets)
		}
	}
	return bytes, packets
}
