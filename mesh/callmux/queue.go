package callmux

import (
	"slices"
	"sync"
)

// dataQueueLimit bounds the queued body bytes of a connection. Bodies wait
// behind it, so a request head is never queued behind more than this.
const dataQueueLimit = 64 << 10

// maxBatch is the number of bytes that the writer takes at a time.
const maxBatch = 64 << 10

// outFrame is a frame in the queue and the call it belongs to.
type queuedFrame struct {
	frame
	call *call
}

// outQueue holds the frames that wait for the writer. Frames of control go
// first: heartbeats and window credit must not wait behind bodies.
type sendQueue struct {
	limit int
	// ready has an element if there may be frames to write.
	ready chan struct{}

	// mu guards the fields below and call.sent.
	mu       sync.Mutex
	control  []queuedFrame
	frames   []queuedFrame
	size     int
	dataSize int
	closed   bool
	// room is closed when body bytes fit again; nil if nobody waits.
	space chan struct{}
}

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, ready: make(chan struct{}, 1)}
}

// pushControl appends a frame that goes ahead of heads and bodies. The number
// of such frames is bounded by calls and by consumed body bytes; a pong or ping
// that is still queued is not queued again.
func (q *sendQueue) pushControl(f frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	if f.kind == framePing || f.kind == framePong {
		same := func(o queuedFrame) bool { return o.kind == f.kind }
		if slices.ContainsFunc(q.control, same) {
			return
		}
	}
	q.control = append(q.control, queuedFrame{frame: f})
	q.signalReady()
}

// pushHead appends a head. With strict set it fails with ErrBusy above the limit.
func (q *sendQueue) pushHead(f frame, c *call, enforceLimit bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || c != nil && c.discarded {
		return ErrConnection
	}
	if enforceLimit && q.size+f.size() > q.limit {
		return ErrBusy
	}
	q.append(queuedFrame{f, c})
	return nil
}

// pushData appends a body frame, or returns a channel that is closed when
// there may be room.
func (q *sendQueue) pushData(f frame, c *call) (wait <-chan struct{}, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || c.discarded {
		return nil, ErrConnection
	}
	if q.dataSize > 0 && q.dataSize+f.size() > dataQueueLimit {
		if q.space == nil {
			q.space = make(chan struct{})
		}
		return q.space, nil
	}
	q.dataSize += f.size()
	q.append(queuedFrame{f, c})
	return nil, nil
}

func (q *sendQueue) append(f queuedFrame) {
	q.size += f.size()
	q.frames = append(q.frames, f)
	q.signalReady()
}

func (q *sendQueue) signalReady() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take appends the encoding of queued frames to b, up to about maxBatch bytes.
// From here on the calls of these frames count as sent.
func (q *sendQueue) take(b []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return b
	}
	for _, f := range q.control {
		b = appendFrame(b, f.frame)
	}
	q.control = q.control[:0]
	n := 0
	for n < len(q.frames) && len(b) < maxBatch {
		f := q.frames[n]
		b = appendFrame(b, f.frame)
		q.releaseSize(f)
		if f.call != nil {
			f.call.sent = true
		}
		n++
	}
	q.frames = slices.Delete(q.frames, 0, n)
	q.signalSpace()
	return b
}

// wakeBodies lets the bodies that wait for room try again.
func (q *sendQueue) signalSpace() {
	if q.space != nil && q.dataSize < dataQueueLimit {
		close(q.space)
		q.space = nil
	}
}

func (q *sendQueue) releaseSize(f queuedFrame) {
	q.size -= f.size()
	if f.kind == frameData {
		q.dataSize -= f.size()
	}
}

// withdraw removes the queued frames of a call, accepts no more of them and
// reports whether any frame of it was taken before.
func (q *sendQueue) discard(c *call) (sent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.discarded = true
	q.frames = slices.DeleteFunc(q.frames, func(f queuedFrame) bool {
		if f.call != c {
			return false
		}
		q.releaseSize(f)
		return true
	})
	q.signalSpace()
	return c.sent
}

// close makes all later pushes fail. Nothing is taken after it.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.space != nil {
		close(q.space)
		q.space = nil
	}
	q.signalReady()
}
