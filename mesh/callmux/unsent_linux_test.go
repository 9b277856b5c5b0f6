package callmux

import (
	"context"
	"net"
	"syscall"
	"testing"

	"balsamtrail.org/mesh/peer"
)

// Guards against small calls that wait in the kernel behind the large bodies of others: both
// ends of a connection must bound what the kernel takes before it can send it.
func TestUnsentBytesAreBounded(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ends := make(chan net.Conn, 2)
	go func() {
		if c, err := ln.Accept(); err == nil {
			_, _ = handshake(context.Background(), Config{}.withDefaults(), c, c, peer.Identity{}, false)
			ends <- c
		}
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t.Context(), Config{}.withDefaults(), c, c, peer.Identity{}, true); err != nil {
		t.Fatal(err)
	}
	ends <- c
	for range 2 {
		c := <-ends
		defer c.Close()
		rc, err := c.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := rc.Control(func(fd uintptr) {
			if n, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpNotSentLowAt); err != nil || n != maxUnsentBytes {
				t.Errorf("%d bytes, %v", n, err)
			}
		}); err != nil {
			t.Fatal(err)
		}
	}
}
