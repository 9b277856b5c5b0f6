// Package control is the control role: it joins the replicated log with the
// notes, rollouts, claims, distribution and membership of a control host.
package control

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrStart is returned when the control host cannot start.
	ErrStart = errors.New("control host cannot start")
	// ErrUnknownHost is returned for a control host whose address is not known.
	ErrUnknownHost = errors.New("unknown control host")
	// ErrUnreachable is returned when another control host could not be reached.
	ErrUnreachable = errors.New("control host unreachable")
	// ErrForbidden is returned for a message that its sender may not send.
	ErrForbidden = errors.New("message refused")
	// ErrNoLeader is returned when no leader accepted a command in time.
	ErrNoLeader = errors.New("no leader accepted the command")
	// ErrCorrupt is returned for a command or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed control data")
)
