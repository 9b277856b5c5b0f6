package callmux

import (
	"slices"
	"sync"
)

// dataQueueLimit bounds the bytes of body frames queued on a connection. Further
// body frames wait outside the queue.
const dataQueueLimit = 64 << 10

const (
	// maxBatch bounds the bytes of heads in one write, if there is more than one.
	maxBatch = 64 << 10
	// maxBatchData bounds the bytes of body frames in one write, if there is more than
	// one. A head that is queued during a write waits for it: with 64 KiB of bodies,
	// lookups took up to 92 ms on a link of 12 Mbit/s.
	maxBatchData = maxData
)

// queuedFrame is a frame in the queue and the call it belongs to. call is nil for
// control frames, refusals and cancel frames.
type queuedFrame struct {
	frame
	call *call
}

// sendQueue holds the frames that wait for the writer. Control frames are sent first,
// then heads, with the small bodies in their frames: they must not wait behind large
// bodies. Each write may also take some body frames, so that bodies are never held up
// for good.
type sendQueue struct {
	// limit bounds the bytes in frames when a head is queued; see Config.QueueLimit.
	limit int
	// ready has an element if there may be frames to write or the queue is closed.
	ready chan struct{}

	// mu guards the fields below, call.sent and call.discarded.
	mu      sync.Mutex
	control []queuedFrame
	// heads holds heads, data body frames; each in the order in which they are sent. A
	// cancel frame is in data if body frames of its call are, else in heads.
	heads, data []queuedFrame
	// size is the number of bytes in heads and data; dataSize counts body frames only.
	size     int
	dataSize int
	closed   bool
	// space is closed when the queue accepts body frames again; nil if no body waits.
	space chan struct{}
}

func newSendQueue(limit int) *sendQueue {
	return &sendQueue{limit: limit, ready: make(chan struct{}, 1)}
}

// pushControl queues a frame that is sent before heads and bodies. The number of
// queued control frames is bounded by the number of calls and by the consumed body
// bytes; a ping or pong is not queued if one is queued already.
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

// pushHead queues a head or cancel frame. If enforceLimit is set, it fails with
// ErrBusy when the frame would exceed the limit.
func (q *sendQueue) pushHead(f frame, c *call, enforceLimit bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || c != nil && c.discarded {
		return ErrConnection
	}
	if enforceLimit && q.size+f.size() > q.limit {
		return ErrBusy
	}
	follows := func(o queuedFrame) bool { return o.frame.call == f.call }
	if f.kind == frameCancel && slices.ContainsFunc(q.data, follows) {
		q.append(&q.data, queuedFrame{f, c})
		return nil
	}
	q.append(&q.heads, queuedFrame{f, c})
	return nil
}

// pushData queues a body frame, or returns a channel that is closed when there
// may be space for it.
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
	q.append(&q.data, queuedFrame{f, c})
	return nil, nil
}

func (q *sendQueue) append(list *[]queuedFrame, f queuedFrame) {
	q.size += f.size()
	*list = append(*list, f)
	q.signalReady()
}

func (q *sendQueue) signalReady() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes frames from the queue and appends their encoding to b: heads up to
// maxBatch bytes and bodies up to maxBatchData. The calls of these frames count as
// sent from then on.
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
	b = q.takeFrom(&q.heads, b, maxBatch, func(queuedFrame) bool { return true })
	// A body must not overtake the head of its call.
	b = q.takeFrom(&q.data, b, maxBatchData, func(f queuedFrame) bool {
		return len(q.heads) == 0 || f.call != nil && f.call.sent
	})
	q.signalSpace()
	return b
}

// takeFrom removes frames from a list while allowed, and appends their encoding to b: as
// many as fit into limit bytes, and at least one.
func (q *sendQueue) takeFrom(list *[]queuedFrame, b []byte, limit int, allowed func(queuedFrame) bool) []byte {
	n, start := 0, len(b)
	for n < len(*list) && allowed((*list)[n]) {
		f := (*list)[n]
		if n > 0 && len(b)-start+f.size() > limit {
			break
		}
		b = appendFrame(b, f.frame)
		q.releaseSize(f)
		if f.call != nil {
			f.call.sent = true
		}
		n++
	}
	*list = slices.Delete(*list, 0, n)
	return b
}

// signalSpace wakes the senders of bodies that wait for space, if there is any.
func (q *sendQueue) signalSpace() {
	if q.space != nil && q.dataSize < dataQueueLimit {
		close(q.space)
		q.space = nil
	}
}

// releaseSize subtracts a frame that leaves the queue from the byte counts.
func (q *sendQueue) releaseSize(f queuedFrame) {
	q.size -= f.size()
	if f.kind == frameData {
		q.dataSize -= f.size()
	}
}

// discard removes the queued frames of a call and rejects later ones. It reports
// whether the writer has already taken a frame of the call.
func (q *sendQueue) discard(c *call) (sent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c.discarded = true
	ofCall := func(f queuedFrame) bool {
		if f.call != c {
			return false
		}
		q.releaseSize(f)
		return true
	}
	q.heads, q.data = slices.DeleteFunc(q.heads, ofCall), slices.DeleteFunc(q.data, ofCall)
	q.signalSpace()
	return c.sent
}

// close rejects later frames; frames that are still queued are not written.
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
