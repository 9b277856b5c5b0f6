package control

import (
	"testing"
	"time"
)

// Guards against nodes that delay the election at the start of a whole mesh, and
// against nodes that are kept out for good where there is no quorum.
func TestStartOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	s := newStartOrder(start)
	if s.accepts(start.Add(leaderFirst - 1)) {
		t.Error("nodes are accepted before a leader is known")
	}
	if !s.accepts(start.Add(leaderFirst)) {
		t.Error("nodes are kept out of a group without a leader")
	}
	s.leaderKnown.Store(true)
	if !s.accepts(start) {
		t.Error("nodes are kept out although a leader is known")
	}
}
