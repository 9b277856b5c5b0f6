package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

const (
	// outageServiceTime is the time that a stand-in takes for one request.
	outageServiceTime = 100 * time.Millisecond
	// outageLoadFactor is the load as a fraction of the capacity of the whole fleet.
	// The remaining data centres can serve it.
	outageLoadFactor = 0.45
	// outageProxies is the number of baseline proxies.
	outageProxies = 4
	// outageColdPeriod is the part of the warm-up that is reported as "all cold".
	outageColdPeriod = 10 * time.Second
	// outageWarmUp is the time from the start of the load until the data centre is
	// taken out. The next four delays count from that moment.
	outageWarmUp = 16 * time.Second
	// powerOffDelay is the delay until the processes of the data centre are killed.
	powerOffDelay = 5 * time.Second
	// listUpdateDelay is the delay until the baseline's operator removes the servers
	// of the data centre from the proxies' lists.
	listUpdateDelay = 10 * time.Second
	// restartDelay is the delay until the processes are started again.
	restartDelay = 14 * time.Second
	// returnDelay is the delay until the data centre is returned.
	returnDelay = 17 * time.Second
	// durationAfterReturn is how long the load runs after the return.
	durationAfterReturn = 12 * time.Second
	// insideCallersStop is the delay, after the data centre is taken out, until the
	// callers inside it stop.
	insideCallersStop = powerOffDelay - time.Second
	// lastWorkLimit is the time after which a data centre that was taken out must get
	// no new requests.
	lastWorkLimit = 3 * time.Second
)

// Phases of the data centre experiment.
const (
	phaseCold     = "all cold"
	phaseBefore   = "before"
	phaseOut      = "out"
	phaseReturned = "returned"
)

// OutageRow holds the requests of one kind and side in one phase.
type OutageRow struct {
	Phase string `json:"phase"`
	KindRow
}

// ReturnRow holds the requests that one side sent to the backend servers of the data
// centre that is taken out.
type ReturnRow struct {
	System string `json:"system"`
	// WorkBefore counts the requests until the data centre is taken out.
	WorkBefore int64 `json:"requests_before"`
	// LastWork is the time in seconds from taking the data centre out to the last new
	// request there before its processes are killed.
	LastWork float64 `json:"last_new_work_seconds"`
	// ColdRequests counts the requests to the restarted servers; ColdOverload counts
	// those that ran while a server had more requests than it can bear when cold.
	ColdOverload int64 `json:"cold_overload"`
	ColdRequests int64 `json:"cold_requests"`
	// ColdShed and ColdCanceled count the requests that the restarted servers shed or
	// that were canceled there.
	ColdShed     int64 `json:"cold_shed"`
	ColdCanceled int64 `json:"cold_canceled"`
	Duplicates   int   `json:"duplicated_writes"`
}

// OutageResult holds the figures of the data centre experiment.
type OutageResult struct {
	Size       string           `json:"size"`
	DataCentre model.DataCentre `json:"data_centre"`
	Rows       []OutageRow      `json:"rows"`
	Returns    []ReturnRow      `json:"returns"`
}

// WriteTable writes the requests by phase, then the load on the data centre.
func (r *OutageResult) WriteTable(w io.Writer) error {
	t := newTable(w, "phase\tsystem\tkind\tsent\tok %\tnot-run\tfailed\tlate\twrong\tp99 ms of the run")
	for _, x := range r.Rows {
		t.row("%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%.0f", x.Phase, x.System, x.Kind, x.Sent, percent(x.OK, x.Sent),
			x.NotRun, x.Failed, x.Late, x.Wrong, x.P99)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w, "system\trequests before\tlast new work s\tcold requests\tabove cold limit\tshed\tcancelled\tduplicated writes")
	for _, x := range r.Returns {
		t.row("%s\t%d\t%.2f\t%d\t%d\t%d\t%d\t%d", x.System, x.WorkBefore, x.LastWork, x.ColdRequests, x.ColdOverload, x.ColdShed, x.ColdCanceled, x.Duplicates)
	}
	return t.flush()
}

// outage is one run of the data centre experiment.
type outage struct {
	*system
	result *OutageResult
	// began is the start of the load. removedAt and returnedAt are the times at which
	// the data centre is taken out and returned.
	began, removedAt, returnedAt time.Time
}

// DataCentre takes a data centre out under load, kills its processes, restarts them
// cold and returns the data centre. Product and baseline run at the same time.
func DataCentre(o Options) (Result, error) {
	s, err := startSystem(o, setup{
		latency: outageServiceTime, timeouts: Timeouts{Lookup: time.Second, Write: 2 * time.Second, Urgent: 500 * time.Millisecond},
		queueTimeout: 200 * time.Millisecond, proxies: outageProxies,
	})
	if err != nil {
		return nil, err
	}
	defer s.kill()
	d := &outage{system: s, result: &OutageResult{Size: o.Size.Name, DataCentre: o.Size.OutageDataCentre}}
	reports, err := d.run()
	if err != nil {
		return nil, err
	}
	d.addPhaseRows(reports)
	return d.result, d.check()
}

// run generates the load, runs the steps and returns the load reports of the product
// and of the baseline. For the product, callers inside the data centre send through
// its nodes. These callers stop shortly before its processes are killed and resume
// when it is returned.
func (d *outage) run() ([2]*load.Report, error) {
	d.began = time.Now()
	reports := [2]*load.Report{load.NewReport(d.began), load.NewReport(d.began)}
	insideFraction := float64(len(d.entryURLs(d.Size.OutageDataCentre, true))) / float64(len(d.fleet.Servers))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	send := func(ctx context.Context, fraction float64, targets [2][]string) {
		for i, r := range reports {
			flows := d.Size.flows(outageLoadFactor*fraction, d.latency, d.timeouts, targets[i])
			wg.Go(func() { load.New(r).Run(ctx, flows) })
		}
	}
	send(ctx, 1-insideFraction, [2][]string{d.entryURLs(d.Size.OutageDataCentre, false), d.proxyURLs()})
	insideTargets := [2][]string{d.entryURLs(d.Size.OutageDataCentre, true), d.proxyURLs()}
	firstCtx, stop := context.WithTimeout(ctx, outageWarmUp+insideCallersStop)
	defer stop()
	send(firstCtx, insideFraction, insideTargets)
	err := d.runSteps(func() { send(ctx, insideFraction, insideTargets) })
	cancel()
	wg.Wait()
	return reports, err
}

// runSteps takes the data centre out and returns it, then calls callersBack to
// resume the load of the callers inside it.
func (d *outage) runSteps(callersBack func()) error {
	time.Sleep(outageWarmUp)
	if err := d.recordWorkBefore(); err != nil {
		return err
	}
	d.removedAt = time.Now()
	if _, err := d.fleet.CLI("data-centre", "out", string(d.Size.OutageDataCentre)); err != nil {
		return err
	}
	d.logf("data centre %s taken out", d.Size.OutageDataCentre)
	time.Sleep(time.Until(d.removedAt.Add(powerOffDelay)))
	if err := d.killProcesses(); err != nil {
		return err
	}
	time.Sleep(time.Until(d.removedAt.Add(listUpdateDelay)))
	if err := d.setProxyServers(d.Size.OutageDataCentre); err != nil {
		return err
	}
	d.logf("servers removed from the lists of the baseline proxies")
	time.Sleep(time.Until(d.removedAt.Add(restartDelay)))
	if err := d.startCold(); err != nil {
		return err
	}
	time.Sleep(time.Until(d.removedAt.Add(returnDelay)))
	d.returnedAt = time.Now()
	if _, err := d.fleet.CLI("data-centre", "return", string(d.Size.OutageDataCentre)); err != nil {
		return err
	}
	if err := d.setProxyServers(""); err != nil {
		return err
	}
	d.logf("data centre %s returned", d.Size.OutageDataCentre)
	callersBack()
	time.Sleep(durationAfterReturn)
	return d.recordColdLoad()
}

// serversInside returns those of all that are in the data centre taken out.
func (d *outage) serversInside(all []*demo.BackendServer) []*demo.BackendServer {
	var out []*demo.BackendServer
	for _, b := range all {
		if b.DataCentre == d.Size.OutageDataCentre {
			out = append(out, b)
		}
	}
	return out
}

// serversBySystem returns the servers of the data centre for product and baseline.
func (d *outage) serversBySystem() map[string][]*demo.BackendServer {
	return map[string][]*demo.BackendServer{Product: d.serversInside(d.fleet.Servers), Baseline: d.serversInside(d.baselineServers)}
}

// recordWorkBefore records the requests that the data centre got before it is taken out.
func (d *outage) recordWorkBefore() error {
	servers := d.serversBySystem()
	for _, name := range []string{Product, Baseline} {
		row := ReturnRow{System: name}
		for _, b := range servers[name] {
			st, err := b.Stats()
			if err != nil {
				return err
			}
			row.WorkBefore += st.Requests
		}
		d.result.Returns = append(d.result.Returns, row)
	}
	return nil
}

// killProcesses records the time of the last request on each side and kills the
// processes of the data centre.
func (d *outage) killProcesses() error {
	servers := d.serversBySystem()
	for i := range d.result.Returns {
		row := &d.result.Returns[i]
		for _, b := range servers[row.System] {
			st, err := b.Stats()
			if err != nil {
				return err
			}
			row.LastWork = max(row.LastWork, st.LastRequest.Sub(d.removedAt).Seconds())
		}
	}
	for _, all := range servers {
		for _, b := range all {
			b.Node.Kill()
			b.Backend.Kill()
		}
	}
	d.logf("processes of %s killed", d.Size.OutageDataCentre)
	return nil
}

// startCold starts the processes of the data centre again, with cold stand-ins.
func (d *outage) startCold() error {
	servers := d.serversBySystem()
	for _, b := range servers[Product] {
		if err := b.Start(); err != nil {
			return err
		}
	}
	for _, b := range servers[Baseline] {
		if err := b.Backend.Start(); err != nil {
			return err
		}
	}
	d.logf("processes of %s started cold", d.Size.OutageDataCentre)
	return nil
}

// recordColdLoad records the requests that the restarted servers got.
func (d *outage) recordColdLoad() error {
	servers := d.serversBySystem()
	for i := range d.result.Returns {
		row := &d.result.Returns[i]
		for _, b := range servers[row.System] {
			st, err := b.Stats()
			if err != nil {
				return err
			}
			row.ColdOverload += st.ColdOverload
			row.ColdRequests += st.Requests
			row.ColdShed += st.Shed
			row.ColdCanceled += st.Canceled
		}
	}
	return nil
}

// addPhaseRows splits the reports into phases, at the seconds in which the data
// centre is taken out and returned, and adds their rows to the result.
func (d *outage) addPhaseRows(reports [2]*load.Report) {
	out, back := d.second(d.removedAt), d.second(d.returnedAt)
	cold := int64(outageColdPeriod / time.Second)
	phases := []struct {
		name     string
		from, to int64
	}{{phaseCold, 0, cold}, {phaseBefore, cold, out}, {phaseOut, out, back}, {phaseReturned, back, untilEnd}}
	for _, p := range phases {
		for i, name := range []string{Product, Baseline} {
			for _, k := range kindRows(name, reports[i].Flows(), p.from, p.to) {
				d.result.Rows = append(d.result.Rows, OutageRow{Phase: p.name, KindRow: k})
			}
		}
	}
}

func (d *outage) second(t time.Time) int64 { return int64(t.Sub(d.began) / time.Second) }

// check counts duplicated writes and returns an error if the product ran one or sent
// new requests to the data centre after lastWorkLimit.
func (d *outage) check() error {
	product, baseline := &d.result.Returns[0], &d.result.Returns[1]
	err := d.countDuplicates(&product.Duplicates, &baseline.Duplicates)
	if product.LastWork > lastWorkLimit.Seconds() {
		err = errors.Join(err, fmt.Errorf("%s got new requests %.2f s after it was taken out, limit %s", d.Size.OutageDataCentre, product.LastWork, lastWorkLimit))
	}
	return err
}
