package distribute

import (
	"fmt"
	"testing"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// plannedConfig returns a configuration of the planned size: 1,500 services and
// 3,000 routes.
func plannedConfig() note.Config {
	c := note.NewConfig()
	for s := range 1500 {
		name := fmt.Sprintf("service-%d", s)
		c.Services[service(name).Name] = service(name)
		c.Shares[service(name).Name] = note.Shares{"v1": model.ShareAll}
		for r := range 2 {
			x := route(fmt.Sprintf("route-%d-%d", s, r), name, 0)
			c.Routes[x.Name] = x
		}
	}
	return c
}

// BenchmarkPublish measures publishing a change at the source at the planned
// size.
func BenchmarkPublish(b *testing.B) {
	s, cs := NewStore(), []note.Config{plannedConfig(), plannedConfig()}
	x := route("route-0-0", "service-0", 1)
	cs[1].Routes[x.Name] = x
	for i := 0; b.Loop(); i++ {
		if err := s.Publish(positionAt(uint64(i+1)), cs[i%2]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPublishDelta measures the same for a caller that knows the delta.
func BenchmarkPublishDelta(b *testing.B) {
	s, cs := NewStore(), []note.Config{plannedConfig(), plannedConfig()}
	x := route("route-0-0", "service-0", 1)
	cs[1].Routes[x.Name] = x
	ds := []note.Delta{note.Diff(cs[1], cs[0]), note.Diff(cs[0], cs[1])}
	for i := 0; b.Loop(); i++ {
		if err := s.PublishDelta(positionAt(uint64(i+1)), cs[i%2], ds[i%2]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAcceptDelta measures accepting a push on a node at the planned size.
func BenchmarkAcceptDelta(b *testing.B) {
	s, next := NewStore(), plannedConfig()
	if err := s.Publish(positionAt(1), plannedConfig()); err != nil {
		b.Fatal(err)
	}
	first := s.Current()
	x := route("route-0-0", "service-0", 1)
	next.Routes[x.Name] = x
	if err := s.Publish(positionAt(2), next); err != nil {
		b.Fatal(err)
	}
	delta, _ := s.deltaSince(positionAt(1))
	eps := membership.NewTable()
	for s := range 1500 {
		eps.Merge(servingAnnouncement(fmt.Sprintf("h%d", s), fmt.Sprintf("service-%d", s), 1))
	}
	for b.Loop() {
		b.StopTimer()
		a := NewAcceptor("n1", NewStore(), eps, discardLog)
		if err := a.acceptVersion(first); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if err := a.acceptDelta(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot measures encoding one snapshot at the planned size.
func BenchmarkSnapshot(b *testing.B) {
	c := plannedConfig()
	v := &Version{Position: positionAt(1), Config: c, Sum: sumOf(c)}
	for b.Loop() {
		s, err := EncodeSnapshot(v)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(s.Data)), "bytes")
	}
}

// BenchmarkMerge measures merging an announcement into a table of 13,000 hosts.
func BenchmarkMerge(b *testing.B) {
	t := membership.NewTable()
	for i := range 13_000 {
		t.Merge(servingAnnouncement(fmt.Sprintf("h%d", i), fmt.Sprintf("service-%d", i%1500), 1))
	}
	seq := uint64(1)
	for i := 0; b.Loop(); i++ {
		seq++
		t.Merge(servingAnnouncement(fmt.Sprintf("h%d", i%13_000), "service-0", seq))
		t.Since(t.Sequence() - 1)
	}
}
