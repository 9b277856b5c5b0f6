// Package control implements the control host. It combines the replicated log
// with notes, rollouts, claims, configuration distribution and membership.
// Group 0 of the replicated log holds the configuration, and the groups from 1
// hold the claims.
package control

import "errors"

// Errors of this package; check for them with errors.Is.
var (
	// ErrStart is returned when the control host cannot start.
	ErrStart = errors.New("control host cannot start")
	// ErrUnknownHost is returned for a control host whose address is not known.
	ErrUnknownHost = errors.New("unknown control host")
	// ErrUnreachable is returned when a call or stream to another control host
	// fails.
	ErrUnreachable = errors.New("control host unreachable")
	// ErrForbidden is returned for a message that its sender is not allowed to
	// send.
	ErrForbidden = errors.New("message refused")
	// ErrNoLeader is returned when no leader accepted a command in time.
	ErrNoLeader = errors.New("no leader accepted the command")
	// ErrCorrupt is returned for a command or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed control data")
)
