package callmux

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Size bounds of frames, in bytes.
const (
	// MaxHead bounds the encoded head of a request or response.
	MaxHead = 64 << 10
	// maxData bounds the body bytes of one frame, so that one large body does
	// not delay the frames of other calls.
	maxData   = 16 << 10
	maxHello  = 256
	maxReason = 256
	// totalLength is the size of the total that ends a streamed body: the number
	// of its bytes, which the receiver compares with what it got.
	totalLengthSize = 8
	// headLength is the size of the length that precedes the head in its frame.
	headLengthSize = 4
	// typicalHead is the room made for an encoded head before its size is known.
	initialHeadCapacity = 256
	// headerSize is the size of a frame header: payload length (4), kind (1),
	// flags (1), call (4); integers are big-endian.
	headerSize = 10
)

type frameKind uint8

const (
	frameHello frameKind = iota + 1
	frameRequest
	frameResponse
	// frameData carries body bytes in either direction; the last one of a body
	// ends with the total.
	frameData
	// frameWindow returns credit for body bytes that the receiver has consumed.
	frameWindow
	// frameCancel ends a call in both directions; its payload is the reason.
	frameCancel
	framePing
	framePong
	// frameGoAway asks the client to make its next calls on another connection.
	frameGoAway
)

// flagEnd marks the last frame of a body.
const flagEnd = 1

// payloadLimit is the greatest payload of each kind of frame.
var payloadLimit = [...]uint32{
	frameHello:    maxHello,
	frameRequest:  headLengthSize + MaxHead + maxData,
	frameResponse: headLengthSize + MaxHead + maxData,
	frameData:     maxData + totalLengthSize,
	frameWindow:   4,
	frameCancel:   maxReason,
	framePing:     0,
	framePong:     0,
	frameGoAway:   0,
}

type frame struct {
	kind    frameKind
	end     bool
	call    uint32
	payload []byte
}

func (f frame) size() int { return headerSize + len(f.payload) }

func appendFrame(b []byte, f frame) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.payload)))
	var flags byte
	if f.end {
		flags = flagEnd
	}
	b = append(b, byte(f.kind), flags)
	b = binary.BigEndian.AppendUint32(b, f.call)
	return append(b, f.payload...)
}

// readFrame reads one frame. A frame of an unknown kind or above the bound of
// its kind is an ErrProtocol.
func readFrame(r *bufio.Reader) (frame, error) {
	head, err := r.Peek(headerSize)
	if err != nil {
		return frame{}, eris.Wrapf(ErrConnection, "read: %v", err)
	}
	n := binary.BigEndian.Uint32(head)
	f := frame{kind: frameKind(head[4]), end: head[5]&flagEnd != 0, call: binary.BigEndian.Uint32(head[6:])}
	if f.kind == 0 || int(f.kind) >= len(payloadLimit) {
		return frame{}, eris.Wrapf(ErrProtocol, "frame of unknown kind %d", f.kind)
	}
	if n > payloadLimit[f.kind] {
		return frame{}, eris.Wrapf(ErrProtocol, "frame of kind %d has %d bytes, at most %d", f.kind, n, payloadLimit[f.kind])
	}
	if _, err := r.Discard(headerSize); err != nil {
		return frame{}, eris.Wrapf(ErrConnection, "read: %v", err)
	}
	if n == 0 {
		return f, nil
	}
	f.payload = make([]byte, n)
	if _, err := io.ReadFull(r, f.payload); err != nil {
		return frame{}, eris.Wrapf(ErrConnection, "read: %v", err)
	}
	return f, nil
}

var encodeMode = func() cbor.UserBufferEncMode {
	m, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

var decodeMode = func() cbor.DecMode {
	opts := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 1024,
		MaxMapPairs:      1024,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encodeHead returns the payload of a head frame: the head and, for a short
// body of known length, the whole body.
func encodeHead(head any, body []byte) ([]byte, error) {
	buf := bytes.NewBuffer(make([]byte, headLengthSize, headLengthSize+initialHeadCapacity+len(body)))
	if err := encodeMode.MarshalToBuffer(head, buf); err != nil {
		return nil, eris.Wrapf(ErrProtocol, "encode %T: %v", head, err)
	}
	n := buf.Len() - headLengthSize
	if n > MaxHead {
		return nil, eris.Wrapf(ErrTooLarge, "%d bytes, at most %d", n, MaxHead)
	}
	binary.BigEndian.PutUint32(buf.Bytes(), uint32(n))
	_, _ = buf.Write(body)
	return buf.Bytes(), nil
}

// decodeHead decodes the head in a frame's payload and returns the body bytes behind it.
func decodeHead(f frame, head any) (body []byte, err error) {
	if len(f.payload) < headLengthSize {
		return nil, eris.Wrapf(ErrProtocol, "head frame of %d bytes", len(f.payload))
	}
	n := binary.BigEndian.Uint32(f.payload)
	rest := f.payload[headLengthSize:]
	if n > MaxHead || int(n) > len(rest) {
		return nil, eris.Wrapf(ErrProtocol, "head of %d bytes in a frame of %d", n, len(f.payload))
	}
	body = rest[n:]
	if !f.end && len(body) > 0 {
		return nil, eris.Wrap(ErrProtocol, "body bytes in the head of a streamed body")
	}
	if err := decodeMode.Unmarshal(rest[:n], head); err != nil {
		return nil, eris.Wrapf(ErrProtocol, "decode %T: %v", head, err)
	}
	return body, nil
}
