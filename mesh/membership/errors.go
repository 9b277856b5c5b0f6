package membership

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrIdentity is returned for an announcement whose host or data centre is not
	// the one in the peer's certificate, or that a control host sent.
	ErrIdentity = errors.New("announcement does not match the peer's identity")
	// ErrInvalid is returned for an announcement with an invalid field.
	ErrInvalid = errors.New("invalid announcement")
	// ErrTimeout is returned when the other side of a stream sent no frame in time.
	ErrTimeout = errors.New("announce stream timed out")
	// ErrClosed is returned when the stream ended.
	ErrClosed = errors.New("announce stream closed")
)
