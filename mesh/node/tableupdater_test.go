package node

import (
	"log/slog"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// newTestTableUpdater returns a table updater without a configuration.
func newTestTableUpdater() *tableUpdater {
	log := slog.New(slog.DiscardHandler)
	eps := membership.NewTable()
	return &tableUpdater{
		log: log, dc: "thun", service: "ledger", slots: 20, endpoints: eps, routable: func() bool { return true },
		acceptor: distribute.NewAcceptor("n1", distribute.NewStore(), eps, log),
		picker:   routing.NewPicker(routing.PickerConfig{DataCentre: "thun", Seed: 1}),
		gate:     admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 20}}),
	}
}

func tableUpdaterConfig() note.Config {
	cfg := note.NewConfig()
	cfg.Services["ledger"] = note.Service{Name: "ledger", Slots: 20, Connections: 100}
	cfg.Shares["ledger"] = note.Shares{"v1": model.ShareAll}
	return cfg
}

func announcedAs(host model.HostID, state membership.State) membership.Announcement {
	return membership.Announcement{Host: host, Incarnation: 1, Sequence: uint64(state), Service: "ledger", Version: "v1", DataCentre: "thun", Slots: 20, State: state}
}

// A host that has left must get no calls from the next table on, and must get calls
// again when it returns with a new incarnation.
func TestRoutingTableFollowsHostsThatLeaveAndReturn(t *testing.T) {
	v := newTestTableUpdater()
	pick := func() (model.HostID, error) {
		v.rebuild(tableUpdaterConfig())
		c, err := v.picker.PickBackendServer(time.Now(), "ledger", "v1", nil)
		return c.Host, err
	}
	v.endpoints.Merge(announcedAs("h1", membership.StateServing))
	if h, err := pick(); h != "h1" {
		t.Fatalf("picked %q, %v", h, err)
	}
	v.endpoints.Merge(announcedAs("h1", membership.StateLeft))
	if h, err := pick(); err == nil {
		t.Fatalf("picked %q, which has left", h)
	}
	again := announcedAs("h1", membership.StateServing)
	again.Incarnation = 2
	v.endpoints.Merge(again)
	if h, err := pick(); h != "h1" {
		t.Errorf("picked %q after its return, %v", h, err)
	}
}
