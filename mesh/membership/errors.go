package membership

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrIdentity is returned when an announcement is not of the host in the peer's certificate.
	ErrIdentity = errors.New("announcement does not match the peer's identity")
	// ErrInvalid is returned for an announcement with a bad field.
	ErrInvalid = errors.New("invalid announcement")
	// ErrTimeout is returned when the other side of an announce stream sent nothing within its deadline.
	ErrTimeout = errors.New("announce stream silent")
	// ErrClosed is returned when the announce stream ended.
	ErrClosed = errors.New("announce stream closed")
)
