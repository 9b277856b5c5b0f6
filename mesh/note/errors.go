package note

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrInvalid is returned for a note or configuration with a bad field.
	ErrInvalid = errors.New("invalid configuration")
	// ErrConflict is returned when another operator's change came first.
	ErrConflict = errors.New("conflict with an accepted change")
	// ErrNotFound is returned for an unknown note or data centre.
	ErrNotFound = errors.New("not found")
)
