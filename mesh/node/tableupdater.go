package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// minRebuildInterval is the minimum time between two rebuilds of the routing table. A
// single change takes effect immediately; a burst causes at most twenty rebuilds a
// second.
const minRebuildInterval = 50 * time.Millisecond

// tableUpdater builds the routing table from the configuration in force and the
// endpoint table. It also passes the state of the local data centre and the limits of
// the local service to the admission gate.
type tableUpdater struct {
	log     *slog.Logger
	dc      model.DataCentre
	service model.ServiceName
	slots   int
	// queueLimit and queueTimeout apply to services that configure no queue.
	queueLimit   int
	queueTimeout time.Duration
	acceptor     *distribute.Acceptor
	endpoints    *membership.Table
	picker       *routing.Picker
	gate         *admission.Gate
	// routable reports whether the position in force is known to be no older than what
	// this node served before a restart.
	routable func() bool

	table atomic.Pointer[routing.Table]

	// Only the goroutine of run uses the fields below.
	builder        *routing.Builder
	builtConfig    note.Config
	endpointCursor uint64
	dcState        note.DataCentreState
	limits         note.Service
}

// current returns the routing table in force, or nil while the node may not route.
func (v *tableUpdater) current() *routing.Table {
	if !v.routable() {
		return nil
	}
	return v.table.Load()
}

// run rebuilds the routing table after each change until ctx ends.
func (v *tableUpdater) run(ctx context.Context) error {
	for {
		seen := v.endpoints.Sequence()
		v.acceptor.ReleaseHeldRoutes()
		inForce := v.acceptor.InForce()
		if inForce != nil {
			v.rebuild(inForce.Config)
		}
		select {
		case <-v.acceptor.Changed(inForce):
		case <-v.endpoints.Changed(seen):
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(minRebuildInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// rebuild updates the routing table incrementally: building it from scratch for 13,000
// endpoints takes more CPU time than a node may use for control tasks.
func (v *tableUpdater) rebuild(cfg note.Config) {
	if v.builder == nil {
		v.builder, v.builtConfig = routing.NewBuilder(cfg), cfg
	}
	v.builder.SetConfig(cfg, note.Diff(v.builtConfig, cfg))
	v.builtConfig = cfg
	changed, next := v.endpoints.Since(v.endpointCursor)
	v.endpointCursor = next
	v.builder.Announce(changed...)
	v.builder.Forget(departedHosts(changed)...)
	t := v.builder.Table()
	v.picker.SetTable(time.Now(), t)
	v.table.Store(t)
	if s := dataCentreState(cfg, v.dc); s != v.dcState {
		v.dcState = s
		v.gate.SetDataCentre(s)
	}
	if s, ok := cfg.Services[v.service]; ok {
		s.Slots = min(s.Slots, v.slots)
		if s.QueueLimit == 0 && s.QueueTimeout == 0 {
			s.QueueLimit, s.QueueTimeout = v.queueLimit, v.queueTimeout
		}
		if s != v.limits {
			v.limits = s
			v.gate.SetService(s)
		}
	}
}

// departedHosts returns the hosts that have left or whose lease has lapsed. The
// builder can forget them, because the endpoint table rejects older records. About
// 1,100 hosts are replaced per day.
func departedHosts(changed []membership.Announcement) []model.HostID {
	var out []model.HostID
	for _, a := range changed {
		if !a.Alive() {
			out = append(out, a.Host)
		}
	}
	return out
}

func dataCentreState(cfg note.Config, dc model.DataCentre) note.DataCentreState {
	if s, ok := cfg.DataCentres[dc]; ok {
		return s
	}
	return note.DataCentreInService
}
