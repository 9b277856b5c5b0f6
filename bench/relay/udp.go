package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// UDP forwards datagrams and can drop those of all flows seen so far. A
// flow is known by its source port, as a middlebox knows it.
type UDP struct {
	front  *net.UDPConn
	target *net.UDPAddr

	// mu guards flows and their fields.
	mu    sync.Mutex
	flows map[string]*udpFlow
	// oneWay drops what comes back from the target.
	oneWay atomic.Bool
}

type udpFlow struct {
	back   *net.UDPConn
	silent bool
}

// ListenUDP returns a relay in front of the target; Run serves.
func ListenUDP(target string) (*UDP, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	return &UDP{front: front, target: addr, flows: map[string]*udpFlow{}}, nil
}

// Addr returns the address to send to.
func (r *UDP) Addr() string { return r.front.LocalAddr().String() }

const maxDatagram = 64 << 10

// Run relays until Close.
func (r *UDP) Run() {
	buf := make([]byte, maxDatagram)
	for {
		n, src, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(src); f != nil {
			_, _ = f.back.Write(buf[:n])
		}
	}
}

// flow returns the flow of a source, or nil if it is silent.
func (r *UDP) flow(src *net.UDPAddr) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[src.String()]
	if !ok {
		back, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &udpFlow{back: back}
		r.flows[src.String()] = f
		go r.backward(f, src)
	}
	if f.silent {
		return nil
	}
	return f
}

// backward returns the answers of one flow until its socket is closed.
func (r *UDP) backward(f *udpFlow, src *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.back.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		silent := f.silent
		r.mu.Unlock()
		if !silent && !r.oneWay.Load() {
			_, _ = r.front.WriteToUDP(buf[:n], src)
		}
	}
}

// CutAnswers drops all datagrams of the target, or ends that.
func (r *UDP) CutAnswers(cut bool) { r.oneWay.Store(cut) }

// Swallow makes all flows seen so far silent for good and returns their number.
func (r *UDP) Swallow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, f := range r.flows {
		if !f.silent {
			f.silent = true
			n++
		}
	}
	return n
}

// Close ends the relay and its flows.
func (r *UDP) Close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.back.Close()
	}
}
