package callmux

import (
	"encoding/binary"
	"errors"
	"testing"

	"balsamtrail.org/mesh/invariant"
)

// The assertion on whole answers must fire for a body that is shorter than its
// stated length, and the body must not reach its reader. This package runs its
// tests without fatal assertions, since some of them break the protocol.
func TestShortBodyViolatesInvariant(t *testing.T) {
	before := invariant.Violations()
	payload := binary.BigEndian.AppendUint64([]byte("half"), 8)
	c := &call{id: 1}
	if _, err := c.bodyBytes(frame{kind: frameData, end: true, payload: payload}); !errors.Is(err, ErrProtocol) {
		t.Errorf("error %v", err)
	}
	if n := invariant.Violations() - before; n != 1 {
		t.Errorf("%d violations", n)
	}
}
