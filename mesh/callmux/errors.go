package callmux

import (
	"errors"
	"fmt"
)

// Errors of this package. They are wrapped: test for them with errors.Is.
var (
	// ErrNotSent is returned when no byte of the request was written to a connection.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown is returned when the request may have run but no response arrived.
	ErrOutcomeUnknown = errors.New("outcome of the request unknown")
	// ErrBodyTruncated is returned by Read when a body ended before its last byte.
	ErrBodyTruncated = errors.New("body truncated")
	// ErrTooLarge is returned together with ErrNotSent for a request head larger than MaxHead.
	ErrTooLarge = errors.New("message head too large")
	// ErrBusy is returned together with ErrNotSent when the connection has too many
	// queued bytes or calls in progress.
	ErrBusy = errors.New("connection busy")
	// ErrConnection is the cause of calls that failed because their connection failed
	// or could not be established.
	ErrConnection = errors.New("connection failed")
	// ErrProtocol is returned for a malformed or unexpected frame, which ends the connection.
	ErrProtocol = errors.New("protocol violation")
	// ErrListen is returned by Serve when the listener fails.
	ErrListen = errors.New("listener failed")
)

// callError is the outcome of a call and its cause; errors.Is matches both.
type callError struct{ outcome, cause error }

// Error returns the outcome, then its cause.
func (e *callError) Error() string { return fmt.Sprintf("%v: %v", e.outcome, e.cause) }

// Unwrap returns the outcome and the cause.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

func notSent(cause error) error        { return &callError{ErrNotSent, cause} }
func outcomeUnknown(cause error) error { return &callError{ErrOutcomeUnknown, cause} }
