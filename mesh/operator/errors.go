package operator

import (
	"errors"

	"balsamtrail.org/mesh/note"
)

// The errors of this package, to be tested with errors.Is. A Backend returns the
// errors from ErrUnavailable to ErrStorageFull or errors of package note.
var (
	// ErrUnavailable is returned when no leader could be reached and no write was
	// accepted.
	ErrUnavailable = errors.New("control group unavailable")
	// ErrOutcomeUnknown is returned when a write may have been accepted.
	// Retrying it with the same operation id returns the outcome.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotFound is returned for an unknown note, service, data centre or control host.
	ErrNotFound = errors.New("not found")
	// ErrInvalid is returned for an invalid request or configuration.
	ErrInvalid = errors.New("invalid request")
	// ErrConflict is returned when the write conflicts with a change that was
	// accepted before it.
	ErrConflict = errors.New("conflict")
	// ErrStorageFull is returned when the disks of the control group are full.
	ErrStorageFull = errors.New("storage of the control group full")
	// ErrOperationReused is returned when the operation id was already used for a
	// different command.
	ErrOperationReused = errors.New("operation id reused")
	// ErrUnauthorized is returned for a missing or unknown bearer token.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrTooLarge is returned for a request body that exceeds the size limit.
	ErrTooLarge = errors.New("request too large")
	// ErrOverloaded is returned when the limit of concurrent requests or of long
	// polls is reached.
	ErrOverloaded = errors.New("too many requests")
	// ErrUnreachable is returned by the client when no control host answered.
	ErrUnreachable = errors.New("no control host reachable")
	// ErrInternal is returned for an internal error of the server and for an answer
	// that the client cannot decode.
	ErrInternal = errors.New("internal error")
)

// ErrorCode is the machine-readable code in an error body.
type ErrorCode string

// The codes of error bodies.
const (
	// CodeInvalid means that the request or one of its fields is invalid.
	CodeInvalid ErrorCode = "invalid"
	// CodeUnauthorized means that the bearer token is missing or unknown.
	CodeUnauthorized ErrorCode = "unauthorized"
	// CodeNotFound means that the resource does not exist.
	CodeNotFound ErrorCode = "not-found"
	// CodeMethod means that the resource does not support the HTTP method.
	CodeMethod ErrorCode = "method-not-allowed"
	// CodeConflict means that a change accepted before conflicts with the write.
	CodeConflict ErrorCode = "conflict"
	// CodeTooLarge means that the request body exceeds the size limit.
	CodeTooLarge ErrorCode = "too-large"
	// CodeOperationReused means that the operation id was used for a different
	// command.
	CodeOperationReused ErrorCode = "operation-reused"
	// CodePrecondition means that the expected revision is missing.
	CodePrecondition ErrorCode = "precondition-required"
	// CodeOverloaded means that the host is serving too many requests.
	CodeOverloaded ErrorCode = "overloaded"
	// CodeUnavailable means that no leader could be reached and no write was
	// accepted, or, for /healthz, that the process is not ready.
	CodeUnavailable ErrorCode = "unavailable"
	// CodeOutcomeUnknown means that the write may have been accepted.
	CodeOutcomeUnknown ErrorCode = "outcome-unknown"
	// CodeStorageFull means that the disks of the control group are full.
	CodeStorageFull ErrorCode = "storage-full"
	// CodeInternal means that the server failed to handle the request.
	CodeInternal ErrorCode = "internal"
)

// Error is the body of every error response.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Field is the path of the invalid field, or the name of the header or query
	// parameter.
	Field string `json:"field,omitempty"`
	// Winner is the accepted change that this write conflicts with.
	Winner *note.Winner `json:"winner,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return string(e.Code) + ": " + e.Field + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message
}

// Unwrap returns the error of this package that corresponds to the code, so that
// errors.Is works on decoded error bodies.
func (e *Error) Unwrap() error {
	for _, k := range errorMappings {
		if k.code == e.Code {
			return k.err
		}
	}
	return ErrInternal
}

// errorMapping maps an error to its code and HTTP status.
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
	// Errors of package note that a Backend may return.
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

// errorBody converts any error to an error body.
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

// resultError returns the error body for a refused command, or nil if the
// command was accepted.
func resultError(r note.Result) error {
	if r.Code == note.CodeOK {
		return nil
	}
	return &Error{Code: resultCodes[r.Code], Message: r.Message, Field: r.Field, Winner: r.Winner}
}
