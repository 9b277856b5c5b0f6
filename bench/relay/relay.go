// Package relay forwards TCP connections or UDP datagrams to a target and injects
// network faults. It can drop all further traffic of the open connections without
// closing them, as a middlebox does that has lost their state, drop only the
// responses, and delay or reset TCP connections.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// TCP accepts connections and forwards each to the target.
type TCP struct {
	target   string
	listener net.Listener
	// delay is the time in nanoseconds that each chunk of data waits before it is forwarded.
	delay atomic.Int64
	// dropResponses is set while data from the target is dropped.
	dropResponses atomic.Bool

	// mu guards conns.
	mu    sync.Mutex
	conns []*connPair
}

// connPair is a client's connection and the connection to the target that serves it.
type connPair struct {
	relay          *TCP
	blackholed     atomic.Bool
	client, server net.Conn
}

// ListenTCP opens the listener of a relay. Run accepts its connections.
func ListenTCP(ctx context.Context, listen, target string) (*TCP, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &TCP{target: target, listener: l}, nil
}

// Addr returns the address that clients connect to.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Run accepts and forwards connections until ctx ends.
func (t *TCP) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = t.listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, err := t.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { t.serve(ctx, a) })
	}
}

func (t *TCP) serve(ctx context.Context, client net.Conn) {
	defer client.Close()
	var d net.Dialer
	server, err := d.DialContext(ctx, "tcp", t.target)
	if err != nil {
		return
	}
	defer server.Close()
	p := &connPair{relay: t, client: client, server: server}
	t.mu.Lock()
	t.conns = append(t.conns, p)
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = client.Close(); _ = server.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(client, server, &t.dropResponses) })
	wg.Go(func() { p.forward(server, client, &atomic.Bool{}) })
	wg.Wait()
}

// forward copies data from src to dst until src is closed. On a blackholed connection it
// reads and drops the data and does not forward the close. While drop is set, the
// first data blackholes the connection for good: TCP data cannot be dropped from
// the middle of a stream.
func (p *connPair) forward(dst, src net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && drop.Load() {
			p.blackholed.Store(true)
		}
		time.Sleep(time.Duration(p.relay.delay.Load()))
		if p.blackholed.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				_ = src.Close()
				return
			}
		}
		if err != nil {
			if err != io.EOF { //nolint:errorlint // a TCP connection returns io.EOF unwrapped
				_ = dst.Close()
				return
			}
			closeWrite(dst)
			return
		}
	}
}

func closeWrite(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.CloseWrite()
	}
}

// SetDelay delays each chunk of data by d from now on; 0 removes the delay.
func (t *TCP) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// SetDropResponses starts or stops dropping the data from the target. A connection that
// lost data stays blackholed.
func (t *TCP) SetDropResponses(drop bool) { t.dropResponses.Store(drop) }

// Reset closes all open connections with a TCP reset.
func (t *TCP) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.conns {
		for _, c := range []net.Conn{p.client, p.server} {
			if tc, ok := c.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	t.conns = nil
}

// Blackhole drops all further data of the open connections, in both directions and
// without closing them, and returns their number.
func (t *TCP) Blackhole() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.conns {
		p.blackholed.Store(true)
	}
	n := len(t.conns)
	t.conns = nil
	return n
}
