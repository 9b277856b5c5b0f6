package rollout

import (
	"fmt"
	"time"

	"balsamtrail.org/mesh/model"
)

// Instant is a Unix time in milliseconds, the form in which commands carry times.
type Instant int64

// InstantOf converts t to an Instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time converts i to a time.Time.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)) }

// add returns i plus d.
func (i Instant) add(d time.Duration) Instant { return i + Instant(d.Milliseconds()) }

// MoveID identifies a move: a note has at most one for each service.
type MoveID struct {
	Note    uint64            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
}

// Move shifts all traffic of a service to a version by a deadline.
type Move struct {
	ID MoveID `cbor:"1,keyasint"`
	// Revision is the revision of the note; an amended note changes or restarts its move.
	Revision uint64               `cbor:"2,keyasint"`
	To       model.ServiceVersion `cbor:"3,keyasint"`
	By       Instant              `cbor:"4,keyasint"`
	// WatchFor is how long after completion the version is watched and can still be reversed.
	WatchFor time.Duration `cbor:"5,keyasint"`
}

// Op is the kind of a command.
type Op uint8

// The commands.
const (
	// OpStart accepts a move or applies a newer revision of it.
	OpStart Op = iota + 1
	// OpStep sets the share of the new version.
	OpStep
	// OpVerdict records a change of Forecast and AtRisk without changing the share.
	OpVerdict
	// OpComplete marks a move as completed; the new version has all traffic.
	OpComplete
	// OpReverse ends a move and returns all calls to the old version.
	OpReverse
	// OpWithdraw ends a move on an operator's request or because another one replaces it.
	OpWithdraw
	// OpEndWatch ends the watch after completion.
	OpEndWatch
)

var opNames = map[Op]string{
	OpStart: "start", OpStep: "step", OpVerdict: "verdict", OpComplete: "complete",
	OpReverse: "reverse", OpWithdraw: "withdraw", OpEndWatch: "end-watch",
}

// String returns the name used in logs and status records.
func (o Op) String() string {
	if n, ok := opNames[o]; ok {
		return n
	}
	return fmt.Sprintf("op(%d)", uint8(o))
}

// Command is an entry in the log of group 0 that concerns a move.
type Command struct {
	Op   Op      `cbor:"1,keyasint"`
	Move Move    `cbor:"2,keyasint"` // OpStart uses all fields, the other commands only the ID
	Time Instant `cbor:"3,keyasint"`
	// From is the version that has the traffic if the service had no move before.
	From model.ServiceVersion `cbor:"4,keyasint,omitempty"`
	// ExpectedSequence is the Sequence of the status on which the leader decided. It makes State refuse a
	// command of a former leader that does not know a newer decision.
	ExpectedSequence uint64      `cbor:"5,keyasint,omitempty"`
	Share            model.Share `cbor:"6,keyasint,omitempty"`
	Reason           string      `cbor:"7,keyasint,omitempty"`
	Verdict          *Verdict    `cbor:"8,keyasint,omitempty"`
	Summary          Summary     `cbor:"9,keyasint"`
	// Forecast is when the move is expected to complete, 0 if unknown.
	Forecast Instant `cbor:"10,keyasint,omitempty"`
	AtRisk   bool    `cbor:"11,keyasint,omitempty"`
}

// Outcome is the result of applying a command.
type Outcome uint8

// The outcomes of commands.
const (
	OutcomeApplied Outcome = iota + 1
	// OutcomeUnchanged says that this or a newer revision of the move was accepted before.
	OutcomeUnchanged
	// OutcomeStale refuses a decision on an older status, or a move of an older note than the current one.
	OutcomeStale
	// OutcomeUnknownMove refuses a command for a move that is not current.
	OutcomeUnknownMove
	// OutcomeClosed refuses a change of a move that has ended.
	OutcomeClosed
	// OutcomeRefused refuses a command with an invalid field, one that the phase does not allow, or a share
	// above the bound that the evidence allows.
	OutcomeRefused
)

var outcomeNames = map[Outcome]string{
	OutcomeApplied: "applied", OutcomeUnchanged: "unchanged", OutcomeStale: "stale",
	OutcomeUnknownMove: "unknown-move", OutcomeClosed: "closed", OutcomeRefused: "refused",
}

// String returns the name used in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Result is the outcome of a command with the status after it.
type Result struct {
	Outcome Outcome
	Status  Status
}
