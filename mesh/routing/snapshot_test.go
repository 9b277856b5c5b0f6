package routing

import (
	"math"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/telemetry"
)

// explainedPicker returns a picker with two versions, a data centre that is preferred, a
// slow, an ejected and a full backend server, and a version without any.
func explainedPicker() *Picker {
	cfg := config(note.Shares{"v1": 9000, "v2": 900, "v3": 100})
	p := NewPicker(PickerConfig{DataCentre: "thun", Seed: 7})
	p.SetTable(start, NewTable(cfg, append(append(servers("v1", "thun", 4), servers("v1", "bern", 2)...), servers("v2", "thun", 1)...)))
	must(p.PickVersion("s"))
	for i, a := range servers("v1", "thun", 4) {
		p.Observe(start, a.Host, Outcome{Result: ResultOK, Limit: 20, Utilization: 0.2, Latency: 100 * time.Millisecond,
			RecentServiceTime: time.Duration(1+9*(i%2)) * 100 * time.Millisecond, UsualServiceTime: 100 * time.Millisecond})
	}
	for range ejectionThreshold {
		p.Observe(start, "thun-v1-0", Outcome{Result: ResultFailed})
	}
	p.Observe(start, "thun-v1-2", Outcome{Result: ResultRefused, Limit: 0})
	return p
}

var splitRoute = note.Route{Name: "split", Service: "s", Split: []note.Destination{{Service: "s", Weight: 2}, {Service: "t", Weight: 1}}}

// Guards against an explanation that moves balancers, splits, random numbers or counters, so
// that looking at a node changes where its requests go.
func TestExplanationsChangeNothing(t *testing.T) {
	a, b := explainedPicker(), explainedPicker()
	skipped := telemetry.Counter(MetricSkipped).Count()
	for i := range 300 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		for range i % 3 {
			must(a.Choices(now, "s", nil))
			s := a.Snapshot(splitRoute)
			s.PickService(splitRoute)
			v := must(s.PickVersion("s"))
			must(s.PickBackendServer(now, "s", v, nil))
			a.HedgeLoad("s", v)
		}
		if x, y := a.PickService(splitRoute), b.PickService(splitRoute); x != y {
			t.Fatalf("call %d: destination %s, without explanations %s", i, x, y)
		}
		va, vb := must(a.PickVersion("s")), must(b.PickVersion("s"))
		ca, cb := must(a.PickBackendServer(now, "s", va, nil)), must(b.PickBackendServer(now, "s", vb, nil))
		if ca.Host != cb.Host || ca.Reason != cb.Reason {
			t.Fatalf("call %d: %s (%s), without explanations %s (%s)", i, ca.Host, ca.Reason, cb.Host, cb.Reason)
		}
		if i%2 == 0 { // some requests stay in flight
			o := Outcome{Result: ResultOK, Limit: 20, Utilization: float64(i%10) / 10, RecentServiceTime: 100, UsualServiceTime: 100}
			a.Observe(now, ca.Host, o)
			b.Observe(now, cb.Host, o)
		}
	}
	if got := telemetry.Counter(MetricSkipped).Count(); got != skipped {
		t.Errorf("%d versions counted as skipped", got-skipped)
	}
}

// Guards against explanations that differ from what calls get: the next version, the
// probabilities, and the values of backend servers that are not chosen.
func TestExplanationMatchesChoices(t *testing.T) {
	p := explainedPicker()
	for range 50 {
		next := must(p.Snapshot(splitRoute).PickVersion("s"))
		if got := must(p.PickVersion("s")); got != next {
			t.Fatalf("version %s, explained %s", got, next)
		}
	}
	choices := must(p.Choices(start, "s", []model.HostID{"thun-v1-1"}))
	if len(choices) != 3 || choices[0].Version != "v1" || choices[2].Version != "v3" || choices[2].Part != 0 || len(choices[2].Candidates) != 0 {
		t.Fatalf("%+v", choices)
	}
	got := map[model.HostID]float64{}
	const draws = 3000
	for range draws {
		c := must(p.PickBackendServer(start, "s", "v1", []model.HostID{"thun-v1-1"}))
		p.Observe(start, c.Host, Outcome{Result: ResultCancelled})
		got[c.Host] += 1.0 / draws
	}
	for _, c := range choices[0].Candidates {
		if math.Abs(c.Probability-got[c.Host]) > 0.08 {
			t.Errorf("%s: explained %.2f, chosen %.2f", c.Host, c.Probability, got[c.Host])
		}
		switch c.Host {
		case "thun-v1-0":
			if c.EjectedFor != time.Second || c.Probability != 0 {
				t.Errorf("ejected: %+v", c)
			}
		case "thun-v1-1":
			if !c.Excluded || c.Service.Recent != time.Second || c.Expected < time.Second {
				t.Errorf("tried: %+v", c)
			}
		case "thun-v1-2":
			if !c.ZeroLimit || c.Probability != 0 {
				t.Errorf("full: %+v", c)
			}
		}
	}
	if _, err := p.Choices(start, "unknown", nil); err == nil {
		t.Error("choices of an unknown service")
	}
}
