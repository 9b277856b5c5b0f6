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
	// firstPort is the lowest port that is chosen.
	firstPort = 10_000
	// endPort is the port after the highest one that is chosen.
	endPort = 32_000
	// maxPortAttempts is how many random ports are tried for one address.
	maxPortAttempts = 1_000
)

// portAllocator allocates loopback ports. Each port is free for TCP and UDP at the
// time of its allocation.
type portAllocator struct{ used map[int]bool }

func newPortAllocator() *portAllocator { return &portAllocator{used: map[int]bool{}} }

// next returns a loopback address with a free port that was not allocated before.
func (p *portAllocator) next() (string, error) {
	for range maxPortAttempts {
		port := firstPort + rand.IntN(endPort-firstPort)
		if p.used[port] || !isFree(port) {
			continue
		}
		p.used[port] = true
		return address(port), nil
	}
	return "", fmt.Errorf("no free port found in %d attempts", maxPortAttempts)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// isFree reports whether the port is free for TCP and UDP.
func isFree(port int) bool {
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
