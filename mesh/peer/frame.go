package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxFrame is the greatest size of one frame, in bytes. A log entry, a
// snapshot chunk and an endpoint batch all fit below it.
const MaxFrame = 4 << 20

const frameHeader = 4

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// writeFrame writes v as one frame: a big-endian length and its CBOR encoding.
func writeFrame(w io.Writer, v any) error {
	body, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrapf(ErrBadFrame, "encode %T: %v", v, err)
	}
	if len(body) > MaxFrame {
		return eris.Wrapf(ErrFrameTooLarge, "%T has %d bytes", v, len(body))
	}
	buf := make([]byte, frameHeader, frameHeader+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	if _, err := w.Write(append(buf, body...)); err != nil {
		return eris.Wrapf(ErrClosed, "write: %v", err)
	}
	return nil
}

// readFrame reads one frame into v.
func readFrame(r io.Reader, v any) error {
	var head [frameHeader]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return eris.Wrapf(ErrClosed, "read: %v", err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrame {
		return eris.Wrapf(ErrFrameTooLarge, "%d bytes announced", n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return eris.Wrapf(ErrClosed, "read: %v", err)
	}
	if err := decodeMode.Unmarshal(body, v); err != nil {
		return eris.Wrapf(ErrBadFrame, "decode %T: %v", v, err)
	}
	return nil
}
