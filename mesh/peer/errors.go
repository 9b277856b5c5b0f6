package peer

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrIdentity is returned when a peer's certificate is missing, cannot be
	// verified, or contains another identity than expected.
	ErrIdentity = errors.New("peer identity refused")
	// ErrUnreachable is returned when no connection or socket could be opened.
	ErrUnreachable = errors.New("peer unreachable")
	// ErrBusy is returned when the peer refused the handshake because it serves too many
	// others, or waits for its own start. Another attempt may follow at once: Open
	// waits until the peer may be dialled again.
	ErrBusy = errors.New("peer is busy")
	// ErrClosed is returned when the connection or stream was closed or failed.
	ErrClosed = errors.New("peer connection closed")
	// ErrTimeout is returned when no frame arrived in time.
	ErrTimeout = errors.New("peer timed out")
	// ErrFrameTooLarge is returned for a frame larger than MaxFrame.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrBadFrame is returned for a frame that cannot be encoded or decoded.
	ErrBadFrame = errors.New("malformed frame")
	// ErrUnknownMethod is returned for a stream whose method has no handler.
	ErrUnknownMethod = errors.New("unknown method")
	// ErrForbidden is returned when the peer's role may not call the method.
	ErrForbidden = errors.New("method forbidden for this role")
	// ErrRemote wraps the text of an error that the remote handler returned.
	ErrRemote = errors.New("remote error")
	// ErrCertificate is returned when a key, certificate or CA file is missing or
	// invalid, or cannot be created.
	ErrCertificate = errors.New("unusable certificate")
)
