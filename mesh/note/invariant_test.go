package note

import (
	"testing"
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

// countViolations runs f and returns the number of violated invariants, which do
// not stop it.
func countViolations(f func()) int64 {
	invariant.SetFatal(false)
	defer invariant.SetFatal(true)
	before := invariant.Violations()
	f()
	return invariant.Violations() - before
}

// Guards against invariant checks that miss a change accepted at an older position,
// or an accepted note that cannot be folded into the base.
func TestAssertionsFire(t *testing.T) {
	s := NewState()
	publish := func(number uint64, name model.ServiceName, index uint64) {
		n := Note{Number: number, Title: "test", Moves: []Move{{Service: name, To: "v1", By: time.Unix(2e9, 0)}},
			Services: Changes[Service]{Added: []Service{{Name: name, Slots: 1, Connections: 1}}}}
		c := Command{Operator: "demo", Operation: model.OperationID(name), Time: time.Unix(1e9, 0), Publish: &Publish{Note: n}}
		if r := s.Apply(c, model.Position{Epoch: 1, Index: index}); r.Code != CodeOK {
			t.Fatalf("%+v", r)
		}
	}
	publish(1, "a", 5)
	if n := countViolations(func() { publish(2, "b", 3) }); n != 1 {
		t.Errorf("%d violations for a change at an older position, want 1", n)
	}
	s = NewState()
	s.limits.retained = 0
	s.retained = []*Record{{Note: Note{Number: 1, Services: Changes[Service]{Withdrawn: []string{"unknown"}}}}}
	if n := countViolations(s.compact); n != 1 {
		t.Errorf("%d violations for a note that cannot be folded, want 1", n)
	}
}
