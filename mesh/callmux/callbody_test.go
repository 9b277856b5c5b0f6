package callmux

import (
	"encoding/binary"
	"errors"
	"testing"

	"balsamtrail.org/mesh/invariant"
)

// Guards against a truncated body that is taken for complete: a body shorter than
// its stated length must count as an invariant violation and must not reach its
// reader. Invariant violations are not fatal in the tests of this package, since
// some tests break the protocol on purpose.
func TestShortBodyViolatesInvariant(t *testing.T) {
	before := invariant.Violations()
	payload := binary.BigEndian.AppendUint64([]byte("half"), 8)
	c := &call{id: 1}
	if _, err := c.bodyBytes(frame{kind: frameData, end: true, payload: payload}); !errors.Is(err, ErrProtocol) {
		t.Errorf("got error %v, want ErrProtocol", err)
	}
	if n := invariant.Violations() - before; n != 1 {
		t.Errorf("got %d violations, want 1", n)
	}
}
