package claim

import (
	"bytes"
	"testing"
)

// Guards against a panic on a malformed or forged log entry, and against a state
// whose snapshot cannot be restored.
func FuzzCommand(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := DecodeCommand(b)
		if err != nil {
			return
		}
		s := NewState()
		s.Apply(claimCommand(keyAt(t0, "a"), "t1", t0), 1)
		s.Apply(c, 2)
		snap, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(snap); err != nil {
			t.Fatalf("state after %+v does not restore: %v", c, err)
		}
	})
}

// Guards against a panic on a damaged snapshot, and against a restored table that
// encodes to another snapshot.
func FuzzSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		s := NewState()
		if s.Restore(b) != nil {
			return
		}
		first, _ := s.Snapshot()
		r := NewState()
		if err := r.Restore(first); err != nil {
			t.Fatal(err)
		}
		if second, _ := r.Snapshot(); !bytes.Equal(first, second) {
			t.Fatal("snapshot of the restored table differs")
		}
	})
}
