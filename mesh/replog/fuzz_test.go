package replog

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"balsamtrail.org/mesh/replog/wal"
)

// FuzzSnapshot guards against a snapshot decoder that panics, or accepts a file
// whose contents change when saveSnapshot writes them again.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		meta, state, err := decodeSnapshot("fuzz", b)
		if err != nil {
			return
		}
		fsys := wal.NewMemFS()
		if err := saveSnapshot(fsys, simDir, meta, state); err != nil {
			t.Fatal(err)
		}
		again, _ := fsys.ReadFile(snapshotName(simDir, meta.Index))
		meta2, state2, err := decodeSnapshot("again", again)
		if err != nil || !reflect.DeepEqual(meta, meta2) || !bytes.Equal(state, state2) {
			t.Fatalf("%+v became %+v, %v", meta, meta2, err)
		}
	})
}

// FuzzRecord guards against a record decoder that panics or accepts entries with
// gaps.
func FuzzRecord(f *testing.F) {
	f.Fuzz(func(t *testing.T, a, b []byte) {
		r := replay{disk: &disk{lastIndexIn: map[uint64]uint64{}}}
		for _, p := range [][]byte{a, b} {
			if r.record(1, p) != nil {
				return
			}
		}
		for i, e := range r.entries {
			if e.Index != r.entries[0].Index+uint64(i) {
				t.Fatalf("entry %d at position %d, first entry %d", e.Index, i, r.entries[0].Index)
			}
		}
	})
}

// FuzzStep guards against a message from a faulty host that makes this host
// panic.
func FuzzStep(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		var messages []Message
		if decodeMode.Unmarshal(b, &messages) != nil {
			return
		}
		s := newSim(t, 1, "a", "b")
		h := s.hosts["a"]
		for _, m := range messages {
			m.Cluster, m.From, m.To, m.ToDisk = "sim", "b", "a", ""
			h.eng.core.Step(s.now.Add(time.Second), m)
			_ = h.eng.core.Ready()
		}
	})
}
