package distribute

import "errors"

// Errors of this package, to be compared with errors.Is.
var (
	// ErrOld is returned for a version that is not newer than the accepted one.
	ErrOld = errors.New("version not newer than the accepted one")
	// ErrBase is returned for a delta that starts after the accepted version.
	ErrBase = errors.New("delta starts after the accepted version")
	// ErrDiverged is returned when the result of a delta differs from the
	// sender's configuration.
	ErrDiverged = errors.New("result of the delta differs from the sender's configuration")
	// ErrRefused is returned for a version that does not validate.
	ErrRefused = errors.New("version refused")
	// ErrBelowFloor is returned for a version older than the lowest position
	// that may come into force.
	ErrBelowFloor = errors.New("version below the floor")
	// ErrCache is returned for a cache file that cannot be read or written.
	ErrCache = errors.New("cache file not read or written")
	// ErrSnapshot is returned for a snapshot or chunk that is damaged or out of order.
	ErrSnapshot = errors.New("unusable snapshot")
	// ErrBadFrame is returned for a frame that exceeds a limit or is out of
	// order.
	ErrBadFrame = errors.New("unexpected frame")
	// ErrTimeout is returned when the other side sent nothing within the
	// timeout.
	ErrTimeout = errors.New("watch stream timed out")
	// ErrStale is returned when the parent has had no contact with the source
	// for too long.
	ErrStale = errors.New("parent has no contact with the source")
	// ErrBusy is returned when the parent has no free slot for a child or a
	// snapshot transfer.
	ErrBusy = errors.New("parent busy")
	// ErrClosed is returned when the stream ended.
	ErrClosed = errors.New("watch stream closed")
)
