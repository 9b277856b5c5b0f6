package control

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

var machineStart = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// machineRun drives a machine as the log does.
type machineRun struct {
	t     *testing.T
	m     *ConfigMachine
	index uint64
}

func newMachineRun(t *testing.T) *machineRun {
	return &machineRun{t: t, m: NewConfigMachine(1, distribute.NewStore(), slog.New(slog.DiscardHandler))}
}

func (r *machineRun) apply(data []byte, err error) any {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
	r.index++
	return r.m.Apply(replog.Entry{Index: r.index, Term: 1, Kind: replog.EntryCommand, Data: data})
}

func (r *machineRun) note(c note.Command) note.Result {
	r.t.Helper()
	c.Operator, c.Time = "demo", machineStart.Add(time.Duration(r.index)*time.Second)
	res, ok := r.apply(encodeNote(c)).(note.Result)
	if !ok || res.Code != note.CodeOK {
		r.t.Fatalf("command %+v: %+v", c, res)
	}
	return res
}

// publishNotes accepts a first note with one service, then a move of it to v2.
func (r *machineRun) publishNotes() {
	r.t.Helper()
	r.note(note.Command{Operation: "op-1", Publish: &note.Publish{Note: note.Note{Number: 1, Title: "first",
		Services: note.Changes[note.Service]{Added: []note.Service{{Name: "ledger", Slots: 20, Connections: 100}}},
		Moves:    []note.Move{{Service: "ledger", To: "v1", By: machineStart.Add(time.Hour)}}}}})
	r.note(note.Command{Operation: "op-2", Publish: &note.Publish{Note: note.Note{Number: 2, Title: "move",
		Moves: []note.Move{{Service: "ledger", To: "v2", By: machineStart.Add(time.Hour), WatchFor: time.Minute}}}}})
}

func (r *machineRun) status() (st rollout.Status) {
	r.m.View(func(_ *note.State, m *rollout.State) { st, _ = m.Current("ledger") })
	return st
}

// An accepted note with a move must start its rollout in the same entry, or a
// crash between two entries would leave a move that nobody carries out.
func TestMachineStartsAndWithdrawsRolloutsWithTheirNotes(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	if st := r.status(); st.Phase != rollout.PhaseWaiting || st.From != "v1" || st.Move.To != "v2" {
		t.Fatalf("after publish: %+v", st)
	}
	r.note(note.Command{Operation: "op-3", Withdraw: &note.Withdraw{Number: 2, Expected: 1}})
	if st := r.status(); st.Phase != rollout.PhaseWithdrawn || st.Share != 0 {
		t.Errorf("after withdrawal: %+v", st)
	}
}

// A control host that is restored from a snapshot must hold the same state and
// publish the same configuration as one that applied every entry.
func TestMachineRestoresWhatItSnapshots(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	r.apply(encodeCommand(command{Host: &HostAddress{Host: "c4", DataCentre: "thun", Peer: "127.0.0.1:1"}}))
	snap, err := r.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := newMachineRun(t)
	if err := other.m.Restore(snap); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(r.status(), other.status()) {
		t.Errorf("rollouts differ: %+v, %+v", r.status(), other.status())
	}
	if _, ok := other.m.Host("c4"); !ok {
		t.Error("address of c4 is lost")
	}
	r.m.publish()
	other.m.publish()
	a, b := r.m.store.Current(), other.m.store.Current()
	if a.Position != b.Position || a.Sum != b.Sum {
		t.Errorf("published %s sum %x, restored %s sum %x", a.Position, a.Sum, b.Position, b.Sum)
	}
	again, err := other.m.Snapshot()
	if err != nil || !reflect.DeepEqual(snap, again) {
		t.Errorf("second snapshot differs (%v)", err)
	}
	if err := other.m.Restore(snap[:len(snap)/2]); err == nil {
		t.Error("half a snapshot was restored")
	}
}

// An entry that does not decode must change nothing and not stop the host.
func TestMachineIgnoresAMalformedEntry(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	before := r.m.Position()
	if _, ok := r.apply([]byte{0xff, 0x01}, nil).(error); !ok {
		t.Error("no error for a malformed entry")
	}
	if r.m.Position() != before {
		t.Error("a malformed entry changed the configuration")
	}
}

// Shares with a zero entry are the same as without it; otherwise the leader
// would propose the same step at every tick.
func TestSameSharesIgnoresZero(t *testing.T) {
	a := note.Shares{"v1": model.ShareAll, "v2": 0}
	if !sameShares(a, note.Shares{"v1": model.ShareAll}) || !sameShares(note.Shares{"v1": model.ShareAll}, a) {
		t.Error("a zero share makes a difference")
	}
	if sameShares(a, note.Shares{"v2": model.ShareAll}) {
		t.Error("different shares are the same")
	}
}
