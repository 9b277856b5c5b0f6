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
	target string
	lis    net.Listener
	// delay is added to what passes, in nanoseconds.
	delay atomic.Int64
	// oneWay drops what comes back from the target.
	oneWay atomic.Bool

	// mu guards conns.
	mu    sync.Mutex
	conns []*pair
}

type pair struct {
	relay   *TCP
	swallow atomic.Bool
	a, b    net.Conn
}

// ListenTCP starts to listen; Run serves.
func ListenTCP(ctx context.Context, listen, target string) (*TCP, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return nil, err
	}
	return &TCP{target: target, lis: l}, nil
}

// Addr returns the address to connect to.
func (t *TCP) Addr() string { return t.lis.Addr().String() }

// Run relays until ctx ends.
func (t *TCP) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = t.lis.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		a, err := t.lis.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { t.serve(ctx, a) })
	}
}

func (t *TCP) serve(ctx context.Context, a net.Conn) {
	defer a.Close()
	var d net.Dialer
	b, err := d.DialContext(ctx, "tcp", t.target)
	if err != nil {
		return
	}
	defer b.Close()
	p := &pair{relay: t, a: a, b: b}
	t.mu.Lock()
	t.conns = append(t.conns, p)
	t.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { _ = a.Close(); _ = b.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(a, b, &t.oneWay) })
	wg.Go(func() { p.copy(b, a, &atomic.Bool{}) })
	wg.Wait()
}

// copy moves bytes until the source ends; swallowed bytes vanish, and an end
// is not passed on either. Bytes that a cut has dropped leave the connection silent.
func (p *pair) copy(dst, src net.Conn, cut *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 && cut.Load() {
			p.swallow.Store(true)
		}
		time.Sleep(time.Duration(p.relay.delay.Load()))
		if p.swallow.Load() {
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

// Delay adds d to what passes from now on.
func (t *TCP) Delay(d time.Duration) { t.delay.Store(int64(d)) }

// CutAnswers drops all bytes of the target, or ends that.
func (t *TCP) CutAnswers(cut bool) { t.oneWay.Store(cut) }

// Reset ends all open connections without an orderly end.
func (t *TCP) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.conns {
		for _, c := range []net.Conn{p.a, p.b} {
			if tc, ok := c.(*net.TCPConn); ok {
				_ = tc.SetLinger(0)
			}
			_ = c.Close()
		}
	}
	t.conns = nil
}

// Swallow makes all open connections silent for good.
func (t *TCP) Swallow() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.conns {
		p.swallow.Store(true)
	}
	n := len(t.conns)
	t.conns = nil
	return n
}
