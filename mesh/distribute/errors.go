package distribute

import "errors"

// The errors of this package; use errors.Is.
var (
	// ErrOld is returned for a version that is not newer than the accepted one.
	ErrOld = errors.New("version not newer than the accepted one")
	// ErrBase is returned for a delta that starts after the accepted version.
	ErrBase = errors.New("delta starts after the accepted version")
	// ErrDiverged is returned when a delta does not lead to the configuration that its sender has.
	ErrDiverged = errors.New("delta leads to another configuration")
	// ErrRefused is returned for a version that does not validate.
	ErrRefused = errors.New("version refused")
	// ErrBelowFloor is returned for a version older than the least position to accept.
	ErrBelowFloor = errors.New("version below the floor")
	// ErrCache is returned for a cache file that cannot be read or written.
	ErrCache = errors.New("cache file")
	// ErrSnapshot is returned for a snapshot or chunk that is damaged or out of order.
	ErrSnapshot = errors.New("unusable snapshot")
	// ErrBadFrame is returned for a frame that breaks a bound or the order of the stream.
	ErrBadFrame = errors.New("unexpected frame")
	// ErrTimeout is returned when the other side sent nothing within its deadline.
	ErrTimeout = errors.New("watch stream silent")
	// ErrStale is returned when the parent has not heard from the source for too long.
	ErrStale = errors.New("parent out of contact with the source")
	// ErrBusy is returned when the parent takes no more children or snapshots.
	ErrBusy = errors.New("parent busy")
	// ErrClosed is returned when the stream ended.
	ErrClosed = errors.New("watch stream closed")
)
