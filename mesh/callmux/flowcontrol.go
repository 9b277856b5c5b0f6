package callmux

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// inbox holds the body bytes of one call that were received and not yet read.
type recvBuffer struct {
	window int

	// mu guards the fields below.
	mu sync.Mutex
	// notify has an element if the rest may have changed; it is made when a
	// reader first finds nothing, as most bodies come with their heads.
	notify chan struct{}
	chunks [][]byte
	size   int
	// consumed counts the bytes read since credit was last returned.
	consumed int
	// err ends the body behind chunks: io.EOF or the reason of the cut.
	err error
}

// put appends received bytes. Bytes beyond the window are an ErrProtocol.
func (b *recvBuffer) put(p []byte, end bool) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return nil // the call was cancelled here; late bytes are dropped
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

// cut ends the body with err behind the bytes that were received.
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

// take copies received bytes to p without waiting. credit is the number of
// bytes to return to the sender; n is 0 and err nil if nothing has arrived, and
// notify has been made.
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

// credit counts the body bytes that may be sent for one call.
type sendCredit struct {
	// mu guards the fields below.
	mu sync.Mutex
	n  int
	// notify has an element if bytes may have been added; it is made when the
	// sender first finds none.
	notify chan struct{}
}

// add returns credit from the receiver.
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

// available returns the bytes that may be sent. If there are none, notify has been made.
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
