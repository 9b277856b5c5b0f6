package compress

import (
	"bytes"
	"testing"
)

// Guards against a message that changes in compression and decompression, and against
// a message from a peer that decompresses to more than the size limit.
func TestRoundTripRespectsSizeLimit(t *testing.T) {
	c := New(Config{Threshold: 100, MaxDecodedBytes: 64 << 10, Window: 64 << 10})
	for _, size := range []int{0, 1, 100, 101, 60 << 10} {
		plain := bytes.Repeat([]byte{0xa1, 'x'}, size/2+1)[:size]
		packed := c.Compress(plain)
		if size > 100 && len(packed) > size/2 {
			t.Errorf("%d bytes were compressed to %d", size, len(packed))
		}
		if got, err := c.Decompress(packed); err != nil || !bytes.Equal(got, plain) {
			t.Errorf("%d bytes were decompressed to %d: %v", size, len(got), err)
		}
	}
	large := New(Config{MaxDecodedBytes: 1 << 30, Window: 64 << 10}).Compress(make([]byte, 1<<20))
	if got, err := c.Decompress(large); err == nil {
		t.Errorf("decompressed %d bytes, the limit is %d", len(got), 64<<10)
	}
	if _, err := c.Decompress(append(bytes.Clone(zstdMagic), 0xff, 1, 2)); err == nil {
		t.Error("decompressed an invalid message")
	}
}
