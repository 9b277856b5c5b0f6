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
)

var (
	// errRetired tells Do that the connection takes no new calls.
	errRetired = errors.New("connection takes no new calls")
	errSilent  = errors.New("heartbeat not answered in time")
	errClosed  = errors.New("closed by this side")
	// errEnded ends the context of a call that is complete.
	errEnded = errors.New("call ended")
)

// call is one call on a connection, on either side.
type call struct {
	id  uint32
	ctx context.Context
	// stop ends ctx; use end, which records the cause.
	stop  context.CancelFunc
	cause atomic.Pointer[error]
	in    inbox
	out   credit
	// head receives the head frame of the response; on the client only.
	head chan frame
	// answered says that it did, received counts the body bytes; only the reader
	// goroutine uses them.
	answered bool
	received uint64

	// sent says that the writer took a frame of this call, withdrawn that it
	// must take none any more. The mutex of the outQueue guards both.
	sent      bool
	withdrawn bool
}

// connection is one end of a connection between two nodes.
type connection struct {
	cfg  Config
	raw  net.Conn // closed abruptly on failure; closing rw could wait for a blocked write
	rw   net.Conn
	r    *bufio.Reader
	peer peer.Identity
	// client says that this side makes the calls.
	client bool
	far    hello
	out    *outQueue
	done   chan struct{}
	// unanswered is the time of the oldest heartbeat without an answer, in unix
	// nanoseconds; zero if there is none.
	unanswered atomic.Int64

	// mu guards the fields below. The mutex of out may be taken under it.
	mu       sync.Mutex
	calls    map[uint32]*call
	lastCall uint32
	lastUsed time.Time
	retired  bool
	err      error
}

// newConnection exchanges hellos on a connection whose peer is verified. The
// client sends first: the server's hello proves that it accepted the client's
// certificate, so a request is never written to a server that refuses it.
func newConnection(cfg Config, raw, rw net.Conn, id peer.Identity, client bool) (*connection, error) {
	cn := &connection{
		cfg:      cfg,
		raw:      raw,
		rw:       rw,
		r:        bufio.NewReaderSize(rw, 64<<10),
		peer:     id,
		client:   client,
		out:      newOutQueue(cfg.QueueLimit),
		done:     make(chan struct{}),
		calls:    map[uint32]*call{},
		lastUsed: time.Now(),
	}
	steps := []func() error{cn.recvHello, cn.sendHello}
	if client {
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
	if err := decodeMode.Unmarshal(f.payload, &cn.far); err != nil {
		return eris.Wrapf(ErrProtocol, "decode hello: %v", err)
	}
	if cn.far.Window < minWindow || cn.far.Window > maxWindow || cn.far.MaxCalls < 1 {
		return eris.Wrapf(ErrProtocol, "hello with window %d, calls %d", cn.far.Window, cn.far.MaxCalls)
	}
	return nil
}

func (cn *connection) newCall(ctx context.Context, stop context.CancelFunc) *call {
	return &call{ctx: ctx, stop: stop, in: inbox{window: cn.cfg.Window}, out: credit{n: cn.far.Window}}
}

// end ends the context of the call. The first cause counts.
func (c *call) end(cause error) {
	c.cause.CompareAndSwap(nil, &cause)
	c.stop()
}

// ended returns why the context ended.
func (c *call) ended() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return context.Cause(c.ctx)
}

// start registers a call of this side and queues its head.
func (cn *connection) start(c *call, head frame) error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.lastCall == math.MaxUint32 {
		cn.retired = true
	}
	if cn.retired || cn.err != nil {
		return errRetired
	}
	if len(cn.calls) >= cn.far.MaxCalls {
		return eris.Wrapf(ErrBusy, "%d calls on the connection to %s", len(cn.calls), cn.peer)
	}
	c.id = cn.lastCall + 1
	head.call = c.id
	if err := cn.out.pushHead(head, c, true); err != nil {
		return eris.Wrapf(err, "connection to %s", cn.peer)
	}
	cn.lastCall = c.id
	cn.calls[c.id] = c
	return nil
}

// accept registers a call of the other side; it reports false above MaxCalls.
func (cn *connection) accept(c *call) (bool, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if c.id <= cn.lastCall {
		return false, eris.Wrapf(ErrProtocol, "call %d after call %d", c.id, cn.lastCall)
	}
	cn.lastCall = c.id
	if len(cn.calls) >= cn.cfg.MaxCalls {
		return false, nil
	}
	cn.calls[c.id] = c
	return true, nil
}

func (cn *connection) lookup(id uint32) *call {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.calls[id]
}

// remove takes the call from the table, ends its context and reports whether
// it was still there. The last call of a retired connection of a client closes it.
func (cn *connection) remove(c *call, cause error) bool {
	cn.mu.Lock()
	present := cn.calls[c.id] == c
	if present {
		delete(cn.calls, c.id)
		cn.lastUsed = time.Now()
	}
	last := cn.retired && len(cn.calls) == 0
	cn.mu.Unlock()
	c.end(cause)
	if last {
		cn.fail(errClosed)
	}
	return present
}

// abandon ends a call of this side before its answer is complete. It reports
// whether a byte of the call may have been written; if so the other side is told.
func (cn *connection) abandon(c *call, reason string) (sent bool) {
	sent = cn.out.withdraw(c)
	if cn.remove(c, errEnded) && sent {
		cn.out.pushControl(cancelFrame(c, reason))
	}
	return sent
}

// abort ends a call of the other side without a complete answer. The frames
// that are queued for it go first.
func (cn *connection) abort(c *call, reason string) {
	if cn.remove(c, errEnded) {
		_ = cn.out.pushHead(cancelFrame(c, reason), nil, false) // fails only if the connection did
	}
}

func cancelFrame(c *call, reason string) frame {
	return frame{kind: frameCancel, call: c.id, payload: []byte(reason[:min(len(reason), maxReason)])}
}

// retire stops new calls; running ones finish.
func (cn *connection) retire() {
	cn.mu.Lock()
	cn.retired = true
	last := len(cn.calls) == 0
	cn.mu.Unlock()
	if last {
		cn.fail(errClosed)
	}
}

// usable reports whether new calls can start.
func (cn *connection) usable() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return !cn.retired && cn.err == nil
}

// idle returns the number of calls and the time since the last one ended.
func (cn *connection) idle(now time.Time) (calls int, since time.Duration) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return len(cn.calls), now.Sub(cn.lastUsed)
}

// fail ends the connection and all its calls at once.
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
	cn.out.close()
	_ = cn.raw.Close()
	cause := eris.Wrapf(ErrConnection, "%s: %v", cn.peer, err)
	for _, c := range calls {
		c.in.cut(&callError{ErrBodyTruncated, cause})
		c.end(cause)
	}
	close(cn.done)
}

func (cn *connection) failure() error {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.err
}

// dispatch handles the frames that both sides treat alike. Frames of calls
// that have ended are dropped: answers may arrive after a cancel.
func (cn *connection) dispatch(f frame) error {
	switch f.kind {
	case framePing:
		cn.out.pushControl(frame{kind: framePong})
		return nil
	case framePong:
		cn.unanswered.Store(0)
		return nil
	}
	c := cn.lookup(f.call)
	if c == nil {
		return nil
	}
	switch f.kind {
	case frameWindow:
		return c.addCredit(f.payload)
	case frameCancel:
		cause := eris.Errorf("cancelled by %s: %.256s", cn.peer, f.payload)
		c.in.cut(&callError{ErrBodyTruncated, cause})
		cn.out.withdraw(c)
		cn.remove(c, cause)
		return nil
	case frameData:
		body, err := c.bodyBytes(f)
		if err != nil {
			return err
		}
		return c.in.put(body, f.end)
	default:
		return eris.Wrapf(ErrProtocol, "unexpected frame of kind %d", f.kind)
	}
}

// idleBeats is how many times rarer heartbeats are while a connection has no
// calls. With a connection for each pair of nodes, most of which carry no call at
// a time, their bytes and wake-ups would exceed those of the calls.
const idleBeats = 8

// writeLoop writes queued frames in batches and keeps the heartbeat.
func (cn *connection) writeLoop() {
	beats := time.NewTimer(cn.cfg.Heartbeat)
	defer beats.Stop()
	idle := false
	lastBeat := time.Now()
	beat := func() {
		now := time.Now()
		idle = cn.beat(now, lastBeat, idle)
		lastBeat = now
		if idle {
			beats.Reset(idleBeats * cn.cfg.Heartbeat)
			return
		}
		beats.Reset(cn.cfg.Heartbeat)
	}
	var batch []byte
	for {
		// Lets callers that are ready to run add to this batch: fewer, larger
		// writes cost less processor time.
		runtime.Gosched()
		batch = cn.out.take(batch[:0])
		if len(batch) > 0 {
			if err := cn.write(batch); err != nil {
				cn.fail(err)
				return
			}
			if idle {
				idle, lastBeat = false, time.Now()
				beats.Reset(cn.cfg.Heartbeat)
			}
		} else {
			select {
			case <-cn.out.ready:
			case <-beats.C:
				beat()
			case <-cn.done:
				return
			}
			continue
		}
		select {
		case <-beats.C:
			beat()
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
	_, err := cn.rw.Write(b)
	return err
}

// beat queues a heartbeat, or fails the connection if one has not been
// answered in time. From half of that time new calls use a fresh connection.
// If this process itself was paused for longer than the deadline, the answer
// may be waiting unread, so the time counts from now. It reports whether the next
// heartbeat may come later, since the connection has no calls and owes no answer.
func (cn *connection) beat(now, last time.Time, wasIdle bool) (idle bool) {
	oldest := cn.unanswered.Load()
	silence := time.Duration(now.UnixNano() - oldest)
	paused := !wasIdle && now.Sub(last) > cn.cfg.HeartbeatDeadline
	calls, since := cn.idle(now)
	if oldest == 0 && calls == 0 && !wasIdle && since > cn.cfg.Heartbeat {
		return true // the next one tells whether the idle connection still works
	}
	switch {
	case oldest == 0 || paused:
		cn.unanswered.Store(now.UnixNano())
	case silence > cn.cfg.HeartbeatDeadline:
		cn.fail(errSilent)
		return false
	case silence > cn.cfg.HeartbeatDeadline/2 && cn.client:
		cn.retire()
	}
	cn.out.pushControl(frame{kind: framePing})
	if cn.client && calls == 0 && since > cn.cfg.IdleLimit {
		cn.retire()
	}
	return false
}

// pump sends a streamed body within the credit of the call.
func (cn *connection) pump(c *call, body io.Reader) error {
	var total uint64
	for {
		n := min(c.out.available(), maxData)
		if n == 0 {
			select {
			case <-c.out.notify:
				continue
			case <-c.ctx.Done():
				return c.ended()
			}
		}
		buf := make([]byte, n, n+totalLength)
		n, err := body.Read(buf)
		end := errors.Is(err, io.EOF)
		if err != nil && !end {
			return err
		}
		if n == 0 && !end {
			continue
		}
		c.out.spend(n)
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

func (cn *connection) sendData(c *call, f frame) error {
	for {
		wait, err := cn.out.pushData(f, c)
		if wait == nil {
			return err
		}
		select {
		case <-wait:
		case <-c.ctx.Done():
			return c.ended()
		}
	}
}
