package rollout

import (
	"fmt"
	"time"

	"balsamtrail.org/mesh/model"
)

// Instant is a Unix time in milliseconds, as commands carry it.
type Instant int64

// InstantOf converts t.
func InstantOf(t time.Time) Instant { return Instant(t.UnixMilli()) }

// Time converts i.
func (i Instant) Time() time.Time { return time.UnixMilli(int64(i)) }

// add moves i by d.
func (i Instant) add(d time.Duration) Instant { return i + Instant(d.Milliseconds()) }

// MoveID names a move: a note has at most one for each service.
type MoveID struct {
	Note    uint64            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
}

// Move is the shift of all traffic of a service to a version by a stated time.
type Move struct {
	ID MoveID `cbor:"1,keyasint"`
	// Revision is the note's; an amended note restarts or changes its move.
	Revision uint64               `cbor:"2,keyasint"`
	To       model.ServiceVersion `cbor:"3,keyasint"`
	By       Instant              `cbor:"4,keyasint"`
	// WatchFor is how long the version can still be reversed after completion.
	WatchFor time.Duration `cbor:"5,keyasint"`
}

// Op is the kind of a command.
type Op uint8

// The commands.
const (
	// OpStart accepts a move, or changes the one of an older revision.
	OpStart Op = iota + 1
	// OpStep sets the share of the new version.
	OpStep
	// OpVerdict records a judgement that does not change the share, such as a deadline at risk.
	OpVerdict
	// OpComplete says that the new version has all traffic.
	OpComplete
	// OpReverse takes the new version's share to zero.
	OpReverse
	// OpWithdraw ends a move on an operator's request.
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

// Command is one entry of group 0 that concerns a move.
type Command struct {
	Op   Op      `cbor:"1,keyasint"`
	Move Move    `cbor:"2,keyasint"` // OpStart uses all of it, the others its ID
	Time Instant `cbor:"3,keyasint"`
	// From is the version that has the traffic of a service that had no move before.
	From model.ServiceVersion `cbor:"4,keyasint,omitempty"`
	// Expect is the Sequence of the status that a leader decided on. A command
	// of a former leader that overlooks a newer decision is refused.
	Expect  uint64      `cbor:"5,keyasint,omitempty"`
	Share   model.Share `cbor:"6,keyasint,omitempty"`
	Reason  string      `cbor:"7,keyasint,omitempty"`
	Verdict *Verdict    `cbor:"8,keyasint,omitempty"`
	Summary Summary     `cbor:"9,keyasint"`
	// Forecast is when the move is expected to complete, 0 if unknown.
	Forecast Instant `cbor:"10,keyasint,omitempty"`
	AtRisk   bool    `cbor:"11,keyasint,omitempty"`
}

// Outcome of a command.
type Outcome uint8

// The outcomes of commands.
const (
	OutcomeApplied Outcome = iota + 1
	// OutcomeUnchanged says that the command was applied before.
	OutcomeUnchanged
	// OutcomeStale refuses a decision on an older status.
	OutcomeStale
	// OutcomeUnknownMove refuses a command for a move that is not current.
	OutcomeUnknownMove
	// OutcomeClosed refuses a change of a move that has ended.
	OutcomeClosed
	// OutcomeRefused refuses a command with a bad field or a share above the evidence bound.
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
