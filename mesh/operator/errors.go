package operator

import (
	"errors"

	"balsamtrail.org/mesh/note"
)

// The errors of this package; use errors.Is. A Backend returns those from
// ErrUnavailable to ErrStorageFull, or errors of package note.
var (
	// ErrUnavailable is returned when no leader could be reached; nothing was accepted.
	ErrUnavailable = errors.New("control group unavailable")
	// ErrOutcomeUnknown is returned when a write may have been accepted; a
	// resend with the same operation id tells.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotFound is returned for an unknown note, service, data centre or control host.
	ErrNotFound = errors.New("not found")
	// ErrInvalid is returned for a bad request.
	ErrInvalid = errors.New("invalid request")
	// ErrConflict is returned when another change came first.
	ErrConflict = errors.New("conflict")
	// ErrStorageFull is returned when the disks of the control group are full.
	ErrStorageFull = errors.New("storage of the control group full")
	// ErrOperationReused is returned when an operation id was used for another command.
	ErrOperationReused = errors.New("operation id reused")
	// ErrUnauthorized is returned for a missing or unknown token.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrTooLarge is returned for a request body above the bound.
	ErrTooLarge = errors.New("request too large")
	// ErrOverloaded is returned when too many requests are served already.
	ErrOverloaded = errors.New("too many requests")
	// ErrUnreachable is returned by the client when no control host answered.
	ErrUnreachable = errors.New("no control host reachable")
	// ErrInternal is returned for a fault of the server.
	ErrInternal = errors.New("internal error")
)

// ErrorCode is the code in an error body.
type ErrorCode string

// The codes of error bodies.
const (
	CodeInvalid         ErrorCode = "invalid"
	CodeUnauthorized    ErrorCode = "unauthorized"
	CodeNotFound        ErrorCode = "not-found"
	CodeMethod          ErrorCode = "method-not-allowed"
	CodeConflict        ErrorCode = "conflict"
	CodeTooLarge        ErrorCode = "too-large"
	CodeOperationReused ErrorCode = "operation-reused"
	CodePrecondition    ErrorCode = "precondition-required"
	CodeOverloaded      ErrorCode = "overloaded"
	CodeUnavailable     ErrorCode = "unavailable"
	CodeOutcomeUnknown  ErrorCode = "outcome-unknown"
	CodeStorageFull     ErrorCode = "storage-full"
	CodeInternal        ErrorCode = "internal"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Field is the path of the field that was refused.
	Field string `json:"field,omitempty"`
	// Winner is the accepted change that a conflicting one lost to.
	Winner *note.Winner `json:"winner,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Code) + ": " + e.Field + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message
}

// Unwrap returns the error of this package that the code stands for.
func (e *Error) Unwrap() error {
	for _, k := range errorMappings {
		if k.code == e.Code {
			return k.err
		}
	}
	return ErrInternal
}

// errorMapping ties an error to its code and HTTP status.
type errorMapping struct {
	err    error
	code   ErrorCode
	status int
}

var errorMappings = []errorMapping{
	{ErrInvalid, CodeInvalid, 400},
	{ErrUnauthorized, CodeUnauthorized, 401},
	{ErrNotFound, CodeNotFound, 404},
	{nil, CodeMethod, 405},
	{ErrConflict, CodeConflict, 409},
	{ErrTooLarge, CodeTooLarge, 413},
	{ErrOperationReused, CodeOperationReused, 422},
	{nil, CodePrecondition, 428},
	{ErrOverloaded, CodeOverloaded, 503},
	{ErrUnavailable, CodeUnavailable, 503},
	{ErrOutcomeUnknown, CodeOutcomeUnknown, 504},
	{ErrStorageFull, CodeStorageFull, 507},
	{ErrInternal, CodeInternal, 500},
	// Errors of package note that a Backend may hand on.
	{note.ErrInvalid, CodeInvalid, 400},
	{note.ErrNotFound, CodeNotFound, 404},
	{note.ErrConflict, CodeConflict, 409},
	{note.ErrOperationReused, CodeOperationReused, 422},
}

func statusOf(code ErrorCode) int {
	for _, k := range errorMappings {
		if k.code == code {
			return k.status
		}
	}
	return 500
}

// errorBody translates any error into an error body.
func errorBody(err error) *Error {
	var body *Error
	if errors.As(err, &body) {
		return body
	}
	var field *note.FieldError
	if errors.As(err, &field) {
		return &Error{Code: CodeInvalid, Field: field.Field, Message: field.Message}
	}
	for _, k := range errorMappings {
		if k.err != nil && errors.Is(err, k.err) {
			return &Error{Code: k.code, Message: err.Error()}
		}
	}
	return &Error{Code: CodeInternal, Message: err.Error()}
}

var resultCodes = map[note.Code]ErrorCode{
	note.CodeInvalid:         CodeInvalid,
	note.CodeConflict:        CodeConflict,
	note.CodeNotFound:        CodeNotFound,
	note.CodeOperationReused: CodeOperationReused,
}

// resultError returns the error body of a refused command, or nil.
func resultError(r note.Result) error {
	if r.Code == note.CodeOK {
		return nil
	}
	return &Error{Code: resultCodes[r.Code], Message: r.Message, Field: r.Field, Winner: r.Winner}
}
