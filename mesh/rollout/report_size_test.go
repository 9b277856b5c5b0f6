package rollout

import (
	"fmt"
	"testing"

	"balsamtrail.org/mesh/model"
)

// entryReport is the report of an entry node of Aare during a move: it sends calls of five
// routes to two versions in three data centres.
func entryReport() Report {
	r := Report{Host: "roster-v1-8", Incarnation: 1796382874000, Sequence: 7, Nodes: 1}
	for _, version := range []model.ServiceVersion{"v1", "v2"} {
		for route := range 5 {
			for _, dc := range []model.DataCentre{"thun", "bern-altstadt", "burgdorf"} {
				c := Cell{Key: Key{Service: "ledger", Version: version, DataCentre: dc, Kind: model.KindLookup,
					Route: model.RouteName(fmt.Sprintf("cabinet-status-%d", route))}}
				c.Counts.Calls = 44
				for b := 8; b < 14; b++ {
					c.Counts.Latency[b] = 7
				}
				c.Counts.Latency[14] = 44 - 6*7
				r.Cells = append(r.Cells, c)
			}
		}
	}
	return r
}

// Guards against reports that use up a node's budget of 8 KB a second for control traffic.
// A node sends two reports a second; 1 KiB each limits them to a quarter of the budget.
func TestReportFitsTheControlBudget(t *testing.T) {
	b, err := EncodeReport(entryReport())
	if err != nil {
		t.Fatal(err)
	}
	if len(b) > 1<<10 {
		t.Errorf("report of 30 cells has %d bytes, maximum 1024", len(b))
	}
	back, err := DecodeReport(b)
	if err != nil {
		t.Fatal(err)
	}
	if len(back.Cells) != 30 || back.Cells[3] != entryReport().Cells[3] {
		t.Error("decoded report differs")
	}
}
