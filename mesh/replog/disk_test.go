package replog

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/replog/wal"
)

// writeReady stores and syncs one Ready.
func writeReady(t *testing.T, d *disk, r Ready) {
	t.Helper()
	if err := d.write(r); err != nil {
		t.Fatal(err)
	}
	if err := d.sync(); err != nil {
		t.Fatal(err)
	}
}

func entry(index, term uint64) Entry {
	return Entry{Index: index, Term: term, Kind: EntryCommand, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func snapshotAt(index, term uint64) (SnapshotMeta, []byte) {
	state := fmt.Appendf(nil, "state at %d", index)
	return SnapshotMeta{Index: index, Term: term, Size: int64(len(state)), Checksum: xxhash.Sum64(state)}, state
}

// filledDisk returns a file system with an identity, a snapshot and several
// segments.
func filledDisk(t *testing.T) *wal.MemFS {
	t.Helper()
	fsys := wal.NewMemFS()
	if _, err := openIdentity(fsys, simDir, identity{Cluster: "sim", Host: "a"}); err != nil {
		t.Fatal(err)
	}
	d, _, err := openDisk(fsys, simDir, 300, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(12) {
		writeReady(t, d, Ready{Hard: &HardState{Term: 1 + i/4, Vote: "a"}, Entries: []Entry{entry(i+1, 1+i/4)}})
	}
	meta, state := snapshotAt(6, 2)
	if err := saveSnapshot(fsys, simDir, meta, state); err != nil {
		t.Fatal(err)
	}
	if err := d.compact(6); err != nil {
		t.Fatal(err)
	}
	return fsys
}

// openFiles recovers the data directory as Open does.
func openFiles(fsys wal.FS) (CoreState, error) {
	if _, err := openIdentity(fsys, simDir, identity{Cluster: "sim", Host: "a"}); err != nil {
		return CoreState{}, err
	}
	_, rec, err := openDisk(fsys, simDir, 300, nil)
	return rec.state, err
}

// copyWith returns a copy of a file system in which one file is replaced.
func copyWith(fsys *wal.MemFS, name string, content []byte) *wal.MemFS {
	out := fsys.Clone()
	out.Put(name, content)
	return out
}

// Guards against a start with a damaged file, and against an error that does not
// name the file.
func TestFlippedBitFailsStart(t *testing.T) {
	fsys := filledDisk(t)
	st, err := openFiles(fsys)
	if err != nil || len(st.Entries) != 6 || st.Hard.Term != 3 || st.Snapshot.Index != 6 {
		t.Fatalf("undamaged: %+v, %v", st, err)
	}
	names, _ := fsys.List(simDir)
	if len(names) < 4 {
		t.Fatalf("too few files: %v", names)
	}
	for _, n := range names {
		name := filepath.Join(simDir, n)
		whole, _ := fsys.ReadFile(name)
		for i := range whole {
			b := bytes.Clone(whole)
			b[i] ^= 1 << (i % 8)
			_, err := openFiles(copyWith(fsys, name, b))
			if !eris.Is(err, ErrDamaged) || !strings.Contains(err.Error(), name+" at offset ") {
				t.Fatalf("%s with byte %d flipped: %v", name, i, err)
			}
		}
	}
}

// Guards against a crash in the middle of a write after which the host cannot
// start, or has lost more than the end of the log.
func TestTruncationAtEveryByte(t *testing.T) {
	fsys := filledDisk(t)
	names, _ := fsys.List(simDir)
	last := ""
	for _, n := range names {
		if strings.HasSuffix(n, wal.SegmentSuffix) {
			last = filepath.Join(simDir, n)
		}
	}
	whole, _ := fsys.ReadFile(last)
	previous := 0
	for size := range len(whole) + 1 {
		st, err := openFiles(copyWith(fsys, last, whole[:size]))
		if err != nil {
			t.Fatalf("truncated at %d: %v", size, err)
		}
		for i, e := range st.Entries {
			if e.Index != st.Offset+uint64(i)+1 || e.Term != 1+(e.Index-1)/4 {
				t.Fatalf("truncated at %d: entry %+v at position %d", size, e, i)
			}
		}
		if len(st.Entries) < previous {
			t.Fatalf("truncated at %d: %d entries, fewer than in a shorter file", size, len(st.Entries))
		}
		previous = len(st.Entries)
	}
	if previous != 6 {
		t.Fatalf("the whole file has %d entries", previous)
	}
}

// Guards against a crash between the write of a received snapshot and the log
// record for it: the log must be readable afterwards and must not contain
// entries that the snapshot replaced.
func TestCrashWhileInstallingSnapshot(t *testing.T) {
	for _, tc := range []struct {
		name        string
		index, term uint64
		kept        int
	}{
		{"beyond the log", 30, 3, 0},
		{"over differing entries", 8, 9, 0},
		{"over equal entries", 8, 2, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fsys := filledDisk(t)
			meta, state := snapshotAt(tc.index, tc.term)
			if err := saveSnapshot(fsys, simDir, meta, state); err != nil {
				t.Fatal(err)
			}
			d, rec, err := openDisk(fsys, simDir, 300, nil)
			if err != nil || len(rec.state.Entries) != tc.kept || rec.state.Offset != tc.index {
				t.Fatalf("%+v, %v", rec.state, err)
			}
			next := tc.index + uint64(tc.kept) + 1
			writeReady(t, d, Ready{Entries: []Entry{entry(next, 9)}})
			st, err := openFiles(fsys)
			if err != nil || len(st.Entries) != tc.kept+1 || st.Entries[tc.kept].Index != next || st.Hard.Term != 3 {
				t.Fatalf("after the next entry: %+v, %v", st, err)
			}
		})
	}
}

// Guards against a log whose first segments are missing being taken for a
// complete one, and against a directory without its identity file getting a new
// identity.
func TestMissingFilesFailStart(t *testing.T) {
	fsys := filledDisk(t)
	names, _ := fsys.List(simDir)
	for _, suffix := range []string{"identity", ".snap", wal.SegmentSuffix} {
		missing := fsys.Clone()
		for _, n := range names {
			if strings.HasSuffix(n, suffix) {
				_ = missing.Remove(filepath.Join(simDir, n))
			}
		}
		if _, err := openFiles(missing); !eris.Is(err, ErrDamaged) {
			t.Fatalf("without %s: %v", suffix, err)
		}
	}
	if _, err := openIdentity(fsys, simDir, identity{Cluster: "other", Host: "a"}); !eris.Is(err, ErrConfig) {
		t.Fatalf("directory of another cluster: %v", err)
	}
}

// Guards against a host that votes a second time in a term after its only
// segment was emptied or truncated within the header. The header is durable
// before the identity file is written, so a crash cannot cause this.
func TestSegmentWithoutHeaderFailsStart(t *testing.T) {
	fsys := wal.NewMemFS()
	want := identity{Cluster: "demo", Host: "a"}
	if _, err := openIdentity(fsys, simDir, want); err != nil {
		t.Fatal(err)
	}
	d, _, err := openDisk(fsys, simDir, 1<<20, nil)
	if err != nil {
		t.Fatal(err)
	}
	writeReady(t, d, Ready{Hard: &HardState{Term: 1, Vote: "b"}, Entries: []Entry{entry(1, 1)}})
	name := filepath.Join(simDir, "0000000000000001"+wal.SegmentSuffix)
	whole, err := fsys.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for size := range 8 {
		if _, err := openIdentity(copyWith(fsys, name, whole[:size]), simDir, want); !eris.Is(err, ErrDamaged) || !strings.Contains(err.Error(), name) {
			t.Errorf("truncated at %d: %v", size, err)
		}
	}
	if _, err := openIdentity(copyWith(fsys, name, whole[:8]), simDir, want); err != nil {
		t.Errorf("complete header: %v", err)
	}
}

// Guards against a recovery that reports damage if entries were replaced by a
// later leader and the segments with the first of them have been removed.
func TestReplacedEntriesInRemovedSegments(t *testing.T) {
	fsys := wal.NewMemFS()
	d, _, err := openDisk(fsys, simDir, 150, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= 10; i++ {
		writeReady(t, d, Ready{Hard: &HardState{Term: 1}, Entries: []Entry{entry(i, 1)}})
	}
	for i := uint64(5); i <= 20; i++ {
		writeReady(t, d, Ready{Hard: &HardState{Term: 2}, Entries: []Entry{entry(i, 2)}})
	}
	for index := uint64(6); index < 20; index++ {
		meta, state := snapshotAt(index, 2)
		if err := saveSnapshot(fsys, simDir, meta, state); err != nil {
			t.Fatal(err)
		}
		if err := d.compact(index); err != nil {
			t.Fatal(err)
		}
		_, rec, err := openDisk(fsys, simDir, 150, nil)
		if err != nil || len(rec.state.Entries) != int(20-index) || rec.state.Hard.Term != 2 {
			t.Fatalf("snapshot at %d: %+v, %v", index, rec.state, err)
		}
	}
}
