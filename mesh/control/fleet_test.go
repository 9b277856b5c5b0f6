package control

import (
	"testing"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
)

// Guards against a status that reports 0 nodes behind while a node still has an
// older version: operators would rely on a note that is not in force
// everywhere.
func TestNodesBehind(t *testing.T) {
	at := func(i uint64) model.Position { return model.Position{Epoch: 1, Index: i} }
	report := func(nodes int, least uint64) distribute.SubtreeReport {
		return distribute.SubtreeReport{Nodes: nodes, LowestPosition: at(least)}
	}
	for _, c := range []struct {
		alive int
		known distribute.SubtreeReport
		want  int
	}{
		{10, report(10, 7), 0},
		{10, report(4, 7), 6},
		{10, report(10, 6), 1},
		{10, report(11, 7), 0},
		{0, report(0, 0), 0},
	} {
		if got := nodesBehind(c.alive, c.known, at(7)); got != c.want {
			t.Errorf("%d alive, %+v: %d behind, want %d", c.alive, c.known, got, c.want)
		}
	}
}
