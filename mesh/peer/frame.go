package peer

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// MaxFrame is the maximum size of a frame, in bytes. It is large enough for any log
// entry, snapshot chunk or batch of endpoints.
const MaxFrame = 4 << 20

// frameHeader is the size of the length prefix of a frame, in bytes.
const frameHeader = 4

// decodeMode limits the number of elements that a received CBOR array or map may
// have. It accepts strings that are not UTF-8, because some hold what callers and backend
// servers sent.
var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return m
}()

// writeFrame writes v as one frame: a big-endian length followed by the CBOR
// encoding.
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

// readFrame reads one frame into v. It returns io.EOF if the stream ended before
// the frame.
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
		return eris.Wrapf(ErrFrameTooLarge, "length prefix is %d bytes", n)
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
