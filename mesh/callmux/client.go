package callmux

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// dialFunc connects to addr and verifies that the peer's identity matches
// expected. raw is the socket below rw.
type dialFunc func(ctx context.Context, addr string, expected peer.Identity) (raw, rw net.Conn, id peer.Identity, err error)

// maxConnectionAttempts bounds the number of connections on which one call tries
// to start: a connection may be retired between being chosen and being used.
const maxConnectionAttempts = 3

// Client makes calls to other nodes. It keeps one connection for each pair of
// address and expected identity.
type Client struct {
	cfg  Config
	dial dialFunc
	wg   sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	pool   map[poolKey]*pooledConn
	closed bool
}

// poolKey is the address of a node and the identity expected of it.
type poolKey struct {
	addr     string
	expected peer.Identity
}

// pooledConn is a connection to one node, or an attempt in progress to dial it.
// ready is closed when the attempt has ended; cn and err are set before that.
type pooledConn struct {
	key   poolKey
	ready chan struct{}
	cn    *connection
	err   error
}

// NewClient returns a client, which dials nodes on demand. Close closes its
// connections.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg.withDefaults(), pool: map[poolKey]*pooledConn{}}
	c.dial = c.dialTLS
	return c
}

// Close closes all connections, which ends their calls, and waits for their
// goroutines.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	pool := c.pool
	c.pool = map[poolKey]*pooledConn{}
	c.mu.Unlock()
	for _, pc := range pool {
		<-pc.ready
		if pc.cn != nil {
			pc.cn.fail(errClosed)
		}
	}
	c.wg.Wait()
}

// Do makes one call to the node at addr, whose identity must match expected. It
// returns when the head of the response has arrived; the caller must close the
// response body. The end of ctx also cuts off the response body. The error wraps
// ErrNotSent if the request certainly has not run, otherwise ErrOutcomeUnknown. A
// request body of known length up to 16 KiB is read before anything is sent; a
// streamed request body may have been read in part even if nothing was sent.
func (c *Client) Do(ctx context.Context, addr string, expected peer.Identity, req *Request) (*Response, error) {
	ctx, cancel := callContext(ctx, req.Timeout)
	resp, err := c.do(ctx, cancel, addr, expected, req)
	if err != nil {
		cancel()
	}
	return resp, err
}

// callContext returns a context that ends after timeout, or one without a
// deadline of its own if timeout is not positive.
func callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return context.WithCancel(parent)
	}
	return context.WithTimeout(parent, timeout)
}

func (c *Client) do(ctx context.Context, cancel context.CancelFunc, addr string, expected peer.Identity, req *Request) (*Response, error) {
	body, inline, err := readInlineBody(req.Body, req.BodyLength)
	if err != nil {
		return nil, notSent(eris.Wrap(err, "request body"))
	}
	for range maxConnectionAttempts {
		cn, err := c.connection(ctx, poolKey{addr, expected})
		if err != nil {
			return nil, notSent(err)
		}
		head, err := requestHead(ctx, req, body, inline)
		if err != nil {
			return nil, notSent(err)
		}
		cl := cn.newCall(ctx, cancel)
		cl.head = make(chan frame, 1)
		err = cn.startCall(cl, head)
		if errors.Is(err, errRetired) {
			continue // use a new connection; nothing of the request was queued
		}
		if err != nil {
			return nil, notSent(err)
		}
		if !inline {
			go streamRequestBody(cn, cl, req)
		}
		return awaitResponse(cn, cl)
	}
	return nil, notSent(eris.Wrapf(errRetired, "%s", addr))
}

// requestHead returns the request frame, with Timeout set to the time left until
// the deadline of ctx. It fails if the deadline has passed.
func requestHead(ctx context.Context, req *Request, body []byte, inline bool) (frame, error) {
	head := *req
	if deadline, ok := ctx.Deadline(); ok {
		head.Timeout = time.Until(deadline)
		if head.Timeout <= 0 {
			return frame{}, context.DeadlineExceeded
		}
	}
	if ctx.Err() != nil {
		return frame{}, context.Cause(ctx)
	}
	payload, err := encodeHead(&head, body)
	return frame{kind: frameRequest, end: inline, payload: payload}, err
}

// streamRequestBody sends the request body in data frames. It ends the call if
// reading the body fails.
func streamRequestBody(cn *connection, cl *call, req *Request) {
	if err := cn.streamBody(cl, req.Body); err != nil && cl.ctx.Err() == nil {
		cause := eris.Wrapf(err, "request body")
		cl.recvBuf.closeWithError(&callError{ErrBodyTruncated, cause})
		cl.end(cause)
	}
}

// awaitResponse waits for the head of the response.
func awaitResponse(cn *connection, cl *call) (*Response, error) {
	select {
	case f := <-cl.head:
		return newResponse(cn, cl, f)
	case <-cl.ctx.Done():
	}
	select {
	case f := <-cl.head:
		return newResponse(cn, cl, f)
	default:
	}
	cause := cl.endCause()
	if cn.cancelCall(cl, cause.Error()) {
		return nil, outcomeUnknown(cause)
	}
	return nil, notSent(cause)
}

func newResponse(cn *connection, cl *call, f frame) (*Response, error) {
	resp := &Response{}
	body, err := decodeHead(f, resp)
	if err == nil {
		err = resp.check()
	}
	if err != nil {
		telemetry.Counter(MetricMalformed).Inc(1)
		cn.cfg.Log.Warn("malformed response", "peer", cn.peer.String(), "call", f.call, "reason", err.Error())
		cn.cancelCall(cl, "malformed response head")
		return nil, outcomeUnknown(err)
	}
	if f.end {
		resp.Body = newInlineBody(body)
	} else {
		resp.Body = responseBody{cn, cl}
	}
	return resp, nil
}

// connection returns a usable connection to a node and dials one if there is
// none. Calls that arrive during the dial share the attempt.
func (c *Client) connection(ctx context.Context, key poolKey) (*connection, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, eris.Wrap(ErrConnection, "client is closed")
	}
	pc := c.pool[key]
	if pc == nil || !pc.usable() {
		pc = &pooledConn{key: key, ready: make(chan struct{})}
		c.pool[key] = pc
		c.wg.Go(func() { c.runConnection(pc) })
	}
	c.mu.Unlock()
	select {
	case <-pc.ready: // the usual case needs no timer
		return pc.cn, pc.err
	default:
	}
	timer := time.NewTimer(c.cfg.DialTimeout)
	defer timer.Stop()
	select {
	case <-pc.ready:
		return pc.cn, pc.err
	case <-timer.C:
		return nil, eris.Wrapf(ErrConnection, "%s: not connected in %s", key.addr, c.cfg.DialTimeout)
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// usable reports whether new calls can use the connection or wait for the dial
// in progress.
func (pc *pooledConn) usable() bool {
	select {
	case <-pc.ready:
		return pc.err == nil && pc.cn.usable()
	default:
		return true
	}
}

// runConnection dials a connection, reads it until it ends and removes it from
// the pool.
func (c *Client) runConnection(pc *pooledConn) {
	pc.cn, pc.err = c.dialConnection(pc)
	close(pc.ready)
	if pc.err == nil {
		telemetry.Counter(MetricConnections).Inc(1)
		c.cfg.Log.Info("call connection established", "address", pc.key.addr, "peer", pc.cn.peer.String())
		c.wg.Go(func() { pc.cn.writeLoop() })
		pc.cn.fail(readResponses(pc.cn))
		telemetry.Counter(MetricConnectionsEnded).Inc(1)
		c.cfg.Log.Info("call connection ended", "address", pc.key.addr, "peer", pc.cn.peer.String(), "reason", pc.cn.failure().Error())
	} else {
		c.cfg.Log.Warn("call connection could not be established", "address", pc.key.addr, "reason", pc.err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool[pc.key] == pc {
		delete(c.pool, pc.key)
	}
}

// readResponses handles the frames of a client's connection until a read fails
// or the server violates the protocol.
func readResponses(cn *connection) error {
	for {
		f, err := readFrame(cn.r)
		if err != nil {
			return err
		}
		switch f.kind {
		case frameResponse:
			err = cn.deliverHead(f)
		case frameGoAway:
			cn.retire()
		default:
			err = cn.dispatch(f)
		}
		if err != nil {
			return err
		}
		if f.end {
			cn.completeCall(f.call)
		}
	}
}

// deliverHead passes the head of a response to the goroutine that waits for it.
func (cn *connection) deliverHead(f frame) error {
	c := cn.findCall(f.call)
	if c == nil {
		return nil // this side cancelled the call
	}
	if c.headReceived {
		return eris.Wrapf(ErrProtocol, "second response head of call %d", f.call)
	}
	c.headReceived = true
	c.head <- f // does not block: the channel has capacity for the only head
	return nil
}

// completeCall ends a call whose response has arrived completely. Request frames
// that are still queued are discarded.
func (cn *connection) completeCall(id uint32) {
	if c := cn.findCall(id); c != nil {
		cn.queue.discard(c)
		cn.removeCall(c, errCallEnded)
	}
}

func (c *Client) dialConnection(pc *pooledConn) (*connection, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.HandshakeTimeout)
	defer cancel()
	raw, rw, id, err := c.dial(ctx, pc.key.addr, pc.key.expected)
	if err != nil {
		return nil, err
	}
	cn, err := handshake(ctx, c.cfg, raw, rw, id, true)
	if err != nil {
		return nil, eris.Wrapf(err, "%s", pc.key.addr)
	}
	return cn, nil
}

// handshake exchanges hello frames before the deadline of ctx. It closes raw on
// failure.
func handshake(ctx context.Context, cfg Config, raw, rw net.Conn, id peer.Identity, isClient bool) (*connection, error) {
	deadline, _ := ctx.Deadline()
	if err := raw.SetDeadline(deadline); err != nil {
		_ = raw.Close()
		return nil, eris.Wrapf(ErrConnection, "deadline: %v", err)
	}
	if err := limitUnsent(raw); err != nil {
		cfg.Log.Warn("kernel does not bound unsent bytes", "peer", id.String(), "reason", err.Error())
	}
	cn, err := newConnection(cfg, raw, rw, id, isClient)
	if err == nil {
		err = raw.SetDeadline(time.Time{})
	}
	if err != nil {
		_ = raw.Close()
		return nil, eris.Wrapf(ErrConnection, "hello: %v", err)
	}
	return cn, nil
}

func (c *Client) dialTLS(ctx context.Context, addr string, expected peer.Identity) (net.Conn, net.Conn, peer.Identity, error) {
	d := net.Dialer{Timeout: c.cfg.DialTimeout}
	raw, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, nil, peer.Identity{}, eris.Wrapf(ErrConnection, "%s: %v", addr, err)
	}
	conn := tls.Client(raw, c.cfg.Credentials.ClientTLS(expected, Protocol))
	id, err := verifyPeer(ctx, conn)
	if err != nil {
		_ = raw.Close()
		return nil, nil, id, eris.Wrapf(err, "%s", addr)
	}
	return raw, conn, id, nil
}

// verifyPeer completes the TLS handshake and returns the identity in the peer's certificate.
func verifyPeer(ctx context.Context, conn *tls.Conn) (peer.Identity, error) {
	if err := conn.HandshakeContext(ctx); err != nil {
		return peer.Identity{}, eris.Wrapf(ErrConnection, "TLS handshake: %v", err)
	}
	state := conn.ConnectionState()
	if state.NegotiatedProtocol != Protocol {
		return peer.Identity{}, eris.Wrapf(ErrConnection, "peer does not speak %s", Protocol)
	}
	return peer.IdentityOf(state.PeerCertificates[0])
}
