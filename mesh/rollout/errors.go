package rollout

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrCorrupt is returned for a command, report or snapshot that does not decode.
	ErrCorrupt = errors.New("malformed rollout data")
)
