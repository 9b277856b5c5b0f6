// Package compress packs messages that repeat themselves. A packed message is told
// from a plain one by its first bytes, so that short ones need not be packed. It
// holds no state besides its encoder and decoder and is safe for concurrent use.
package compress

import (
	"bytes"

	"github.com/klauspost/compress/zstd"
)

// zstdMagic begins each packed message. A plain one must begin otherwise, as any CBOR
// map does.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Config bounds the messages of one kind.
type Config struct {
	// Above is the size in bytes from which a message is packed.
	Above int
	// Most bounds the size in bytes of an unpacked message, which may come from a peer.
	Most uint64
	// Window is the distance in bytes over which repetitions are found.
	Window int
	// Fast prefers speed to size.
	Fast bool
}

// Codec packs and unpacks messages.
type Codec struct {
	threshold int
	encoder   *zstd.Encoder
	decoder   *zstd.Decoder
}

// New returns a codec; it panics if the bounds are outside those of the format.
func New(c Config) *Codec {
	level := zstd.SpeedDefault
	if c.Fast {
		level = zstd.SpeedFastest
	}
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level), zstd.WithWindowSize(c.Window))
	if err != nil {
		panic(err)
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(c.Most))
	if err != nil {
		panic(err)
	}
	return &Codec{threshold: c.Above, encoder: e, decoder: d}
}

// Pack returns the packed form of b, or b itself if it is short.
func (c *Codec) Pack(b []byte) []byte {
	if len(b) <= c.threshold {
		return b
	}
	return c.encoder.EncodeAll(b, nil)
}

// Unpack returns the message that Pack was given.
func (c *Codec) Unpack(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, zstdMagic) {
		return b, nil
	}
	return c.decoder.DecodeAll(b, nil)
}
