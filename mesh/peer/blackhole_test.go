package peer_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/peer"
)

// udpRelay forwards datagrams and can drop those of all flows seen so far. It
// identifies a flow by its source address and port, as a middlebox does.
type udpRelay struct {
	front  *net.UDPConn
	target *net.UDPAddr
	// delay is how long each datagram takes in each direction, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	flows map[string]*udpFlow
}

// udpFlow is the flow of one source; dropped is set once its datagrams are dropped.
type udpFlow struct {
	upstream *net.UDPConn
	dropped  bool
}

// startRelay starts a relay on a local port that forwards to target.
func startRelay(target string) *udpRelay {
	addr, err := net.ResolveUDPAddr("udp", target)
	Expect(err).NotTo(HaveOccurred())
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	Expect(err).NotTo(HaveOccurred())
	r := &udpRelay{front: front, target: addr, flows: map[string]*udpFlow{}}
	go r.forward()
	DeferCleanup(func() {
		_ = front.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, f := range r.flows {
			_ = f.upstream.Close()
		}
	})
	return r
}

// forward sends the datagrams of clients to the target.
func (r *udpRelay) forward() {
	buf := make([]byte, 64<<10)
	for {
		n, src, err := r.front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if f := r.flow(src); f != nil {
			r.later(buf[:n], func(p []byte) { _, _ = f.upstream.Write(p) })
		}
	}
}

// later sends a copy of a datagram after the delay.
func (r *udpRelay) later(datagram []byte, send func([]byte)) {
	p := bytes.Clone(datagram)
	time.AfterFunc(time.Duration(r.delay.Load()), func() { send(p) })
}

// flow returns the flow of a source, or nil if its datagrams are dropped.
func (r *udpRelay) flow(src *net.UDPAddr) *udpFlow {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, ok := r.flows[src.String()]
	if !ok {
		upstream, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return nil
		}
		f = &udpFlow{upstream: upstream}
		r.flows[src.String()] = f
		go r.forwardReplies(f, src)
	}
	if f.dropped {
		return nil
	}
	return f
}

// forwardReplies sends the datagrams of the target back to the source of the flow.
func (r *udpRelay) forwardReplies(f *udpFlow, src *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, err := f.upstream.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		dropped := f.dropped
		r.mu.Unlock()
		if !dropped {
			r.later(buf[:n], func(p []byte) { _, _ = r.front.WriteToUDP(p, src) })
		}
	}
}

// dropFlows drops all further datagrams of the flows seen so far.
func (r *udpRelay) dropFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropped = true
	}
}

// Guards against an endpoint that keeps using a connection whose packets are
// dropped, or that dials the new one from the same port, which the middlebox would
// drop as well.
var _ = Describe("a connection whose packets are dropped", func() {
	It("is replaced by a new one from another port within two idle timeouts", func() {
		dir := GinkgoT().TempDir()
		c1 := peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}
		control := endpoint(dir, c1)
		node := endpoint(dir, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"})
		peer.HandleCall(control, "echo", []peer.Role{peer.RoleNode},
			func(_ context.Context, _ peer.Identity, req echo) (echo, error) { return req, nil })
		relay := startRelay(control.Addr().String())
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), peer.DefaultIdleTimeout+500*time.Millisecond)
			defer cancel()
			var out echo
			return node.Call(ctx, relay.front.LocalAddr().String(), c1, "echo", echo{Text: "hello"}, &out)
		}
		Expect(call()).To(Succeed())
		relay.dropFlows()
		Expect(call()).NotTo(Succeed(), "the relay drops this connection")
		Eventually(call).WithTimeout(2 * peer.DefaultIdleTimeout).Should(Succeed())
	})

	// Guards against a connection that carries nothing and stays in use for many seconds,
	// because QUIC keeps it for three probe timeouts and has measured long round trips.
	It("is replaced within 2 s of its loss after long round trips", func() {
		dir := GinkgoT().TempDir()
		c1 := peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "c1"}
		control := endpoint(dir, c1)
		node := endpoint(dir, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"})
		peer.HandleCall(control, "echo", []peer.Role{peer.RoleNode},
			func(_ context.Context, _ peer.Identity, req echo) (echo, error) { return req, nil })
		relay := startRelay(control.Addr().String())
		call := func(timeout time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var out echo
			return node.Call(ctx, relay.front.LocalAddr().String(), c1, "echo", echo{Text: "hello"}, &out)
		}
		Expect(call(time.Second)).To(Succeed())
		relay.delay.Store(int64(300 * time.Millisecond))
		Expect(call(3 * time.Second)).To(Succeed())
		Expect(call(3 * time.Second)).To(Succeed())
		relay.dropFlows()
		relay.delay.Store(0)
		lost := time.Now()
		Eventually(func() error { return call(900 * time.Millisecond) }).WithTimeout(10 * time.Second).WithPolling(time.Millisecond).Should(Succeed())
		Expect(time.Since(lost)).To(BeNumerically("<", 2*time.Second))
	})
})
