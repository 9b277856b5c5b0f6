package peer

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrIdentity is returned when a certificate is missing, malformed or not the expected one.
	ErrIdentity = errors.New("peer identity refused")
	// ErrUnreachable is returned when no connection could be made.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrClosed is returned when the connection or stream ended.
	ErrClosed = errors.New("peer connection closed")
	// ErrSilent is returned when no frame came in time.
	ErrSilent = errors.New("peer silent")
	// ErrFrameTooLarge is returned for a frame above the size bound.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrBadFrame is returned for a frame that does not decode.
	ErrBadFrame = errors.New("malformed frame")
	// ErrUnknownMethod is returned for a stream whose method has no handler.
	ErrUnknownMethod = errors.New("unknown method")
	// ErrForbidden is returned when the caller's role may not use the method.
	ErrForbidden = errors.New("method forbidden for this role")
	// ErrRemote carries the text of an error that the remote handler returned.
	ErrRemote = errors.New("remote error")
	// ErrCertificate is returned when a key, certificate or CA file cannot be used.
	ErrCertificate = errors.New("unusable certificate")
)
