package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// UDP forwards datagrams to a target and their responses back, and can drop them. It
// tells flows apart by their source address and port, as a middlebox does.
type UDP struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	// mu guards flows and their fields.
	mu    sync.Mutex
	flows map[string]*udpFlow
	// dropResponses is set while datagrams from the target are dropped.
	dropResponses atomic.Bool
}

// udpFlow is the traffic of one source and the socket that forwards it to the target.
type udpFlow struct {
	server     *net.UDPConn
	blackholed bool
}

// ListenUDP opens the socket of a relay on a free port of loopback. Run forwards its
// datagrams.
func ListenUDP(target string) (*UDP, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &UDP{listener: listener, target: addr, flows: map[string]*udpFlow{}}, nil
}

// Addr returns the address that clients send to.
func (r *UDP) Addr() string { return r.listener.LocalAddr().String() }

// maxDatagram is the size of the read buffers in bytes, enough for any UDP datagram.
const maxDatagram = 64 << 10

// Run forwards datagrams until Close is called.
func (r *UDP) Run() {
	buf := make([]byte, maxDatagram)
	for {
		n, src, err := r.listener.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(src); f != nil {
			_, _ = f.server.Write(buf[:n])
		}
	}
}

// flow returns the flow of a source, which it creates if needed. It returns nil if the
// flow is blackholed or its socket cannot be opened.
func (r *UDP) flow(src *net.UDPAddr) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[src.String()]
	if !ok {
		server, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &udpFlow{server: server}
		r.flows[src.String()] = f
		go r.forwardResponses(f, src)
	}
	if f.blackholed {
		return nil
	}
	return f
}

// forwardResponses forwards the target's datagrams of one flow to its source until the
// socket of the flow is closed.
func (r *UDP) forwardResponses(f *udpFlow, src *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.server.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		blackholed := f.blackholed
		r.mu.Unlock()
		if !blackholed && !r.dropResponses.Load() {
			_, _ = r.listener.WriteToUDP(buf[:n], src)
		}
	}
}

// SetDropResponses starts or stops dropping the datagrams from the target.
func (r *UDP) SetDropResponses(drop bool) { r.dropResponses.Store(drop) }

// Blackhole drops all further datagrams of the flows that exist now, in both directions,
// and returns the number of flows that were not blackholed before.
func (r *UDP) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.flows {
		if !f.blackholed {
			f.blackholed = true
			n++
		}
	}
	return n
}

// Close closes the sockets of the relay and of all flows, which ends Run.
func (r *UDP) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.server.Close()
	}
}
