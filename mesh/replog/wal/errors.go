package wal

import (
	"errors"
	"syscall"

	"github.com/rotisserie/eris"
)

// Errors of the package.
var (
	// ErrFull: the disk has no space; nothing of the write was kept.
	ErrFull = eris.New("disk full")
	// ErrDamaged: a file holds a damaged record that is not a torn tail.
	ErrDamaged = eris.New("damaged file")
	// ErrDisk: the disk failed. After a failed sync the state of the file is
	// unknown, so the log must not be used further.
	ErrDisk = eris.New("disk failed")
	// ErrTooLarge: the record exceeds MaxRecord.
	ErrTooLarge = eris.New("record too large")
)

// Classify turns an error of the file system into an error of this package.
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
