package rollout

import (
	"bytes"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// compressAbove is the size from which a report is compressed. Names repeat
	// in its cells, so that a report of 30 cells shrinks to a tenth.
	compressAbove = 256
	// maxReportBytes bounds a report after decompression.
	maxReportBytes = 4 << 20
)

// zstdMagic begins each compressed report; a plain one begins with a CBOR map.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

var (
	reportEncoder = func() *zstd.Encoder {
		e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(64<<10))
		if err != nil {
			panic(err) // the options are constants
		}
		return e
	}()
	reportDecoder = func() *zstd.Decoder {
		d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxReportBytes))
		if err != nil {
			panic(err) // the options are constants
		}
		return d
	}()
)

// EncodeReport encodes r, compressed if it is large.
func EncodeReport(r Report) ([]byte, error) {
	b, err := encode(r)
	if err != nil || len(b) <= compressAbove {
		return b, err
	}
	return reportEncoder.EncodeAll(b, nil), nil
}

// DecodeReport decodes a report and checks that its counters fit together.
func DecodeReport(b []byte) (Report, error) {
	if bytes.HasPrefix(b, zstdMagic) {
		plain, err := reportDecoder.DecodeAll(b, nil)
		if err != nil {
			return Report{}, eris.Wrapf(ErrCorrupt, "decompress report: %v", err)
		}
		b = plain
	}
	var r Report
	if err := decMode.Unmarshal(b, &r); err != nil {
		return Report{}, eris.Wrapf(ErrCorrupt, "decode report: %v", err)
	}
	return r, r.check()
}
