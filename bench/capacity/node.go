package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
)

const (
	// nodeDataCentre contains only the measured node, so that it finds no parent or
	// partner among the announced endpoints, which have no processes.
	nodeDataCentre = model.DataCentre("thun")
	// nodePhaseDuration is the length of a measured phase.
	nodePhaseDuration = 6 * time.Second
)

// controlHostStub acts as a control host in this process. It serves a configuration and
// an endpoint table of any size to one real node.
type controlHostStub struct {
	store     *distribute.Store
	endpoints *membership.Table
	freshness *distribute.Freshness
	index     uint64
}

// Node measures one node process as a function of the number of known endpoints, with
// 1,500 services and 3,000 routes: at rest, with one endpoint change per second, and
// with the routes of one service changing each second.
func Node(ctx context.Context, w io.Writer, bin string, sizes []int) error {
	p := newSeriesSet("endpoints")
	for _, n := range sizes {
		if err := measureNode(ctx, w, p, bin, n); err != nil {
			return fmt.Errorf("%d endpoints: %w", n, err)
		}
	}
	return p.write(w, TargetNodes)
}

func measureNode(ctx context.Context, w io.Writer, p *seriesSet, bin string, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "balsamtrail-capacity-")
	if err != nil {
		return err
	}
	d, err := demo.NewFleet(dir, bin, []model.DataCentre{nodeDataCentre})
	if err != nil {
		return err
	}
	f := &fleet{Fleet: d, dir: dir, claimGroups: 4}
	defer f.close()
	s := &controlHostStub{store: distribute.NewStore(), endpoints: membership.NewTable(), freshness: &distribute.Freshness{}}
	s.endpoints.MergeAll(announcements(n, TargetServices))
	if err := s.publish(0); err != nil {
		return err
	}
	if err := s.listen(ctx, f); err != nil {
		return err
	}
	b, err := f.addNode(ctx, demo.BackendServerSpec{Service: serviceName(0), Version: "v1", DataCentre: nodeDataCentre})
	if err != nil {
		return err
	}
	start := time.Now()
	if err := b.Node.Start(); err != nil {
		return err
	}
	err = demo.Eventually(startTimeout, func() error {
		if s, err := b.Status(); err != nil || !s.Routable {
			return fmt.Errorf("node does not route: %+v, %w, end of its log: %s", s, err, f.logEnd(b.Host))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if f.pids, err = childPIDs(); err != nil {
		return err
	}
	st, _ := b.Status()
	u, err := f.usageOf(b.Host)
	if err != nil {
		return err
	}
	p.add("start: CPU", "ms", float64(n), float64(u.CPU.Milliseconds()))
	printf(w, "%d endpoints: routes after %.2f s, received %d B so far\n", n, time.Since(start).Seconds(), st.BytesReceived)
	time.Sleep(2 * time.Second)
	st, _ = b.Status()
	p.add("start: received", "B", float64(n), float64(st.BytesReceived))
	phases := []struct {
		name string
		do   func(i int) error
	}{
		{"rest", func(int) error { return nil }},
		{"1 endpoint change/s", func(i int) error { s.endpoints.Merge(announcement(i, TargetServices, uint64(i+2))); return nil }},
		{"1 route change/s", func(i int) error { return s.publish(i + 1) }},
	}
	for _, ph := range phases {
		if err := f.measureNodePhase(p, n, b, ph.name, ph.do); err != nil {
			return err
		}
	}
	return nil
}

// measureNodePhase calls do once per second for one phase and adds the usage and frames
// of the node to the series.
func (f *fleet) measureNodePhase(p *seriesSet, n int, b *demo.BackendServer, name string, do func(i int) error) error {
	before, err := f.usageOf(b.Host)
	if err != nil {
		return err
	}
	old, err := b.Status()
	if err != nil {
		return err
	}
	start := time.Now()
	for i := range int(nodePhaseDuration / time.Second) {
		if err := do(i); err != nil {
			return err
		}
		time.Sleep(time.Until(start.Add(time.Duration(i+1) * time.Second)))
	}
	after, err := f.usageOf(b.Host)
	if err != nil {
		return err
	}
	now, err := b.Status()
	if err != nil {
		return err
	}
	took := time.Since(start).Seconds()
	x := float64(n)
	p.add(name+": CPU", "% of a core", x, after.Minus(before).CPU.Seconds()/took*100)
	p.add(name+": frames", "B/s", x, float64(now.BytesSent+now.BytesReceived-old.BytesSent-old.BytesReceived)/took)
	p.add(name+": memory (anonymous)", "MB", x, float64(after.Anonymous)/(1<<20))
	p.add(name+": memory (resident)", "MB", x, float64(after.Resident)/(1<<20))
	return nil
}

// publish publishes a configuration in which the routes of one service have other path
// prefixes; revision 0 changes none.
func (s *controlHostStub) publish(revision int) error {
	cfg := config(TargetServices)
	if revision > 0 {
		for _, r := range routesOf(revision, revision) {
			cfg.Routes[r.Name] = r
		}
	}
	s.index++
	return s.store.Publish(model.Position{Epoch: 1, Index: s.index}, cfg)
}

// listen serves the peer methods of a control host at the address in its settings.
func (s *controlHostStub) listen(ctx context.Context, f *fleet) error {
	addresses, err := f.controlAddresses()
	if err != nil {
		return err
	}
	ca, err := peer.OpenDevCA(filepath.Join(f.dir, "ca"))
	if err != nil {
		return err
	}
	files, err := ca.Issue(peer.Identity{Role: peer.RoleControl, DataCentre: nodeDataCentre, Host: addresses[0].Host})
	if err != nil {
		return err
	}
	creds, err := peer.LoadCredentials(files)
	if err != nil {
		return err
	}
	ep, err := peer.Listen(peer.Config{Listen: addresses[0].Address, Credentials: creds, Log: discardLog})
	if err != nil {
		return err
	}
	s.register(ep)
	go func() { _ = ep.Serve(ctx) }()
	go s.recordContact(ctx)
	return nil
}

// register registers the peer methods that a node calls on a control host.
func (s *controlHostStub) register(ep *peer.Endpoint) {
	position := func(context.Context, time.Time) (model.Position, error) { return s.store.Position(), nil }
	options := distribute.ServeOptions{
		Subtree: distribute.NewSubtree(nil), Freshness: s.freshness, Log: discardLog, Confirm: position,
		Admission: distribute.NewAdmission(distribute.SourceAdmission()),
	}
	holder := membership.LeaseServer{Table: s.endpoints, Keeper: membership.NewLeaseKeeper(), Log: discardLog,
		Status: func() (model.Position, bool) { return s.store.Position(), true }}
	nodes := []peer.Role{peer.RoleNode}
	ep.Handle(distribute.MethodWatch, nodes, func(ctx context.Context, st peer.Stream) error {
		return distribute.Serve(ctx, s.store, s.endpoints, st, options)
	})
	ep.Handle(distribute.MethodExchange, nodes, func(ctx context.Context, st peer.Stream) error {
		return distribute.ServeExchange(ctx, s.store, s.endpoints, st, options)
	})
	ep.Handle(membership.MethodAnnounce, nodes, func(ctx context.Context, st peer.Stream) error {
		return membership.ServeAnnounce(ctx, holder, st)
	})
	ep.Handle(rollout.MethodEvidence, nodes, func(ctx context.Context, st peer.Stream) error {
		if err := st.Send(rollout.EvidenceDown{}); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
}

// recordContact keeps the freshness current until ctx ends, so that the node does not
// consider its parent, this control host, disconnected from the configuration source.
func (s *controlHostStub) recordContact(ctx context.Context) {
	tick := time.NewTicker(membership.SweepInterval)
	defer tick.Stop()
	for {
		s.freshness.RecordContact(time.Now(), 0)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}
