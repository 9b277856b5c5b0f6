package note

import (
	"maps"
	"time"

	"balsamtrail.org/mesh/model"
)

// Record is an accepted note with the state of its rollout.
type Record struct {
	Note      Note               `cbor:"1,keyasint" json:"note"`
	Operator  model.OperatorName `cbor:"2,keyasint" json:"operator"`
	Operation model.OperationID  `cbor:"3,keyasint" json:"operation"`
	// Position is the position of the log entry that made this revision.
	Position model.Position `cbor:"4,keyasint" json:"position"`
	// Accepted, InForce, Done and Reversed are the times of this revision; zero means not yet.
	Accepted  time.Time   `cbor:"5,keyasint" json:"accepted"`
	InForce   time.Time   `cbor:"6,keyasint" json:"in_force,omitempty"`
	Done      time.Time   `cbor:"7,keyasint" json:"done,omitempty"`
	Reversed  time.Time   `cbor:"8,keyasint" json:"reversed,omitempty"`
	Withdrawn bool        `cbor:"9,keyasint,omitempty" json:"withdrawn,omitempty"`
	Moves     []MoveState `cbor:"10,keyasint,omitempty" json:"moves,omitempty"`
	// Steps holds the shares that the moves of this note have reached, by service, and
	// those of services that this note adds without shares.
	Steps map[model.ServiceName]Shares `cbor:"11,keyasint,omitempty" json:"steps,omitempty"`
	// StepOwners names, for the steps of a move of an earlier note, the number of that
	// note: its withdrawal undoes the step. The service was withdrawn and added again
	// since the move began.
	StepOwners map[model.ServiceName]uint64 `cbor:"12,keyasint,omitempty" json:"-"`
}

// MoveState is a move of an accepted note with the state of its rollout.
type MoveState struct {
	Move Move `cbor:"1,keyasint" json:"move"`
	// Note and Revision are those of the note that states the move.
	Note     uint64 `cbor:"2,keyasint" json:"note"`
	Revision uint64 `cbor:"3,keyasint" json:"revision"`
	// From holds the shares before the move; it is empty for a first version.
	From     Shares    `cbor:"4,keyasint,omitempty" json:"from,omitempty"`
	Accepted time.Time `cbor:"5,keyasint" json:"accepted"`
	Done     time.Time `cbor:"6,keyasint" json:"done,omitempty"`
	Reversed time.Time `cbor:"7,keyasint" json:"reversed,omitempty"`
	Reason   string    `cbor:"8,keyasint,omitempty" json:"reason,omitempty"`
	// Withdrawn is set when the note was withdrawn, or amended without this move or
	// with another target.
	Withdrawn bool `cbor:"9,keyasint,omitempty" json:"withdrawn,omitempty"`
}

// IsFirstVersion reports whether the move introduces the first version of a service.
func (m MoveState) IsFirstVersion() bool { return len(m.From) == 0 }

// Open reports whether the move is neither done, reversed nor withdrawn.
func (m MoveState) Open() bool { return m.Done.IsZero() && m.Reversed.IsZero() && !m.Withdrawn }

func (r *Record) winner() *Winner {
	return &Winner{
		Number: r.Note.Number, Revision: r.Note.Revision, Title: r.Note.Title, Operator: r.Operator,
		Operation: r.Operation, Accepted: r.Accepted, Withdrawn: r.Withdrawn,
	}
}

// newMoves returns the move states of a revision of a note. A move with the same
// target as in old keeps its state and the shares that it started from.
func newMoves(n Note, before Config, old []MoveState, at time.Time) []MoveState {
	var out []MoveState
	for _, m := range n.Moves {
		st := MoveState{Move: m, From: before.Shares[m.Service], Accepted: at}
		for _, o := range old {
			if o.Move.Service == m.Service && o.Move.To == m.To {
				st, st.Move = o, m
			}
		}
		st.Note, st.Revision = n.Number, n.Revision
		if st.IsFirstVersion() && st.Done.IsZero() {
			st.Done = at
		}
		out = append(out, st)
	}
	return out
}

// keptSteps returns the steps that the new revision n keeps: those of moves whose
// target is unchanged, and those of services that both revisions add without shares.
func keptSteps(r *Record, n Note) map[model.ServiceName]Shares {
	out := map[model.ServiceName]Shares{}
	for service, shares := range r.Steps {
		was, _ := r.Note.move(service)
		m, moves := n.move(service)
		addedOnly := n.adds(service) && !n.setsTraffic(service) && !r.Note.setsTraffic(service)
		if moves && m.To == was.To || addedOnly {
			out[service] = shares
		}
	}
	return out
}

// keptStepOwners returns the owners of the kept steps.
func keptStepOwners(r *Record, kept map[model.ServiceName]Shares) map[model.ServiceName]uint64 {
	out := maps.Clone(r.StepOwners)
	maps.DeleteFunc(out, func(service model.ServiceName, _ uint64) bool { _, ok := kept[service]; return !ok })
	return out
}

// droppedMoves returns the moves of the note that its new revision n drops or gives
// another target.
func (r *Record) droppedMoves(n Note) []Move {
	var out []Move
	for _, m := range r.Note.Moves {
		if kept, ok := n.move(m.Service); !ok || kept.To != m.To {
			out = append(out, m)
		}
	}
	return out
}

// move returns the note's move of a service; a nil record has none.
func (r *Record) move(service model.ServiceName) (Move, bool) {
	if r == nil {
		return Move{}, false
	}
	return r.Note.move(service)
}

func (r *Record) moveState(service model.ServiceName) *MoveState {
	for i := range r.Moves {
		if r.Moves[i].Move.Service == service {
			return &r.Moves[i]
		}
	}
	return nil
}

// updateTimes derives the record's completion and reversal from its moves. The
// note is done when it is in force and every move is done; it is reversed when
// any move is.
func (r *Record) updateTimes() {
	done := r.InForce
	for _, m := range r.Moves {
		if !m.Reversed.IsZero() {
			r.Reversed, r.Done = m.Reversed, time.Time{}
			return
		}
		if m.Done.IsZero() || done.IsZero() {
			done = time.Time{}
			continue
		}
		if m.Done.After(done) {
			done = m.Done
		}
	}
	r.Done = done
}
