package routing

import (
	"errors"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Guards against round trips to servers that are known to be full, and against refusals
// while a server may have room.
func TestDeclinedCallIsRefusedOnlyIfAllOthersAreFull(t *testing.T) {
	declined := Outcome{Result: ResultDeclined, Limit: 20, Utilization: 1.6}
	served := Outcome{Result: ResultOK, Limit: 20, Utilization: 1.7}
	room := Outcome{Result: ResultOK, Limit: 20, Utilization: 1.2}
	shed := Outcome{Result: ResultRefused, Limit: 20, Utilization: 0.5}
	for _, c := range []struct {
		name   string
		others []Outcome // of the servers that the call has not tried
		first  Outcome   // of the one that it has
		age    time.Duration
		want   bool
	}{
		{"all others declined or as loaded", []Outcome{declined, served, declined}, declined, 0, true},
		{"one with a shorter queue", []Outcome{declined, declined, declined, room}, declined, 0, false},
		{"too few reports", []Outcome{declined, declined}, declined, 0, false},
		{"old reports", []Outcome{declined, declined, declined}, declined, 200 * time.Millisecond, false},
		{"refused by the backend server itself", []Outcome{declined, declined, declined}, shed, 0, false},
	} {
		list := servers("v1", "thun", 1+len(c.others))
		p := NewPicker(PickerConfig{DataCentre: "thun", Seed: 1})
		p.SetTable(start, NewTable(config(note.Shares{"v1": model.ShareAll}), list))
		for i, o := range append([]Outcome{c.first}, c.others...) {
			_ = must(p.PickBackendServer(start, "s", "v1", nil))
			p.Observe(start, list[i].Host, o)
		}
		err := p.CheckRoom(start.Add(c.age), "s", "v1", []model.HostID{list[0].Host})
		if got := errors.Is(err, ErrNoRoom); got != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
		if err := p.CheckRoom(start.Add(c.age), "s", "v1", nil); err != nil {
			t.Errorf("%s, first attempt: %v", c.name, err)
		}
	}
}
