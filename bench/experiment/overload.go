package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"balsamtrail.org/bench/load"
)

const (
	// overloadServiceTime is the time that a stand-in takes for one request. It is
	// long, so that the stand-ins and not the processor limit the throughput.
	overloadServiceTime = 200 * time.Millisecond
	// overloadWarmUp is the warm-up of the product; the baseline has half of it.
	overloadWarmUp = 8 * time.Second
	// overloadDuration is the length of one load step.
	overloadDuration = 8 * time.Second
	// overloadPause separates two load steps, so that no requests of the first one are
	// still running.
	overloadPause = time.Second
	// overloadProxies is the number of baseline proxies.
	overloadProxies = 10
)

// overloadFactors are the loads, in multiples of the capacity of the backend servers.
var overloadFactors = []float64{1, 2, 4}

// OverloadRow holds the requests of one kind and side at one load.
type OverloadRow struct {
	Factor float64 `json:"factor"`
	KindRow
	// OfferedPerSec counts the requests sent per second, GoodPerSec those of them that
	// were answered correctly and in time.
	OfferedPerSec float64 `json:"offered_per_second"`
	GoodPerSec    float64 `json:"good_per_second"`
}

// OverloadResult holds the figures of the overload experiment.
type OverloadResult struct {
	Size string        `json:"size"`
	Rows []OverloadRow `json:"rows"`
	// DuplicatesProduct and DuplicatesBaseline count the writes that ran more than once.
	DuplicatesProduct  int `json:"duplicates_product"`
	DuplicatesBaseline int `json:"duplicates_baseline"`
}

// WriteTable writes one row for each load, side and kind.
func (r *OverloadResult) WriteTable(w io.Writer) error {
	t := newTable(w, "load\tsystem\tkind\toffered/s\tgood/s\tgood %\tnot-run\tfailed\tlate\twrong\tp99 ms")
	for _, x := range r.Rows {
		t.row("%gx\t%s\t%s\t%.0f\t%.0f\t%s\t%d\t%d\t%d\t%d\t%.0f", x.Factor, x.System, x.Kind, x.OfferedPerSec, x.GoodPerSec,
			percent(x.OK, x.Sent), x.NotRun, x.Failed, x.Late, x.Wrong, x.P99)
	}
	t.row("duplicated writes: %s %d, %s %d", Product, r.DuplicatesProduct, Baseline, r.DuplicatesBaseline)
	return t.flush()
}

// Overload measures goodput by kind at multiples of the capacity of the backend servers.
func Overload(o Options) (Result, error) {
	s, err := startSystem(o, setup{
		latency: overloadServiceTime, timeouts: Timeouts{Lookup: time.Second, Write: 2 * time.Second, Urgent: time.Second},
		queueTimeout: 200 * time.Millisecond, warm: true, proxies: overloadProxies,
	})
	if err != nil {
		return nil, err
	}
	defer s.kill()
	s.runLoadStep(Product, 1, overloadWarmUp)
	s.runLoadStep(Baseline, 1, overloadWarmUp/2)
	s.logf("limits of the nodes: %s", s.limits())
	res := &OverloadResult{Size: o.Size.Name}
	for _, f := range overloadFactors {
		for _, side := range []string{Product, Baseline} {
			r := s.runLoadStep(side, f, overloadDuration)
			for _, k := range kindRows(side, r.Flows(), 0, untilEnd) {
				res.Rows = append(res.Rows, OverloadRow{
					Factor: f, KindRow: k,
					OfferedPerSec: float64(k.Sent) / overloadDuration.Seconds(), GoodPerSec: float64(k.OK) / overloadDuration.Seconds(),
				})
			}
			s.logf("%gx on %s done", f, side)
		}
	}
	return res, s.countDuplicates(&res.DuplicatesProduct, &res.DuplicatesBaseline)
}

// runLoadStep sends load to one side at factor times the capacity of its backend
// servers.
func (s *system) runLoadStep(side string, factor float64, duration time.Duration) *load.Report {
	targets := s.allEntryURLs()
	if side == Baseline {
		targets = s.proxyURLs()
	}
	r := load.NewReport(time.Now())
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	load.New(r).Run(ctx, s.Size.flows(factor, s.latency, s.timeouts, targets))
	time.Sleep(overloadPause)
	return r
}

// limits lists the concurrency limit of each node.
func (s *system) limits() string {
	out := ""
	for _, b := range s.fleet.Servers {
		if st, err := b.Status(); err == nil {
			out += fmt.Sprintf(" %d", st.Limit)
		}
	}
	return out
}

// countDuplicates counts the writes of each side that ran more than once. It returns
// an error if the product has any.
func (s *system) countDuplicates(product, baseline *int) error {
	for _, x := range []struct {
		side string
		n    *int
	}{{"product", product}, {"baseline", baseline}} {
		runs, err := s.runsByKey(x.side)
		if err != nil {
			return err
		}
		*x.n = duplicates(runs)
	}
	if *product > 0 {
		return fmt.Errorf("%d writes ran more than once", *product)
	}
	return nil
}
