package demo

import (
	"fmt"
	"net"
)

// ports hands out free loopback ports. Each port is free for TCP and UDP at
// the time it is handed out.
type ports struct{ used map[int]bool }

func newPorts() *ports { return &ports{used: map[int]bool{}} }

// next returns a free address.
func (p *ports) next() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
		if err != nil {
			return "", err
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		_ = l.Close()
		if err != nil || p.used[port] {
			continue
		}
		_ = u.Close()
		p.used[port] = true
		return fmt.Sprintf("127.0.0.1:%d", port), nil
	}
	return "", fmt.Errorf("no free port found")
}
