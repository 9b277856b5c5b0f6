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

// rebuildGap is the least time between two routing tables. A lone change is in
// force at once; a burst costs at most twenty tables a second.
const minRebuildInterval = 50 * time.Millisecond

// view turns the configuration in force and the endpoint table into a routing
// table, and tells the gate of the state of the own data centre and service.
type tableUpdater struct {
	log     *slog.Logger
	dc      model.DataCentre
	service model.ServiceName
	slots   int
	// queueLimit and queueTimeout are for services that state no queue of their own.
	queueLimit   int
	queueTimeout time.Duration
	acceptor     *distribute.Acceptor
	endpoints    *membership.Table
	picker       *routing.Picker
	gate         *admission.Gate
	// routable reports whether the position in force is known not to be older
	// than what this node served before.
	routable func() bool

	table atomic.Pointer[routing.Table]

	// The fields below belong to the goroutine of run.
	builder        *routing.Builder
	builtConfig    note.Config
	endpointCursor uint64
	dcState        note.DataCentreState
	limits         note.Service
}

// current returns the table in force, or nil while the node must not route.
func (v *tableUpdater) current() *routing.Table {
	if !v.routable() {
		return nil
	}
	return v.table.Load()
}

// run rebuilds the table at each change until ctx ends.
func (v *tableUpdater) run(ctx context.Context) error {
	for {
		seen := v.endpoints.Sequence()
		v.acceptor.Refresh()
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

// rebuild makes the next table from what has changed: a table of 13,000
// endpoints from scratch costs more than a node may spend on control.
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

// gone returns the hosts that have left or lapsed. The builder need not keep them:
// the endpoint table lets no older record through, and 1,100 hosts are replaced a day.
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
	return note.DataCentreIn
}
