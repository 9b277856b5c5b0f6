package compress

import (
	"bytes"
	"testing"
)

// Guards against a message that does not come back, and against one of a peer that
// unpacks to more memory than a process may spend on it.
func TestRoundTripRespectsSizeLimit(t *testing.T) {
	c := New(Config{Above: 100, Most: 64 << 10, Window: 64 << 10})
	for _, size := range []int{0, 1, 100, 101, 60 << 10} {
		plain := bytes.Repeat([]byte{0xa1, 'x'}, size/2+1)[:size]
		packed := c.Pack(plain)
		if size > 100 && len(packed) > size/2 {
			t.Errorf("%d bytes packed into %d", size, len(packed))
		}
		if got, err := c.Unpack(packed); err != nil || !bytes.Equal(got, plain) {
			t.Errorf("%d bytes came back as %d: %v", size, len(got), err)
		}
	}
	large := New(Config{Most: 1 << 30, Window: 64 << 10}).Pack(make([]byte, 1<<20))
	if got, err := c.Unpack(large); err == nil {
		t.Errorf("unpacked %d bytes, the bound is %d", len(got), 64<<10)
	}
	if _, err := c.Unpack(append(bytes.Clone(zstdMagic), 0xff, 1, 2)); err == nil {
		t.Error("unpacked bytes that are no message")
	}
}
