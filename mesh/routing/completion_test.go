package routing

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// reported returns a picker of two servers that have each answered once, with the given
// service times and loads.
func reported(seed uint64, now time.Time, a, b Outcome) (p *Picker, first model.HostID) {
	list := servers("v1", "thun", 2)
	p = NewPicker(PickerConfig{DataCentre: "thun", Seed: seed})
	p.SetTable(now, NewTable(config(note.Shares{"v1": model.ShareAll}), list))
	for i, o := range []Outcome{a, b} {
		_ = must(p.PickBackendServer(now, "s", "v1", []model.HostID{list[1-i].Host}))
		p.Observe(now, list[i].Host, o)
	}
	return p, list[0].Host
}

// Guards against requests for a server that is slow at the moment or has a queue, while
// another one would be done before it, and against old reports that still count.
func TestServerThatIsDoneFirstIsChosen(t *testing.T) {
	report := func(recent, usual time.Duration, load float64) Outcome {
		return Outcome{Result: ResultOK, Limit: 20, Utilization: load, RecentServiceTime: recent, UsualServiceTime: usual}
	}
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		first, second Outcome
		age           time.Duration
		wantFirst     bool
	}{
		{"the faster one", report(100*ms, 100*ms, 0.8), report(200*ms, 200*ms, 0.2), 0, true},
		{"the slower one, as the faster one has a queue", report(100*ms, 100*ms, 1.6), report(200*ms, 200*ms, 0.2), 0, false},
		{"not the one in a phase of slowness", report(250*ms, 100*ms, 0.2), report(200*ms, 200*ms, 0.2), 0, false},
		{"the usually faster one, as its phase of slowness is long past", report(250*ms, 100*ms, 0.2), report(200*ms, 200*ms, 0.2), 1500 * ms, true},
		{"the faster one beside one of an older release", report(100*ms, 100*ms, 0.2), report(0, 0, 0.7), 0, true},
	} {
		chosen := 0
		for seed := range uint64(50) { // a few of the calls probe another one
			p, first := reported(seed+1, start, c.first, c.second)
			a := must(p.PickBackendServer(start.Add(c.age), "s", "v1", nil))
			if (a.Host == first) == c.wantFirst {
				chosen++
			}
		}
		if chosen < 45 {
			t.Errorf("%s: chosen for %d of 50 calls", c.name, chosen)
		}
	}
}

// Guards against a hedge that is decided by an old phase of slowness.
func TestExpectedServiceDecaysToTheUsual(t *testing.T) {
	p, first := reported(1, start, Outcome{Result: ResultOK, Limit: 20, RecentServiceTime: 500 * time.Millisecond, UsualServiceTime: 200 * time.Millisecond},
		Outcome{Result: ResultOK, Limit: 20, RecentServiceTime: 400 * time.Millisecond, UsualServiceTime: 400 * time.Millisecond})
	if got, want := p.ExpectedService(start, "s", "v1", first), (ServiceTimes{Recent: 500 * time.Millisecond, Usual: 200 * time.Millisecond, Mean: 300 * time.Millisecond}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	got := p.ExpectedService(start.Add(time.Second), "s", "v1", first)
	if got.Recent > got.Usual*6/5 || got.Usual > 250*time.Millisecond {
		t.Errorf("%+v after 1 s, want the usual service time", got)
	}
	if got := p.ExpectedService(start.Add(10*time.Second), "s", "v1", first); got.Recent < 295*time.Millisecond {
		t.Errorf("%+v after 10 s, want the mean of the service", got)
	}
}
