package rollout

import (
	"slices"

	"balsamtrail.org/mesh/model"
)

// Phase is the phase of a move.
type Phase uint8

// The phases. A move in PhaseDone is watched until Status.WatchEnded is set.
const (
	PhaseWaiting Phase = iota + 1
	PhaseMoving
	PhaseDone
	PhaseReversed
	PhaseWithdrawn
)

var phaseNames = map[Phase]string{
	PhaseWaiting: "waiting", PhaseMoving: "moving", PhaseDone: "done",
	PhaseReversed: "reversed", PhaseWithdrawn: "withdrawn",
}

// String returns the name used in status answers.
func (p Phase) String() string { return phaseNames[p] }

// maxSteps bounds the history of one move; the oldest steps after the first are dropped.
const maxSteps = 32

// StepRecord is one accepted change of a move.
type StepRecord struct {
	Op     Op          `cbor:"1,keyasint"`
	Time   Instant     `cbor:"2,keyasint"`
	Index  uint64      `cbor:"3,keyasint"`
	Share  model.Share `cbor:"4,keyasint"`
	Reason string      `cbor:"5,keyasint,omitempty"`
	// Summary is the evidence that the step was decided on.
	Summary Summary `cbor:"6,keyasint"`
}

// Status is the durable state of one move, the same on every control host.
type Status struct {
	Move Move `cbor:"1,keyasint"`
	// From is the version that To replaces.
	From  model.ServiceVersion `cbor:"2,keyasint"`
	Phase Phase                `cbor:"3,keyasint"`
	// Share is To's part of the calls; From has the rest.
	Share model.Share `cbor:"4,keyasint"`
	// Sequence grows with each change.
	Sequence uint64 `cbor:"5,keyasint"`
	// Accepted, Changed, Completed and Ended are the audit times; 0 if not yet.
	Accepted  Instant `cbor:"6,keyasint"`
	Changed   Instant `cbor:"7,keyasint"` // of the last change of the share
	Completed Instant `cbor:"8,keyasint,omitempty"`
	Ended     Instant `cbor:"9,keyasint,omitempty"` // reversed, withdrawn, or watch ended
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
