package replog

import (
	"path/filepath"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/replog/wal"
)

// walRecord is one record of the write-ahead log. It holds what one Ready
// stores.
type walRecord struct {
	Hard *HardState `cbor:"1,keyasint,omitempty"`
	// Base is set if a snapshot replaced all entries of earlier records.
	Base    *logBase `cbor:"2,keyasint,omitempty"`
	Entries []Entry  `cbor:"3,keyasint,omitempty"`
}

// logBase identifies the entry before the first entry of the log.
type logBase struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

// decodeMode limits the memory that a decoded record can allocate.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 16, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// disk manages the files of one host in one group. It is owned by the goroutine
// that owns the Core.
type disk struct {
	fs  wal.FS
	dir string
	wal *wal.WAL
	// hard is the current hard state. It is written again at the start of each
	// segment.
	hard HardState
	// segmentEmpty is set if the current segment may hold no record yet.
	segmentEmpty bool
	// lastIndexIn maps each segment to the greatest entry index in it.
	lastIndexIn map[uint64]uint64
}

// recovered is the state that openDisk read.
type recovered struct {
	state CoreState
	data  []byte // state machine data of the snapshot; nil if there is none
}

// openDisk recovers the state from the files in dir. initial are the members of
// a new group.
func openDisk(fsys wal.FS, dir string, segmentBytes int64, initial Members) (*disk, recovered, error) {
	d := &disk{fs: fsys, dir: dir, lastIndexIn: map[uint64]uint64{}}
	rec := recovered{state: CoreState{Snapshot: SnapshotMeta{Members: initial}}}
	if err := d.loadSnapshot(&rec); err != nil {
		return nil, rec, err
	}
	r := replay{disk: d}
	w, err := wal.Open(fsys, dir, segmentBytes, r.record)
	if err != nil {
		return nil, rec, diskError(err)
	}
	d.wal = w
	d.hard = r.hard
	d.segmentEmpty = true // if it is not empty, the hard state is written once more than needed
	rec.state.Hard = r.hard
	if err := r.reconcileSnapshot(&rec.state); err != nil {
		return nil, rec, err
	}
	return d, rec, nil
}

// loadSnapshot reads the newest snapshot and removes temporary files.
func (d *disk) loadSnapshot(rec *recovered) error {
	names, err := d.fs.List(d.dir)
	if err != nil {
		return diskError(wal.Classify(err))
	}
	newest := uint64(0)
	for _, n := range names {
		if strings.HasSuffix(n, wal.TempSuffix) {
			_ = d.fs.Remove(filepath.Join(d.dir, n))
		}
		if index, ok := snapshotIndex(n); ok {
			newest = max(newest, index)
		}
	}
	if newest == 0 {
		return nil
	}
	name := snapshotName(d.dir, newest)
	b, err := d.fs.ReadFile(name)
	if err != nil {
		return diskError(wal.Classify(err))
	}
	rec.state.Snapshot, rec.data, err = decodeSnapshot(name, b)
	return err
}

// replay rebuilds the entries from the records of the write-ahead log.
type replay struct {
	disk    *disk
	hard    HardState
	base    *logBase
	entries []Entry
}

func (r *replay) record(segment uint64, payload []byte) error {
	var rec walRecord
	if err := decodeMode.Unmarshal(payload, &rec); err != nil {
		return eris.Wrapf(wal.ErrDamaged, "decode record: %v", err)
	}
	if rec.Hard != nil {
		r.hard = *rec.Hard
	}
	if rec.Base != nil {
		r.base, r.entries = rec.Base, nil
	}
	for _, e := range rec.Entries {
		if err := r.entry(e); err != nil {
			return err
		}
		r.disk.lastIndexIn[segment] = max(r.disk.lastIndexIn[segment], e.Index)
	}
	return nil
}

// entry appends e and drops the entries from its index on.
func (r *replay) entry(e Entry) error {
	first, next := e.Index, e.Index
	switch {
	case len(r.entries) > 0:
		first = r.entries[0].Index
		next = first + uint64(len(r.entries))
	case r.base != nil:
		first, next = r.base.Index+1, r.base.Index+1
	}
	if e.Index < first && r.base == nil {
		// A later leader replaced entries whose first part was in segments that have
		// been removed.
		r.entries = []Entry{e}
		return nil
	}
	if e.Index < first || e.Index > next {
		return eris.Wrapf(wal.ErrDamaged, "entry %d does not follow entry %d", e.Index, next-1)
	}
	r.entries = append(r.entries[:e.Index-first], e)
	return nil
}

// reconcileSnapshot drops the entries that the snapshot covers. If the entries
// end before the snapshot or conflict with it, the host stopped while it
// installed the snapshot, and all of them are dropped.
func (r *replay) reconcileSnapshot(st *CoreState) error {
	snap := st.Snapshot
	st.Offset, st.OffsetTerm = snap.Index, snap.Term
	if r.base != nil && r.base.Index > snap.Index {
		return eris.Wrapf(ErrDamaged, "%s: the snapshot at index %d is missing", r.disk.dir, r.base.Index)
	}
	if len(r.entries) == 0 {
		if r.base != nil && r.base.Index == snap.Index || snap.Index == 0 {
			return nil
		}
		return r.disk.writeBase(logBase{Index: snap.Index, Term: snap.Term})
	}
	first, last := r.entries[0].Index, r.entries[len(r.entries)-1].Index
	if first > snap.Index+1 {
		return eris.Wrapf(ErrDamaged, "%s: entries %d to %d are missing", r.disk.dir, snap.Index+1, first-1)
	}
	switch {
	case first == snap.Index+1:
		st.Entries = r.entries
		return nil
	case last >= snap.Index && r.entries[snap.Index-first].Term == snap.Term:
		st.Entries = r.entries[snap.Index-first+1:]
		return nil
	}
	return r.disk.writeBase(logBase{Index: snap.Index, Term: snap.Term})
}

func (d *disk) writeBase(b logBase) error {
	if err := d.writeRecord(walRecord{Base: &b}); err != nil {
		return err
	}
	return d.sync()
}

// writeRecord writes one record and includes the hard state if it may be the
// first of its segment.
func (d *disk) writeRecord(rec walRecord) error {
	if d.segmentEmpty && rec.Hard == nil {
		rec.Hard = &d.hard
	}
	b, err := cbor.Marshal(rec)
	if err != nil {
		return eris.Wrapf(ErrDisk, "encode write-ahead log record: %v", err)
	}
	if err := d.wal.Write(b); err != nil {
		return diskError(err)
	}
	d.segmentEmpty = false
	if rec.Hard != nil {
		d.hard = *rec.Hard
	}
	if n := len(rec.Entries); n > 0 {
		seg := d.wal.Segment()
		d.lastIndexIn[seg] = max(d.lastIndexIn[seg], rec.Entries[n-1].Index)
	}
	return nil
}

// write writes the contents of r; they are durable after sync. If it fails with
// ErrDiskFull, nothing was stored except possibly the snapshot, which may be
// written again.
func (d *disk) write(r Ready) error {
	rec := walRecord{Hard: r.Hard, Entries: r.Entries}
	if r.Snapshot != nil {
		if err := saveSnapshot(d.fs, d.dir, r.Snapshot.Meta, r.Snapshot.Data); err != nil {
			return err
		}
		rec.Base = &logBase{Index: r.Snapshot.Meta.Index, Term: r.Snapshot.Meta.Term}
	}
	return d.writeRecord(rec)
}

// sync makes the written records durable and starts a new segment if the current
// one is full.
func (d *disk) sync() error {
	if err := d.wal.Sync(); err != nil {
		return diskError(err)
	}
	if !d.wal.RotationDue() {
		return nil
	}
	if err := d.wal.Rotate(); err != nil {
		if eris.Is(err, wal.ErrFull) {
			return nil // the current segment grows until there is space
		}
		return diskError(err)
	}
	d.segmentEmpty = true
	return nil
}

// probeSpace writes the hard state again to find out whether the disk has space.
func (d *disk) probeSpace() error {
	if err := d.writeRecord(walRecord{Hard: &d.hard}); err != nil {
		return err
	}
	return d.sync()
}

// compact removes the segments and snapshots that the snapshot at index
// replaces.
func (d *disk) compact(index uint64) error {
	if d.segmentEmpty { // the current segment may not hold the hard state yet
		if err := d.probeSpace(); err != nil {
			return err
		}
	}
	keep := d.wal.Segment()
	for seg := range d.lastIndexIn {
		if d.lastIndexIn[seg] > index {
			keep = min(keep, seg)
		}
	}
	if err := d.wal.RemoveBefore(keep); err != nil {
		return diskError(err)
	}
	for seg := range d.lastIndexIn {
		if seg < keep {
			delete(d.lastIndexIn, seg)
		}
	}
	return d.removeSnapshotsBefore(index)
}

func (d *disk) removeSnapshotsBefore(index uint64) error {
	names, err := d.fs.List(d.dir)
	if err != nil {
		return diskError(wal.Classify(err))
	}
	for _, n := range names {
		if i, ok := snapshotIndex(n); ok && i < index {
			if err := d.fs.Remove(filepath.Join(d.dir, n)); err != nil {
				return diskError(wal.Classify(err))
			}
		}
	}
	return diskError(wal.Classify(d.fs.SyncDir(d.dir)))
}
