package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Config is the configuration of an Endpoint.
type Config struct {
	// Listen is the UDP address to listen on.
	Listen string
	// Credentials holds the certificate and the CA of this process.
	Credentials *Credentials
	// KeepAlive is the interval of the keep-alive packets on a connection; default
	// DefaultKeepAlive. A shorter interval detects an unresponsive peer sooner, but
	// sends more bytes.
	KeepAlive time.Duration
	// IdleTimeout is the time without packets from the peer after which a
	// connection counts as lost; default DefaultIdleTimeout. It must cover a few
	// keep-alive intervals; if it is too short, connections are replaced needlessly
	// under load.
	IdleTimeout time.Duration
	// UnusedTimeout is how long a connection without streams is kept; default
	// defaultUnusedTimeout. A shorter time saves keep-alive packets, but causes
	// more handshakes of several kilobytes each.
	UnusedTimeout time.Duration
	// Handshakes is the number of handshakes of nodes that are served at a time; 0, the
	// default, for no limit. More let a fleet connect sooner where there is processor
	// time, fewer leave more of it to everything else.
	Handshakes int
	// AcceptNodes reports whether nodes may connect now; nil if always. A refused node
	// tries again after a delay.
	AcceptNodes func() bool
	// AnswerEnquiry returns the payload of the answer to an enquiry, and whether it is
	// final; see AnswerEnquirers. If it is nil, enquiries are ignored. It is for closed
	// networks, since the answer is not authenticated.
	AnswerEnquiry func() (payload []byte, final bool)
	// Log receives connections that were made, lost or refused, and refused methods
	// and ended streams.
	Log *slog.Logger
}

// Defaults of Config and limits of an Endpoint.
const (
	// DefaultKeepAlive is the default of Config.KeepAlive.
	DefaultKeepAlive = 300 * time.Millisecond
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = time.Second
	// handshakeTimeout bounds the dialling of a connection, including the
	// handshake.
	handshakeTimeout = 2 * time.Second
	// maxIncomingStreams is the maximum number of streams that a peer may have open
	// on a connection.
	maxIncomingStreams = 4096
)

const (
	// connClosed is the QUIC error code of a connection that is closed as intended.
	connClosed quic.ApplicationErrorCode = 0
	// connRefused is the QUIC error code of a connection whose certificate contains
	// no valid identity.
	connRefused quic.ApplicationErrorCode = 1
	// streamAborted is the QUIC error code of a stream that is aborted.
	streamAborted quic.StreamErrorCode = 1
)

// Handler serves one stream; the stream is closed when it returns.
type Handler func(ctx context.Context, st Stream) error

// method is a registered method.
type method struct {
	roles   []Role
	handler Handler
}

// Endpoint is a UDP socket that accepts connections, together with the connections
// that the process makes. It is safe for concurrent use.
type Endpoint struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	gate      *handshakeGate
	enquirers enquirers
	wg        sync.WaitGroup
	// accepted and dialled count the handshakes.
	accepted, dialled handshakeCounters
	// givenUp counts the connections that were closed by streamTimedOut.
	givenUp metrics.Counter

	// mu guards the fields below.
	mu      sync.Mutex
	methods map[string]method
	// conns holds the outbound connection to use for each address.
	conns map[string]*outbound
	// outbounds holds all outbound connections and dial attempts, also those that
	// were replaced in conns.
	outbounds map[*outbound]struct{}
	// redials holds the delays of the addresses that refused the last handshake.
	redials map[string]redialDelay
	closed  bool
	// closing is closed when closed is set.
	closing chan struct{}
}

// Listen opens the socket. Register all methods before calling Serve.
func Listen(cfg Config) (*Endpoint, error) {
	if cfg.KeepAlive == 0 {
		cfg.KeepAlive = DefaultKeepAlive
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.UnusedTimeout == 0 {
		cfg.UnusedTimeout = defaultUnusedTimeout
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "listen address %q: %v", cfg.Listen, err)
	}
	sock, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(ErrUnreachable, "listen: %v", err)
	}
	e := &Endpoint{cfg: cfg, methods: map[string]method{}, conns: map[string]*outbound{}, outbounds: map[*outbound]struct{}{},
		redials: map[string]redialDelay{}, closing: make(chan struct{}), accepted: handshakeCountersOf("accepted"), dialled: handshakeCountersOf("dialled"),
		givenUp: metrics.GetOrRegisterCounter("peer.given_up", metrics.DefaultRegistry),
		gate:    &handshakeGate{limit: cfg.Handshakes, acceptNodes: cfg.AcceptNodes}}
	e.transport = &quic.Transport{Conn: sock}
	tlsConfig := e.gate.limitHandshakes(cfg.Credentials.ServerTLS(alpnControl, alpnNode), e.accepted)
	e.listener, err = e.transport.Listen(tlsConfig, e.quicConfig())
	if err != nil {
		_ = sock.Close()
		return nil, eris.Wrapf(ErrUnreachable, "listen: %v", err)
	}
	return e, nil
}

func (e *Endpoint) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIdleTimeout:        e.cfg.IdleTimeout,
		KeepAlivePeriod:       e.cfg.KeepAlive,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: -1,
	}
}

// Addr returns the local address of the socket.
func (e *Endpoint) Addr() net.Addr { return e.transport.Conn.LocalAddr() }

// Handle registers the handler of a method and the roles that may call it.
func (e *Endpoint) Handle(name string, roles []Role, h Handler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods[name] = method{roles: roles, handler: h}
}

// Serve accepts connections until ctx ends, then closes all connections and the
// socket and waits for the goroutines of the connections.
func (e *Endpoint) Serve(ctx context.Context) error {
	if e.cfg.AnswerEnquiry != nil {
		e.wg.Go(func() { e.serveEnquiries(ctx) })
	}
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			break
		}
		e.wg.Go(func() { e.serveConn(ctx, conn) })
	}
	_ = e.listener.Close()
	e.closeOutbound()
	_ = e.transport.Close()
	_ = e.transport.Conn.Close()
	e.wg.Wait()
	return ctx.Err()
}

// serveConn serves the streams of one accepted connection.
func (e *Endpoint) serveConn(ctx context.Context, conn *quic.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.gate.finish(conn.RemoteAddr().String())
	e.accepted.done.Inc(1)
	id, err := e.acceptedIdentity(conn.ConnectionState().TLS)
	if err != nil {
		e.cfg.Log.Warn("peer connection refused", "remote", conn.RemoteAddr().String(), "reason", err.Error())
		_ = conn.CloseWithError(connRefused, "identity")
		return
	}
	e.cfg.Log.Debug("peer connection accepted", "peer", id.String())
	var wg sync.WaitGroup
	for {
		st, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		wg.Go(func() { e.serveStream(ctx, &quicStream{st: st, peer: id}) })
	}
	_ = conn.CloseWithError(connClosed, "")
	cancel()
	wg.Wait()
}

// acceptedIdentity returns the identity of a peer that has connected. Only a control
// host may negotiate the protocol of control hosts, whose handshakes are not limited.
func (e *Endpoint) acceptedIdentity(state tls.ConnectionState) (Identity, error) {
	id, err := IdentityOf(state.PeerCertificates[0])
	if err == nil && state.NegotiatedProtocol == alpnControl && id.Role != RoleControl {
		return id, eris.Wrapf(ErrIdentity, "%s is no control host", id)
	}
	return id, err
}

// serveStream reads the method name from the stream and runs its handler.
func (e *Endpoint) serveStream(ctx context.Context, s *quicStream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var h streamHeader
	if err := s.Recv(&h); err != nil {
		s.Abort()
		return
	}
	m, err := e.lookup(h.Method, s.peer)
	if err != nil {
		e.cfg.Log.Warn("peer method refused", "peer", s.peer.String(), "method", h.Method, "reason", err.Error())
		_ = s.Send(reply{Error: err.Error(), Code: errorCode(err)})
		_ = s.Close()
		return
	}
	s.counters = trafficOf(h.Method, e.isRemote(s.peer))
	if err := m.handler(ctx, s); err != nil {
		e.cfg.Log.Debug("peer stream ended", "peer", s.peer.String(), "method", h.Method, "reason", err.Error())
		s.Abort()
		return
	}
	_ = s.Close()
	s.st.CancelRead(streamAborted)
}

// isRemote reports whether a peer is in another data centre.
func (e *Endpoint) isRemote(id Identity) bool {
	return id.DataCentre != e.cfg.Credentials.Identity().DataCentre
}

// lookup returns the method if the role of the peer may call it.
func (e *Endpoint) lookup(name string, id Identity) (method, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.methods[name]
	if !ok {
		return m, eris.Wrapf(ErrUnknownMethod, "%q", name)
	}
	if !slices.Contains(m.roles, id.Role) {
		return m, eris.Wrapf(ErrForbidden, "%q by %s", name, id)
	}
	return m, nil
}

// Open opens a stream for the method on the connection to addr, and dials the
// connection if there is none. The peer's identity must match want.
func (e *Endpoint) Open(ctx context.Context, addr string, want Identity, name string) (Stream, error) {
	o, err := e.acquire(ctx, addr, want)
	if err != nil {
		e.release(o)
		return nil, err
	}
	st, err := o.conn.OpenStreamSync(ctx)
	if err != nil {
		e.release(o)
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", addr, err)
	}
	context.AfterFunc(st.Context(), func() { e.release(o) })
	s := &quicStream{st: st, peer: o.peer, counters: trafficOf(name, e.isRemote(o.peer)),
		onTimeout: func() { e.streamTimedOut(o) }}
	if err := s.Send(streamHeader{Method: name}); err != nil {
		s.Abort()
		return nil, err
	}
	return s, nil
}
