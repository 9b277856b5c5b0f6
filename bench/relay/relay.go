// Package relay forwards TCP or UDP between two addresses and harms what passes:
// it can swallow all bytes of the connections that are open, as a middlebox does
// that has lost track of them, delay or reset them, or drop one direction.
package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// TCP relays connections from a listener to a target.
type TCP struct {
	target   string
	listener net.Listener
	// delay is added to what passes, in nanoseconds.
	delay atomic.Int64
	// dropResponses drops what comes back from the target.
	dropResponses atomic.Bool

	// mu guards conns.
	mu    sync.Mutex
	conns []*connPair
}

type connPair struct {
	relay          *TCP
	blackholed     atomic.Bool
	client, server net.Conn
}

// ListenTCP starts to listen; Run serves.
func ListenTCP(ctx context.Context, listen, target string) (*TCP, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &TCP{target: target, listener: l}, nil
}

// Addr returns the address to connect to.
func (t *TCP) Addr() string { return t.listener.Addr().String() }

// Run relays until ctx ends.
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

// forward moves bytes until the source ends; swallowed bytes vanish, and an end
// is not passed on either. Bytes that a cut has dropped leave the connection silent.
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
			if err != io.EOF { //nolint:errorlint // the read end of a TCP connection returns it bare
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

// SetDelay adds d to what passes from now on.
func (t *TCP) SetDelay(d time.Duration) { t.delay.Store(int64(d)) }

// SetDropResponses drops all bytes of the target, or ends that.
func (t *TCP) SetDropResponses(drop bool) { t.dropResponses.Store(drop) }

// Reset ends all open connections without an orderly end.
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

// Blackhole makes all open connections silent for good.
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
