package note

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// RolloutOperator is the operator name in commands that the leader proposes itself.
const RolloutOperator model.OperatorName = "rollout"

// Command is an entry of the replicated log that changes notes, data centres or
// traffic shares. Exactly one of the pointers is set.
type Command struct {
	Operator model.OperatorName `cbor:"1,keyasint"`
	// Operation is set in commands of operators; a resend carries the same one.
	Operation model.OperationID `cbor:"2,keyasint,omitempty"`
	// Time is the leader's time when it proposed the command.
	Time time.Time `cbor:"3,keyasint"`

	Publish           *Publish           `cbor:"10,keyasint,omitempty"`
	Amend             *Amend             `cbor:"11,keyasint,omitempty"`
	Withdraw          *Withdraw          `cbor:"12,keyasint,omitempty"`
	TakeOut           *TakeOut           `cbor:"13,keyasint,omitempty"`
	BeginReturn       *BeginReturn       `cbor:"14,keyasint,omitempty"`
	FinishReturn      *FinishReturn      `cbor:"15,keyasint,omitempty"`
	SetShares         *SetShares         `cbor:"16,keyasint,omitempty"`
	MarkInForce       *MarkInForce       `cbor:"17,keyasint,omitempty"`
	MarkDone          *MarkDone          `cbor:"18,keyasint,omitempty"`
	MarkReversed      *MarkReversed      `cbor:"19,keyasint,omitempty"`
	RecordControlHost *RecordControlHost `cbor:"20,keyasint,omitempty"`
	Declare           *Declare           `cbor:"21,keyasint,omitempty"`
}

// Publish adds a new note; its number must be one more than the newest note's.
type Publish struct {
	Note Note `cbor:"1,keyasint"`
}

// Amend replaces the note of the same number if it still has the expected revision.
type Amend struct {
	Note             Note   `cbor:"1,keyasint"`
	ExpectedRevision uint64 `cbor:"2,keyasint"`
}

// Withdraw removes a note from the configuration if it still has the expected revision.
type Withdraw struct {
	Number           uint64 `cbor:"1,keyasint"`
	ExpectedRevision uint64 `cbor:"2,keyasint"`
}

// TakeOut takes a data centre out of service.
type TakeOut struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
}

// BeginReturn starts the return of a data centre to service.
type BeginReturn struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
}

// FinishReturn ends the return of a data centre whose backend servers are warm.
type FinishReturn struct {
	DataCentre model.DataCentre `cbor:"1,keyasint"`
}

// SetShares sets the shares of a service as one step of a move. The step is stored
// with a note, so that the withdrawal of that note undoes the step too.
type SetShares struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Shares  Shares            `cbor:"2,keyasint"`
	// Note is the number of the note whose move takes this step. It must be the
	// newest note with shares or a move for the service; 0 stands for that note.
	Note uint64 `cbor:"3,keyasint,omitempty"`
	// To is the target of the move. If it is set, the step is refused once an
	// amendment has changed the target.
	To model.ServiceVersion `cbor:"4,keyasint,omitempty"`
}

// MarkInForce records that every node has reached a position, so that all changes
// up to it are in force.
type MarkInForce struct {
	Through model.Position `cbor:"1,keyasint"`
}

// MarkDone records that a move is complete. It has no effect on a move that
// was reversed.
type MarkDone struct {
	Number  uint64            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
	// To is the target of the move. If it is set, the command is refused once
	// an amendment has changed the target.
	To model.ServiceVersion `cbor:"3,keyasint,omitempty"`
}

// MarkReversed records that a move was rolled back, before or after its completion.
type MarkReversed struct {
	Number  uint64            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
	Reason  string            `cbor:"3,keyasint"`
	// To is the target of the move. If it is set, the command is refused once
	// an amendment has changed the target.
	To model.ServiceVersion `cbor:"4,keyasint,omitempty"`
}

// RecordControlHost records in the audit log that an operator added or removed a control
// host. The change itself is a membership change of the replicated log.
type RecordControlHost struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	DataCentre model.DataCentre `cbor:"2,keyasint,omitempty"`
	Removed    bool             `cbor:"3,keyasint,omitempty"`
}

// Code is the outcome of a command.
type Code string

// The outcomes of a command.
const (
	CodeOK              Code = "ok"
	CodeInvalid         Code = "invalid"
	CodeConflict        Code = "conflict"
	CodeNotFound        Code = "not-found"
	CodeOperationReused Code = "operation-reused"
)

// Result is the outcome of a command; a resend gets the same result.
type Result struct {
	Code Code `cbor:"1,keyasint" json:"code"`
	// Position is the position of the log entry that decided the command.
	Position model.Position `cbor:"2,keyasint" json:"position"`
	// Number and Revision are those of the note that the command made or changed.
	Number   uint64 `cbor:"3,keyasint,omitempty" json:"number,omitempty"`
	Revision uint64 `cbor:"4,keyasint,omitempty" json:"revision,omitempty"`
	// Changed reports whether the configuration changed.
	Changed bool   `cbor:"5,keyasint,omitempty" json:"changed,omitempty"`
	Message string `cbor:"6,keyasint,omitempty" json:"message,omitempty"`
	// Field is the path of the refused field.
	Field string `cbor:"7,keyasint,omitempty" json:"field,omitempty"`
	// Winner is set for a conflict with another change.
	Winner *Winner `cbor:"8,keyasint,omitempty" json:"winner,omitempty"`
}

// Winner is the accepted change that a refused command conflicts with.
type Winner struct {
	Number    uint64             `cbor:"1,keyasint" json:"number"`
	Revision  uint64             `cbor:"2,keyasint" json:"revision"`
	Title     string             `cbor:"3,keyasint" json:"title"`
	Operator  model.OperatorName `cbor:"4,keyasint" json:"operator"`
	Operation model.OperationID  `cbor:"5,keyasint" json:"operation"`
	Accepted  time.Time          `cbor:"6,keyasint" json:"accepted"`
	Withdrawn bool               `cbor:"7,keyasint,omitempty" json:"withdrawn,omitempty"`
}

var codeErrors = map[Code]error{
	CodeConflict:        ErrConflict,
	CodeNotFound:        ErrNotFound,
	CodeOperationReused: ErrOperationReused,
}

// Err returns nil for an accepted command and otherwise an error that matches one
// of the errors of this package.
func (r Result) Err() error {
	if r.Code == CodeOK {
		return nil
	}
	if target, ok := codeErrors[r.Code]; ok {
		return eris.Wrap(target, r.Message)
	}
	return &FieldError{Field: r.Field, Message: r.Message}
}

// maxMessageLength is the length in bytes to which the field and the message of a
// refusal are cut, since results are kept for resends.
const maxMessageLength = 512

// refusal converts an error of this package to a result.
func refusal(err error) Result {
	r := Result{Code: CodeInvalid, Message: err.Error()}
	var f *FieldError
	switch {
	case errors.As(err, &f):
		r.Field, r.Message = f.Field, f.Message
	case errors.Is(err, ErrConflict):
		r.Code = CodeConflict
	case errors.Is(err, ErrNotFound):
		r.Code = CodeNotFound
	case errors.Is(err, ErrOperationReused):
		r.Code = CodeOperationReused
	}
	var w *conflictError
	if errors.As(err, &w) {
		r.Winner = w.winner
	}
	r.Field = r.Field[:min(len(r.Field), maxMessageLength)]
	r.Message = r.Message[:min(len(r.Message), maxMessageLength)]
	return r
}

// conflictError is an ErrConflict with the change that was accepted first.
type conflictError struct {
	message string
	winner  *Winner
}

// Error implements error.
func (e *conflictError) Error() string { return e.message }

// Unwrap makes errors.Is(err, ErrConflict) hold.
func (e *conflictError) Unwrap() error { return ErrConflict }
