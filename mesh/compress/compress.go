// Package compress compresses messages with repetitive content. The first bytes of a
// message tell whether it is compressed, so that short messages can be left
// uncompressed. A Codec has no state besides its encoder and decoder and is safe for
// concurrent use.
package compress

import (
	"bytes"

	"github.com/klauspost/compress/zstd"
)

// zstdMagic is the magic number at the start of each compressed message. An
// uncompressed message must not start with it; no CBOR map does.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Config is the configuration of a Codec for one kind of message.
type Config struct {
	// Threshold is the size in bytes above which a message is compressed.
	Threshold int
	// MaxDecodedBytes is the largest size of a decompressed message in bytes. It limits the memory
	// that a message from a peer can use.
	MaxDecodedBytes uint64
	// Window is the zstd window size in bytes: repetitions are found within it.
	Window int
	// Fast selects the fastest compression level at the cost of larger messages.
	Fast bool
}

// Codec compresses and decompresses messages.
type Codec struct {
	threshold int
	encoder   *zstd.Encoder
	decoder   *zstd.Decoder
}

// New returns a Codec. It panics if zstd does not accept the configuration.
func New(c Config) *Codec {
	level := zstd.SpeedDefault
	if c.Fast {
		level = zstd.SpeedFastest
	}
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(level), zstd.WithWindowSize(c.Window))
	if err != nil {
		panic(err)
	}
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(c.MaxDecodedBytes))
	if err != nil {
		panic(err)
	}
	return &Codec{threshold: c.Threshold, encoder: e, decoder: d}
}

// Compress returns b compressed, or b itself if it is not longer than Config.Threshold.
func (c *Codec) Compress(b []byte) []byte {
	if len(b) <= c.threshold {
		return b
	}
	return c.encoder.EncodeAll(b, nil)
}

// Decompress returns the message that was passed to Compress.
func (c *Codec) Decompress(b []byte) ([]byte, error) {
	if !bytes.HasPrefix(b, zstdMagic) {
		return b, nil
	}
	return c.decoder.DecodeAll(b, nil)
}
