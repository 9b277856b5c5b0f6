package callmux

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Sizes in frames, in bytes.
const (
	// MaxHead bounds the encoded head of a request or response. A head of 64 KiB in HTTP/1.1,
	// the most that nodes read, takes less than that here together with the other fields
	// of its frame.
	MaxHead = 80 << 10
	// maxHeadElements bounds the fields and values in a head, of which each takes a byte or
	// more in HTTP/1.1 beside the line end.
	maxHeadElements = MaxHead / 3
	// maxData bounds the body bytes of one frame, so that a large body does not
	// delay the frames of other calls.
	maxData = 16 << 10
	// maxHello bounds an encoded hello.
	maxHello = 256
	// maxReason bounds the reason in a cancel frame; longer ones are truncated.
	maxReason = 256
	// totalLengthSize is the size of the total length at the end of a streamed body,
	// which the receiver compares with the number of body bytes received.
	totalLengthSize = 8
	// headLengthSize is the size of the length field that precedes a head in its frame.
	headLengthSize = 4
	// initialHeadCapacity is the buffer capacity allocated for a head before its
	// encoded size is known.
	initialHeadCapacity = 256
	// headerSize is the size of a frame header: payload length (4), kind (1),
	// flags (1), call ID (4); integers are big-endian.
	headerSize = 10
)

// frameKind is the kind of a frame, as sent in its header.
type frameKind uint8

const (
	frameHello frameKind = iota + 1
	frameRequest
	frameResponse
	// frameData carries body bytes in either direction; the last data frame of a
	// body ends with the total length of the body.
	frameData
	// frameWindow returns credit for body bytes that the receiver has consumed.
	frameWindow
	// frameCancel ends both directions of a call; its payload is the reason.
	frameCancel
	framePing
	framePong
	// frameGoAway asks the client to make new calls on another connection.
	frameGoAway
)

// flagEnd marks the last frame of a request or response.
const flagEnd = 1

// payloadLimit is the maximum payload size of each frame kind, in bytes.
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

// frame is one frame of a connection. call is 0 in frames that belong to the
// connection as a whole.
type frame struct {
	kind    frameKind
	end     bool // flagEnd
	call    uint32
	payload []byte
}

// size returns the encoded size of the frame in bytes.
func (f frame) size() int { return headerSize + len(f.payload) }

// appendFrame appends the encoding of f to b.
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

// readFrame reads one frame. It returns ErrProtocol for an unknown kind and for a
// payload larger than payloadLimit.
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
		MaxArrayElements: maxHeadElements,
		MaxMapPairs:      maxHeadElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		// HTTP allows bytes in header values and paths that are not UTF-8.
		UTF8: cbor.UTF8DecodeInvalid,
	}
	m, err := opts.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// encodeHead returns the payload of a request or response frame: the head and an
// inline body, which may be empty.
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

// decodeHead decodes the head in a frame's payload and returns the inline body
// that follows it.
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
