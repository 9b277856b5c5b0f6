package callmux

import (
	"errors"
	"fmt"
)

// The errors of this package; use errors.Is.
var (
	// ErrNotSent is returned when no byte of the request was written to a connection.
	ErrNotSent = errors.New("request not sent")
	// ErrOutcomeUnknown is returned when the request may have run and no answer came.
	ErrOutcomeUnknown = errors.New("outcome of the request unknown")
	// ErrBodyTruncated is returned by a body reader when the body ended before its last byte.
	ErrBodyTruncated = errors.New("body truncated")
	// ErrTooLarge is returned for a head above MaxHead; it comes with ErrNotSent.
	ErrTooLarge = errors.New("message head too large")
	// ErrBusy is returned when the connection's queue or call table is full; it comes with ErrNotSent.
	ErrBusy = errors.New("connection busy")
	// ErrConnection is the cause of calls that ended because their connection did.
	ErrConnection = errors.New("connection failed")
	// ErrProtocol is the cause of a connection closed for a malformed or unexpected frame.
	ErrProtocol = errors.New("protocol violation")
	// ErrListen is returned by Serve when the listener fails.
	ErrListen = errors.New("listener failed")
)

// callError is the outcome of a call together with its cause; errors.Is finds both.
type callError struct{ outcome, cause error }

// Error returns the outcome, then its cause.
func (e *callError) Error() string { return fmt.Sprintf("%v: %v", e.outcome, e.cause) }

// Unwrap returns the outcome and the cause.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

func notSent(cause error) error        { return &callError{ErrNotSent, cause} }
func outcomeUnknown(cause error) error { return &callError{ErrOutcomeUnknown, cause} }
