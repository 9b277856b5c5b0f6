package wal

import (
	"errors"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors returned by this package.
var (
	// ErrFull is returned if the disk has no space. Nothing of the write was kept.
	ErrFull = eris.New("disk full")
	// ErrDamaged is returned for damage that a crash cannot cause, such as a record
	// with a wrong checksum or a missing segment.
	ErrDamaged = eris.New("damaged file")
	// ErrDisk is returned if an operation on the disk failed. After a failed sync
	// the contents of the file are unknown, so the log must not be used any more.
	ErrDisk = eris.New("disk operation failed")
	// ErrTooLarge is returned for a record above MaxRecord.
	ErrTooLarge = eris.New("record too large")
)

// Classify wraps a file system error in ErrFull or ErrDisk.
func Classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT), errors.Is(err, ErrFull):
		return eris.Wrap(ErrFull, err.Error())
	default:
		return eris.Wrap(ErrDisk, err.Error())
	}
}

func damaged(file string, offset int64, reason string) error {
	return eris.Wrapf(ErrDamaged, "%s at offset %d: %s", file, offset, reason)
}
