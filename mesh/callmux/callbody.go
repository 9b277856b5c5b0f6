package callmux

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/invariant"
)

func (c *call) addCredit(payload []byte) error {
	if len(payload) != 4 {
		return eris.Wrapf(ErrProtocol, "window frame of %d bytes", len(payload))
	}
	n := binary.BigEndian.Uint32(payload)
	if n > maxWindow {
		return eris.Wrapf(ErrProtocol, "credit of %d bytes", n)
	}
	return c.credit.add(int(n))
}

// bodyBytes returns the body bytes of a data frame. The last frame states the
// total; a body that differs from it never reaches its reader as whole.
func (c *call) bodyBytes(f frame) ([]byte, error) {
	body := f.payload
	if f.end {
		if len(body) < totalLengthSize {
			return nil, eris.Wrapf(ErrProtocol, "last data frame of %d bytes", len(body))
		}
		body = body[:len(body)-totalLengthSize]
	}
	c.receivedBytes += uint64(len(body))
	if !f.end {
		return body, nil
	}
	total := binary.BigEndian.Uint64(f.payload[len(body):])
	invariant.Check(total == c.receivedBytes, invariant.WholeAnswer, "body differs from its stated length",
		"call", c.id, "received", c.receivedBytes, "stated", total)
	if total != c.receivedBytes {
		return nil, eris.Wrapf(ErrProtocol, "body of %d bytes in place of its stated %d", c.receivedBytes, total)
	}
	return body, nil
}

// requestBody is the streamed body of a request on the server.
type requestBody struct {
	cn *connection
	c  *call
}

// Read returns received bytes. A body that ends before its last byte is an
// ErrBodyTruncated, never io.EOF.
func (b requestBody) Read(p []byte) (int, error) { return b.cn.readBody(b.c, p) }

// responseBody is the streamed body of a response on the client.
type responseBody struct {
	cn *connection
	c  *call
}

// Read returns received bytes; see requestBody. The end of the context cancels the call.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.cn.readBody(b.c, p)
	if err != nil {
		b.cn.cancelCall(b.c, err.Error())
	}
	return n, err
}

// Close cancels the call if its body has not arrived entirely.
func (b responseBody) Close() error {
	b.c.recvBuf.closeWithError(&callError{ErrBodyTruncated, errClosed})
	b.cn.cancelCall(b.c, "body closed")
	return nil
}

// readBody waits for body bytes of a call.
func (cn *connection) readBody(c *call, p []byte) (int, error) {
	for len(p) > 0 {
		if n, err := cn.readAvailable(c, p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.recvBuf.notify:
		case <-c.ctx.Done():
			// The end of a body is recorded before its context ends.
			if n, err := cn.readAvailable(c, p); n > 0 || err != nil {
				return n, err
			}
			return 0, &callError{ErrBodyTruncated, c.endCause()}
		}
	}
	return 0, nil
}

func (cn *connection) readAvailable(c *call, p []byte) (int, error) {
	n, credit, err := c.recvBuf.take(p)
	if credit > 0 {
		payload := binary.BigEndian.AppendUint32(nil, uint32(credit))
		cn.queue.pushControl(frame{kind: frameWindow, call: c.id, payload: payload})
	}
	return n, err
}

// wholeBody is a body that came with its head.
type inlineBody struct{ bytes.Reader }

// Close does nothing.
func (*inlineBody) Close() error { return nil }

func newInlineBody(p []byte) io.ReadCloser {
	b := &inlineBody{}
	b.Reset(p)
	return b
}

// readShort reads a body whose known length fits in the head frame. whole is
// false for a body that has to be streamed.
func readInlineBody(body io.Reader, length int64) (p []byte, inline bool, err error) {
	if body == nil {
		return nil, true, nil
	}
	if length <= 0 || length > maxData {
		return nil, false, nil
	}
	p = make([]byte, length+1)
	n, err := io.ReadFull(body, p)
	switch {
	case err == nil:
		return nil, false, eris.Errorf("body is longer than its stated %d bytes", length)
	case int64(n) == length && (err == io.ErrUnexpectedEOF || err == io.EOF): //nolint:errorlint // ReadFull returns these values themselves
		return p[:n], true, nil
	case int64(n) < length && (err == io.ErrUnexpectedEOF || err == io.EOF): //nolint:errorlint // as above
		return nil, false, eris.Errorf("body has %d bytes in place of its stated %d", n, length)
	}
	return nil, false, err
}
