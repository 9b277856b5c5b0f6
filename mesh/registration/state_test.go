package registration

import (
	"errors"
	"strings"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

var expectedServer = Expected{Service: "ledger", DataCentre: "thun", Address: "10.0.0.1:80"}

func testHeartbeat(instance string, started int64, sequence uint64, state State) Heartbeat {
	return Heartbeat{
		Instance: instance, Started: started, Sequence: sequence, Service: expectedServer.Service, DataCentre: expectedServer.DataCentre,
		Address: expectedServer.Address, Version: "v1", Slots: 4, State: state, ColdFor: time.Second,
	}
}

// Guards against reports that take effect although they are late, repeated, from an
// earlier lifetime or after the deregistration, also if this node was restarted since. Each step is one report; want is its
// effect.
func TestLateRepeatedAndStaleReports(t *testing.T) {
	type step struct {
		h     Heartbeat
		leave bool
		// observe applies the lifetime as known to another process, closed if leave is set.
		observe bool
		want    Change
		err     error
	}
	cases := map[string][]step{
		"a late report of the same lifetime changes nothing": {
			{h: testHeartbeat("a", 1, 1, StateReady), want: Started}, {h: testHeartbeat("a", 1, 3, StateReady), want: Renewed},
			{h: testHeartbeat("a", 1, 2, StateDraining), want: Unchanged},
		},
		"draining is final in a lifetime": {
			{h: testHeartbeat("a", 1, 1, StateReady), want: Started}, {h: testHeartbeat("a", 1, 2, StateDraining), want: Draining},
			{h: testHeartbeat("a", 1, 3, StateReady), want: Unchanged},
		},
		"a report of an earlier lifetime is refused": {
			{h: testHeartbeat("a", 1, 1, StateReady), want: Started}, {h: testHeartbeat("b", 2, 1, StateReady), want: Started},
			{h: testHeartbeat("a", 1, 9, StateDraining), err: ErrFormerLifetime},
		},
		"a restart may keep its instance": {
			{h: testHeartbeat("a", 1, 9, StateReady), want: Started}, {h: testHeartbeat("a", 2, 1, StateReady), want: Started},
			{h: testHeartbeat("a", 1, 10, StateDraining), err: ErrFormerLifetime},
		},
		"a deregistered lifetime does not return": {
			{h: testHeartbeat("a", 1, 1, StateReady), want: Started}, {h: testHeartbeat("a", 1, 0, 0), leave: true, want: Deregistered},
			{h: testHeartbeat("a", 1, 0, 0), leave: true, want: Unchanged}, {h: testHeartbeat("a", 1, 2, StateReady), want: Unchanged},
		},
		"an unknown newer lifetime may be deregistered": {
			{h: testHeartbeat("a", 5, 0, 0), leave: true, want: Deregistered}, {h: testHeartbeat("a", 5, 2, StateReady), want: Unchanged},
			{h: testHeartbeat("b", 6, 1, StateReady), want: Started},
		},
		"a late deregistration of an earlier lifetime changes nothing": {
			{h: testHeartbeat("a", 1, 1, StateReady), want: Started}, {h: testHeartbeat("b", 2, 1, StateReady), want: Started},
			{h: testHeartbeat("a", 1, 0, 0), leave: true, want: Unchanged}, {h: testHeartbeat("b", 2, 2, StateReady), want: Renewed},
		},
		"a lifetime that another process knows as closed does not return": {
			{h: testHeartbeat("a", 5, 0, 0), observe: true, leave: true, want: Draining}, {h: testHeartbeat("a", 5, 9, StateReady), want: Unchanged},
			{h: testHeartbeat("a", 4, 9, StateReady), err: ErrFormerLifetime}, {h: testHeartbeat("a", 6, 1, StateReady), want: Started},
		},
		"a lifetime that another process knows registers again": {
			{h: testHeartbeat("a", 5, 0, 0), observe: true, want: Unchanged}, {h: testHeartbeat("z", 4, 9, StateReady), err: ErrFormerLifetime},
			{h: testHeartbeat("a", 5, 9, StateReady), want: Started}, {h: testHeartbeat("a", 5, 0, 0), observe: true, leave: true, want: Draining},
			{h: testHeartbeat("a", 5, 10, StateReady), want: Unchanged},
		},
		"a newer lifetime that another process knows ends the registered one": {
			{h: testHeartbeat("a", 5, 1, StateReady), want: Started}, {h: testHeartbeat("b", 6, 0, 0), observe: true, want: Draining},
			{h: testHeartbeat("a", 5, 2, StateReady), err: ErrFormerLifetime}, {h: testHeartbeat("b", 6, 1, StateReady), want: Started},
		},
		"what another process knows of a former lifetime changes nothing": {
			{h: testHeartbeat("b", 6, 1, StateReady), want: Started}, {h: testHeartbeat("a", 5, 0, 0), observe: true, leave: true, want: Unchanged},
			{h: testHeartbeat("b", 6, 2, StateReady), want: Renewed},
		},
		"an unknown instance that deregistered without its start does not register, a later lifetime of it does": {
			{h: testHeartbeat("a", 0, 0, 0), leave: true, want: Unchanged}, {h: testHeartbeat("a", 99, 15, StateReady), want: Unchanged},
			{h: testHeartbeat("a", 101, 1, StateReady), want: Started},
		},
		"a known lifetime is deregistered without its start": {
			{h: testHeartbeat("a", 5, 0, 0), observe: true, want: Unchanged}, {h: testHeartbeat("a", 0, 0, 0), leave: true, want: Deregistered},
			{h: testHeartbeat("a", 5, 15, StateReady), want: Unchanged},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			r := New(expectedServer)
			for i, s := range steps {
				var change Change
				var err error
				switch {
				case s.observe:
					change = r.Observe(Lifetime{Instance: s.h.Instance, Started: s.h.Started, Closed: s.leave})
				case s.leave:
					change, err = r.Deregister(s.h.Instance, s.h.Started, time.UnixMilli(100))
				default:
					change, err = r.Heartbeat(s.h)
				}
				if change != s.want || !errors.Is(err, s.err) {
					t.Errorf("step %d: change %d, error %v; want %d, %v", i, change, err, s.want, s.err)
				}
			}
		})
	}
}

// Guards against requests that are sent to an address from an invalid heartbeat or
// from another backend server's.
func TestRefusedReports(t *testing.T) {
	invalidate := map[string]func(*Heartbeat){
		"no instance":         func(h *Heartbeat) { h.Instance = "" },
		"long instance":       func(h *Heartbeat) { h.Instance = strings.Repeat("a", maxInstanceBytes+1) },
		"instance not UTF-8":  func(h *Heartbeat) { h.Instance = "caf\xe9" },
		"control character":   func(h *Heartbeat) { h.Instance = "a\nb" },
		"no start":            func(h *Heartbeat) { h.Started = 0 },
		"unknown state":       func(h *Heartbeat) { h.State = 0 },
		"no slots":            func(h *Heartbeat) { h.Slots = 0 },
		"no version":          func(h *Heartbeat) { h.Version = "" },
		"negative cold time":  func(h *Heartbeat) { h.ColdFor = -1 },
		"another service":     func(h *Heartbeat) { h.Service = "roster" },
		"another address":     func(h *Heartbeat) { h.Address = "10.0.0.2:80" },
		"another data centre": func(h *Heartbeat) { h.DataCentre = "bern" },
	}
	for name, c := range invalidate {
		r := New(expectedServer)
		h := testHeartbeat("a", 1, 1, StateReady)
		c(&h)
		if _, err := r.Heartbeat(h); err == nil {
			t.Errorf("%s: accepted", name)
		}
		if _, known := r.Current(); known {
			t.Errorf("%s: registered", name)
		}
	}
}

// Guards against a backend server that is refused for good because of its version.
func TestVersionsOfSoftwareRegister(t *testing.T) {
	for version, want := range map[model.ServiceVersion]bool{"v1": true, "1.4.0-rc.1+build.7": true, "2:1.0~beta": true, "": false, "a b": false, "caf\xe9": false} {
		h := testHeartbeat("a", 1, 1, StateReady)
		h.Version = version
		if _, err := New(expectedServer).Heartbeat(h); (err == nil) != want {
			t.Errorf("%q: %v", version, err)
		}
	}
}
