package rollout

import (
	"slices"

	"balsamtrail.org/mesh/model"
)

// Phase is the phase of a move.
type Phase uint8

// The phases. A move in PhaseDone is watched until Status.WatchEnded is set.
const (
	// PhaseWaiting is a move whose version has no share yet.
	PhaseWaiting Phase = iota + 1
	// PhaseMoving is a move whose share rises.
	PhaseMoving
	// PhaseDone is a completed move.
	PhaseDone
	// PhaseReversed is a move that the leader ended by returning all calls to the old version.
	PhaseReversed
	// PhaseWithdrawn is a move that an operator withdrew or that another move replaced before its completion.
	PhaseWithdrawn
)

var phaseNames = map[Phase]string{
	PhaseWaiting: "waiting", PhaseMoving: "moving", PhaseDone: "done",
	PhaseReversed: "reversed", PhaseWithdrawn: "withdrawn",
}

// String returns the name used in status answers.
func (p Phase) String() string { return phaseNames[p] }

// maxSteps is the number of kept steps of one move. Above it, the oldest step after the first is dropped.
const maxSteps = 32

// StepRecord is one accepted change of a move.
type StepRecord struct {
	Op     Op          `cbor:"1,keyasint"`
	Time   Instant     `cbor:"2,keyasint"`
	Index  uint64      `cbor:"3,keyasint"`
	Share  model.Share `cbor:"4,keyasint"`
	Reason string      `cbor:"5,keyasint,omitempty"`
	// Summary is the evidence on which the step was decided.
	Summary Summary `cbor:"6,keyasint"`
}

// Status is the replicated state of one move, the same on every control host.
type Status struct {
	Move Move `cbor:"1,keyasint"`
	// From is the version that To replaces.
	From  model.ServiceVersion `cbor:"2,keyasint"`
	Phase Phase                `cbor:"3,keyasint"`
	// Share is the fraction of the calls that go to To; From gets the others.
	Share model.Share `cbor:"4,keyasint"`
	// Sequence is the number of accepted changes.
	Sequence uint64 `cbor:"5,keyasint"`
	// Accepted, Changed, Completed and Ended are the times of these events, 0 if they have not occurred yet.
	Accepted  Instant `cbor:"6,keyasint"`
	Changed   Instant `cbor:"7,keyasint"` // last change of the share
	Completed Instant `cbor:"8,keyasint,omitempty"`
	Ended     Instant `cbor:"9,keyasint,omitempty"` // reversal, withdrawal or end of the watch
	Forecast  Instant `cbor:"10,keyasint,omitempty"`
	// AtRisk says that the move may miss its deadline; Reason says why.
	AtRisk     bool         `cbor:"11,keyasint,omitempty"`
	Reason     string       `cbor:"12,keyasint,omitempty"`
	Verdict    *Verdict     `cbor:"13,keyasint,omitempty"`
	WatchEnded bool         `cbor:"14,keyasint,omitempty"`
	Steps      []StepRecord `cbor:"15,keyasint,omitempty"`
}

// Active reports whether the move still needs decisions.
func (s Status) Active() bool {
	return s.Phase == PhaseWaiting || s.Phase == PhaseMoving || s.Phase == PhaseDone && !s.WatchEnded
}

// InTime reports whether the move completed by its deadline.
func (s Status) InTime() bool { return s.Completed != 0 && s.Completed <= s.Move.By }

// Shares returns the shares of the service's versions.
func (s Status) Shares() map[model.ServiceVersion]model.Share {
	out := map[model.ServiceVersion]model.Share{}
	if s.Share < model.ShareAll {
		out[s.From] = model.ShareAll - s.Share
	}
	if s.Share > 0 {
		out[s.Move.To] += s.Share
	}
	return out
}

func (s Status) clone() Status {
	s.Steps = slices.Clone(s.Steps)
	return s
}

// trimSteps keeps the first and the newest steps of a move that another one replaces.
func (s *Status) trimSteps() {
	if n := len(s.Steps); n > maxReplacedMoveSteps {
		s.Steps = slices.Delete(slices.Clone(s.Steps), 1, n-maxReplacedMoveSteps+1)
	}
}

func (s *Status) record(r StepRecord) {
	s.Steps = append(s.Steps, r)
	if len(s.Steps) > maxSteps {
		s.Steps = slices.Delete(s.Steps, 1, 2)
	}
}
