package note

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/compress"
)

// encodeMode is canonical, so that equal values have equal bytes, and keeps times
// to the nanosecond.
var encodeMode = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

var decodeMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// commandFields and resultFields have no methods, so that MarshalCBOR and
// UnmarshalCBOR do not call themselves.
type (
	commandFields Command
	resultFields  Result
)

// MarshalCBOR keeps times to the nanosecond, whatever mode the caller encodes in.
func (c Command) MarshalCBOR() ([]byte, error) { return encodeMode.Marshal(commandFields(c)) }

// UnmarshalCBOR reads the form that MarshalCBOR writes.
func (c *Command) UnmarshalCBOR(b []byte) error {
	return decodeMode.Unmarshal(b, (*commandFields)(c))
}

// MarshalCBOR keeps times to the nanosecond, whatever mode the caller encodes in.
func (r Result) MarshalCBOR() ([]byte, error) { return encodeMode.Marshal(resultFields(r)) }

// UnmarshalCBOR reads the form that MarshalCBOR writes.
func (r *Result) UnmarshalCBOR(b []byte) error {
	return decodeMode.Unmarshal(b, (*resultFields)(r))
}

// EncodeCommand encodes a command as a log entry, compressed if it is large.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := encode(c)
	if err != nil {
		return nil, err
	}
	return commandCompressor.Compress(b), nil
}

// DecodeCommand decodes a log entry written by EncodeCommand.
func DecodeCommand(b []byte) (Command, error) {
	plain, err := commandCompressor.Decompress(b)
	if err != nil {
		return Command{}, eris.Wrapf(ErrMalformed, "decompress command: %v", err)
	}
	return decode[Command](plain)
}

// commandCompressor compresses large commands. A declaration contains a whole
// configuration, whose routes are similar to each other, and is written to the
// disk of every control host.
var commandCompressor = compress.New(compress.Config{Threshold: compressAboveBytes, MaxDecodedBytes: maxCommandBytes, Window: 1 << 20, Fast: true})

const (
	// compressAboveBytes is the size above which a command is compressed; the usual
	// notes are smaller.
	compressAboveBytes = 4 << 10
	// maxCommandBytes is the maximum size of a command after decompression.
	maxCommandBytes = 64 << 20
)

// EncodeResult returns the CBOR form of a result.
func EncodeResult(r Result) ([]byte, error) { return encode(r) }

// DecodeResult reads the CBOR form of a result.
func DecodeResult(b []byte) (Result, error) { return decode[Result](b) }

func encode(v any) ([]byte, error) {
	b, err := encodeMode.Marshal(v)
	if err != nil {
		return nil, eris.Wrapf(ErrMalformed, "encode %T: %v", v, err)
	}
	return b, nil
}

func decode[T any](b []byte) (T, error) {
	var v T
	if err := decodeMode.Unmarshal(b, &v); err != nil {
		var zero T
		return zero, eris.Wrapf(ErrMalformed, "decode %T: %v", v, err)
	}
	return v, nil
}
