package capacity

import (
	"context"
	"io"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

const (
	// callDuration is the length of one measured load.
	callDuration = 8 * time.Second
	// warmUpDuration is the length of the load before the first measurement.
	warmUpDuration = 5 * time.Second
	// targetCallRate is the rate in calls/s that each of 13,000 nodes sends and serves
	// when the mesh carries 1.3 million calls/s.
	targetCallRate = 100
)

// Calls measures the processor time and memory of the entry node and of the serving
// node as a function of the rate of calls of one kind.
func Calls(ctx context.Context, w io.Writer, bin string, rates []int, kind model.Kind, repeat int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(bin, 4)
	defer f.close()
	if err != nil {
		return err
	}
	// With two services of one node each, calls to the first service enter at the node
	// of the second one, so that no node is both entry and serving node.
	if err := f.startNodes(ctx, 2, 2); err != nil {
		return err
	}
	serving, entry := f.Servers[0], f.Servers[1]
	flow := load.Flow{Name: "calls", Kind: kind, Service: string(serviceName(0)), Method: "GET", Path: routesOf(0, 0)[0].PathPrefix,
		Timeout: time.Second, Targets: []string{entry.CallerURL}}
	if kind == model.KindWrite {
		flow.Method, flow.Path, flow.BodyBytes = "POST", routesOf(0, 0)[1].PathPrefix, 100
	}
	flow.Rate = float64(rates[len(rates)-1])
	runLoad(ctx, flow, warmUpDuration)
	p := newSeriesSet("calls/s")
	for range repeat {
		for _, rate := range rates {
			flow.Rate = float64(rate)
			if err := f.measureCalls(ctx, w, p, flow, entry, serving); err != nil {
				return err
			}
		}
	}
	return p.write(w, targetCallRate)
}

// measureCalls sends one load, prints its outcomes and adds the usage of the nodes and
// control hosts to the series.
func (f *fleet) measureCalls(ctx context.Context, w io.Writer, p *seriesSet, flow load.Flow, entry, serving *demo.BackendServer) error {
	before := map[string]Usage{}
	hosts := map[string]model.HostID{"entry": entry.Host, "serving": serving.Host}
	for _, c := range f.Controls {
		hosts["control "+string(c.Host)] = c.Host
	}
	var err error
	for name, h := range hosts {
		if before[name], err = f.usageOf(h); err != nil {
			return err
		}
	}
	start := time.Now()
	flows, report := runLoad(ctx, flow, callDuration)
	took := time.Since(start)
	control := 0.0
	for name, h := range hosts {
		u, err := f.usageOf(h)
		if err != nil {
			return err
		}
		percent := u.Minus(before[name]).CPU.Seconds() / took.Seconds() * 100
		if name != "entry" && name != "serving" {
			control += percent
			continue
		}
		p.add(name+" CPU", "% of a core", flow.Rate, percent)
		p.add(name+" memory (anonymous)", "MB", flow.Rate, float64(u.Anonymous)/(1<<20))
	}
	p.add("three control hosts CPU", "% of a core", flow.Rate, control)
	printf(w, "%s %.0f/s: sent %d, outcomes %v, p50 %.2f ms, p99 %.2f ms\n", flow.Method, flow.Rate,
		flows[0].Sent, flows[0].Outcomes, flows[0].P50, flows[0].P99)
	for i, d := range report.Details() {
		if i < 2 {
			printf(w, "  %s\n", d)
		}
	}
	return nil
}

func runLoad(ctx context.Context, flow load.Flow, d time.Duration) ([]load.FlowReport, *load.Report) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	r := load.NewReport(time.Now())
	load.New(r).Run(ctx, []load.Flow{flow})
	return r.Flows(), r
}
