package callmux

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// recvBuffer holds the body bytes of one call that were received and not yet read.
type recvBuffer struct {
	// window bounds the received bytes for which no credit has been returned.
	window int

	// mu guards the fields below.
	mu sync.Mutex
	// notify has an element if the fields below may have changed. It is created
	// when a reader first has to wait: most bodies are sent with their heads and
	// never need it.
	notify chan struct{}
	chunks [][]byte
	size   int
	// consumed is the number of bytes read since credit was last returned.
	consumed int
	// err is returned once chunks are read: io.EOF for a complete body, otherwise
	// the error passed to closeWithError.
	err error
}

// put appends received bytes; end marks the last ones of the body. It returns
// ErrProtocol if they exceed the window.
func (b *recvBuffer) put(p []byte, end bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return nil // this side cancelled the call; late bytes are dropped
	}
	if b.size+b.consumed+len(p) > b.window {
		return eris.Wrapf(ErrProtocol, "body exceeds its window of %d bytes", b.window)
	}
	if len(p) > 0 {
		b.chunks = append(b.chunks, p)
		b.size += len(p)
	}
	if end {
		b.err = io.EOF
	}
	b.signal()
	return nil
}

// closeWithError makes reads fail with err after the bytes that were received. It
// has no effect on a body that has ended.
func (b *recvBuffer) closeWithError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.signal()
}

func (b *recvBuffer) signal() {
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// take copies received bytes to p without waiting. credit is the number of bytes
// of credit to return to the sender. If nothing has arrived, n is 0, err is nil and
// notify exists.
func (b *recvBuffer) take(p []byte) (n, credit int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n < len(p) && len(b.chunks) > 0 {
		m := copy(p[n:], b.chunks[0])
		n += m
		if b.chunks[0] = b.chunks[0][m:]; len(b.chunks[0]) == 0 {
			b.chunks = b.chunks[1:]
		}
	}
	b.size -= n
	if b.err != nil {
		if n == 0 {
			return 0, 0, b.err
		}
		return n, 0, nil
	}
	if n == 0 && b.notify == nil {
		b.notify = make(chan struct{}, 1)
	}
	b.consumed += n
	if b.consumed >= b.window/2 {
		credit, b.consumed = b.consumed, 0
	}
	return n, credit, nil
}

// sendCredit is the number of body bytes that may still be sent for one call.
type sendCredit struct {
	// mu guards the fields below.
	mu sync.Mutex
	n  int
	// notify has an element if credit may have been added. It is created when the
	// sender first has to wait.
	notify chan struct{}
}

// add adds credit that the receiver has returned.
func (c *sendCredit) add(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n += n; c.n > maxWindow {
		return eris.Wrapf(ErrProtocol, "credit of %d bytes", c.n)
	}
	select {
	case c.notify <- struct{}{}:
	default:
	}
	return nil
}

// available returns the number of bytes that may be sent. If it is 0, notify exists.
func (c *sendCredit) available() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == 0 && c.notify == nil {
		c.notify = make(chan struct{}, 1)
	}
	return c.n
}

func (c *sendCredit) spend(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n -= n
}
