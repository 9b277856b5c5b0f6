// Package replog is the replicated log of the control hosts: terms, votes,
// quorum commits, snapshots and changes of hosts in the style of Raft.
//
// Core holds the decisions and does no I/O. Log runs a Core: one goroutine owns
// the core and its disk, one goroutine for each other host sends to it, and one
// applies accepted entries to the state machine.
package replog

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/replog/wal"
	"balsamtrail.org/mesh/telemetry"
)

// Log is this host's part of one group.
type Log struct {
	cfg     Config
	id      DiskID
	lock    io.Closer
	engine  *engine
	senders *senders
	applier *applier

	inbox         chan Message
	proposals     chan proposal
	reads         chan chan<- outcome
	adminRequests chan adminRequest
	stop          chan struct{}
	stopOnce      sync.Once
	stopped       chan struct{}
	wg            sync.WaitGroup

	// The fields from here to mu belong to the goroutine run.
	pendingReads   map[uint64]chan<- outcome
	lastReadID     uint64
	diskFullPaused bool
	// diskRetryAt is when a full disk is tried again.
	diskRetryAt  time.Time
	snapshotting bool
	// snapshotRetryIndex is the index before which a failed snapshot is not tried again.
	snapshotRetryIndex uint64
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot.
	bytesSinceSnapshot int64
	// unsyncedProposalBytes is the size of the proposals taken since the last synced write,
	// applyBacklog the number of tasks of the applier at that time.
	unsyncedProposalBytes, applyBacklog int
	timer                               *time.Timer

	// mu guards the fields below.
	mu      sync.Mutex
	status  Status
	changed chan struct{}
}

// proposal is a call of Propose.
type proposal struct {
	data []byte
	done chan<- outcome
}

// adminRequest is a call of AddHost, RemoveHost or HandOver.
type adminRequest struct {
	// member is the host to add; only its name counts for a removal.
	member Member
	remove bool
	// transferLeadership makes it a call of HandOver.
	transferLeadership bool
	done               chan<- outcome
}

// Status describes this host's part of the group.
type Status struct {
	Group         uint32       `json:"group"`
	Self          model.HostID `json:"self"`
	Disk          DiskID       `json:"disk"`
	Role          Role         `json:"role"`
	Term          uint64       `json:"term"`
	Leader        model.HostID `json:"leader"`
	Commit        uint64       `json:"commit"`
	Applied       uint64       `json:"applied"`
	LastIndex     uint64       `json:"lastIndex"`
	SnapshotIndex uint64       `json:"snapshotIndex"`
	Members       Members      `json:"members"`
	// MembersCommitted says that Members are accepted, not only proposed.
	MembersCommitted bool `json:"membersCommitted"`
	DiskFull         bool `json:"diskFull"`
	// Err is why the log stopped; nil while it runs.
	Err error `json:"-"`
}

// Capacities of the queues into the owner goroutine.
const (
	inboxCapacity    = 1024
	proposalCapacity = 1024
	readCapacity     = 1024
)

// Open recovers the log from its directory and starts it. A damaged file is
// ErrDamaged, and the host must not be started without an operator.
func Open(cfg Config, sm StateMachine, tr Transport) (*Log, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, diskError(wal.Classify(err))
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockFile))
	if err != nil {
		return nil, eris.Wrapf(ErrDisk, "data directory is in use: %v", err)
	}
	l, err := recoverLog(cfg, sm, tr)
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	l.lock = lock
	l.wg.Go(l.applier.run)
	l.wg.Go(l.run)
	return l, nil
}

// recoverLog reads the disk and restores the state machine.
func recoverLog(cfg Config, sm StateMachine, tr Transport) (*Log, error) {
	id, err := openIdentity(cfg.FS, cfg.Dir, identity{Cluster: cfg.Cluster, Group: cfg.Group, Host: cfg.Self})
	if err != nil {
		return nil, err
	}
	d, rec, err := openDisk(cfg.FS, cfg.Dir, cfg.SegmentBytes, initialMembers(cfg.Voters))
	if err != nil {
		return nil, err
	}
	if n := d.wal.TornBytes(); n > 0 {
		cfg.Log.Warn("torn end of the write-ahead log was cut", "dir", cfg.Dir, "bytes", n)
	}
	if rec.state.Snapshot.Index > 0 {
		if err := sm.Restore(rec.data); err != nil {
			_ = d.wal.Close()
			return nil, eris.Wrapf(ErrDamaged, "%s: restore: %v", snapshotName(cfg.Dir, rec.state.Snapshot.Index), err)
		}
	}
	l := &Log{
		cfg: cfg, id: id,
		inbox: make(chan Message, inboxCapacity), proposals: make(chan proposal, proposalCapacity),
		reads: make(chan chan<- outcome, readCapacity), adminRequests: make(chan adminRequest),
		stop: make(chan struct{}), stopped: make(chan struct{}), changed: make(chan struct{}),
		pendingReads: map[uint64]chan<- outcome{},
	}
	core := NewCore(CoreConfig{
		Cluster: cfg.Cluster, Group: cfg.Group, Self: cfg.Self, Disk: id,
		ElectionTimeout: cfg.ElectionTimeout, Heartbeat: cfg.Heartbeat,
		MaxBatchBytes: maxBatchBytes, MaxInflight: maxInflightEntries,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, time.Now(), rec.state)
	l.senders = newSenders(tr, cfg.FS, cfg.Dir)
	l.applier = newApplier(sm, cfg.FS, cfg.Dir, rec.state.Snapshot.Index)
	l.engine = &engine{core: core, disk: d, send: l.senders.send, apply: l.apply}
	l.publishStatus()
	return l, nil
}

// droppedIn and droppedOut count messages that found a full queue. Heartbeats
// repair the loss; growth means that a host or the disk does not keep up.
var (
	droppedIn  = telemetry.Counter("replog.messages.dropped.in")
	droppedOut = telemetry.Counter("replog.messages.dropped.out")
)

// Deliver takes a message from the transport. It never blocks; a message that
// finds the queue full is dropped.
func (l *Log) Deliver(m Message) {
	select {
	case l.inbox <- m:
	default:
		droppedIn.Inc(1)
	}
}

// Propose appends a command and waits until it is accepted and applied. It
// returns the result of Apply. Only ErrOutcomeUnknown leaves open whether the
// command is accepted; after every other error it is not.
func (l *Log) Propose(ctx context.Context, data []byte) (any, error) {
	if len(data) > l.cfg.MaxEntryBytes {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes, at most %d", len(data), l.cfg.MaxEntryBytes)
	}
	if l.isStopped() {
		return nil, ErrClosed
	}
	done := make(chan outcome, 1)
	select {
	case l.proposals <- proposal{data: data, done: done}:
	case <-ctx.Done():
		return nil, eris.Wrap(ErrNotAccepted, ctx.Err().Error())
	case <-l.stop:
		return nil, ErrClosed
	}
	o := l.wait(ctx, done)
	return o.value, o.err
}

// ConfirmLeader confirms with a quorum, after the call began, that this host
// leads. It returns once the state machine holds everything that was accepted
// before the call, with the index up to which it does.
func (l *Log) ConfirmLeader(ctx context.Context) (uint64, error) {
	done := make(chan outcome, 1)
	select {
	case l.reads <- done:
	case <-ctx.Done():
		return 0, eris.Wrap(ErrUnconfirmed, ctx.Err().Error())
	case <-l.stop:
		return 0, ErrClosed
	}
	o := l.wait(ctx, done)
	if eris.Is(o.err, ErrOutcomeUnknown) {
		return 0, eris.Wrap(ErrUnconfirmed, o.err.Error())
	}
	return o.index, o.err
}

func (l *Log) isStopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// wait returns the outcome of a call that the owner goroutine has taken.
func (l *Log) wait(ctx context.Context, done <-chan outcome) outcome {
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
		return outcome{err: eris.Wrap(ErrOutcomeUnknown, ctx.Err().Error())}
	case <-l.stopped:
	}
	select {
	case o := <-done:
		return o
	default:
		return outcome{err: eris.Wrap(ErrOutcomeUnknown, "the log was closed")}
	}
}

// AddHost makes a host with the named disk a voter: first a learner, then a
// voter once it has caught up. If the host is a member with another disk, the
// old identity is removed first. It returns when the host is a voter and may
// be repeated after any error.
func (l *Log) AddHost(ctx context.Context, host Member) error {
	return l.changeMembership(ctx, adminRequest{member: host}, func(ms Members) bool {
		m, ok := ms.Find(host.Host)
		return ok && m.Voter && m.Disk == host.Disk
	})
}

// BeginAddHost is AddHost without the wait: it returns when the leader has taken
// the change. It may be repeated until the host is a voter.
func (l *Log) BeginAddHost(ctx context.Context, host Member) error {
	return l.request(ctx, adminRequest{member: host})
}

// RemoveHost removes a host from the group and returns when that is accepted.
func (l *Log) RemoveHost(ctx context.Context, host model.HostID) error {
	return l.changeMembership(ctx, adminRequest{member: Member{Host: host}, remove: true}, func(ms Members) bool {
		_, ok := ms.Find(host)
		return !ok
	})
}

// HandOver gives the place of this leader to another voter, for a planned stop.
// It returns when this host no longer leads, at once if it does not.
func (l *Log) HandOver(ctx context.Context) error {
	for {
		st, changed := l.Watch()
		if st.Role != Leader {
			return nil
		}
		if err := l.request(ctx, adminRequest{transferLeadership: true}); err != nil {
			return err
		}
		select {
		case <-changed:
		case <-time.After(l.cfg.ElectionTimeout): // the target did not answer
		case <-ctx.Done():
			return eris.Wrap(ErrNotAccepted, ctx.Err().Error())
		case <-l.stopped:
			return nil
		}
	}
}

// request passes a change to the owner goroutine and waits until it is taken.
func (l *Log) request(ctx context.Context, req adminRequest) error {
	done := make(chan outcome, 1)
	req.done = done
	select {
	case l.adminRequests <- req:
	case <-ctx.Done():
		return eris.Wrap(ErrNotAccepted, ctx.Err().Error())
	case <-l.stop:
		return ErrClosed
	}
	return l.wait(ctx, done).err
}

// changeMembership proposes a change and waits until the accepted members satisfy ok.
func (l *Log) changeMembership(ctx context.Context, req adminRequest, ok func(Members) bool) error {
	if err := l.request(ctx, req); err != nil {
		return err
	}
	for {
		st, changed := l.Watch()
		switch {
		case st.MembersCommitted && ok(st.Members):
			return nil
		case st.Role != Leader:
			return eris.Wrap(ErrOutcomeUnknown, "leadership was lost")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
		case <-l.stopped:
			return eris.Wrap(ErrOutcomeUnknown, "the log was closed")
		}
	}
}

// Status returns the present state.
func (l *Log) Status() Status {
	st, _ := l.Watch()
	return st
}

// Watch returns the present state and a channel that is closed when role,
// term, leader, members or disk state change.
func (l *Log) Watch() (Status, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.status
	st.Applied, _, _ = l.applier.status()
	return st, l.changed
}

// Close stops the log. Everything that was acknowledged is on the disk.
func (l *Log) Close() error {
	l.stopOnce.Do(func() { close(l.stop) })
	l.wg.Wait()
	l.senders.close()
	err := l.engine.disk.wal.Close()
	if lerr := l.lock.Close(); err == nil {
		err = lerr
	}
	if err != nil && !errors.Is(err, wal.ErrDisk) {
		return eris.Wrap(ErrDisk, err.Error())
	}
	return nil
}
