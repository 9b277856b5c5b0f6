package callmux

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

var (
	// errRetired is returned for a new call on a connection that is retired or
	// has failed; Client.do then uses another connection.
	errRetired          = errors.New("connection takes no new calls")
	errHeartbeatTimeout = errors.New("heartbeat not answered in time")
	errClosed           = errors.New("closed by this side")
	// errCallEnded is the cause recorded for a call that is complete or was
	// cancelled or aborted by this side.
	errCallEnded = errors.New("call ended")
)

// call is the state of one call, on the client's or the server's end of the
// connection.
type call struct {
	id  uint32
	ctx context.Context
	// cancel ends ctx. Use end instead, which also records the cause.
	cancel  context.CancelFunc
	cause   atomic.Pointer[error]
	recvBuf recvBuffer
	credit  sendCredit
	// head receives the head frame of the response; nil on the server.
	head chan frame
	// headReceived reports whether the response head has arrived; receivedBytes
	// counts the body bytes that have arrived. Only the reader goroutine uses them.
	headReceived  bool
	receivedBytes uint64

	// sent reports whether the writer has taken a frame of this call; discarded
	// reports whether the queue rejects frames of this call. sendQueue.mu guards both.
	sent      bool
	discarded bool
}

// connection is one end of a connection between two nodes.
type connection struct {
	cfg  Config
	raw  net.Conn // the socket below rw; fail closes raw because closing rw could wait for a blocked write
	rw   net.Conn
	r    *bufio.Reader
	peer peer.Identity
	// remote reports whether the peer is in another data centre.
	remote bool
	// isClient reports whether this side makes the calls.
	isClient  bool
	peerHello hello
	queue     *sendQueue
	done      chan struct{}
	// unansweredSince is the time at which the oldest unanswered ping was queued,
	// in Unix nanoseconds; 0 if every ping has been answered.
	unansweredSince atomic.Int64

	// mu guards the fields below. Lock order: mu before queue.mu.
	mu         sync.Mutex
	calls      map[uint32]*call
	lastCallID uint32
	lastUsed   time.Time
	retired    bool
	err        error
}

// newConnection exchanges hello frames on a socket whose peer is verified. The
// client sends its hello first. The server's hello then proves that the server
// accepted the client's certificate, so a request is never written to a server
// that rejects it.
func newConnection(cfg Config, raw, rw net.Conn, id peer.Identity, isClient bool) (*connection, error) {
	cn := &connection{
		cfg:      cfg,
		raw:      raw,
		rw:       rw,
		r:        bufio.NewReaderSize(rw, 64<<10),
		peer:     id,
		remote:   cfg.Credentials != nil && cfg.Credentials.Identity().DataCentre != id.DataCentre,
		isClient: isClient,
		queue:    newSendQueue(cfg.QueueLimit),
		done:     make(chan struct{}),
		calls:    map[uint32]*call{},
		lastUsed: time.Now(),
	}
	steps := []func() error{cn.recvHello, cn.sendHello}
	if isClient {
		steps[0], steps[1] = steps[1], steps[0]
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return cn, nil
}

func (cn *connection) sendHello() error {
	payload, err := cbor.Marshal(hello{Window: cn.cfg.Window, MaxCalls: cn.cfg.MaxCalls})
	if err != nil {
		return eris.Wrapf(ErrProtocol, "encode hello: %v", err)
	}
	if _, err := cn.rw.Write(appendFrame(nil, frame{kind: frameHello, payload: payload})); err != nil {
		return eris.Wrapf(ErrConnection, "write hello: %v", err)
	}
	return nil
}

func (cn *connection) recvHello() error {
	f, err := readFrame(cn.r)
	if err != nil {
		return err
	}
	if f.kind != frameHello {
		return eris.Wrapf(ErrProtocol, "first frame is of kind %d", f.kind)
	}
	if err := decodeMode.Unmarshal(f.payload, &cn.peerHello); err != nil {
		return eris.Wrapf(ErrProtocol, "decode hello: %v", err)
	}
	if cn.peerHello.Window < minWindow || cn.peerHello.Window > maxWindow || cn.peerHello.MaxCalls < 1 {
		return eris.Wrapf(ErrProtocol, "hello with window %d, calls %d", cn.peerHello.Window, cn.peerHello.MaxCalls)
	}
	return nil
}

func (cn *connection) newCall(ctx context.Context, cancel context.CancelFunc) *call {
	return &call{ctx: ctx, cancel: cancel, recvBuf: recvBuffer{window: cn.cfg.Window}, credit: sendCredit{n: cn.peerHello.Window}}
}

// end ends the context of the call and records the cause. Later causes are ignored.
func (c *call) end(cause error) {
	c.cause.CompareAndSwap(nil, &cause)
	c.cancel()
}

// endCause returns the cause recorded by end, or that of the context.
func (c *call) endCause() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return context.Cause(c.ctx)
}

// startCall assigns an ID to a call made by this side, registers it and queues
// its head.
func (cn *connection) startCall(c *call, head frame) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.lastCallID == math.MaxUint32 {
		cn.retired = true
	}
	if cn.retired || cn.err != nil {
		return errRetired
	}
	if len(cn.calls) >= cn.peerHello.MaxCalls {
		return eris.Wrapf(ErrBusy, "%d calls on the connection to %s", len(cn.calls), cn.peer)
	}
	c.id = cn.lastCallID + 1
	head.call = c.id
	if err := cn.queue.pushHead(head, c, true); err != nil {
		return eris.Wrapf(err, "connection to %s", cn.peer)
	}
	cn.lastCallID = c.id
	cn.calls[c.id] = c
	return nil
}

// acceptCall registers a call made by the peer. It returns false if MaxCalls
// calls are in progress already.
func (cn *connection) acceptCall(c *call) (bool, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if c.id <= cn.lastCallID {
		return false, eris.Wrapf(ErrProtocol, "call %d after call %d", c.id, cn.lastCallID)
	}
	cn.lastCallID = c.id
	if len(cn.calls) >= cn.cfg.MaxCalls {
		return false, nil
	}
	cn.calls[c.id] = c
	return true, nil
}

func (cn *connection) findCall(id uint32) *call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.calls[id]
}

// removeCall deletes the call from the call table, ends its context and reports
// whether it was in the table. A retired connection is closed when its last call
// is removed; only clients retire connections.
func (cn *connection) removeCall(c *call, cause error) bool {
	cn.mu.Lock()
	present := cn.calls[c.id] == c
	if present {
		delete(cn.calls, c.id)
		cn.lastUsed = time.Now()
	}
	noCallsLeft := cn.retired && len(cn.calls) == 0
	cn.mu.Unlock()
	c.end(cause)
	if noCallsLeft {
		cn.fail(errClosed)
	}
	return present
}

// cancelCall ends a call made by this side before its response is complete. It
// reports whether a byte of the call may have been written; in that case it sends
// the peer a cancel frame with the reason, unless the call has ended already.
func (cn *connection) cancelCall(c *call, reason string) (sent bool) {
	sent = cn.queue.discard(c)
	if cn.removeCall(c, errCallEnded) && sent {
		cn.queue.pushControl(cancelFrame(c, reason))
	}
	return sent
}

// abortCall ends a call made by the peer without a complete response. The cancel
// frame is sent after the frames that are already queued for the call.
func (cn *connection) abortCall(c *call, reason string) {
	if cn.removeCall(c, errCallEnded) {
		_ = cn.queue.pushHead(cancelFrame(c, reason), nil, false) // fails only if the connection has failed
	}
}

func cancelFrame(c *call, reason string) frame {
	return frame{kind: frameCancel, call: c.id, payload: []byte(reason[:min(len(reason), maxReason)])}
}

// retire stops new calls on the connection. Calls in progress finish; without
// any, the connection is closed at once.
func (cn *connection) retire() {
	cn.mu.Lock()
	cn.retired = true
	noCallsLeft := len(cn.calls) == 0
	cn.mu.Unlock()
	if noCallsLeft {
		cn.fail(errClosed)
	}
}

// usable reports whether new calls can start on the connection.
func (cn *connection) usable() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.retired && cn.err == nil
}

// activity returns the number of calls in progress and the time since the last
// call ended.
func (cn *connection) activity(now time.Time) (calls int, sinceLastCall time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.calls), now.Sub(cn.lastUsed)
}

// fail closes the connection at once and ends all its calls. Only the first
// call of fail has an effect.
func (cn *connection) fail(err error) {
	cn.mu.Lock()
	if cn.err != nil {
		cn.mu.Unlock()
		return
	}
	cn.err = err
	calls := cn.calls
	cn.calls = map[uint32]*call{}
	cn.mu.Unlock()
	cn.queue.close()
	_ = cn.raw.Close()
	cause := eris.Wrapf(ErrConnection, "%s: %v", cn.peer, err)
	for _, c := range calls {
		c.recvBuf.closeWithError(&callError{ErrBodyTruncated, cause})
		c.end(cause)
	}
	close(cn.done)
}

func (cn *connection) failure() error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.err
}

// dispatch handles the frame kinds that client and server treat alike. Frames of
// calls that have ended are dropped: a response may arrive after its call was
// cancelled.
func (cn *connection) dispatch(f frame) error {
	switch f.kind {
	case framePing:
		cn.queue.pushControl(frame{kind: framePong})
		return nil
	case framePong:
		cn.unansweredSince.Store(0)
		return nil
	}
	c := cn.findCall(f.call)
	if c == nil {
		return nil
	}
	switch f.kind {
	case frameWindow:
		return c.addCredit(f.payload)
	case frameCancel:
		cause := eris.Errorf("cancelled by %s: %.256s", cn.peer, f.payload)
		c.recvBuf.closeWithError(&callError{ErrBodyTruncated, cause})
		cn.queue.discard(c)
		cn.removeCall(c, cause)
		return nil
	case frameData:
		body, err := c.bodyBytes(f)
		if err != nil {
			return err
		}
		return c.recvBuf.put(body, f.end)
	default:
		return eris.Wrapf(ErrProtocol, "unexpected frame of kind %d", f.kind)
	}
}

// idleHeartbeatFactor multiplies the heartbeat interval of a connection without
// calls. There may be a connection for each pair of nodes, and most are idle at
// any time: at the normal interval, their heartbeats would cost more bytes and
// wake-ups than the calls.
const idleHeartbeatFactor = 8

// writeLoop writes queued frames in batches and sends heartbeats until the
// connection fails.
func (cn *connection) writeLoop() {
	heartbeatTimer := time.NewTimer(cn.cfg.Heartbeat)
	defer heartbeatTimer.Stop()
	idle := false
	lastHeartbeat := time.Now()
	onHeartbeatTimer := func() {
		now := time.Now()
		idle = cn.heartbeat(now, lastHeartbeat, idle)
		lastHeartbeat = now
		if idle {
			heartbeatTimer.Reset(idleHeartbeatFactor * cn.cfg.Heartbeat)
			return
		}
		heartbeatTimer.Reset(cn.cfg.Heartbeat)
	}
	var batch []byte
	for {
		// Let goroutines that are ready to run add frames to this batch: fewer,
		// larger writes cost less CPU time.
		runtime.Gosched()
		batch = cn.queue.take(batch[:0])
		if len(batch) > 0 {
			if err := cn.write(batch); err != nil {
				cn.fail(err)
				return
			}
			if idle {
				idle, lastHeartbeat = false, time.Now()
				heartbeatTimer.Reset(cn.cfg.Heartbeat)
			}
		} else {
			select {
			case <-cn.queue.ready:
			case <-heartbeatTimer.C:
				onHeartbeatTimer()
			case <-cn.done:
				return
			}
			continue
		}
		select {
		case <-heartbeatTimer.C:
			onHeartbeatTimer()
		case <-cn.done:
			return
		default:
		}
	}
}

func (cn *connection) write(b []byte) error {
	if err := cn.raw.SetWriteDeadline(time.Now().Add(cn.cfg.HeartbeatDeadline)); err != nil {
		return err
	}
	n, err := cn.rw.Write(b)
	telemetry.Counter(MetricSent).Inc(int64(n))
	if cn.remote {
		telemetry.Counter(MetricSentRemote).Inc(int64(n))
	}
	return err
}

// heartbeat queues a ping, or fails the connection if a ping has been unanswered
// for HeartbeatDeadline. After half that time a client retires the connection, so
// that new calls use a new one. If this process was paused for longer than
// HeartbeatDeadline, the pong may be waiting unread, so the deadline restarts now.
// It returns true, without queueing a ping, if the connection has had no calls for
// longer than Heartbeat, every ping has been answered and the previous heartbeat
// was not skipped like this. The next heartbeat may then come after the longer
// idle interval. last is the time of the previous heartbeat.
func (cn *connection) heartbeat(now, last time.Time, wasIdle bool) (idle bool) {
	pingTime := cn.unansweredSince.Load()
	unansweredFor := time.Duration(now.UnixNano() - pingTime)
	processPaused := !wasIdle && now.Sub(last) > cn.cfg.HeartbeatDeadline
	calls, sinceLastCall := cn.activity(now)
	if pingTime == 0 && calls == 0 && !wasIdle && sinceLastCall > cn.cfg.Heartbeat {
		return true // the next heartbeat checks whether the idle connection still works
	}
	switch {
	case pingTime == 0 || processPaused:
		cn.unansweredSince.Store(now.UnixNano())
	case unansweredFor > cn.cfg.HeartbeatDeadline:
		cn.fail(errHeartbeatTimeout)
		return false
	case unansweredFor > cn.cfg.HeartbeatDeadline/2 && cn.isClient:
		cn.retire()
	}
	cn.queue.pushControl(frame{kind: framePing})
	if cn.isClient && calls == 0 && sinceLastCall > cn.cfg.IdleLimit {
		cn.retire()
	}
	return false
}

// streamBody reads body and sends it in data frames as the peer grants credit.
func (cn *connection) streamBody(c *call, body io.Reader) error {
	var total uint64
	for {
		n := min(c.credit.available(), maxData)
		if n == 0 {
			select {
			case <-c.credit.notify:
				continue
			case <-c.ctx.Done():
				return c.endCause()
			}
		}
		buf := make([]byte, n, n+totalLengthSize)
		n, err := body.Read(buf)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return err
		}
		if n == 0 && !end {
			continue
		}
		c.credit.spend(n)
		total += uint64(n)
		buf = buf[:n]
		if end {
			buf = binary.BigEndian.AppendUint64(buf, total)
		}
		if err := cn.sendData(c, frame{kind: frameData, end: end, call: c.id, payload: buf}); err != nil {
			return err
		}
		if end {
			return nil
		}
	}
}

// sendData queues a body frame, waiting for space in the queue.
func (cn *connection) sendData(c *call, f frame) error {
	for {
		wait, err := cn.queue.pushData(f, c)
		if wait == nil {
			return err
		}
		select {
		case <-wait:
		case <-c.ctx.Done():
			return c.endCause()
		}
	}
}
