package routing

import (
	"fmt"
	"testing"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// meshOfDesignSize has 1,500 services with one route each and 13,000 announcements.
func meshOfDesignSize() (note.Config, []membership.Announcement) {
	const services, hosts = 1500, 13_000
	c := note.NewConfig()
	for i := range services {
		s := model.ServiceName(fmt.Sprint("s", i))
		c.Services[s] = note.Service{Name: s, Slots: 20}
		c.Shares[s] = note.Shares{"v1": 9900, "v2": 100}
		r := model.RouteName(fmt.Sprint("r", i))
		c.Routes[r] = note.Route{Name: r, PathPrefix: fmt.Sprintf("/api/s%d", i), Methods: []string{"GET", "POST"}, Service: s}
	}
	var list []membership.Announcement
	for i := range hosts {
		list = append(list, membership.Announcement{
			Host: model.HostID(fmt.Sprint("h", i)), Service: model.ServiceName(fmt.Sprint("s", i%services)),
			Version:    model.ServiceVersion(fmt.Sprint("v", 1+i/services%2)),
			DataCentre: model.DataCentre(fmt.Sprint("dc", i%19)), Slots: 20, State: membership.StateServing,
		})
	}
	return c, list
}

func BenchmarkNewTable(b *testing.B) {
	c, list := meshOfDesignSize()
	for b.Loop() {
		NewTable(c, list)
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// BenchmarkPick is one call: match, version, backend server, outcome.
func BenchmarkPick(b *testing.B) {
	c, list := meshOfDesignSize()
	t := NewTable(c, list)
	p := NewPicker(PickerConfig{DataCentre: "dc1", Seed: 1})
	now := time.Unix(1000, 0)
	p.SetTable(now, t)
	paths := make([]string, 1500)
	for i := range paths {
		paths[i] = fmt.Sprintf("/api/s%d/items/7", i)
	}
	i := 0
	for b.Loop() {
		i++
		now = now.Add(time.Millisecond)
		r := must(t.Match("GET", paths[i%len(paths)]))
		a := must(p.BackendServer(now, r.Service, must(p.Version(r.Service)), nil))
		p.Observe(now, a.Host, Outcome{Result: ResultOK, Latency: time.Millisecond, Limit: 20})
	}
}

// BenchmarkBuilder is one changed announcement and the table that results.
func BenchmarkBuilder(b *testing.B) {
	c, list := meshOfDesignSize()
	builder := NewBuilder(c)
	builder.Announce(list...)
	builder.Table()
	for i := 0; b.Loop(); i++ {
		builder.Announce(list[i%len(list)])
		builder.Table()
	}
}
