package distribute

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// staleLimit is the source age above which a parent counts as stale. The source
// age is the time since the last contact with the source; heartbeats add up to
// HeartbeatInterval to it at each level.
const staleLimit = 2500 * time.Millisecond

// outdatedLimit is the source age above which a node looks for a control host
// with newer contact. With a heartbeat, an attempt that times out and a
// handshake it is within the 2 s in which an accepted version has to be in
// force.
const outdatedLimit = time.Second

// recentLimit is the greatest source age of a control host that is worth a
// switch. The hosts on both sides of a cut, and all hosts in an election, have
// nearly the same age at first.
const recentLimit = outdatedLimit / 2

// reportBatchDelay is the delay between a change and its report, so that one
// report covers several changes of a subtree.
const reportBatchDelay = 150 * time.Millisecond

// Progress is what a child keeps between two parent streams: the cursor in the
// last parent's endpoint table and the received part of a snapshot. One mutex
// guards it.
type Progress struct {
	mu       sync.Mutex
	table    uint64
	cursor   uint64
	assembly assembly
}

// FollowOptions are the options of Follow. All parent streams of a child share
// them.
type FollowOptions struct {
	Subtree   *Subtree
	Freshness *Freshness
	Progress  *Progress
	// Services limits the endpoints to those of the named services; empty means
	// all. A process that has children must leave it empty.
	Services []model.ServiceName
	// StaleTimeout is how long a parent may be stale before Follow returns
	// ErrStale; 0 means no limit.
	StaleTimeout time.Duration
	// HeartbeatTimeout is how long Follow waits for a frame from the parent before it
	// returns ErrTimeout; 0 stands for DefaultHeartbeatTimeout. It must be
	// longer than two heartbeat intervals.
	HeartbeatTimeout time.Duration
	// Handoff receives the delay after which the parent wants this child to
	// switch to another parent.
	Handoff chan<- time.Duration
	// Ready receives the parent's source age with its first frame that is not a
	// refusal, which shows that it has admitted this child. It must have room
	// for one value.
	Ready chan<- time.Duration
	// Outdated, if set, receives the parent's source age while that is above
	// outdatedLimit. It must have room for one value.
	Outdated chan<- time.Duration
	// Join reports whether to request a welcome from a control host, and how long ago
	// this process started; nil for never.
	Join func() (join bool, uptime time.Duration)
	// OnWelcome is called with each welcome.
	OnWelcome func(Welcome)
	Log       *slog.Logger
}

// BusyError is returned when the parent refuses this child.
type BusyError struct {
	RetryAfter   time.Duration
	Reason       string
	Alternatives []Parent
}

// Error returns the parent's reason for the refusal.
func (e *BusyError) Error() string {
	return "parent busy: " + e.Reason + "; retry after " + e.RetryAfter.String()
}

// Is reports whether target is ErrBusy.
func (e *BusyError) Is(target error) bool { return target == ErrBusy }

// childReader is the child's side of a parent stream. One goroutine reads
// frames and one writes them. The fields belong to the reading goroutine unless
// a comment says otherwise.
type childReader struct {
	a        *Acceptor
	eps      *membership.Table
	st       peer.Stream
	o        FollowOptions
	requests chan helloFrame
	assembly assembly
	// The writing goroutine owns the next three fields: the configuration that
	// the last report covered, a channel that is closed when a child's report
	// changes, and the refusals that were sent last.
	reportedInForce *InForce
	subtreeChanged  <-chan struct{}
	sentRefusals    []Refusal
	// staleSince is when the parent became stale, or zero if it is not stale.
	staleSince time.Time
	ready      bool
}

// Follow is the child's side of one parent stream. It returns an error when the
// stream ends, when the parent refuses this child, times out or stays stale, or
// when ctx ends. With a nil acceptor it receives endpoints only.
func Follow(ctx context.Context, a *Acceptor, eps *membership.Table, st peer.Stream, o FollowOptions) error {
	defer context.AfterFunc(ctx, st.Abort)()
	defer st.Abort()
	r := &childReader{a: a, eps: eps, st: st, o: o, requests: make(chan helloFrame, 1)}
	o.Progress.mu.Lock()
	r.assembly, o.Progress.assembly = o.Progress.assembly, assembly{}
	o.Progress.mu.Unlock()
	if err := send(st, upFrame{Hello: r.hello(false)}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	writer := make(chan struct{})
	go func() {
		defer close(writer)
		r.writeParent(ctx)
	}()
	err := r.run()
	cancel()
	st.Abort()
	<-writer
	r.saveProgress()
	return err
}

// saveProgress keeps an incomplete snapshot for the next stream.
func (r *childReader) saveProgress() {
	r.o.Progress.mu.Lock()
	defer r.o.Progress.mu.Unlock()
	if len(r.assembly.data) > len(r.o.Progress.assembly.data) {
		r.o.Progress.assembly = r.assembly
	}
}

// writeParent sends reports and requests until the stream or ctx ends. It sends
// a report every ReportInterval, and reportBatchDelay after a change, so that
// the leader learns within about a second that a version is in force
// everywhere.
func (r *childReader) writeParent(ctx context.Context) {
	tick := time.NewTicker(ReportInterval)
	defer tick.Stop()
	var reportTimer <-chan time.Time
	r.subtreeChanged = r.o.Subtree.Changed()
	for {
		var subtreeChange, inForceChange <-chan struct{}
		if reportTimer == nil {
			subtreeChange, inForceChange = r.subtreeChanged, r.inForceChanged()
		}
		var f upFrame
		select {
		case <-ctx.Done():
			return
		case h := <-r.requests:
			f.Hello = &h
		case <-subtreeChange:
			reportTimer = time.After(reportBatchDelay)
			continue
		case <-inForceChange:
			reportTimer = time.After(reportBatchDelay)
			continue
		case <-reportTimer:
			reportTimer, f.Report = nil, r.report()
		case <-tick.C:
			f.Report = r.report()
		}
		if err := send(r.st, f); err != nil {
			r.st.Abort()
			return
		}
	}
}

// report returns the report of the subtree and records which configuration it
// covers.
func (r *childReader) report() *SubtreeReport {
	r.subtreeChanged = r.o.Subtree.Changed()
	if r.a != nil {
		r.reportedInForce = r.a.InForce()
	}
	rep := r.o.Subtree.Report()
	if slices.Equal(rep.Refusals, r.sentRefusals) {
		rep.Refusals, rep.SameRefusals = nil, len(r.sentRefusals) > 0
		return &rep
	}
	r.sentRefusals = rep.Refusals
	return &rep
}

// inForceChanged returns a channel that is closed once the configuration in
// force on this node is newer than in the last report. It is nil without an
// acceptor.
func (r *childReader) inForceChanged() <-chan struct{} {
	if r.a == nil {
		return nil
	}
	return r.a.Changed(r.reportedInForce)
}

// hello returns the frame that tells the parent what this child already has.
func (r *childReader) hello(needSnapshot bool) *helloFrame {
	h := &helloFrame{Services: r.o.Services, NeedSnapshot: needSnapshot, EndpointsOnly: r.a == nil}
	if r.o.Join != nil {
		h.Join, h.Uptime = r.o.Join()
	}
	if r.a != nil {
		h.Position = r.a.Store().Position()
		h.Snapshot = r.assembly.resume()
	}
	r.o.Progress.mu.Lock()
	h.Table, h.Cursor = r.o.Progress.table, r.o.Progress.cursor
	r.o.Progress.mu.Unlock()
	if len(h.Services) == 0 {
		d := r.eps.Digest()
		h.Digest = d[:]
		return h
	}
	for _, a := range r.eps.All() {
		if len(h.Known) < maxKnown {
			h.Known = append(h.Known, a.Host)
		}
	}
	return h
}

// run handles the parent's frames until the stream ends.
func (r *childReader) run() error {
	for {
		var f downFrame
		if err := recvWithin(r.st, &f, cmp.Or(r.o.HeartbeatTimeout, DefaultHeartbeatTimeout)); err != nil {
			return err
		}
		if err := f.check(); err != nil {
			return err
		}
		if err := r.handle(time.Now(), f); err != nil {
			return err
		}
	}
}

func (r *childReader) handle(now time.Time, f downFrame) error {
	if b := f.Busy; b != nil {
		return &BusyError{RetryAfter: b.RetryAfter, Reason: b.Reason, Alternatives: b.Alternatives}
	}
	if !r.ready && r.o.Ready != nil {
		r.o.Ready <- f.sourceAge()
	}
	r.ready = true
	switch {
	case f.Heartbeat != nil:
		return r.heartbeat(now, *f.Heartbeat)
	case f.Welcome != nil:
		r.welcome(*f.Welcome)
	case f.Endpoints != nil:
		r.endpoints(*f.Endpoints)
	case f.Delta != nil && r.a != nil:
		return r.handleAcceptResult(r.a.acceptDelta(*f.Delta))
	case f.Chunk != nil && r.a != nil:
		return r.chunk(*f.Chunk)
	case f.Handoff != nil && r.o.Handoff != nil:
		select {
		case r.o.Handoff <- f.Handoff.After:
		default:
		}
	}
	return nil
}

func (r *childReader) heartbeat(now time.Time, h heartbeatFrame) error {
	r.o.Freshness.RecordContact(now, h.SourceAge)
	if h.SourceAge > outdatedLimit {
		select {
		case r.o.Outdated <- h.SourceAge:
		default: // not requested, or the last one is still waiting
		}
	}
	if h.SourceAge <= staleLimit || r.o.StaleTimeout == 0 {
		r.staleSince = time.Time{}
		return nil
	}
	if r.staleSince.IsZero() {
		r.staleSince = now
	}
	if now.Sub(r.staleSince) >= r.o.StaleTimeout {
		return eris.Wrapf(ErrStale, "%s had contact with the source %s ago", r.st.Peer(), h.SourceAge)
	}
	return nil
}

func (r *childReader) endpoints(f endpointsFrame) {
	r.eps.MergeAll(f.Announcements)
	if r.a != nil {
		r.a.ReleaseHeldRoutes()
	}
	if f.Cursor == 0 {
		return
	}
	r.o.Progress.mu.Lock()
	r.o.Progress.table, r.o.Progress.cursor = f.Table, f.Cursor
	r.o.Progress.mu.Unlock()
}

func (r *childReader) chunk(c chunkFrame) error {
	s, err := r.assembly.add(c)
	if err != nil || s == nil {
		return err
	}
	v, err := DecodeSnapshot(s)
	if err != nil {
		return err
	}
	return r.handleAcceptResult(r.a.acceptVersion(v))
}

// handleAcceptResult ignores the errors for old and refused versions. If a
// delta did not fit the accepted version, it requests the version from the
// parent again.
func (r *childReader) handleAcceptResult(err error) error {
	switch {
	case err == nil || errors.Is(err, ErrOld) || errors.Is(err, ErrRefused):
		return nil
	case errors.Is(err, ErrBase), errors.Is(err, ErrDiverged):
		r.o.Log.Warn("version requested again", "parent", r.st.Peer().Host, "reason", err.Error())
		h := *r.hello(errors.Is(err, ErrDiverged))
		select {
		case r.requests <- h:
		default: // a request is already waiting
		}
		return nil
	default:
		return err
	}
}
