package experiment

import (
	"cmp"
	"io"
	"slices"
	"strconv"
	"time"

	"balsamtrail.org/bench/demo"
)

const (
	// latencyServiceTime is the time that a stand-in takes for one request.
	latencyServiceTime = time.Millisecond
	// openRatePerEntry is the open-loop rate at each entry node or proxy, in calls/s.
	openRatePerEntry = 100.0
	// closedCallers is the number of concurrent callers of the closed loop.
	closedCallers = 20
	// openRounds is the number of open-loop rounds. Many short rounds are run and their
	// median is reported, so that a burst of load from other programs affects few of them.
	openRounds = 48
	// closedRounds is the number of closed-loop rounds.
	closedRounds = 20
	// openRoundDuration is the length of an open-loop round of one variant.
	openRoundDuration = 500 * time.Millisecond
	// closedRoundDuration is the length of a closed-loop round of one variant.
	closedRoundDuration = 500 * time.Millisecond
	// targetAddedP99Ms is the target for the 99th percentile of the added latency, in
	// milliseconds.
	targetAddedP99Ms = 1.3
	// direct is the system name of calls that go straight to the stand-ins.
	direct = "direct"
)

// LatencyRow holds the latencies of one system under one load. Added latencies are
// relative to direct calls in the same rounds.
type LatencyRow struct {
	System string  `json:"system"`
	Load   string  `json:"load"`
	Calls  int64   `json:"calls"`
	Failed int64   `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	// AddedP50 and AddedP99 are differences of the quantiles over all rounds.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// RoundP99 is the median of the added 99th percentiles of the rounds, RoundMin and
	// RoundMax are the lowest and the highest of them.
	RoundP99 float64 `json:"added_p99_round_median_ms"`
	RoundMin float64 `json:"added_p99_round_min_ms"`
	RoundMax float64 `json:"added_p99_round_max_ms"`
	// QuietP99 is the same median over the quarter of the rounds in which direct calls
	// had the lowest 99th percentile, that is, when the machine was least busy.
	QuietP99 float64 `json:"added_p99_quiet_rounds_ms"`
	PerSec   float64 `json:"calls_per_second"`
}

// CoreRow holds the processor time of one side over the whole run.
type CoreRow struct {
	System    string  `json:"system"`
	Processes int     `json:"processes"`
	Calls     int64   `json:"calls"`
	CPU       float64 `json:"cpu_seconds"`
	PerCore   float64 `json:"calls_per_core_second"`
}

// LatencyResult holds the figures of the latency experiment.
type LatencyResult struct {
	Size   string       `json:"size"`
	Target float64      `json:"target_added_p99_ms"`
	Rows   []LatencyRow `json:"rows"`
	Cores  []CoreRow    `json:"cores"`
}

// WriteTable writes a table of latencies and one of processor time.
func (r *LatencyResult) WriteTable(w io.Writer) error {
	t := newTable(w, "system\tload\tcalls\tfailed\tcalls/s\tp50 ms\tp99 ms\tadded p50\tadded p99\tadded p99 by round: median (min..max)\tquiet rounds")
	for _, x := range r.Rows {
		t.row("%s\t%s\t%d\t%d\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f (%.2f..%.2f)\t%.2f", x.System, x.Load, x.Calls, x.Failed, x.PerSec,
			x.P50, x.P99, x.AddedP50, x.AddedP99, x.RoundP99, x.RoundMin, x.RoundMax, x.QuietP99)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w, "system\tprocesses\tcalls\tprocessor s\tcalls per core second")
	for _, x := range r.Cores {
		t.row("%s\t%d\t%d\t%.1f\t%.0f", x.System, x.Processes, x.Calls, x.CPU, x.PerCore)
	}
	return t.flush()
}

// variant is one of the three compared ways to reach a stand-in: directly, through
// the product or through the baseline.
type variant struct {
	name    string
	targets []string
	samples *samples
}

// Latency measures the latency that the product and the baseline add to direct calls,
// in interleaved rounds.
func Latency(o Options) (Result, error) {
	s, err := startSystem(o, setup{
		latency: latencyServiceTime, timeouts: Timeouts{Lookup: time.Second, Write: 2 * time.Second, Urgent: time.Second},
		queueTimeout: 200 * time.Millisecond, warm: true, proxies: len(o.Size.specs(nil)),
	})
	if err != nil {
		return nil, err
	}
	defer s.kill()
	first := o.Size.Services[0]
	l := lookup{string(first.Name), o.Size.Routes[0].Prefix + "/7"}
	res := &LatencyResult{Size: o.Size.Name, Target: targetAddedP99Ms}
	d := newDriver()
	warmUp := s.variants(first)
	runInterleaved(warmUp, 1, func(x *variant) { d.closedLoop(x.targets, l, closedCallers, closedRoundDuration, x.samples) })
	s.logf("warm; open loop at %.0f calls/s an entry", openRatePerEntry)
	open := s.variants(first)
	runInterleaved(open, openRounds, func(x *variant) {
		// All variants get the same total rate, over different numbers of targets.
		rate := openRatePerEntry * float64(len(s.fleet.Servers)) / float64(len(x.targets))
		d.openLoop(x.targets, l, rate, openRoundDuration, x.samples)
	})
	s.logf("closed loop with %d callers", closedCallers)
	closed := s.variants(first)
	runInterleaved(closed, closedRounds, func(x *variant) { d.closedLoop(x.targets, l, closedCallers, closedRoundDuration, x.samples) })
	res.add("100/s a node", open, openRounds*openRoundDuration)
	res.add("20 callers", closed, closedRounds*closedRoundDuration)
	res.Cores = s.coreRows(warmUp, open, closed)
	return res, nil
}

// variants returns the three variants, for the given service and with empty samples.
func (s *system) variants(service ServiceSize) []*variant {
	var servers []string
	for _, b := range s.baselineServers {
		if b.Service == service.Name {
			servers = append(servers, "http://"+b.BackendAddress)
		}
	}
	return []*variant{
		{direct, servers, newSamples()},
		{Product, s.allEntryURLs(), newSamples()},
		{Baseline, s.proxyURLs(), newSamples()},
	}
}

// runInterleaved measures all variants in each round, so that other load on the
// machine affects them equally. Each round starts with a different variant.
func runInterleaved(variants []*variant, rounds int, measure func(*variant)) {
	for r := range rounds {
		for i := range variants {
			x := variants[(r+i)%len(variants)]
			measure(x)
			x.samples.endRound()
		}
	}
}

func (r *LatencyResult) add(name string, variants []*variant, duration time.Duration) {
	base := variants[0].samples
	for _, x := range variants {
		s := x.samples
		var added []float64
		for i, p := range s.p99s {
			added = append(added, p-base.p99s[i])
		}
		slices.Sort(added)
		r.Rows = append(r.Rows, LatencyRow{
			System: x.name, Load: name, Calls: s.pooled.TotalCount(), Failed: s.failed,
			P50: quantileMs(s.pooled, 50), P99: quantileMs(s.pooled, 99),
			AddedP50: quantileMs(s.pooled, 50) - quantileMs(base.pooled, 50),
			AddedP99: quantileMs(s.pooled, 99) - quantileMs(base.pooled, 99),
			RoundP99: added[len(added)/2], RoundMin: added[0], RoundMax: added[len(added)-1], QuietP99: quietAdded(base.p99s, s.p99s),
			PerSec: float64(s.pooled.TotalCount()) / duration.Seconds(),
		})
	}
}

// quietAdded returns the median of values[i]-base[i] over the quarter of the rounds
// with the lowest base values.
func quietAdded(base, values []float64) float64 {
	rounds := make([]int, len(base))
	for i := range rounds {
		rounds[i] = i
	}
	slices.SortFunc(rounds, func(a, b int) int { return cmp.Compare(base[a], base[b]) })
	rounds = rounds[:max(len(rounds)/4, 1)]
	var added []float64
	for _, i := range rounds {
		added = append(added, values[i]-base[i])
	}
	slices.Sort(added)
	return added[len(added)/2]
}

// coreRows kills the nodes and proxies and divides the number of calls by their
// processor time, which includes process start and control traffic.
func (s *system) coreRows(measurements ...[]*variant) []CoreRow {
	calls := map[string]int64{}
	for _, m := range measurements {
		for _, x := range m {
			calls[x.name] += x.samples.pooled.TotalCount()
		}
	}
	var nodes, proxies []*demo.Process
	for _, b := range s.fleet.Servers {
		nodes = append(nodes, b.Node)
	}
	for _, p := range s.proxies {
		proxies = append(proxies, p.Process)
	}
	return []CoreRow{coreRow(Product, calls[Product], nodes), coreRow(Baseline, calls[Baseline], proxies)}
}

func coreRow(name string, calls int64, ps []*demo.Process) CoreRow {
	var cpu time.Duration
	for _, p := range ps {
		p.Kill()
		cpu += p.CPU()
	}
	return CoreRow{System: name, Processes: len(ps), Calls: calls, CPU: cpu.Seconds(), PerCore: float64(calls) / cpu.Seconds()}
}

// percent formats part as a percentage of whole, without the sign.
func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return strconv.FormatFloat(100*float64(part)/float64(whole), 'f', 2, 64)
}
