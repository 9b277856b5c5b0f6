package callmux

import (
	"io"
	"sync"

	"github.com/rotisserie/eris"
)

// inbox holds the body bytes of one call that were received and not yet read.
type inbox struct {
	window int
	// notify has an element if the state below may have changed.
	notify chan struct{}

	// mu guards the fields below.
	mu     sync.Mutex
	chunks [][]byte
	size   int
	// consumed counts the bytes read since credit was last returned.
	consumed int
	// err ends the body behind chunks: io.EOF or the reason of the cut.
	err error
}

func newInbox(window int) inbox {
	return inbox{window: window, notify: make(chan struct{}, 1)}
}

// put appends received bytes. Bytes beyond the window are an ErrProtocol.
func (b *inbox) put(p []byte, end bool) error {
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

// setWhole sets a body that came with its head.
func (b *inbox) setWhole(p []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(p) > 0 {
		b.chunks = append(b.chunks, p)
		b.size = len(p)
	}
	b.err = io.EOF
}

// cut ends the body with err behind the bytes that were received.
func (b *inbox) cut(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
	b.signal()
}

func (b *inbox) signal() {
	select {
	case b.notify <- struct{}{}:
	default:
	}
}

// take copies received bytes to p without waiting. credit is the number of
// bytes to return to the sender; n is 0 and err nil if nothing has arrived.
func (b *inbox) take(p []byte) (n, credit int, err error) {
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
	b.consumed += n
	if b.consumed >= b.window/2 {
		credit, b.consumed = b.consumed, 0
	}
	return n, credit, nil
}

// credit counts the body bytes that may be sent for one call.
type credit struct {
	// notify has an element if bytes may have been added.
	notify chan struct{}

	// mu guards n.
	mu sync.Mutex
	n  int
}

func newCredit(n int) credit { return credit{notify: make(chan struct{}, 1), n: n} }

// add returns credit from the receiver.
func (c *credit) add(n int) error {
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

func (c *credit) available() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func (c *credit) spend(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n -= n
}
