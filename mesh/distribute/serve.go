package distribute

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// Intervals and timeouts of a watch stream.
const (
	// HeartbeatInterval is the interval at which a parent sends heartbeats.
	HeartbeatInterval = 300 * time.Millisecond
	// ReportInterval is the interval at which a child sends reports.
	ReportInterval = time.Second
	// DefaultHeartbeatTimeout is how long a child waits for a frame before it
	// leaves its parent. It covers two lost heartbeats and leaves time to
	// reconnect within a second.
	DefaultHeartbeatTimeout = 900 * time.Millisecond
	// reportTimeout is how long a parent waits for a frame before it closes a
	// child's stream. That only frees the slot, so it may be longer than the
	// heartbeat timeout.
	reportTimeout = 3 * ReportInterval
	// pushBatchDelay is how long a push waits for further changes, so that one
	// push covers them all.
	pushBatchDelay = 5 * time.Millisecond
	// minPushInterval is the minimum time between two pushes.
	minPushInterval = 50 * time.Millisecond
	// endpointBatchDelay is that time for changes of endpoints that follow a push to a
	// node within endpointQuietTime, unless the configuration changes too. While a fleet
	// starts, each announcement would otherwise cost a frame to each child, which takes a
	// parent a fifth of a millisecond. Control hosts are not delayed, so that a change
	// waits for it on one level only.
	endpointBatchDelay = 150 * time.Millisecond
	// endpointQuietTime is the time without a push after which a change is sent at once.
	endpointQuietTime = 500 * time.Millisecond
	// pushTokenInterval is the interval at which the rate limiter of a stream
	// allows one more push. Accepting a push at the planned size takes a node
	// about 4 ms, so four a second stay within 1.7% of a core during a burst of
	// changes.
	pushTokenInterval = 250 * time.Millisecond
	// pushBurst is the number of pushes that the rate limiter allows at once,
	// so that a short series of changes is not delayed.
	pushBurst = 8
	// unplannedHandoffInterval is the minimum time between two requests to an
	// unplanned child to make room for a planned one.
	unplannedHandoffInterval = 3 * time.Second
	// unplannedHandoffJitter is the maximum random delay of such a handoff, so
	// that unplanned children do not all switch at the same time.
	unplannedHandoffJitter = 500 * time.Millisecond
	// snapshotWait is how long a child waits for a snapshot transfer slot
	// before it is told to retry elsewhere.
	snapshotWait = time.Second
)

// ServeOptions are the options of Serve. All child streams of a parent share
// them.
type ServeOptions struct {
	Subtree   *Subtree
	Freshness *Freshness
	Admission *Admission
	// Planned reports whether the tree assigns the child to this process, and
	// returns alternative parents in case the child is refused; see SourcePlan
	// and NodePlan.
	Planned func(child peer.Identity) (planned bool, alternatives []Parent)
	// Confirm returns a position that includes everything accepted before the
	// given time. It is nil on nodes.
	Confirm func(ctx context.Context, before time.Time) (model.Position, error)
	// ControlHosts returns the control hosts and the log index up to which the list is
	// complete. It is nil on nodes.
	ControlHosts func() (hosts []Parent, index uint64)
	Log          *slog.Logger
}

// childWriter is the writing side of one child stream. It is used by one goroutine.
type childWriter struct {
	st     peer.Stream
	store  *Store
	eps    *membership.Table
	o      ServeOptions
	hello  helloFrame
	filter map[model.ServiceName]struct{}
	known  map[model.HostID]struct{}
	// sent and cursor are the configuration position and the endpoint cursor
	// that the child has once it has read everything sent.
	sent                 model.Position
	cursor               uint64
	lastPush             time.Time
	pushes               *rate.Limiter
	snapshotWaitStart    time.Time
	lastUnplannedHandoff time.Time
	// welcomes delivers the welcomes for a starting node; nil for other children.
	welcomes <-chan welcomeFrame
}

func newChildWriter(st peer.Stream, s *Store, eps *membership.Table, o ServeOptions) *childWriter {
	return &childWriter{st: st, store: s, eps: eps, o: o, pushes: rate.NewLimiter(rate.Every(pushTokenInterval), pushBurst)}
}

// Serve is the parent's side of one child stream. It returns when the stream or
// ctx ends, or at once if it refuses the child.
func Serve(ctx context.Context, s *Store, eps *membership.Table, st peer.Stream, o ServeOptions) error {
	defer context.AfterFunc(ctx, st.Abort)()
	hello, err := recvHello(st)
	if err != nil {
		return err
	}
	child := st.Peer()
	if child.Role == peer.RoleNode {
		planned, alternatives := o.planFor(child)
		if reason, ok := o.Admission.Admit(child.DataCentre, planned); !ok {
			o.Log.Info("child refused", "child", child.Host, "reason", reason)
			return sendBusy(st, o, reason, alternatives)
		}
		defer o.Admission.Release(child.DataCentre, planned)
	}
	defer o.Subtree.removeReport(st)
	o.Log.Info("child admitted", "child", child.Host, "position", hello.Position.String())

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	requests := make(chan helloFrame, 1)
	reader := make(chan struct{})
	go func() {
		defer close(reader)
		cancel(readChild(st, o.Subtree, requests))
	}()
	w := newChildWriter(st, s, eps, o)
	w.applyHello(hello)
	var welcoming sync.WaitGroup
	if hello.Join && o.Confirm != nil {
		welcomes := make(chan welcomeFrame, 1)
		w.welcomes = welcomes
		started := time.Now().Add(-max(hello.Uptime, 0))
		welcoming.Go(func() { o.welcome(ctx, s, eps, child, started, welcomes) })
	}
	err = w.run(ctx, requests)
	if err == nil {
		_ = st.Close()
	}
	cancel(nil)
	if err != nil {
		st.Abort()
	}
	<-reader
	welcoming.Wait()
	return err
}

// planFor calls Planned. Without it, and for a control host, the child counts
// as planned.
func (o ServeOptions) planFor(child peer.Identity) (planned bool, alternatives []Parent) {
	if o.Planned == nil || child.Role != peer.RoleNode {
		return true, nil
	}
	return o.Planned(child)
}

func recvHello(st peer.Stream) (helloFrame, error) {
	var f upFrame
	if err := recvWithin(st, &f, DefaultHeartbeatTimeout); err != nil {
		return helloFrame{}, err
	}
	if f.Hello == nil {
		return helloFrame{}, eris.Wrap(ErrBadFrame, "first frame is not a hello")
	}
	return *f.Hello, f.check()
}

// sendBusy sends a busy frame and closes the stream. The peer reads the frame
// before it sees the end of the stream.
func sendBusy(st peer.Stream, o ServeOptions, reason string, alternatives []Parent) error {
	b := busyFrame{RetryAfter: o.Admission.RetryAfter(), Reason: reason,
		Alternatives: alternatives[:min(len(alternatives), maxAlternatives)]}
	if err := send(st, downFrame{Busy: &b}); err != nil {
		return err
	}
	return st.Close()
}

// readChild handles the child's frames until the stream ends.
func readChild(st peer.Stream, sub *Subtree, requests chan helloFrame) error {
	for {
		var f upFrame
		if err := recvWithin(st, &f, reportTimeout); err != nil {
			return err
		}
		if err := f.check(); err != nil {
			return err
		}
		if f.Report != nil {
			sub.setReport(st, *f.Report)
		}
		if f.Hello != nil {
			select {
			case <-requests: // only the newest request counts
			default:
			}
			requests <- *f.Hello
		}
	}
}

// run sends frames until the stream ends. It returns nil if it ended the stream
// with a busy frame.
func (w *childWriter) run(ctx context.Context, requests <-chan helloFrame) error {
	heartbeatTicker := time.NewTicker(HeartbeatInterval)
	defer heartbeatTicker.Stop()
	pushTimer := time.NewTimer(0)
	defer pushTimer.Stop()
	draining, plannedRefused := w.o.Admission.Draining(), w.o.Admission.PlannedRefused()
	if err := w.heartbeat(); err != nil {
		return err
	}
	// pending is set while a push is due, and batching while it waits for endpoints only.
	for pending, batching := true, false; ; {
		var config, endpoints <-chan struct{}
		if !pending || batching {
			config, endpoints = w.changes()
		}
		if batching {
			endpoints = nil
		}
		var err error
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case f := <-w.welcomes:
			err = send(w.st, downFrame{Welcome: &f})
		case h := <-requests:
			w.applyHello(h)
			pending, batching = true, false
			pushTimer.Reset(w.delay())
		case <-config:
			pending, batching = true, false
			pushTimer.Reset(w.delay())
		case <-endpoints:
			pending, batching = true, true
			pushTimer.Reset(w.endpointDelay(time.Now()))
		case <-pushTimer.C:
			pending, batching = false, false
			err = w.push()
		case <-heartbeatTicker.C:
			err = w.heartbeat()
		case <-draining:
			draining = nil
			err = w.handoff(w.o.Admission.handoffDelay())
		case <-plannedRefused:
			plannedRefused = w.o.Admission.PlannedRefused()
			err = w.handoffUnplanned(time.Now())
		}
		if errors.Is(err, ErrBusy) {
			return sendBusy(w.st, w.o, "all snapshot slots taken", nil)
		}
		if err != nil {
			return err
		}
	}
}

func (w *childWriter) handoff(after time.Duration) error {
	return send(w.st, downFrame{Handoff: &handoffFrame{After: after}})
}

// handoffUnplanned asks the child to switch if the tree assigns it to another
// parent.
func (w *childWriter) handoffUnplanned(now time.Time) error {
	if planned, _ := w.o.planFor(w.st.Peer()); planned || now.Sub(w.lastUnplannedHandoff) < unplannedHandoffInterval {
		return nil
	}
	w.lastUnplannedHandoff = now
	return w.handoff(rand.N(unplannedHandoffJitter))
}

func (w *childWriter) changes() (config, endpoints <-chan struct{}) {
	if !w.hello.EndpointsOnly {
		config = w.store.Changed(w.sent)
	}
	return config, w.eps.Changed(w.cursor)
}

// delay returns how long to wait for further changes before the next push.
func (w *childWriter) delay() time.Duration {
	return max(pushBatchDelay, minPushInterval-time.Since(w.lastPush), w.pushes.Reserve().Delay())
}

// endpointDelay returns how long a change of endpoints waits for further ones.
func (w *childWriter) endpointDelay(now time.Time) time.Duration {
	if w.st.Peer().Role == peer.RoleNode && now.Sub(w.lastPush) < endpointQuietTime {
		return max(w.delay(), endpointBatchDelay)
	}
	return w.delay()
}

// applyHello restarts the stream from the state that the child's hello
// describes.
func (w *childWriter) applyHello(h helloFrame) {
	w.hello, w.sent, w.cursor = h, h.Position, 0
	if h.Table == w.eps.Instance() {
		w.cursor = h.Cursor
	}
	w.filter, w.known = nil, nil
	if len(h.Services) == 0 {
		return
	}
	w.filter, w.known = map[model.ServiceName]struct{}{}, map[model.HostID]struct{}{}
	for _, s := range h.Services {
		w.filter[s] = struct{}{}
	}
	for _, host := range h.Known {
		w.known[host] = struct{}{}
	}
}

func (w *childWriter) heartbeat() error {
	return send(w.st, downFrame{Heartbeat: &heartbeatFrame{
		SourceAge: w.o.Freshness.Age(time.Now()), Position: w.store.Position()}})
}

// push sends what the child lacks. Endpoints come first, so that a new route
// finds the endpoints of its service.
func (w *childWriter) push() error {
	w.lastPush = time.Now()
	if !w.hello.SkipEndpoints {
		if err := w.pushEndpoints(); err != nil {
			return err
		}
	}
	if w.hello.EndpointsOnly {
		return nil
	}
	return w.pushConfig()
}

func (w *childWriter) pushEndpoints() error {
	batch, next := w.newEndpoints()
	batch = w.filterSubscribed(batch)
	for len(batch) > 0 {
		n := min(len(batch), maxEndpoints)
		f := endpointsFrame{Table: w.eps.Instance(), Announcements: batch[:n]}
		batch = batch[n:]
		if len(batch) == 0 {
			// Only the last frame carries the cursor. The records that a digest
			// comparison finds are not in the order of changes, so a child that
			// resumed from a cursor in an earlier frame would miss the rest of
			// the batch.
			f.Cursor = next
		}
		if err := send(w.st, downFrame{Endpoints: &f}); err != nil {
			return err
		}
	}
	w.cursor = next
	return nil
}

func (w *childWriter) newEndpoints() ([]membership.Announcement, uint64) {
	if d := w.hello.Digest; w.cursor == 0 && len(d) > 0 && w.filter == nil {
		w.hello.Digest = nil
		return w.eps.Differing(membership.Digest(d))
	}
	return w.eps.Since(w.cursor)
}

// filterSubscribed returns the records of subscribed services, and of hosts of
// which the child already has a record.
func (w *childWriter) filterSubscribed(batch []membership.Announcement) []membership.Announcement {
	if w.filter == nil {
		return batch
	}
	var out []membership.Announcement
	for _, a := range batch {
		_, subscribed := w.filter[a.Service]
		_, known := w.known[a.Host]
		if subscribed || known {
			w.known[a.Host] = struct{}{}
			out = append(out, a)
		}
	}
	return out
}

func (w *childWriter) pushConfig() error {
	if !w.sent.Less(w.store.Position()) {
		return nil
	}
	if u, ok := w.store.deltaSince(w.sent); ok && !w.needsSnapshot(u) {
		w.sent = u.Position
		return send(w.st, downFrame{Delta: &u})
	}
	return w.pushSnapshot()
}

// maxFirstDelta is the number of records up to which a child without a version gets a
// delta. The history of a control host that has just started reaches back to the empty
// configuration; the delta from there would be encoded for each child anew, and takes ten
// times the bytes of a compressed snapshot.
const maxFirstDelta = 16

// needsSnapshot reports whether to send a snapshot instead of the delta.
func (w *childWriter) needsSnapshot(u deltaFrame) bool {
	return w.hello.NeedSnapshot || w.sent.IsZero() && recordCount(u.Delta) > maxFirstDelta
}

// pushSnapshot sends a snapshot if a transfer slot is free. Otherwise the next
// push tries again; after snapshotWait it returns ErrBusy.
func (w *childWriter) pushSnapshot() error {
	now := time.Now()
	if !w.o.Admission.BeginSnapshot() {
		if w.snapshotWaitStart.IsZero() {
			w.snapshotWaitStart = now
		}
		if now.Sub(w.snapshotWaitStart) > snapshotWait {
			return ErrBusy
		}
		return nil
	}
	defer w.o.Admission.EndSnapshot()
	w.snapshotWaitStart = time.Time{}
	s, err := w.store.Snapshot(w.sent)
	if err != nil {
		return err
	}
	offset := 0
	if r := w.hello.Snapshot; r != nil && r.ID == s.ID && r.Offset < len(s.Data) {
		offset = r.Offset
	}
	w.o.Log.Info("snapshot sent", "child", w.st.Peer().Host, "position", s.Position.String(),
		"bytes", len(s.Data)-offset, "resumed_at", offset)
	for ; offset < len(s.Data); offset += chunkSize {
		c := s.chunk(offset)
		if err := send(w.st, downFrame{Chunk: &c}); err != nil {
			return err
		}
	}
	w.hello.Snapshot, w.hello.NeedSnapshot = nil, false
	w.sent = s.Position
	return nil
}

var framesSent = telemetry.Counter("distribute.frames_sent")

func send(st peer.Stream, f any) error {
	framesSent.Inc(1)
	if err := st.Send(f); err != nil {
		return eris.Wrapf(ErrClosed, "%s: %v", st.Peer(), err)
	}
	return nil
}

// recvWithin receives one frame and aborts the stream if none arrives within
// limit.
func recvWithin(st peer.Stream, v any, limit time.Duration) error {
	err := peer.RecvWithTimeout(st, v, limit)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrTimeout):
		return eris.Wrap(ErrTimeout, err.Error())
	default:
		return eris.Wrap(ErrClosed, err.Error())
	}
}
