package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"balsamtrail.org/bench/demo"
)

// methodWatch is the peer method by which a child in the distribution tree follows its
// parent.
const methodWatch = "distribute.watch"

// Tree measures what a child in the distribution tree costs its parent. Each node of one
// fleet is a point whose size is the number of its children. The phases are rest, ten
// notes and ten restarts of other nodes.
func Tree(ctx context.Context, w io.Writer, bin string, nodes int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(bin, 4)
	defer f.close()
	if err != nil {
		return err
	}
	if err := f.startNodes(ctx, nodes, fleetServices); err != nil {
		return err
	}
	time.Sleep(settleDelay)
	p := newSeriesSet("children")
	phases := []struct {
		name string
		do   func() error
	}{
		{"rest", func() error { time.Sleep(phaseDuration); return nil }},
		{"ten notes", f.publishChanges},
		{"ten restarts", f.restartNodes},
	}
	for _, ph := range phases {
		if err := f.measureParents(w, p, ph.name, ph.do); err != nil {
			return fmt.Errorf("%s: %w", ph.name, err)
		}
	}
	for _, name := range p.order {
		if l, err := Fit(p.series[name].x, p.series[name].y); err == nil {
			printf(w, "fit %-28s %.4g + %.4g %s per child, R2 %.3f (%d nodes); at 8: %.4g\n",
				name, l.Offset, l.Slope, p.series[name].Unit, l.R2, len(p.series[name].x), l.At(8))
		} else {
			printf(w, "no fit of %s: %v\n", name, err)
		}
	}
	return nil
}

// measureParents runs a phase and adds one point to each series for every node that has
// as many children after it as before.
func (f *fleet) measureParents(w io.Writer, p *seriesSet, name string, do func() error) error {
	childrenBefore := map[*demo.BackendServer]int{}
	var err error
	for _, b := range f.undisturbedNodes() {
		if childrenBefore[b], err = f.childrenOf(b); err != nil {
			return err
		}
	}
	before, err := f.sample()
	if err != nil {
		return err
	}
	if err := do(); err != nil {
		return err
	}
	after, err := f.sample()
	if err != nil {
		return err
	}
	took := after.at.Sub(before.at).Seconds()
	nodesByChildren := map[int]int{}
	for b, n := range childrenBefore {
		now, err := f.childrenOf(b)
		if err != nil {
			return err
		}
		if now != n {
			continue
		}
		nodesByChildren[n]++
		cpu := after.usage[b.Host].Minus(before.usage[b.Host]).CPU.Seconds() / took * 100
		all, old := after.traffic[b.Host], before.traffic[b.Host]
		p.add(name+": CPU", "% of a core", float64(n), cpu)
		p.add(name+": tree frames", "B/s", float64(n), float64(all[methodWatch]-old[methodWatch])/took)
		p.add(name+": all frames", "B/s", float64(n), float64(all.total()-old.total())/took)
		p.add(name+": memory (anonymous)", "MB", float64(n), float64(after.usage[b.Host].Anonymous)/(1<<20))
	}
	printf(w, "%s: nodes by number of children %v of %d\n", name, nodesByChildren, len(childrenBefore))
	return nil
}

// childrenOf reads the number of children from the status of a node.
func (f *fleet) childrenOf(b *demo.BackendServer) (int, error) {
	resp, err := (&http.Client{Timeout: requestTimeout}).Get(b.AdminURL + "/status") //nolint:noctx // the client has a timeout
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var s struct {
		Children int `json:"children"`
	}
	return s.Children, json.NewDecoder(resp.Body).Decode(&s)
}
