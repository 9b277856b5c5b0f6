package demo

import (
	"net"
	"strconv"
	"testing"
)

// Guards against ports that the system may give to an outgoing connection
// while the process that listens on them restarts.
func TestPortsLieBelowSourcePorts(t *testing.T) {
	p := newPorts()
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
			t.Fatalf("port %s", text)
		}
	}
}
