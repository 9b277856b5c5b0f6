// Package wal implements a write-ahead log in segment files. Each record has a
// CRC. At start, a torn tail of the last segment is removed; any other damage is
// reported with file and offset. The payload of a record is opaque to this
// package.
//
// Crash contract: records written before a successful Sync are read back after
// any crash, in order. Of the records written after the last Sync, a prefix of
// complete records is read back.
package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// SegmentSuffix is the suffix of a segment file.
	SegmentSuffix = ".wal"
	// segmentMagic is the start of a segment file.
	segmentMagic = "BTWAL1\r\n"
	// DefaultSegmentBytes is the size after which a new segment is started, in
	// bytes. Larger segments free space later; smaller ones require directory syncs
	// more often, two per segment.
	DefaultSegmentBytes = 16 << 20
)

// WAL is an open log. It is not safe for concurrent use.
type WAL struct {
	fs           FS
	dir          string
	segmentBytes int64
	segments     []uint64
	file         File
	size         int64
	buf          []byte
	failed       error
	// tornBytes is the size of the torn tail that Open removed, in bytes.
	tornBytes int64
}

// Open recovers the log in dir and calls replay with every record and the number
// of its segment.
func Open(fsys FS, dir string, segmentBytes int64, replay func(segment uint64, payload []byte) error) (*WAL, error) {
	if segmentBytes <= 0 {
		segmentBytes = DefaultSegmentBytes
	}
	w := &WAL{fs: fsys, dir: dir, segmentBytes: segmentBytes}
	if err := w.listSegments(); err != nil {
		return nil, err
	}
	for i, seg := range w.segments {
		if err := w.recoverSegment(seg, i == len(w.segments)-1, replay); err != nil {
			return nil, err
		}
	}
	if len(w.segments) == 0 {
		return w, w.create(1)
	}
	return w, nil
}

func segmentName(seg uint64) string { return fmt.Sprintf("%016x%s", seg, SegmentSuffix) }

func (w *WAL) path(seg uint64) string { return filepath.Join(w.dir, segmentName(seg)) }

func (w *WAL) listSegments() error {
	names, err := w.fs.List(w.dir)
	if err != nil {
		return Classify(err)
	}
	for _, n := range names {
		base, ok := strings.CutSuffix(n, SegmentSuffix)
		if !ok {
			continue
		}
		seg, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return damaged(filepath.Join(w.dir, n), 0, "file name is not a segment number")
		}
		w.segments = append(w.segments, seg)
	}
	slices.Sort(w.segments)
	for i := 1; i < len(w.segments); i++ {
		if w.segments[i] != w.segments[i-1]+1 {
			return damaged(w.path(w.segments[i-1]+1), 0, "segment is missing")
		}
	}
	return nil
}

func (w *WAL) recoverSegment(seg uint64, last bool, replay func(uint64, []byte) error) error {
	name := w.path(seg)
	b, err := w.fs.ReadFile(name)
	if err != nil {
		return Classify(err)
	}
	off, torn, err := scan(name, b, func(p []byte) error { return replay(seg, p) })
	if err != nil {
		return err
	}
	if !last {
		if torn {
			return damaged(name, off, "incomplete record in a segment that is not the last")
		}
		return nil
	}
	if off == 0 { // a crash happened before the header of a new segment was synced
		return w.recreate(seg)
	}
	w.tornBytes = int64(len(b)) - off
	return w.reopen(name, off, torn)
}

// CheckFirstSegment returns ErrDamaged if the oldest segment has no file header.
// The header is durable before anything else is written, so a crash cannot cause
// this; Open alone would take the file for a new segment.
func CheckFirstSegment(fsys FS, dir string) error {
	w := &WAL{fs: fsys, dir: dir}
	if err := w.listSegments(); err != nil || len(w.segments) == 0 {
		return err
	}
	name := w.path(w.segments[0])
	b, err := fsys.ReadFile(name)
	if err != nil {
		return Classify(err)
	}
	if len(b) < len(segmentMagic) || string(b[:len(segmentMagic)]) != segmentMagic {
		return damaged(name, 0, "file header is missing")
	}
	return nil
}

// TornBytes returns the size of the torn tail that Open removed, in bytes.
func (w *WAL) TornBytes() int64 { return w.tornBytes }

// scan calls f with each complete record of a segment. It returns the end of the
// last complete record and whether a torn tail follows.
func scan(name string, b []byte, f func([]byte) error) (int64, bool, error) {
	if len(b) < len(segmentMagic) || allZero(b) {
		return 0, true, nil
	}
	if string(b[:len(segmentMagic)]) != segmentMagic {
		return 0, false, damaged(name, 0, "wrong file header")
	}
	off := len(segmentMagic)
	for off < len(b) {
		payload, size, state := readRecord(b[off:])
		switch state {
		case recordTorn:
			return int64(off), true, nil
		case recordCorrupt:
			return 0, false, damaged(name, int64(off), "record checksum mismatch")
		}
		if err := f(payload); err != nil {
			return 0, false, eris.Wrapf(err, "%s at offset %d", name, off)
		}
		off += size
	}
	return int64(off), false, nil
}

func (w *WAL) reopen(name string, off int64, torn bool) error {
	f, err := w.fs.Open(name)
	if err != nil {
		return Classify(err)
	}
	if torn {
		if err := f.Truncate(off); err != nil {
			return Classify(err)
		}
	}
	// Complete records may have been read that were never synced. They are treated
	// as stored from now on, so they must be durable.
	if err := f.Sync(); err != nil {
		return Classify(err)
	}
	w.file, w.size = f, off
	return nil
}

func (w *WAL) recreate(seg uint64) error {
	w.segments = w.segments[:len(w.segments)-1]
	return w.create(seg)
}

// create starts segment seg. Its file header and directory entry are durable on
// return.
func (w *WAL) create(seg uint64) error {
	f, err := w.fs.Create(w.path(seg))
	if err != nil {
		return Classify(err)
	}
	if _, err := f.Write([]byte(segmentMagic)); err != nil {
		_ = f.Close()
		_ = w.fs.Remove(w.path(seg))
		return Classify(err)
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return w.fail(err)
	}
	if err := w.fs.SyncDir(w.dir); err != nil {
		_ = f.Close()
		return w.fail(err)
	}
	if w.file != nil {
		_ = w.file.Close()
	}
	w.file, w.size = f, int64(len(segmentMagic))
	w.segments = append(w.segments, seg)
	return nil
}

// fail makes all later calls return the same error.
func (w *WAL) fail(err error) error {
	w.failed = eris.Wrap(ErrDisk, err.Error())
	return w.failed
}

// Write appends records with one write call; they are durable after Sync. If it
// returns ErrFull, none of them was kept and the log remains usable.
func (w *WAL) Write(payloads ...[]byte) error {
	if w.failed != nil {
		return w.failed
	}
	w.buf = w.buf[:0]
	for _, p := range payloads {
		if len(p) > MaxRecord {
			return eris.Wrapf(ErrTooLarge, "%d bytes", len(p))
		}
		w.buf = appendRecord(w.buf, p)
	}
	if _, err := w.file.Write(w.buf); err != nil {
		if terr := w.file.Truncate(w.size); terr != nil {
			return w.fail(terr)
		}
		if err = Classify(err); eris.Is(err, ErrFull) {
			return err
		}
		return w.fail(err)
	}
	w.size += int64(len(w.buf))
	return nil
}

// Sync makes all written records durable. After an error the log cannot be used
// any more: the kernel may have dropped the pages that it could not write.
func (w *WAL) Sync() error {
	if w.failed != nil {
		return w.failed
	}
	if err := w.file.Sync(); err != nil {
		return w.fail(err)
	}
	return nil
}

// RotationDue reports whether the current segment has reached its full size.
func (w *WAL) RotationDue() bool { return w.size >= w.segmentBytes }

// Rotate syncs the current segment and starts a new one.
func (w *WAL) Rotate() error {
	if err := w.Sync(); err != nil {
		return err
	}
	return w.create(w.Segment() + 1)
}

// Segment returns the number of the current segment.
func (w *WAL) Segment() uint64 { return w.segments[len(w.segments)-1] }

// RemoveBefore deletes the segments before seg.
func (w *WAL) RemoveBefore(seg uint64) error {
	if w.failed != nil {
		return w.failed
	}
	removed := false
	// Removing in ascending order keeps the remaining segments contiguous after a
	// crash.
	for len(w.segments) > 1 && w.segments[0] < seg {
		if err := w.fs.Remove(w.path(w.segments[0])); err != nil {
			return Classify(err)
		}
		w.segments = w.segments[1:]
		removed = true
	}
	if !removed {
		return nil
	}
	return Classify(w.fs.SyncDir(w.dir))
}

// Close closes the current segment file without syncing it.
func (w *WAL) Close() error {
	if w.file == nil {
		return nil
	}
	return w.file.Close()
}
