package node

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/serverconn"
)

// HTTP headers between callers, nodes and backend servers.
const (
	// HeaderNotRun marks the refusal of a request that did not run. Its value is the
	// reason.
	HeaderNotRun = "Balsamtrail-Not-Run"
	// HeaderTimeout carries the remaining time of a call, in milliseconds.
	HeaderTimeout = "Balsamtrail-Timeout-Ms"
	// HeaderRetryBudget carries the number of retries that a call and its nested calls
	// may still make.
	HeaderRetryBudget = "Balsamtrail-Retry-Budget"
	// HeaderOutcome states the outcome of a request whose answer was made or replayed
	// by a node: not-run, unknown, in-progress, body-mismatch, expired or answered.
	HeaderOutcome = "Balsamtrail-Outcome"
	// HeaderRequestID identifies one request of a caller. Backend servers echo it in
	// their answer, so that the node detects an answer to another request.
	HeaderRequestID = "Balsamtrail-Request-Id"
	// HeaderCallerService names the service of the host at which a request entered the
	// mesh.
	HeaderCallerService = "Balsamtrail-Caller-Service"
	// HeaderInstance identifies, in a request, the instance of the backend server that
	// it is meant for and, in an answer, the instance that gave it.
	HeaderInstance = "Balsamtrail-Instance"
	// HeaderColdFor states in a health answer how much longer the backend server is
	// cold, in milliseconds.
	HeaderColdFor = "Balsamtrail-Cold-For-Ms"
	// HeaderRateLimit states in an answer of a backend server how many requests per
	// second it takes from all hosts together, as a decimal number, for as long as its
	// answers say so.
	HeaderRateLimit = "Balsamtrail-Rate-Limit"
	// HeaderServerLoad states in an answer of a backend server its running requests, its
	// waiting requests and its slots, separated by commas; then, if it states it, how long
	// work takes on its machine at the moment, 100 being usual.
	HeaderServerLoad = "Balsamtrail-Server-Load"
	// HeaderLeaving says in an answer of a backend server that has registered itself
	// that it leaves and wants no new requests; any value.
	HeaderLeaving = "Balsamtrail-Leaving"
	// HeaderRetryAfter states in a refusal after how many milliseconds the caller
	// should retry.
	HeaderRetryAfter = "Balsamtrail-Retry-After-Ms"
	// headerHost carries the virtual host of a request between nodes.
	headerHost = "Host"
	// HeaderIdempotencyKey carries the idempotency key of a write.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// backendConfig configures the connections to this node's backend server.
type backendConfig struct {
	base        *url.URL
	connections int
	// dialTimeout bounds making a connection. It is short because the backend server
	// runs on the same host.
	dialTimeout time.Duration
	// echoHeader is the header in which the backend server echoes the request ID;
	// HeaderRequestID if empty.
	echoHeader string
	// log gets a line for invalid answers; nil for none.
	log *slog.Logger
	// adapter translates requests and answers for the platform; nil for no
	// translation.
	adapter func(http.RoundTripper) http.RoundTripper
}

// backend sends requests to this node's backend server over keep-alive connections.
type backend struct {
	base  *url.URL
	conns *serverconn.Client
	// transport is conns, wrapped by the platform adapter if there is one.
	transport http.RoundTripper
	// current is the lifetime of the backend server that registered last; the zero value
	// if it does not register itself.
	current atomic.Pointer[lifetime]
}

// lifetime is one run of a backend server. A restarted one may have the same instance ID.
type lifetime struct {
	instance string
	started  int64
}

func newBackend(cfg backendConfig) *backend {
	if cfg.echoHeader == "" {
		cfg.echoHeader = HeaderRequestID
	}
	b := &backend{base: cfg.base, conns: serverconn.New(serverconn.Config{
		Address: cfg.base.Host, Connections: cfg.connections, DialTimeout: cfg.dialTimeout, EchoHeader: cfg.echoHeader, Log: cfg.log,
	})}
	b.transport = b.conns
	if cfg.adapter != nil {
		b.transport = cfg.adapter(b.conns)
	}
	b.setLifetime(lifetime{})
	return b
}

// setLifetime sets the lifetime whose instance later requests name in HeaderInstance.
func (b *backend) setLifetime(l lifetime) { b.current.Store(&l) }

// backendRequest is a request to the backend server. length is -1 if it is unknown.
type backendRequest struct {
	method, path string
	header       http.Header
	body         io.Reader
	length       int64
	timeout      time.Duration
	budget       int
	// mayResend allows the transport to send an idempotent request again if the backend
	// server has closed the keep-alive connection.
	mayResend bool
}

// do sends a request, at most once unless mayResend is set. ErrNotRun means that no
// byte of the request was sent; after any other error it may have run.
func (b *backend) do(ctx context.Context, r backendRequest) (*http.Response, error) {
	if r.mayResend {
		ctx = serverconn.AllowResend(ctx)
	}
	req, err := b.newRequest(ctx, r)
	if err != nil {
		return nil, eris.Wrapf(ErrNotRun, "malformed request: %v", err)
	}
	resp, err := b.transport.RoundTrip(req)
	switch {
	case errors.Is(err, serverconn.ErrNotSent):
		return nil, errors.Join(ErrNotRun, err)
	case err != nil:
		return nil, errors.Join(ErrOutcomeUnknown, err)
	}
	return resp, nil
}

// targetURL returns a URL that net/http sends as the given path and query, unchanged.
func (b *backend) targetURL(path string) (*url.URL, error) {
	if !strings.HasPrefix(path, "//") {
		return &url.URL{Scheme: b.base.Scheme, Host: b.base.Host, Opaque: path}, nil
	}
	// An opaque part that begins with two slashes is sent with the scheme. url.URL.Parse
	// would read the first segment of such a path as a host.
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = b.base.Scheme, b.base.Host
	return target, nil
}

func (b *backend) newRequest(ctx context.Context, r backendRequest) (*http.Request, error) {
	target, err := b.targetURL(r.path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, r.method, b.base.String(), nil)
	if err != nil {
		return nil, err
	}
	req.URL = target
	req.Header = r.header
	if host := r.header.Get(headerHost); host != "" {
		req.Host = host
		req.Header.Del(headerHost)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header.Set("User-Agent", "") // stops net/http from adding its default
	}
	req.Header.Del(HeaderInstance)
	if id := b.current.Load().instance; id != "" {
		req.Header.Set(HeaderInstance, id)
	}
	if r.body != nil && r.length != 0 {
		req.Body = io.NopCloser(r.body)
	}
	req.ContentLength = r.length
	req.Header.Set(HeaderTimeout, strconv.FormatInt(max(r.timeout.Milliseconds(), 1), 10))
	req.Header.Set(HeaderRetryBudget, strconv.Itoa(r.budget))
	return req, nil
}

func (b *backend) close() { b.conns.Close() }

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// endToEndHeaders returns a copy of h without its hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	n := h.Clone()
	for _, name := range h.Values("Connection") {
		n.Del(name)
	}
	for _, name := range hopByHopHeaders {
		n.Del(name)
	}
	return n
}
