package replog

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/replog/wal"
)

// StateMachine is the application state that the log replicates. Its methods are
// never called concurrently. Apply must be deterministic.
type StateMachine interface {
	// Apply executes the next committed command. Indexes strictly increase.
	Apply(Entry) any
	// Snapshot returns the state after the last Apply.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore([]byte) error
}

// outcome is the result of a call that the owner goroutine handled.
type outcome struct {
	value any
	index uint64
	err   error
}

// waiter is a proposal that was appended to the log and waits to be applied.
type waiter struct {
	term uint64
	done chan<- outcome
}

// pendingRead is a confirmed read that waits until the state machine has applied
// index.
type pendingRead struct {
	index uint64
	done  chan<- outcome
}

// task is one unit of work for the applier: restore first, then apply the
// entries, then write a snapshot.
type task struct {
	entries  []Entry
	restore  *ReceivedSnapshot
	snapshot *SnapshotMeta
}

// snapshotDone is the result of writing a snapshot file.
type snapshotDone struct {
	meta SnapshotMeta
	err  error
}

// applier owns the state machine and applies committed entries in its own
// goroutine, so that a slow state machine delays neither heartbeats nor disk
// writes.
type applier struct {
	sm    StateMachine
	fs    wal.FS
	dir   string
	saved chan snapshotDone

	// mu guards the fields below.
	mu      sync.Mutex
	wake    chan struct{}
	tasks   []task
	waiters map[uint64]waiter
	reads   []pendingRead
	applied uint64
	err     error
	closed  bool
}

func newApplier(sm StateMachine, fsys wal.FS, dir string, applied uint64) *applier {
	return &applier{
		sm: sm, fs: fsys, dir: dir, applied: applied, saved: make(chan snapshotDone, 1),
		wake: make(chan struct{}, 1), waiters: map[uint64]waiter{},
	}
}

// push queues a task; it never blocks.
func (a *applier) push(t task) {
	a.mu.Lock()
	a.tasks = append(a.tasks, t)
	a.mu.Unlock()
	a.signal()
}

func (a *applier) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// await registers a waiter for the entry at index.
func (a *applier) await(index uint64, w waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = w
}

// read answers r once the state machine has applied its index.
func (a *applier) read(r pendingRead) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reads = append(a.reads, r)
	a.answerReads()
}

// failAbove answers the waiters for entries after index above with an error.
func (a *applier) failAbove(above uint64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		if index > above {
			w.done <- outcome{err: err}
			delete(a.waiters, index)
		}
	}
}

// status returns the applied index, the number of queued tasks and the error of
// a failed restore.
func (a *applier) status() (applied uint64, backlog int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.applied, len(a.tasks), a.err
}

// close makes run return after the tasks that it has already taken.
func (a *applier) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.signal()
}

// run executes the queued tasks in order until close is called.
func (a *applier) run() {
	for range a.wake {
		for {
			a.mu.Lock()
			if a.closed {
				a.mu.Unlock()
				return
			}
			tasks := a.tasks
			a.tasks = nil
			a.mu.Unlock()
			if len(tasks) == 0 {
				break
			}
			for _, t := range tasks {
				a.runTask(t)
			}
		}
	}
}

func (a *applier) runTask(t task) {
	if t.restore != nil {
		a.restore(t.restore)
	}
	for _, e := range t.entries {
		a.apply(e)
	}
	if t.snapshot != nil {
		a.save(*t.snapshot)
	}
}

func (a *applier) restore(in *ReceivedSnapshot) {
	err := a.sm.Restore(in.Data)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil && a.err == nil {
		a.err = err
	}
	a.applied = max(a.applied, in.Meta.Index)
	for index, w := range a.waiters {
		if index <= a.applied {
			w.done <- outcome{err: ErrOutcomeUnknown}
			delete(a.waiters, index)
		}
	}
	a.answerReads()
}

func (a *applier) apply(e Entry) {
	invariant.Check(e.Index == a.applied+1, invariant.NoOlderNote, "entries would be applied out of order",
		"applied", a.applied, "index", e.Index)
	var value any
	if e.Kind == EntryCommand {
		value = a.sm.Apply(e)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applied = e.Index
	if w, ok := a.waiters[e.Index]; ok {
		o := outcome{value: value, index: e.Index}
		if w.term != e.Term {
			o = outcome{err: ErrNotLeader{}} // an entry of another leader was committed at this index
		}
		w.done <- o
		delete(a.waiters, e.Index)
	}
	a.answerReads()
}

// answerReads answers the reads that have been reached. The caller must hold mu.
func (a *applier) answerReads() {
	kept := a.reads[:0]
	for _, r := range a.reads {
		if r.index > a.applied {
			kept = append(kept, r)
			continue
		}
		r.done <- outcome{index: r.index}
	}
	a.reads = kept
}

// save writes a snapshot of the current state to disk.
func (a *applier) save(meta SnapshotMeta) {
	state, err := a.sm.Snapshot()
	if err == nil {
		meta.Size, meta.Checksum = int64(len(state)), xxhash.Sum64(state)
		err = saveSnapshot(a.fs, a.dir, meta, state)
	}
	a.saved <- snapshotDone{meta: meta, err: err}
}
