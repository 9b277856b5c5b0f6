package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// The number of nodes, services and data centres that decides the design
// (docs/design.md, section 3.3).
const (
	TargetNodes       = 13_000
	TargetServices    = 1_500
	targetDataCentres = 19
)

// discardLog drops all log lines.
var discardLog = slog.New(slog.DiscardHandler)

func serviceName(i int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("service-%04d", i))
}

func service(i int) note.Service {
	return note.Service{Name: serviceName(i), Slots: 20, Connections: 100, QueueLimit: 40, QueueTimeout: 500 * time.Millisecond}
}

// routesOf returns the lookup and the write route of service i. Each revision gives them
// other path prefixes.
func routesOf(i, revision int) []note.Route {
	var out []note.Route
	for r, method := range []string{"GET", "POST"} {
		kind := model.KindLookup
		if method == "POST" {
			kind = model.KindWrite
		}
		out = append(out, note.Route{
			Name: model.RouteName(fmt.Sprintf("route-%04d-%d", i, r)), Service: serviceName(i), Kind: kind,
			PathPrefix: fmt.Sprintf("/area-%04d/path-%d-%d", i, r, revision), Methods: []string{method},
			Timeout: time.Second, MaxRetries: 2,
		})
	}
	return out
}

// config returns a configuration with the given number of services and two routes each.
func config(services int) note.Config {
	c := note.NewConfig()
	for i := range services {
		s := service(i)
		c.Services[s.Name] = s
		c.Shares[s.Name] = note.Shares{"v1": model.ShareAll}
		for _, r := range routesOf(i, 0) {
			c.Routes[r.Name] = r
		}
	}
	return c
}

// announcement returns the announcement of endpoint i. Endpoints are spread evenly over
// the services and data centres.
func announcement(i, services int, incarnation uint64) membership.Announcement {
	s := serviceName(i % services)
	return membership.Announcement{
		Host: model.HostID(fmt.Sprintf("%s-v1-%05d", s, i)), Incarnation: incarnation, Sequence: 1,
		Service: s, Version: "v1", DataCentre: model.DataCentre(fmt.Sprintf("dc-%02d", i%targetDataCentres)),
		CallAddress: fmt.Sprintf("10.%d.%d.%d:7101", i>>16, i>>8&255, i&255),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255), Slots: 20, State: membership.StateServing,
	}
}

func announcements(n, services int) []membership.Announcement {
	out := make([]membership.Announcement, n)
	for i := range out {
		out[i] = announcement(i, services, 1)
	}
	return out
}

// Tables measures the endpoint and routing tables of one node as a function of the
// number of known endpoints, with 1,500 services and 3,000 routes.
func Tables(w io.Writer, sizes []int, repeat int) error {
	p := newSeriesSet("endpoints")
	cfg := config(TargetServices)
	for range repeat {
		for _, n := range sizes {
			measureTables(p, cfg, n)
		}
	}
	return p.write(w, TargetNodes)
}

func measureTables(p *seriesSet, cfg note.Config, n int) {
	x, rounds := float64(n), max(5, 100_000/n)
	self := announcement(0, TargetServices, 1)
	before := liveHeapBytes()
	eps := membership.NewTable()
	eps.MergeAll(announcements(n, TargetServices))
	held := liveHeapBytes()
	p.add("endpoint table heap", "B", x, held-before)

	picker := routing.NewPicker(routing.PickerConfig{DataCentre: self.DataCentre})
	table := routing.NewTable(cfg, eps.All())
	picker.SetTable(time.Now(), table)
	p.add("routing table and picker heap", "B", x, liveHeapBytes()-held)

	rebuild := func() {
		table = routing.NewTable(cfg, eps.All())
		picker.SetTable(time.Now(), table)
	}
	p.add("routing rebuild as in node/view", "µs", x, microsPerRun(rounds, rebuild))
	b := routing.NewBuilder(cfg)
	b.Announce(eps.All()...)
	b.Table()
	if encoded, err := cbor.Marshal(eps.All()); err == nil {
		p.add("endpoint table as sent", "B", x, float64(len(encoded)))
	}
	incarnation := uint64(1)
	p.add("routing change by Builder", "µs", x, microsPerRun(rounds*10, func() {
		incarnation++
		b.Announce(announcement(7, TargetServices, incarnation))
		b.Table()
	}))
	p.add("candidates of a parent or partner", "µs", x, microsPerRun(rounds, func() {
		nodes := distribute.NodesOf(self.DataCentre, eps.All())
		distribute.DefaultTree.Parents(self.Host, self.DataCentre, nodes, nil)
	}))
	p.add("merge of one change", "µs", x, microsPerRun(10*rounds, func() {
		incarnation++
		eps.Merge(announcement(7, TargetServices, incarnation))
	}))
	p.add("endpoint list as in the leader's tick", "µs", x, microsPerRun(rounds, func() {
		var alive []membership.Announcement
		for _, a := range eps.All() {
			if a.Alive() {
				alive = append(alive, a)
			}
		}
		runtime.KeepAlive(alive)
	}))
	runtime.KeepAlive(table)
	runtime.KeepAlive(b)
}

// Versions measures configuration versions and snapshots as a function of the number of
// services, with two routes each.
func Versions(w io.Writer, sizes []int, repeat int) error {
	p := newSeriesSet("services")
	for range repeat {
		for _, n := range sizes {
			if err := measureVersion(p, n); err != nil {
				return err
			}
		}
	}
	return p.write(w, TargetServices)
}

func measureVersion(p *seriesSet, n int) error {
	x := float64(n)
	before := liveHeapBytes()
	cfg := config(n)
	p.add("configuration heap", "B", x, liveHeapBytes()-before)
	v := &distribute.Version{Position: model.Position{Epoch: 1, Index: 1}, Config: cfg}
	var snap *distribute.Snapshot
	var err error
	p.add("snapshot encode", "µs", x, microsPerRun(10, func() { snap, err = distribute.EncodeSnapshot(v) }))
	if err != nil {
		return err
	}
	p.add("snapshot size", "B", x, float64(len(snap.Data)))
	p.add("snapshot decode", "µs", x, microsPerRun(10, func() { _, err = distribute.DecodeSnapshot(snap) }))
	if err != nil {
		return err
	}
	changed := cfg.Clone()
	for _, r := range routesOf(0, 1) {
		changed.Routes[r.Name] = r
	}
	d := note.Diff(cfg, changed)
	p.add("delta of one service applied", "µs", x, microsPerRun(20, func() { _, err = cfg.Apply(d) }))
	return err
}
