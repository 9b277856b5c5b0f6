package callmux

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// Handler serves one call from another node. Its context ends at the deadline of
// the call, when the client cancels the call and when the connection fails. If it
// returns an error, the client reports ErrOutcomeUnknown; to refuse a call, return
// a Response with a Refusal.
type Handler func(ctx context.Context, from peer.Identity, req *Request) (*Response, error)

// acceptRetryDelay is the delay before accepting again after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// Server accepts connections from other nodes and serves their calls.
type Server struct {
	cfg Config
	wg  sync.WaitGroup
	// handshakes holds an element for each handshake being made.
	handshakes chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// conns holds the connections on which hello frames have been exchanged.
	conns map[*connection]struct{}
	// connCount is the number of open connections, handshakes in progress included.
	connCount int
	draining  bool
}

// NewServer returns a server, which accepts connections once Serve is called.
func NewServer(cfg Config) *Server {
	cfg = cfg.withDefaults()
	return &Server{cfg: cfg, conns: map[*connection]struct{}{}, handshakes: make(chan struct{}, cfg.Handshakes)}
}

// Serve accepts connections until ctx ends or the listener is closed. When ctx
// ends, it closes the listener, refuses new calls as not run, and waits up to
// DrainLimit for calls in progress to finish.
func (s *Server) Serve(ctx context.Context, ln net.Listener, h Handler) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.wg.Wait()
	tlsConfig := s.cfg.Credentials.ServerTLS(Protocol)
	for {
		raw, err := ln.Accept()
		if ctx.Err() != nil {
			s.drain()
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			s.closeAll()
			return eris.Wrapf(ErrListen, "accept: %v", err)
		}
		if err != nil {
			// For example too many open files; existing connections are unaffected.
			s.cfg.Log.Warn("accept failed; retrying", "reason", err.Error())
			sleep(ctx, acceptRetryDelay)
			continue
		}
		if !s.admitConnection() {
			_ = raw.Close()
			telemetry.Counter(MetricRefused).Inc(1)
			s.cfg.Log.Warn("call connection refused", "address", raw.RemoteAddr().String(), "reason", "too many connections")
			continue
		}
		s.wg.Go(func() {
			defer s.releaseConnection()
			s.serveTLS(raw, tlsConfig, h)
		})
	}
}

// sleep returns after d or at the end of ctx, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// admitConnection counts a new connection. It returns false if there are
// MaxConnections already.
func (s *Server) admitConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connCount >= s.cfg.MaxConnections {
		return false
	}
	s.connCount++
	return true
}

func (s *Server) releaseConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connCount--
}

func (s *Server) serveTLS(raw net.Conn, cfg *tls.Config, h Handler) {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.HandshakeTimeout)
	defer cancel()
	conn := tls.Server(raw, cfg)
	id, err := s.verifyClient(ctx, conn)
	if err == nil && id.Role != peer.RoleNode {
		err = eris.Wrapf(peer.ErrForbidden, "calls by %s", id)
	}
	if err != nil {
		_ = raw.Close()
		telemetry.Counter(MetricRefused).Inc(1)
		s.cfg.Log.Warn("call connection refused", "address", raw.RemoteAddr().String(), "reason", err.Error())
		return
	}
	s.serve(ctx, raw, conn, id, h)
}

// handshakeHold bounds the time that an unfinished handshake counts, so that clients that
// never finish do not keep out others.
const handshakeHold = 300 * time.Millisecond

// errHandshakeWait is returned for a connection that waited for its handshake for so
// long that its client is about to give up.
var errHandshakeWait = eris.New("too many handshakes")

// verifyClient makes the handshake with a client once fewer than Handshakes are being
// made. It waits for at most half of the time, so that no handshake is begun that its
// client will not wait for.
func (s *Server) verifyClient(ctx context.Context, conn *tls.Conn) (peer.Identity, error) {
	timer := time.NewTimer(s.cfg.HandshakeTimeout / 2)
	defer timer.Stop()
	select {
	case s.handshakes <- struct{}{}:
		finish := sync.OnceFunc(func() { <-s.handshakes })
		defer time.AfterFunc(handshakeHold, finish).Stop()
		defer finish()
		return verifyPeer(ctx, conn)
	case <-timer.C:
		return peer.Identity{}, errHandshakeWait
	}
}

// serve runs the connection of a verified peer until it ends. ctx bounds the
// exchange of hello frames only.
func (s *Server) serve(ctx context.Context, raw, rw net.Conn, id peer.Identity, h Handler) {
	cn, err := handshake(ctx, s.cfg, raw, rw, id, false)
	if err != nil {
		s.cfg.Log.Warn("call connection refused", "peer", id.String(), "reason", err.Error())
		return
	}
	s.addConn(cn)
	defer s.removeConn(cn)
	s.wg.Go(func() { cn.writeLoop() })
	cn.fail(s.readRequests(cn, h))
	s.cfg.Log.Info("call connection ended", "peer", id.String(), "reason", cn.failure().Error())
}

func (s *Server) addConn(cn *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[cn] = struct{}{}
	if s.draining {
		cn.queue.pushControl(frame{kind: frameGoAway})
	}
}

func (s *Server) removeConn(cn *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, cn)
}

// readRequests handles the frames of a server's connection until a read fails or
// the client violates the protocol.
func (s *Server) readRequests(cn *connection, h Handler) error {
	for {
		f, err := readFrame(cn.r)
		if err != nil {
			return err
		}
		if f.kind == frameRequest {
			err = s.acceptCall(cn, f, h)
		} else {
			err = cn.dispatch(f)
		}
		if err != nil {
			return err
		}
	}
}

// acceptCall starts the handler for a call, or refuses the call as not run. A head that
// cannot be decoded, or that HTTP cannot carry, ends its call only, because the frame is intact and the other calls
// on the connection are not affected.
func (s *Server) acceptCall(cn *connection, f frame, h Handler) error {
	req := &Request{}
	body, malformed := decodeHead(f, req)
	if malformed == nil {
		malformed = checkFields(req.Header)
	}
	if malformed != nil {
		telemetry.Counter(MetricMalformed).Inc(1)
		s.cfg.Log.Warn("call refused", "peer", cn.peer.String(), "call", f.call, "reason", malformed.Error())
	}
	ctx, cancel := callContext(context.Background(), req.Timeout)
	c := cn.newCall(ctx, cancel)
	c.id = f.call
	ok, err := cn.acceptCall(c)
	if err != nil {
		cancel()
		return err
	}
	reason := s.refusalReason(ok)
	if malformed != nil {
		reason = ReasonMalformed
	}
	if reason != "" {
		return refuseCall(cn, c, reason)
	}
	req.Body = requestBody{cn, c}
	switch {
	case f.end && len(body) == 0:
		req.Body = http.NoBody
	case f.end:
		req.Body, req.BodyLength = newInlineBody(body), int64(len(body))
	}
	s.wg.Go(func() { handleCall(cn, c, req, h) })
	return nil
}

// refusalReason returns why a call has to be refused, or an empty string if it
// can run. accepted is false if the connection has too many calls.
func (s *Server) refusalReason(accepted bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining:
		return ReasonShuttingDown
	case !accepted:
		return ReasonTooManyCalls
	}
	return ""
}

// refuseCall sends a refusal for a call whose handler was not started. Refusals
// count towards QueueLimit, and one that exceeds it ends the connection, so a
// client that reads no responses cannot make the queue grow without bound.
func refuseCall(cn *connection, c *call, reason string) error {
	telemetry.Counter(MetricRefused).Inc(1)
	payload, err := encodeHead(&Response{Refusal: &Refusal{Reason: reason, NotRun: true}}, nil)
	if err != nil {
		return err
	}
	err = cn.queue.pushHead(frame{kind: frameResponse, end: true, call: c.id, payload: payload}, nil, true)
	cn.removeCall(c, errCallEnded)
	return err
}

// handleCall runs the handler and sends its response.
func handleCall(cn *connection, c *call, req *Request, h Handler) {
	resp, err := h(c.ctx, cn.peer, req)
	if err == nil {
		err = sendResponse(cn, c, resp)
	}
	if err != nil {
		cn.abortCall(c, err.Error())
		return
	}
	cn.removeCall(c, errCallEnded)
}

// sendResponse queues the response head and then streams the body, unless the
// body was sent with the head.
func sendResponse(cn *connection, c *call, resp *Response) error {
	if resp.Body != nil {
		defer resp.Body.Close()
	}
	if cn.findCall(c.id) != c {
		return errCallEnded // cancelled by the client
	}
	var body []byte
	inline := true
	if resp.Body != nil {
		var err error
		if body, inline, err = readInlineBody(resp.Body, resp.BodyLength); err != nil {
			return err
		}
	}
	payload, err := encodeHead(resp, body)
	if err != nil {
		return err
	}
	if err := cn.queue.pushHead(frame{kind: frameResponse, end: inline, call: c.id, payload: payload}, c, false); err != nil {
		return err
	}
	if inline {
		return nil
	}
	return cn.streamBody(c, resp.Body)
}

// drain asks all clients to use other connections and waits up to DrainLimit for
// the calls in progress. Each client closes its connection once it has received
// its responses; closing it here first could discard bytes that the client has
// not read.
func (s *Server) drain() {
	s.mu.Lock()
	s.draining = true
	for cn := range s.conns {
		cn.queue.pushControl(frame{kind: frameGoAway})
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() { defer close(done); s.wg.Wait() }()
	timer := time.NewTimer(s.cfg.DrainLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
		s.closeAll()
		<-done
	}
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cn := range s.conns {
		cn.fail(errClosed)
	}
}
