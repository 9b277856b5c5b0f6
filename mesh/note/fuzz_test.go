package note

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"balsamtrail.org/mesh/model"
)

// FuzzNote guards against input that panics the parser, and against a note that
// decodes differently after it was encoded.
func FuzzNote(f *testing.F) {
	f.Add([]byte(noteJSON))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := ParseNote(data)
		if err != nil {
			return
		}
		raw, err := json.Marshal(n)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseNote(raw)
		if err != nil {
			t.Fatalf("%v in %s", err, raw)
		}
		first, _ := encode(n)
		second, _ := encode(again)
		if !bytes.Equal(first, second) {
			t.Fatal(cmp.Diff(n, again))
		}
	})
}

// FuzzCommand guards against a log entry that panics the decoder or the state,
// and against a refused command that changes the configuration.
func FuzzCommand(f *testing.F) {
	for _, c := range []Command{
		{Operator: "berta", Operation: "x", Time: start, Publish: &Publish{Note: moveNote(2, "v2")}},
		{Operator: "berta", Operation: "y", Time: start, Withdraw: &Withdraw{Number: 1, ExpectedRevision: 1}},
		{Operator: RolloutOperator, Time: start, SetShares: &SetShares{Service: "ledger", Shares: allTraffic("v2")}},
	} {
		raw, err := EncodeCommand(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		d := newDriver(defaultLimits)
		d.publish(ledgerNote())
		before := d.Config()
		r := d.Apply(c, model.Position{Epoch: 1, Index: 9})
		if !r.Changed && !cmp.Equal(before, d.Config()) {
			t.Fatal("a command whose result reports no change changed the configuration")
		}
		if err := Validate(d.Config()); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzSnapshot guards against a snapshot that panics the decoder, restores an
// invalid configuration, or differs after it was restored.
func FuzzSnapshot(f *testing.F) {
	d := newDriver(defaultLimits)
	d.publish(ledgerNote())
	d.publish(moveNote(2, "v2"))
	d.step(&SetShares{Service: "ledger", Shares: Shares{"v1": 5000, "v2": 5000}})
	raw, err := d.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if s.Restore(data) != nil {
			return
		}
		if err := Validate(s.Config()); err != nil {
			t.Fatal(err)
		}
		first, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Restore(first); err != nil {
			t.Fatal(err)
		}
		if second, _ := s.Snapshot(); !bytes.Equal(first, second) {
			t.Fatal("the snapshot of the restored state differs")
		}
		s.Moves()
		s.Apply(Command{Operator: "berta", Time: start, Publish: &Publish{Note: moveNote(s.Head()+1, "v2")}}, model.Position{Epoch: 1, Index: 99})
	})
}
