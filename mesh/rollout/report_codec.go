package rollout

import (
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/compress"
)

const (
	// minCompressedBytes is the size in bytes above which a report is compressed. Names repeat
	// in its cells, so a report of 30 cells shrinks to a tenth.
	minCompressedBytes = 256
	// maxReportBytes is the maximum size of a report after decompression.
	maxReportBytes = 4 << 20
)

var reportCodec = compress.New(compress.Config{Threshold: minCompressedBytes, MaxDecodedBytes: maxReportBytes, Window: 64 << 10})

// EncodeReport encodes r and compresses it if it is large.
func EncodeReport(r Report) ([]byte, error) {
	b, err := encode(r)
	if err != nil {
		return nil, err
	}
	return reportCodec.Compress(b), nil
}

// DecodeReport decodes a report and checks its counters.
func DecodeReport(b []byte) (Report, error) {
	plain, err := reportCodec.Decompress(b)
	if err != nil {
		return Report{}, eris.Wrapf(ErrCorrupt, "decompress report: %v", err)
	}
	var r Report
	if err := decMode.Unmarshal(plain, &r); err != nil {
		return Report{}, eris.Wrapf(ErrCorrupt, "decode report: %v", err)
	}
	return r, r.check()
}
