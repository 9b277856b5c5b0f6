package replog

import (
	"fmt"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Errors of the package.
var (
	// ErrOutcomeUnknown: the proposal may be accepted now or later, or never.
	ErrOutcomeUnknown = eris.New("outcome of the proposal is unknown")
	// ErrUnconfirmed: no quorum confirmed the leadership in time.
	ErrUnconfirmed = eris.New("leadership was not confirmed")
	// ErrDiskFull: the proposal was not accepted because the disk has no space.
	ErrDiskFull = eris.New("disk of the control host is full")
	// ErrTooLarge: the proposal exceeds Config.MaxEntryBytes and was not accepted.
	ErrTooLarge = eris.New("proposal too large")
	// ErrNotAccepted: the call ended before the proposal was handed to the log.
	ErrNotAccepted = eris.New("proposal was not accepted")
	// ErrClosed: the log is closed or stopped after a disk failure.
	ErrClosed = eris.New("log is closed")
	// ErrDamaged: a file is damaged; the text names file and offset.
	ErrDamaged = eris.New("damaged log")
	// ErrDisk: the disk failed.
	ErrDisk = eris.New("disk of the log failed")
	// ErrMembers: the change of hosts is not possible now.
	ErrMembers = eris.New("change of hosts refused")
	// ErrConfig: the configuration of the log is not valid.
	ErrConfig = eris.New("configuration of the log")
)

// ErrNotLeader says that the host does not lead the group and that nothing was
// accepted. Leader is empty if no leader is known.
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
