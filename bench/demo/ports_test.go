package demo

import (
	"net"
	"strconv"
	"testing"
)

// Guards against listening ports in the ephemeral range, which starts at 32768 on
// Linux: one may become the source port of a connection while its process restarts.
func TestPortsAreBelowEphemeralRange(t *testing.T) {
	p := newPortAllocator()
	for range 50 {
		addr, err := p.next()
		if err != nil {
			t.Fatal(err)
		}
		_, text, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if port, err := strconv.Atoi(text); err != nil || port >= 32_768 {
			t.Fatalf("port %s is in the ephemeral range", text)
		}
	}
}
