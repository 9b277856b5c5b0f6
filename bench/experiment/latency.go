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
	// latencyBackend is the time of one request in a stand-in.
	latencyServiceTime = time.Millisecond
	openRatePerEntry   = 100.0 // calls/s at each entry
	closedCallers      = 20
	// Rounds are short and many: a burst of noise spoils few of them, and the median of the rounds is reported.
	openRounds          = 48
	closedRounds        = 20
	openRoundDuration   = 500 * time.Millisecond
	closedRoundDuration = 500 * time.Millisecond
	// latencyTarget is the added latency that 99 of 100 calls may have, in milliseconds.
	targetAddedP99Ms = 1.3
	direct           = "direct"
)

// LatencyRow is one measurement. Added figures are against direct calls of the
// same rounds.
type LatencyRow struct {
	System string  `json:"system"`
	Load   string  `json:"load"`
	Calls  int64   `json:"calls"`
	Failed int64   `json:"failed"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	// AddedP50 and AddedP99 are differences of the pooled quantiles.
	AddedP50 float64 `json:"added_p50_ms"`
	AddedP99 float64 `json:"added_p99_ms"`
	// RoundP99 is the median over the rounds of the added 99th percentile, RoundMin and RoundMax its range.
	RoundP99 float64 `json:"added_p99_round_median_ms"`
	RoundMin float64 `json:"added_p99_round_min_ms"`
	RoundMax float64 `json:"added_p99_round_max_ms"`
	// QuietP99 is the median over the quarter of the rounds in which direct calls
	// had the lowest 99th percentile: those in which the machine was least busy.
	QuietP99 float64 `json:"added_p99_quiet_rounds_ms"`
	PerSec   float64 `json:"calls_per_second"`
}

// CoreRow is the cost of one side over the whole run.
type CoreRow struct {
	System    string  `json:"system"`
	Processes int     `json:"processes"`
	Calls     int64   `json:"calls"`
	CPU       float64 `json:"cpu_seconds"`
	PerCore   float64 `json:"calls_per_core_second"`
}

// LatencyResult is the outcome of the latency experiment.
type LatencyResult struct {
	Size   string       `json:"size"`
	Target float64      `json:"target_added_p99_ms"`
	Rows   []LatencyRow `json:"rows"`
	Cores  []CoreRow    `json:"cores"`
}

// WriteTable writes both tables.
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

// side is one of the three ways to reach a stand-in.
type variant struct {
	name    string
	targets []string
	samples *samples
}

// Latency measures the latency that the system adds to direct calls, in turns
// with the baseline.
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
		// Direct calls get the same rate in all as those through the entries.
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

// sides returns the three ways with empty samples.
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

// turns runs a measurement on all sides in turn, so that the noise of the
// machine meets all alike. Each round begins with another side.
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

// quietAdded is the median of the differences in the quarter of the rounds with
// the lowest values of base.
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

// cores stops the nodes and proxies and divides all calls by their processor
// time, which includes start and control traffic.
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

// percent formats a part for a table.
func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return strconv.FormatFloat(100*float64(part)/float64(whole), 'f', 2, 64)
}
