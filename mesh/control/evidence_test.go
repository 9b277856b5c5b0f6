package control

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/rollout"
)

var evidenceKey = rollout.Key{Service: "ledger", Version: "v2", Route: "status", DataCentre: "thun"}

func nodeReport(host model.HostID, sequence, calls uint64) rollout.Report {
	return rollout.Report{Host: host, Incarnation: 1, Sequence: sequence, Nodes: 1,
		Cells: []rollout.Cell{{Key: evidenceKey, Counts: rollout.Counts{Calls: calls}}}}
}

func callsOf(r rollout.Report) (n uint64) {
	for _, c := range r.Cells {
		n += c.Counts.Calls
	}
	return n
}

// Guards against counting calls twice when a node sends a report again, as
// after a lost stream.
func TestEvidenceCountsARepeatedReportOnce(t *testing.T) {
	e := newEvidence("c1", 1)
	now := time.Unix(1000, 0)
	e.add(now, nodeReport("n1", 1, 10), rollout.Load{})
	e.add(now, nodeReport("n1", 1, 10), rollout.Load{})
	e.add(now, nodeReport("n2", 1, 5), rollout.Load{})
	if n := callsOf(e.takeReport(now)); n != 15 {
		t.Errorf("%d calls, want 15", n)
	}
	if n := callsOf(e.takeReport(now)); n != 0 {
		t.Errorf("%d calls were returned twice", n)
	}
}

// Guards against a node count that drops to 0 between two reports because the
// leader asks more often than nodes report: the leader then held moves for
// missing reports.
func TestEvidenceCountsNodesThatReportedRecently(t *testing.T) {
	e := newEvidence("c1", 1)
	now := time.Unix(1000, 0)
	e.add(now, nodeReport("n1", 1, 1), rollout.Load{})
	e.add(now, nodeReport("n2", 1, 1), rollout.Load{})
	for i := range 3 {
		if r := e.takeReport(now.Add(time.Duration(i) * pollInterval)); r.Nodes != 2 || r.Sequence != uint64(i+1) {
			t.Errorf("call %d: %d nodes, sequence %d", i, r.Nodes, r.Sequence)
		}
	}
	if r := e.takeReport(now.Add(maxLoadAge + time.Second)); r.Nodes != 0 {
		t.Errorf("%d nodes are counted after they stopped reporting", r.Nodes)
	}
}

// Guards against loads that are not added up by version, and against the load
// of a node that stopped reporting counting as capacity.
func TestEvidenceDropsTheLoadOfUnresponsiveNodes(t *testing.T) {
	e := newEvidence("c1", 1)
	now := time.Unix(1000, 0)
	load := rollout.Load{Service: "ledger", Version: "v2", Servers: 1, Limit: 20}
	e.add(now, nodeReport("n1", 1, 1), load)
	later := now.Add(2 * time.Second)
	e.add(later, nodeReport("n2", 1, 1), load)
	if l := e.loadsByVersion(later); len(l) != 1 || l[0].Servers != 2 || l[0].Limit != 40 {
		t.Errorf("loads: %+v", l)
	}
	if l := e.loadsByVersion(now.Add(maxLoadAge + time.Second)); len(l) != 1 || l[0].Servers != 1 {
		t.Errorf("loads after n1 stopped reporting: %+v", l)
	}
}
