package rollout

import "errors"

// Errors of this package, to be checked with errors.Is.
var (
	// ErrCorrupt is returned for a command, report or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed rollout data")
)
