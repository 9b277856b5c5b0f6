package replog

import (
	"fmt"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Errors returned by this package.
var (
	// ErrOutcomeUnknown is returned if a proposal may be committed already, may be
	// committed later, or may never be.
	ErrOutcomeUnknown = eris.New("outcome of the proposal is unknown")
	// ErrUnconfirmed is returned if no quorum confirmed the leadership in time.
	ErrUnconfirmed = eris.New("leadership was not confirmed")
	// ErrDiskFull is returned if the disk has no space. A proposal that fails with
	// it is not committed.
	ErrDiskFull = eris.New("disk of the control host is full")
	// ErrTooLarge is returned for a proposal above Config.MaxEntryBytes. The
	// proposal is not committed.
	ErrTooLarge = eris.New("proposal too large")
	// ErrNotAccepted is returned if the context ended before the call reached the
	// log. A proposal that fails with it is not committed.
	ErrNotAccepted = eris.New("proposal was not accepted")
	// ErrClosed is returned if the log is closed, or was stopped by an error.
	ErrClosed = eris.New("log is closed")
	// ErrDamaged is returned if a file is damaged or missing; the text names the
	// file.
	ErrDamaged = eris.New("replicated log is damaged")
	// ErrDisk is returned if an operation on the disk failed; the text names the
	// cause.
	ErrDisk = eris.New("replicated log storage failed")
	// ErrMembers is returned if a membership change or a leadership transfer is not
	// possible now.
	ErrMembers = eris.New("change of group members or leader refused")
	// ErrConfig is returned if the configuration of the log is invalid.
	ErrConfig = eris.New("invalid replicated log configuration")
)

// ErrNotLeader is returned if this host is not the leader of the group, so the
// call had no effect. Leader is empty if no leader is known.
type ErrNotLeader struct {
	Leader model.HostID
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}
