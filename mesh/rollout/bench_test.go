package rollout

import (
	"fmt"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

// BenchmarkRecord measures the cost of Record for each call.
func BenchmarkRecord(b *testing.B) {
	r := NewRecorder("n1", 1)
	r.Watch([]Status{{Move: moveTo(1, 1, "v2"), From: "v1"}})
	o := observation("v2", CallOK)
	for b.Loop() {
		r.Record(t0, o)
	}
}

// BenchmarkTick measures one decision on a move with 3 routes in 19 data centres and
// reports the encoded size of the report behind it.
func BenchmarkTick(b *testing.B) {
	m := newMachine()
	m.do(startOf(moveTo(1, 1, "v2")))
	m.raiseTo(2000)
	st, leader := m.Active(), NewLeader(nil)
	var r Report
	for i := range 19 {
		for j := range 3 {
			for _, v := range []model.ServiceVersion{"v1", "v2"} {
				f := traffic{version: v, route: model.RouteName(fmt.Sprint("route-", j)), dc: model.DataCentre(fmt.Sprint("dc-", i)), calls: 100, errors: 1, latency: fastLatency}
				r.Cells = append(r.Cells, f.cell())
			}
		}
	}
	data, _ := EncodeReport(r)
	now, capacity := at(10*time.Second), func(model.ServiceName) Capacity { return warmCapacity }
	for b.Loop() {
		now = now.Add(time.Second)
		r.Host, r.Sequence = "n1", r.Sequence+1
		leader.Report(now, r)
		leader.Tick(now, st, 1, capacity)
	}
	b.ReportMetric(float64(len(data))/float64(len(r.Cells)), "B/cell")
}
