package replog

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxInputsPerSync limits the number of inputs that share one synced write.
	maxInputsPerSync = 4096
	// maxProposalBytesPerSync limits the size of the proposals that share one
	// synced write, in bytes.
	maxProposalBytesPerSync = 8 << 20
	// diskFullRetry is the interval between attempts to write to a full disk.
	diskFullRetry = 250 * time.Millisecond
	// maxApplyBacklog is the number of queued applier tasks above which no
	// proposals are taken until the state machine catches up.
	maxApplyBacklog = 64
)

// run owns the core and the disk. It waits for input, takes all that is queued,
// and stores it with one synced write.
func (l *Log) run() {
	defer l.shutDown()
	l.timer = time.NewTimer(time.Until(l.engine.core.Deadline()))
	defer l.timer.Stop()
	for l.receiveBatch() {
		if err := l.tick(); err != nil {
			l.fatal(err)
			return
		}
		l.publishStatus()
	}
}

// receiveBatch blocks for one input, then takes those that are queued. It
// returns false when the log is being closed.
func (l *Log) receiveBatch() bool {
	l.unsyncedProposalBytes = 0
	_, l.applyBacklog, _ = l.applier.status()
	if !l.takeInput(true) {
		return false
	}
	for range maxInputsPerSync {
		if len(l.inbox) == 0 && len(l.reads) == 0 && (len(l.proposals) == 0 || l.proposalQueue() == nil) {
			break
		}
		if !l.takeInput(false) {
			return false
		}
	}
	return true
}

// proposalQueue returns the queue of proposals. It returns nil while too many
// entries are uncommitted or unapplied, or the current batch is full.
func (l *Log) proposalQueue() chan proposal {
	core := l.engine.core
	if core.log.last()-core.commit > maxUncommittedEntries || core.uncommittedBytes > maxUncommittedBytes || l.applyBacklog > maxApplyBacklog || l.unsyncedProposalBytes > maxProposalBytesPerSync {
		return nil
	}
	return l.proposals
}

// takeInput handles one input. If block is set, it also returns when the timer
// of the core expires. It returns false when the log is being closed.
func (l *Log) takeInput(block bool) bool {
	core := l.engine.core
	var timer <-chan time.Time
	if block {
		timer = l.timer.C
	}
	select {
	case <-l.stop:
		return false
	case m := <-l.inbox:
		if !l.diskFullPaused {
			core.Step(time.Now(), m)
		}
	case p := <-l.proposalQueue():
		l.propose(p)
	case done := <-l.reads:
		l.confirmLeader(done)
	case c := <-l.adminRequests:
		l.handleAdminRequest(c)
	case s := <-l.applier.saved:
		l.compactAfterSnapshot(s)
	case <-timer:
	}
	return true
}

func (l *Log) propose(p proposal) {
	if l.diskFullPaused {
		p.done <- outcome{err: ErrDiskFull}
		return
	}
	index, term, err := l.engine.core.Propose(time.Now(), p.data)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	l.unsyncedProposalBytes += len(p.data)
	l.applier.await(index, waiter{term: term, done: p.done})
}

func (l *Log) confirmLeader(done chan<- outcome) {
	if l.diskFullPaused {
		done <- outcome{err: ErrDiskFull}
		return
	}
	l.lastReadID++
	l.pendingReads[l.lastReadID] = done
	l.engine.core.ConfirmLeader(time.Now(), l.lastReadID)
}

func (l *Log) handleAdminRequest(req adminRequest) {
	var err error
	switch {
	case l.diskFullPaused:
		err = ErrDiskFull
	case req.transferLeadership:
		err = l.engine.core.TransferLeadership(time.Now())
	case req.remove:
		err = l.engine.core.RemoveHost(req.member.Host)
	default:
		err = l.engine.core.AddHost(req.member)
	}
	if err == nil {
		l.publishStatus()
	}
	req.done <- outcome{err: err}
}

// tick advances the core's clock, stores and sends the core's output, and resets
// the timer.
func (l *Log) tick() error {
	core := l.engine.core
	if l.diskFullPaused {
		return l.resumeIfSpace()
	}
	wasLeader := core.role == Leader
	now := time.Now()
	core.Tick(now)
	err := l.engine.run()
	if eris.Is(err, ErrDiskFull) {
		l.pauseOnFullDisk(err)
		return nil
	}
	if err != nil {
		return err
	}
	if wasLeader && core.role != Leader {
		// The entries may still be committed by a later leader.
		l.applier.failAbove(core.commit, ErrOutcomeUnknown)
	}
	if _, _, err := l.applier.status(); err != nil {
		return eris.Wrapf(ErrDamaged, "state machine: %v", err)
	}
	l.snapshotIfDue()
	l.timer.Reset(time.Until(core.Deadline()))
	return nil
}

// apply passes a received snapshot and committed entries to the applier, and
// read results to their callers.
func (l *Log) apply(r Ready) {
	for _, e := range r.Committed {
		l.bytesSinceSnapshot += int64(e.size())
	}
	if r.Snapshot != nil || len(r.Committed) > 0 {
		l.lastCommitted = time.Now()
		l.applier.push(task{restore: r.Snapshot, entries: r.Committed})
	}
	for _, res := range r.Reads {
		done, ok := l.pendingReads[res.ID]
		if !ok {
			continue
		}
		delete(l.pendingReads, res.ID)
		if res.Err != nil {
			done <- outcome{err: res.Err}
			continue
		}
		l.applier.read(pendingRead{index: res.Index, done: done})
	}
}

// pauseOnFullDisk stops taking part in the group until the disk has space. The
// entries that could not be written were not sent to any host, so their
// proposals fail with ErrDiskFull and not with ErrOutcomeUnknown.
func (l *Log) pauseOnFullDisk(err error) {
	core := l.engine.core
	l.cfg.Log.Error("replicated log paused: disk full", "group", l.cfg.Group, "error", err.Error())
	l.diskFullPaused = true
	l.applier.failAbove(core.log.stable, ErrDiskFull)
	l.applier.failAbove(core.commit, ErrOutcomeUnknown)
	for id, done := range l.pendingReads {
		done <- outcome{err: ErrDiskFull}
		delete(l.pendingReads, id)
	}
	l.diskRetryAt = time.Now().Add(diskFullRetry)
	l.timer.Reset(diskFullRetry)
}

// resumeIfSpace takes part in the group again if the disk has space.
func (l *Log) resumeIfSpace() error {
	if time.Now().Before(l.diskRetryAt) {
		return nil
	}
	err := l.engine.disk.probeSpace()
	if eris.Is(err, ErrDiskFull) {
		l.diskRetryAt = time.Now().Add(diskFullRetry)
		l.timer.Reset(diskFullRetry)
		return nil
	}
	if err != nil {
		return err
	}
	l.cfg.Log.Info("replicated log resumed: disk has space", "group", l.cfg.Group)
	l.diskFullPaused = false
	l.timer.Reset(0)
	return nil
}

// snapshotIfDue starts a snapshot once enough entries or bytes were applied
// since the last one.
func (l *Log) snapshotIfDue() {
	core := l.engine.core
	due := core.applied >= core.snapshot.Index+l.cfg.SnapshotEntries || l.bytesSinceSnapshot >= l.cfg.SnapshotBytes || l.quietSnapshotDue()
	if l.snapshotting || !due || core.applied < l.snapshotRetryIndex || core.SendingSnapshot() {
		return
	}
	l.snapshotting, l.bytesSinceSnapshot = true, 0
	l.applier.push(task{snapshot: &SnapshotMeta{
		Index: core.applied, Term: core.log.term(core.applied), Members: core.membersAtIndex(core.applied),
	}})
}

// quietSnapshotDue reports whether to use a pause between commits for a snapshot, so that a
// restart replays little: an entry may be a whole configuration, which takes a host with an
// eighth of a core tens of milliseconds.
func (l *Log) quietSnapshotDue() bool {
	return l.cfg.QuietSnapshotBytes > 0 && l.bytesSinceSnapshot >= l.cfg.QuietSnapshotBytes && time.Since(l.lastCommitted) >= l.quietDelay
}

// compactAfterSnapshot compacts the log after a snapshot was written. If writing
// it failed, the next attempt is delayed.
func (l *Log) compactAfterSnapshot(s snapshotDone) {
	l.snapshotting = false
	if s.err != nil {
		l.cfg.Log.Error("failed to write snapshot", "group", l.cfg.Group, "error", s.err.Error())
		l.snapshotRetryIndex = l.engine.core.applied + l.cfg.SnapshotEntries/10 + 1
		return
	}
	core := l.engine.core
	core.Compact(s.meta, core.log.keepAfter(s.meta.Index, l.cfg.KeepEntries, l.cfg.SnapshotBytes/4))
	if err := l.engine.disk.compact(core.snapshot.Index); err != nil {
		l.cfg.Log.Error("failed to remove files replaced by the snapshot", "group", l.cfg.Group, "error", err.Error())
	}
}

// publishStatus updates the state that Status and Watch return.
func (l *Log) publishStatus() {
	core := l.engine.core
	st := Status{
		Founder: l.engine.core.cfg.Founder,
		Group:   l.cfg.Group, Self: l.cfg.Self, Disk: l.id, Role: core.role, Term: core.term, Leader: core.leader,
		Commit: core.commit, LastIndex: core.log.last(), SnapshotIndex: core.snapshot.Index,
		Members: core.Members(), MembersCommitted: core.membersCommitted(), DiskFull: l.diskFullPaused,
		QuorumContact: core.QuorumContact(),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.status
	st.Err = old.Err
	l.status = st
	if old.Role == st.Role && old.Term == st.Term && old.Leader == st.Leader && old.DiskFull == st.DiskFull &&
		old.MembersCommitted == st.MembersCommitted && slices.Equal(old.Members, st.Members) {
		return
	}
	l.cfg.Log.Info("replicated log status changed", "group", st.Group, "role", st.Role.String(), "term", st.Term,
		"leader", st.Leader, "members", len(st.Members), "diskFull", st.DiskFull)
	close(l.changed)
	l.changed = make(chan struct{})
}

// fatal records the error that stopped the log.
func (l *Log) fatal(err error) {
	l.cfg.Log.Error("replicated log stopped", "group", l.cfg.Group, "error", err.Error())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status.Err = err
	l.status.Role = Follower
	close(l.changed)
	l.changed = make(chan struct{})
}

// shutDown fails the calls that are still waiting.
func (l *Log) shutDown() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.applier.close()
	l.applier.failAbove(0, ErrOutcomeUnknown)
	l.refuseQueuedProposals()
	close(l.stopped)
}

// refuseQueuedProposals fails the queued proposals that did not reach the core.
func (l *Log) refuseQueuedProposals() {
	for {
		select {
		case p := <-l.proposals:
			p.done <- outcome{err: ErrClosed}
		default:
			return
		}
	}
}
