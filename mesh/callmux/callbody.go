package callmux

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/invariant"
)

// addCredit handles the payload of a window frame: a byte count of 4 bytes.
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

// bodyBytes returns the body bytes of a data frame. The last frame of a body ends
// with the total length; if it differs from the bytes received, bodyBytes returns
// ErrProtocol, so that the body's reader never gets io.EOF.
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

// Read returns received bytes. If the body ends before its last byte, it returns
// ErrBodyTruncated, never io.EOF.
func (b requestBody) Read(p []byte) (int, error) { return b.cn.readBody(b.c, p) }

// responseBody is the streamed body of a response on the client.
type responseBody struct {
	cn *connection
	c  *call
}

// Read returns received bytes like requestBody.Read. The end of the call's context
// cancels the call.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.cn.readBody(b.c, p)
	if err != nil {
		b.cn.cancelCall(b.c, err.Error())
	}
	return n, err
}

// Close cancels the call if its body has not arrived completely.
func (b responseBody) Close() error {
	b.c.recvBuf.closeWithError(&callError{ErrBodyTruncated, errClosed})
	b.cn.cancelCall(b.c, "body closed")
	return nil
}

// readBody reads body bytes of a call and waits until there are any.
func (cn *connection) readBody(c *call, p []byte) (int, error) {
	for len(p) > 0 {
		if n, err := cn.readAvailable(c, p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-c.recvBuf.notify:
		case <-c.ctx.Done():
			// The end of a complete body is recorded before the context is
			// cancelled, so it may still have to be read here.
			if n, err := cn.readAvailable(c, p); n > 0 || err != nil {
				return n, err
			}
			return 0, &callError{ErrBodyTruncated, c.endCause()}
		}
	}
	return 0, nil
}

// readAvailable reads body bytes without waiting and returns credit to the sender.
func (cn *connection) readAvailable(c *call, p []byte) (int, error) {
	n, credit, err := c.recvBuf.take(p)
	if credit > 0 {
		payload := binary.BigEndian.AppendUint32(nil, uint32(credit))
		cn.queue.pushControl(frame{kind: frameWindow, call: c.id, payload: payload})
	}
	return n, err
}

// inlineBody is a body that arrived in the frame of its head.
type inlineBody struct{ bytes.Reader }

// Close does nothing.
func (*inlineBody) Close() error { return nil }

func newInlineBody(p []byte) io.ReadCloser {
	b := &inlineBody{}
	b.Reset(p)
	return b
}

// readInlineBody reads a body of known length that is short enough to be sent in
// the head frame. If inline is false and err is nil, nothing has been read and the
// body has to be streamed.
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
