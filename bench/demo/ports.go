package demo

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

// Listening ports are chosen below the ephemeral port range of common operating
// systems. A port of that range may become the source port of another process's
// connection while the process that listens on it restarts; its listen call then fails.
const (
	firstPort = 10_000
	lastPort  = 32_000
	portTries = 1_000
)

// ports allocates loopback ports. Each port is free for TCP and UDP at the time
// of its allocation.
type ports struct{ used map[int]bool }

func newPorts() *ports { return &ports{used: map[int]bool{}} }

// next returns a loopback address with a free port that was not allocated before.
func (p *ports) next() (string, error) {
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if p.used[port] || !free(port) {
			continue
		}
		p.used[port] = true
		return address(port), nil
	}
	return "", fmt.Errorf("no free port found in %d attempts", portTries)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// free reports whether the port is free for TCP and UDP.
func free(port int) bool {
	l, err := net.Listen("tcp", address(port)) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	defer l.Close()
	u, err := net.ListenPacket("udp", address(port)) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	return u.Close() == nil
}

// FreeAddress allocates a loopback address that the fleet does not use.
func (f *Fleet) FreeAddress() (string, error) { return f.ports.next() }
