// Package node implements the sidecar beside a backend server. Its entry side accepts
// requests from callers, selects a backend server and sends the call to the node
// beside it. Its serving side accepts calls from other nodes and forwards them to this
// node's backend server.
package node

import "errors"

// Errors of this package; test for them with errors.Is.
var (
	// ErrNotRun is returned when no byte of a request reached the backend server's
	// handler.
	ErrNotRun = errors.New("not run")
	// ErrOutcomeUnknown is returned when a request may have run.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrBodyTooLarge is returned for a request body above the size limit.
	ErrBodyTooLarge = errors.New("request body too large")
	// ErrControlStream is returned when a stream to a control host ends.
	ErrControlStream = errors.New("stream to control host ended")
	// ErrStart is returned when the node cannot start.
	ErrStart = errors.New("node cannot start")
)
