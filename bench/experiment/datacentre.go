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
	outageServiceTime = 100 * time.Millisecond
	// outageFactor is the load in parts of the capacity of the whole fleet; the
	// data centres that stay can bear it.
	outageLoadFactor = 0.45
	outageProxies    = 4
	outageColdPeriod = 10 * time.Second
	// The steps, from the start of the load on. The processes of the data centre
	// are killed powerOff after the notice; the baseline's operator removes its
	// servers from the list listDelay after it.
	outageWarmUp        = 16 * time.Second
	powerOffDelay       = 5 * time.Second
	listUpdateDelay     = 10 * time.Second
	restartDelay        = 14 * time.Second
	returnDelay         = 17 * time.Second
	durationAfterReturn = 12 * time.Second
	// callersLeave is the time after the notice at which the callers inside the
	// data centre end.
	insideCallersStop = powerOffDelay - time.Second
	// lastWorkBound is the time after which a data centre that is out gets no new work.
	lastWorkLimit = 3 * time.Second
)

// Phases of the data centre experiment.
const (
	phaseCold     = "all cold"
	phaseBefore   = "before"
	phaseOut      = "out"
	phaseReturned = "returned"
)

// OutageRow is one kind on one side in one phase.
type OutageRow struct {
	Phase string `json:"phase"`
	KindRow
}

// ReturnRow says how one side treated the servers of the data centre.
type ReturnRow struct {
	System string `json:"system"`
	// WorkBefore counts the requests there until the notice.
	WorkBefore int64 `json:"requests_before"`
	// LastWork is the time from the notice to the last new request there, at most until the power-off.
	LastWork float64 `json:"last_new_work_seconds"`
	// ColdOverload counts the requests beyond what the cold servers could bear
	// after their return, ColdRequests all requests that they got.
	ColdOverload int64 `json:"cold_overload"`
	ColdRequests int64 `json:"cold_requests"`
	// ColdShed and ColdCanceled are requests shed or given up there.
	ColdShed     int64 `json:"cold_shed"`
	ColdCanceled int64 `json:"cold_canceled"`
	Duplicates   int   `json:"duplicated_writes"`
}

// OutageResult is the outcome of the data centre experiment.
type OutageResult struct {
	Size       string           `json:"size"`
	DataCentre model.DataCentre `json:"data_centre"`
	Rows       []OutageRow      `json:"rows"`
	Returns    []ReturnRow      `json:"returns"`
}

// WriteTable writes the service by phase and the treatment of the data centre.
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
	// began is the start of the load, outAt and backAt are the times of the operators' commands.
	began, removedAt, returnedAt time.Time
}

// DataCentre takes a data centre out under load, kills its processes a little
// later, starts them cold and returns it, on both sides at the same time.
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

// play runs load and steps and returns the reports of the product and of the
// baseline. The callers inside the data centre send through the nodes there and
// are absent from shortly before the power-off until the return.
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

// steps takes the data centre out and returns it, when its callers come back.
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
	d.logf("operator of the baseline removed the servers from the list")
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

// inside are the servers of the data centre on one side.
func (d *outage) serversInside(all []*demo.BackendServer) []*demo.BackendServer {
	var out []*demo.BackendServer
	for _, b := range all {
		if b.DataCentre == d.Size.OutageDataCentre {
			out = append(out, b)
		}
	}
	return out
}

// sidesOf are the servers by side.
func (d *outage) serversBySystem() map[string][]*demo.BackendServer {
	return map[string][]*demo.BackendServer{Product: d.serversInside(d.fleet.Servers), Baseline: d.serversInside(d.baselineServers)}
}

// noteWork notes how much work the data centre got before the notice.
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

// switchOff notes the last work of each side and kills the processes of the data centre.
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

// restart starts the processes of the data centre cold.
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

// coldLoad reads what the returned servers got.
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

// sumPhases splits the reports at the seconds of the operators' commands.
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

// check compares the product with its bounds.
func (d *outage) check() error {
	product, baseline := &d.result.Returns[0], &d.result.Returns[1]
	err := d.countDuplicates(&product.Duplicates, &baseline.Duplicates)
	if product.LastWork > lastWorkLimit.Seconds() {
		err = errors.Join(err, fmt.Errorf("%s got new work %.2f s after it was taken out, bound %s", d.Size.OutageDataCentre, product.LastWork, lastWorkLimit))
	}
	return err
}
