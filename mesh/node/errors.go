// Package node is the node role: it accepts callers, picks a backend server,
// passes requests to the node beside it, and serves its own backend server.
package node

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrNotRun is returned when no byte of a request reached the backend server's handler.
	ErrNotRun = errors.New("not run")
	// ErrOutcomeUnknown is returned when a request may have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBodyTooLarge is returned for a request body above the bound.
	ErrBodyTooLarge = errors.New("request body too large")
	// ErrUplink is returned when a stream to a control host ended.
	ErrControlStream = errors.New("stream to control host ended")
	// ErrStart is returned when the node cannot start.
	ErrStart = errors.New("node cannot start")
)
