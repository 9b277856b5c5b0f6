package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// UDP forwards datagrams and can drop those of all flows seen so far. A
// flow is known by its source port, as a middlebox knows it.
type UDP struct {
	listener *net.UDPConn
	target   *net.UDPAddr

	// mu guards flows and their fields.
	mu    sync.Mutex
	flows map[string]*udpFlow
	// dropResponses drops what comes back from the target.
	dropResponses atomic.Bool
}

type udpFlow struct {
	server     *net.UDPConn
	blackholed bool
}

// ListenUDP returns a relay in front of the target; Run serves.
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

// Addr returns the address to send to.
func (r *UDP) Addr() string { return r.listener.LocalAddr().String() }

const maxDatagram = 64 << 10

// Run relays until Close.
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

// flow returns the flow of a source, or nil if it is silent.
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

// forwardResponses returns the answers of one flow until its socket is closed.
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

// SetDropResponses drops all datagrams of the target, or ends that.
func (r *UDP) SetDropResponses(drop bool) { r.dropResponses.Store(drop) }

// Blackhole makes all flows seen so far silent for good and returns their number.
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

// Close ends the relay and its flows.
func (r *UDP) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.server.Close()
	}
}
