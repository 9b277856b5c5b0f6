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

// machineRun applies commands to a state machine in the way the replicated log
// does.
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

// publishNotes publishes a note that adds service ledger in version v1, then a
// note that moves it to v2.
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

// Guards against a crash between two entries that leaves a move without a
// rollout: the entry that accepts a note with a move must start the rollout
// too.
func TestMachineStartsAndWithdrawsRolloutsWithTheirNotes(t *testing.T) {
	r := newMachineRun(t)
	r.publishNotes()
	if st := r.status(); st.Phase != rollout.PhaseWaiting || st.From != "v1" || st.Move.To != "v2" {
		t.Fatalf("after publish: %+v", st)
	}
	r.note(note.Command{Operation: "op-3", Withdraw: &note.Withdraw{Number: 2, ExpectedRevision: 1}})
	if st := r.status(); st.Phase != rollout.PhaseWithdrawn || st.Share != 0 {
		t.Errorf("after withdrawal: %+v", st)
	}
}

// Guards against a control host that, restored from a snapshot, has other state
// or publishes another configuration than one that applied every entry.
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
		t.Error("address of c4 is missing after the restore")
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
		t.Error("a truncated snapshot was restored")
	}
}

// Guards against a malformed entry that changes the state or stops the host.
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

// Guards against a leader that proposes the same shares at each tick because a
// version with share 0 is taken for a difference.
func TestSameSharesIgnoresZero(t *testing.T) {
	a := note.Shares{"v1": model.ShareAll, "v2": 0}
	if !sameShares(a, note.Shares{"v1": model.ShareAll}) || !sameShares(note.Shares{"v1": model.ShareAll}, a) {
		t.Error("shares differ because of a version with share 0")
	}
	if sameShares(a, note.Shares{"v2": model.ShareAll}) {
		t.Error("shares with different versions are reported as equal")
	}
}
