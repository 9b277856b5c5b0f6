package peer

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// outbound is the connection that this endpoint makes to an address, or the attempt
// to dial it. conn, peer and err are set before ready is closed and never change
// afterwards.
type outbound struct {
	addr  string
	want  Identity
	ready chan struct{}
	// notBefore is when to dial. It is later than now if the peer refused the last
	// handshake.
	notBefore time.Time
	conn      *quic.Conn
	peer      Identity
	err       error
	// checking is set while streamTimedOut looks at the connection.
	checking atomic.Bool
	// refs counts the open streams and the calls that are about to open one;
	// idleSince is when refs was last decremented. Both are guarded by Endpoint.mu.
	refs      int
	idleSince time.Time
}

// usable reports whether a call that expects the identity want may use the
// connection or wait for its dial attempt.
func (o *outbound) usable(want Identity) bool {
	select {
	case <-o.ready:
		return o.err == nil && o.conn.Context().Err() == nil && o.peer.Matches(want)
	default:
		return o.want == want
	}
}

// acquire returns the connection to addr, with a reference for one more stream.
// Calls that arrive while it is dialled share the attempt. The caller must pass the
// result to release, also after an error; it is nil if the endpoint is closed.
func (e *Endpoint) acquire(ctx context.Context, addr string, want Identity) (*outbound, error) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return nil, eris.Wrap(ErrClosed, "endpoint is closed")
	}
	o := e.conns[addr]
	if o == nil || !o.usable(want) {
		o = &outbound{addr: addr, want: want, ready: make(chan struct{}), notBefore: e.redials[addr].until}
		e.conns[addr] = o
		e.outbounds[o] = struct{}{}
		e.wg.Go(func() { e.run(o) })
	}
	o.refs++
	e.mu.Unlock()
	select {
	case <-o.ready:
		return o, o.err
	case <-ctx.Done():
		if time.Now().Before(o.notBefore) {
			return o, eris.Wrapf(ErrBusy, "%s: %v", addr, ctx.Err())
		}
		return o, eris.Wrapf(ErrUnreachable, "%s: %v", addr, ctx.Err())
	}
}

// release drops one reference to a connection.
func (e *Endpoint) release(o *outbound) {
	if o == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.refs--
	o.idleSince = time.Now()
}

// defaultUnusedTimeout is the default of Config.UnusedTimeout. The keep-alive
// packets of a connection cost about 0.5 KB/s, and previous parents and partners
// are seldom called again.
const defaultUnusedTimeout = 10 * time.Second

// removeUnused reports whether the connection had no streams for UnusedTimeout, and
// removes it from conns then.
func (e *Endpoint) removeUnused(o *outbound, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.refs > 0 || now.Sub(o.idleSince) < e.cfg.UnusedTimeout {
		return false
	}
	if e.conns[o.addr] == o {
		delete(e.conns, o.addr)
	}
	return true
}

// waitClosed waits until the connection ends, and closes it once it is unused.
func (e *Endpoint) waitClosed(o *outbound) {
	tick := time.NewTicker(e.cfg.UnusedTimeout / 2)
	defer tick.Stop()
	for {
		select {
		case <-o.conn.Context().Done():
			return
		case now := <-tick.C:
			if e.removeUnused(o, now) {
				_ = o.conn.CloseWithError(connClosed, "unused")
				return
			}
		}
	}
}

// run dials the connection and keeps it registered until it ends.
func (e *Endpoint) run(o *outbound) {
	sock, err := net.ListenUDP("udp", nil)
	if err != nil {
		o.err = eris.Wrapf(ErrUnreachable, "socket: %v", err)
		close(o.ready)
		e.unregister(o)
		return
	}
	// Each connection has its own local port. A middlebox that has lost the state
	// of the previous connection would also drop the packets of a new one between
	// the same ports.
	tr := &quic.Transport{Conn: sock}
	if e.awaitRedial(o) {
		o.conn, o.peer, o.err = e.dial(tr, o)
	} else {
		o.err = eris.Wrap(ErrClosed, "endpoint is closed")
	}
	close(o.ready)
	if o.err == nil {
		e.cfg.Log.Debug("peer connection made", "address", o.addr, "peer", o.peer.String())
		e.waitClosed(o)
		e.cfg.Log.Info("peer connection ended", "address", o.addr, "peer", o.peer.String(),
			"reason", context.Cause(o.conn.Context()).Error())
	}
	e.unregister(o)
	_ = tr.Close()
	_ = sock.Close()
}

// awaitRedial waits until the connection may be dialled and reports whether the endpoint
// is still open then.
func (e *Endpoint) awaitRedial(o *outbound) bool {
	if wait := time.Until(o.notBefore); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-e.closing:
			return false
		}
	}
	return true
}

// recordDial counts the outcome of a handshake and sets when the address may be dialled
// again.
func (e *Endpoint) recordDial(addr string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.dialled.done.Inc(1)
		delete(e.redials, addr)
	case isRefusedHandshake(err):
		e.dialled.refused.Inc(1)
		e.redials[addr] = e.redials[addr].next(time.Now())
	default:
		e.dialled.failed.Inc(1)
		delete(e.redials, addr)
	}
}

// Busy reports whether the peer at addr refused the last handshake for now.
func (e *Endpoint) Busy(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, busy := e.redials[addr]
	return busy
}

// dial makes the connection and returns it with the peer's identity.
func (e *Endpoint) dial(tr *quic.Transport, o *outbound) (*quic.Conn, Identity, error) {
	udp, err := net.ResolveUDPAddr("udp", o.addr)
	if err != nil {
		return nil, Identity{}, eris.Wrapf(ErrUnreachable, "%s: %v", o.addr, err)
	}
	conn, err := e.handshake(tr, udp, o.want)
	e.recordDial(o.addr, err)
	if err != nil {
		return nil, Identity{}, dialError(o.addr, err)
	}
	id, err := IdentityOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil {
		_ = conn.CloseWithError(connRefused, "identity")
		return nil, Identity{}, err
	}
	return conn, id, nil
}

const (
	// firstDialAttempt bounds the first handshake of a dial, and dialAttemptFactor is the
	// growth of the bound. QUIC repeats an unanswered first packet after 200, 600 and
	// 1,400 ms, so that a peer that starts meanwhile would be found late. A shorter bound
	// ends handshakes with a peer that is only slow: behind full links round trips take
	// over half a second.
	firstDialAttempt  = 800 * time.Millisecond
	dialAttemptFactor = 1.6
)

// handshake makes a connection within handshakeTimeout. It begins anew while the peer does
// not answer.
func (e *Endpoint) handshake(tr *quic.Transport, addr *net.UDPAddr, want Identity) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	protocols := offeredProtocols(e.cfg.Credentials.Identity().Role)
	for bound := firstDialAttempt; ; bound = time.Duration(float64(bound) * dialAttemptFactor) {
		attempt, end := context.WithTimeout(ctx, bound)
		e.dialled.begun.Inc(1)
		conn, err := tr.Dial(attempt, addr, e.cfg.Credentials.ClientTLS(want, protocols...), e.quicConfig())
		end()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return conn, err
		}
	}
}

// unregister removes an ended connection or failed dial attempt.
func (e *Endpoint) unregister(o *outbound) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.outbounds, o)
	if e.conns[o.addr] == o {
		delete(e.conns, o.addr)
	}
}

// closeOutbound closes all connections that this endpoint made.
func (e *Endpoint) closeOutbound() {
	e.mu.Lock()
	e.closed = true
	close(e.closing)
	outbounds := slices.Collect(maps.Keys(e.outbounds))
	e.conns = map[string]*outbound{}
	e.mu.Unlock()
	for _, o := range outbounds {
		<-o.ready
		if o.conn != nil {
			_ = o.conn.CloseWithError(connClosed, "shutting down")
		}
	}
}

// dialError keeps an identity error, returns ErrBusy for a refused handshake and
// ErrUnreachable for any other error.
func dialError(addr string, err error) error {
	switch {
	case errors.Is(err, ErrIdentity):
		return eris.Wrapf(ErrIdentity, "%s: %v", addr, err)
	case isRefusedHandshake(err):
		return eris.Wrapf(ErrBusy, "%s", addr)
	}
	return eris.Wrapf(ErrUnreachable, "%s: %v", addr, err)
}
