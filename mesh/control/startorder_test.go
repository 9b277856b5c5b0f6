package control

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
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
	s.confirmed.Store(true)
	if !s.accepts(start) {
		t.Error("nodes are kept out although a leader is known")
	}
}

// Guards against a position that is confirmed by a question to the leader from before the
// call, which could miss what was accepted in between; and, at the start of a fleet, against
// one question for each node.
func TestConfirmationsAreSharedAndBeginAfterTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s sharedConfirmation
		questions := uint64(0)
		ask := func() (model.Position, error) {
			questions++
			began := questions
			time.Sleep(10 * time.Millisecond)
			return model.Position{Index: began}, nil
		}
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 10)
				before := questions
				if pos, err := s.await(t.Context(), time.Now(), ask); err != nil || pos.Index <= before {
					t.Errorf("%v %v by question %d, asked after question %d", pos, err, pos.Index, before)
				}
			})
		}
		wg.Wait()
		if questions != 2 {
			t.Errorf("%d questions for calls during one question, want 2", questions)
		}
		// Of two nodes that ask now, one started before the last question began.
		began := s.last.began
		if pos, err := s.await(t.Context(), began, ask); err != nil || pos.Index != 2 {
			t.Errorf("a node that started before: %v %v", pos, err)
		}
		if pos, err := s.await(t.Context(), began.Add(time.Nanosecond), ask); err != nil || pos.Index != 3 {
			t.Errorf("a node that started since: %v %v", pos, err)
		}
	})
}
