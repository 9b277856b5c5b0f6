// Package replog is a replicated log for the control hosts, based on the Raft
// consensus algorithm: leader election, log replication, snapshots and
// membership changes.
//
// Core implements the algorithm and does no I/O. Log runs a Core: one goroutine
// owns the core and its disk, one goroutine per remote host sends messages, and
// one applies committed entries to the state machine.
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

// Log is the local replica of one group.
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

	// The fields from here to mu are owned by the goroutine that executes run.
	pendingReads   map[uint64]chan<- outcome
	lastReadID     uint64
	diskFullPaused bool
	// diskRetryAt is the time of the next attempt to write to a full disk.
	diskRetryAt  time.Time
	snapshotting bool
	// snapshotRetryIndex is the index that must be applied before a failed snapshot
	// is attempted again.
	snapshotRetryIndex uint64
	// bytesSinceSnapshot is the size in bytes of the committed entries since the
	// last snapshot was started.
	bytesSinceSnapshot int64
	// lastCommitted is when entries were last passed to the state machine, and
	// quietDelay is quietSnapshotDelay of this host.
	lastCommitted time.Time
	quietDelay    time.Duration
	// unsyncedProposalBytes is the size of the proposals received since the last
	// synced write, in bytes. applyBacklog is the number of tasks queued for the
	// applier when the current batch began.
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

// adminRequest is a request to add or remove a host, or to transfer leadership.
type adminRequest struct {
	// member is the host to add. For a removal, only its Host field is used.
	member Member
	remove bool
	// transferLeadership marks a request to transfer leadership; member and remove
	// are unused then.
	transferLeadership bool
	done               chan<- outcome
}

// Status is the state of the local replica.
type Status struct {
	Group uint32       `json:"group"`
	Self  model.HostID `json:"self"`
	Disk  DiskID       `json:"disk"`
	// Founder reports whether this host forms the group; see CoreConfig.
	Founder       bool         `json:"founder,omitempty"`
	Role          Role         `json:"role"`
	Term          uint64       `json:"term"`
	Leader        model.HostID `json:"leader"`
	Commit        uint64       `json:"commit"`
	Applied       uint64       `json:"applied"`
	LastIndex     uint64       `json:"lastIndex"`
	SnapshotIndex uint64       `json:"snapshotIndex"`
	Members       Members      `json:"members"`
	// MembersCommitted reports whether the entry that set Members is committed.
	MembersCommitted bool `json:"membersCommitted"`
	DiskFull         bool `json:"diskFull"`
	// QuorumContact is the time of the last contact with a quorum; see
	// Core.QuorumContact.
	QuorumContact time.Time `json:"-"`
	// Err is the error that stopped the log; nil while it runs.
	Err error `json:"-"`
}

// Capacities of the queues to the owner goroutine.
const (
	// inboxCapacity is the maximum number of queued messages from other hosts.
	inboxCapacity = 1024
	// proposalCapacity is the maximum number of queued calls of Propose.
	proposalCapacity = 1024
	// readCapacity is the maximum number of queued calls of ConfirmLeader.
	readCapacity = 1024
)

// Open recovers the log from its directory and starts it. It returns ErrDamaged
// if a file is damaged; an operator must then repair the host before it is
// started again.
func Open(cfg Config, sm StateMachine, tr Transport) (*Log, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	if err := cfg.FS.MkdirAll(cfg.Dir); err != nil {
		return nil, diskError(wal.Classify(err))
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockFile))
	if err != nil {
		return nil, eris.Wrapf(ErrDisk, "data directory is in use or cannot be locked: %v", err)
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

// recoverLog reads the files and restores the state machine.
func recoverLog(cfg Config, sm StateMachine, tr Transport) (*Log, error) {
	id, err := openIdentity(cfg.FS, cfg.Dir, identity{
		Cluster: cfg.Cluster, Group: cfg.Group, Host: cfg.Self, Founders: cfg.Voters, FirstStart: cfg.FirstStart && len(cfg.Voters) > 0,
	})
	if err != nil {
		return nil, err
	}
	d, rec, err := openDisk(cfg.FS, cfg.Dir, cfg.SegmentBytes, initialMembers(id.Founders))
	if err != nil {
		return nil, err
	}
	if n := d.wal.TornBytes(); n > 0 {
		cfg.Log.Warn("removed torn tail of the write-ahead log", "dir", cfg.Dir, "bytes", n)
	}
	if rec.state.Snapshot.Index > 0 {
		if err := sm.Restore(rec.data); err != nil {
			_ = d.wal.Close()
			return nil, eris.Wrapf(ErrDamaged, "restore state machine from %s: %v", snapshotName(cfg.Dir, rec.state.Snapshot.Index), err)
		}
	}
	l := &Log{
		cfg: cfg, id: id.Disk,
		inbox: make(chan Message, inboxCapacity), proposals: make(chan proposal, proposalCapacity),
		reads: make(chan chan<- outcome, readCapacity), adminRequests: make(chan adminRequest),
		stop: make(chan struct{}), stopped: make(chan struct{}), changed: make(chan struct{}),
		pendingReads: map[uint64]chan<- outcome{}, quietDelay: quietSnapshotDelay + rand.N(quietSnapshotDelay),
	}
	core := NewCore(CoreConfig{
		Cluster: cfg.Cluster, Group: cfg.Group, Self: cfg.Self, Disk: id.Disk,
		Founder: len(id.Founders) > 0, FirstStart: id.FirstStart,
		ElectionTimeout: cfg.ElectionTimeout, Heartbeat: cfg.Heartbeat,
		MaxBatchBytes: maxBatchBytes, MaxInflight: maxInflightEntries,
		Rand:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		MayVote: cfg.MayVote,
	}, time.Now(), rec.state)
	l.senders = newSenders(tr, cfg.FS, cfg.Dir)
	l.applier = newApplier(sm, cfg.FS, cfg.Dir, rec.state.Snapshot.Index)
	l.engine = &engine{core: core, disk: d, send: l.senders.send, apply: l.apply}
	l.publishStatus()
	return l, nil
}

// droppedIn and droppedOut count messages that were dropped because a queue was
// full. Heartbeats make up for the loss. Growing counts mean that a host or the
// disk cannot keep up.
var (
	droppedIn  = telemetry.Counter("replog.messages.dropped.in")
	droppedOut = telemetry.Counter("replog.messages.dropped.out")
)

// Deliver passes a message from the transport to the log. It never blocks; if
// the queue is full, it drops the message.
func (l *Log) Deliver(m Message) {
	select {
	case l.inbox <- m:
	default:
		droppedIn.Inc(1)
	}
}

// Propose appends a command and waits until it is committed and applied. It
// returns the result of Apply. After ErrOutcomeUnknown, the command may or may
// not be committed; after any other error, it is not.
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

// ConfirmLeader confirms with a quorum that this host was still the leader after
// the call began. It returns once the state machine has applied everything that
// was committed before the call, with the index up to which this holds.
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

// wait returns the result of a call that was queued for the owner goroutine.
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

// AddHost makes a host with the given disk a voter: it is added as a learner and
// promoted once it has caught up. If the host is a member with another disk, the
// old identity is removed first. AddHost returns when the host is a voter. It
// may be repeated after any error.
func (l *Log) AddHost(ctx context.Context, host Member) error {
	return l.changeMembership(ctx, adminRequest{member: host}, func(ms Members) bool {
		m, ok := ms.Find(host.Host)
		return ok && m.Voter && m.Disk == host.Disk
	})
}

// BeginAddHost is like AddHost, but returns as soon as the leader has appended
// the change to its log. While another change is in progress it waits until ctx ends.
// It may be repeated until the host is a voter.
func (l *Log) BeginAddHost(ctx context.Context, host Member) error {
	for {
		_, changed := l.Watch()
		err := l.request(ctx, adminRequest{member: host})
		if !errors.Is(err, ErrMembers) {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return err
		case <-l.stopped:
			return err
		}
	}
}

// RemoveHost removes a host from the group and returns when the change is
// committed.
func (l *Log) RemoveHost(ctx context.Context, host model.HostID) error {
	return l.changeMembership(ctx, adminRequest{member: Member{Host: host}, remove: true}, func(ms Members) bool {
		_, ok := ms.Find(host)
		return !ok
	})
}

// TransferLeadership transfers leadership to another voter, for a planned stop. It returns
// when this host is no longer the leader, at once if it is not.
func (l *Log) TransferLeadership(ctx context.Context) error {
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
		case <-time.After(l.cfg.ElectionTimeout): // the target has not taken over; ask again
		case <-ctx.Done():
			return eris.Wrap(ErrNotAccepted, ctx.Err().Error())
		case <-l.stopped:
			return nil
		}
	}
}

// request passes a request to the owner goroutine and waits until it is handled.
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

// changeMembership proposes a membership change and waits until the committed
// members satisfy ok.
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

// Status returns the current state.
func (l *Log) Status() Status {
	st, _ := l.Watch()
	return st
}

// Watch returns the current state and a channel that is closed when role, term,
// leader, members or the disk-full state change, or when the log stops with an
// error.
func (l *Log) Watch() (Status, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.status
	st.Applied, _, _ = l.applier.status()
	return st, l.changed
}

// Close stops the log. Every acknowledged proposal is on disk at that point.
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
