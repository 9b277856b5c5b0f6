package note

import (
	"fmt"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

// newFullSizeState returns a state of the planned size: 1,500 services with three
// routes each.
func newFullSizeState(b *testing.B) *driver {
	d := newDriver(defaultLimits)
	for i := range uint64(15) {
		n := Note{Number: i + 1}
		for j := range 100 {
			name := model.ServiceName(fmt.Sprintf("service-%d-%d", i, j))
			n.Services.Added = append(n.Services.Added, service(name))
			n.Shares = append(n.Shares, ServiceShares{Service: name, Shares: allTraffic("v1")})
			for k := range 3 {
				n.Routes.Added = append(n.Routes.Added, route(model.RouteName(fmt.Sprintf("%s-%d", name, k)), name))
			}
		}
		if err := d.publish(n).Err(); err != nil {
			b.Fatal(err)
		}
	}
	return d
}

// BenchmarkPublish measures one change to a configuration of the planned size; bursts
// of 500 changes a second must leave the leader time for other work.
func BenchmarkPublish(b *testing.B) {
	d := newFullSizeState(b)
	for b.Loop() {
		s := service("service-1-1")
		s.Slots = 1 + int(d.index%100)
		n := Note{Number: d.Head() + 1, Services: Changes[Service]{Changed: []Service{s}}}
		if err := d.publish(n).Err(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWithdraw measures a withdrawal, which folds all retained notes again.
func BenchmarkWithdraw(b *testing.B) {
	d := newFullSizeState(b)
	for d.Head() < maxRetainedNotes-1 {
		d.publish(Note{Number: d.Head() + 1, Services: Changes[Service]{Changed: []Service{service("service-1-1")}}})
	}
	for b.Loop() {
		d.publish(Note{Number: d.Head() + 1, Services: Changes[Service]{Changed: []Service{service("service-1-2")}}})
		if err := d.do(Command{Withdraw: &Withdraw{Number: d.Head(), ExpectedRevision: 1}}).Err(); err != nil {
			b.Fatal(err)
		}
	}
}

// configsWithOneChange returns a configuration of the planned size before and after
// a change to one service.
func configsWithOneChange(b *testing.B) (before, after Config) {
	d := newFullSizeState(b)
	before = d.Config()
	s := service("service-1-1")
	s.Slots++
	if err := d.publish(Note{Number: d.Head() + 1, Services: Changes[Service]{Changed: []Service{s}}}).Err(); err != nil {
		b.Fatal(err)
	}
	return before, d.Config()
}

// BenchmarkDiff measures the delta between two configurations of the planned size.
func BenchmarkDiff(b *testing.B) {
	before, after := configsWithOneChange(b)
	for b.Loop() {
		Diff(before, after)
	}
}

// BenchmarkApply measures applying the delta of one change, as each node does.
func BenchmarkApply(b *testing.B) {
	before, after := configsWithOneChange(b)
	delta := Diff(before, after)
	for b.Loop() {
		if _, err := before.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

// declaration returns the log entry of a declaration of 900 routes, as large ones of the
// platform are.
func declaration(b *testing.B, version uint64) []byte {
	d := Declare{Version: version, Base: version - 1, Document: make([]byte, 150<<10)}
	for i := range 2 {
		d.Services = append(d.Services, service(model.ServiceName(fmt.Sprintf("service-%d", i))))
	}
	for i := range 900 {
		r := route(model.RouteName(fmt.Sprintf("route-%d", i)), "service-0")
		r.Host, r.PathPrefix = fmt.Sprintf("h-%d.example", i%7), fmt.Sprintf("/p-%d/", i)
		if i == 0 {
			r.Timeout += time.Duration(version) * time.Millisecond
		}
		d.Routes = append(d.Routes, r)
		copy(d.Document[i*150:], fmt.Sprintf(`"route-%d":{"host":%q,"pathPrefix":%q,"routeType":"idempotent","timeoutMs":1200,"service":"service-0"}`, i, r.Host, r.PathPrefix))
	}
	raw, err := EncodeCommand(Command{Operator: "front-end", Time: time.Unix(1, 0).UTC(), Declare: &d})
	if err != nil {
		b.Fatal(err)
	}
	return raw
}

// BenchmarkReplayDeclarations measures one log entry with a whole configuration. A control
// host that starts replays those after its last snapshot before it can serve.
func BenchmarkReplayDeclarations(b *testing.B) {
	var entries [][]byte
	for i := range uint64(11) {
		entries = append(entries, declaration(b, i+1))
	}
	for b.Loop() {
		s := NewState()
		for i, raw := range entries {
			c, err := DecodeCommand(raw)
			if err != nil {
				b.Fatal(err)
			}
			if r := s.Apply(c, model.Position{Epoch: 1, Index: uint64(i + 1)}); r.Code != CodeOK {
				b.Fatal(r.Message)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*len(entries)), "µs/entry")
}

// BenchmarkSnapshotDeclared measures encoding and restoring the state of a control host
// after many declarations.
func BenchmarkSnapshotDeclared(b *testing.B) {
	s := NewState()
	for i := range uint64(40) {
		c, err := DecodeCommand(declaration(b, i+1))
		if err != nil {
			b.Fatal(err)
		}
		s.Apply(c, model.Position{Epoch: 1, Index: i + 1})
	}
	for b.Loop() {
		raw, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		if err := NewState().Restore(raw); err != nil {
			b.Fatal(err)
		}
	}
}
