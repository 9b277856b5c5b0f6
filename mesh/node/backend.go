package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/serverconn"
)

// Headers between callers, nodes and backend servers.
const (
	// HeaderNotRun marks a refusal of a request that did not run; its value is the reason.
	HeaderNotRun = "Balsamtrail-Not-Run"
	// HeaderTimeout carries the remaining time of a call in milliseconds.
	HeaderTimeout = "Balsamtrail-Timeout-Ms"
	// HeaderRetryBudget carries the tries that a call and its nested calls may still make.
	HeaderRetryBudget = "Balsamtrail-Retry-Budget"
	// HeaderOutcome says why a write has no answer: in-progress, unknown, body-mismatch or expired.
	HeaderOutcome = "Balsamtrail-Outcome"
	// HeaderRequestID names one request of a caller. Backend servers return it
	// with their answer, which tells the answer from one to another request.
	HeaderRequestID = "Balsamtrail-Request-Id"
	// HeaderCallerService names the service of the host at which a request entered the mesh.
	HeaderCallerService = "Balsamtrail-Caller-Service"
	// HeaderInstance names the instance of the backend server that a request is
	// meant for, and in an answer the one that gave it.
	HeaderInstance = "Balsamtrail-Instance"
	// HeaderColdFor says in a health answer how long the backend server is still
	// cold, in milliseconds.
	HeaderColdFor = "Balsamtrail-Cold-For-Ms"
	// HeaderRetryAfter says in a refusal when to come back, in milliseconds.
	HeaderRetryAfter = "Balsamtrail-Retry-After-Ms"
	// headerHost carries the virtual host between nodes.
	headerHost = "Host"
	// HeaderIdempotencyKey carries the idempotency key of a write.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// backendConfig describes the connections to the node's own backend server.
type backendConfig struct {
	base        *url.URL
	connections int
	// dialTimeout bounds a new connection; the host is the same one, so it is short.
	dialTimeout time.Duration
	// echoHeader names the header by which the backend server repeats the id of a request.
	echoHeader string
	// frontEnd translates requests and answers; nil for none.
	adapter func(http.RoundTripper) http.RoundTripper
}

// backend forwards requests to the node's own backend server over connections
// that are kept alive.
type backend struct {
	base  *url.URL
	conns *serverconn.Client
	// trip is conns, or a front end's translation around it.
	transport http.RoundTripper
	// instance names the backend server that registered last; "" if it does not register.
	instance atomic.Pointer[string]
}

func newBackend(cfg backendConfig) *backend {
	if cfg.echoHeader == "" {
		cfg.echoHeader = HeaderRequestID
	}
	b := &backend{base: cfg.base, conns: serverconn.New(serverconn.Config{
		Address: cfg.base.Host, Connections: cfg.connections, DialTimeout: cfg.dialTimeout, EchoHeader: cfg.echoHeader,
	})}
	b.transport = b.conns
	if cfg.adapter != nil {
		b.transport = cfg.adapter(b.conns)
	}
	b.setInstance("")
	return b
}

// setInstance sets the instance that requests are meant for.
func (b *backend) setInstance(id string) { b.instance.Store(&id) }

// backendRequest is one request to the backend server.
type backendRequest struct {
	method, path string
	header       http.Header
	body         io.Reader
	length       int64
	timeout      time.Duration
	budget       int
	// idempotent allows the transport to send the request again if the backend
	// server has closed a kept-alive connection meanwhile.
	idempotent bool
}

// do sends one request, and exactly once unless it is idempotent. ErrNotRun means
// that no byte of it was sent; after any other error the request may have run.
func (b *backend) do(ctx context.Context, r backendRequest) (*http.Response, error) {
	if r.idempotent {
		ctx = serverconn.Repeatable(ctx)
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

func (b *backend) newRequest(ctx context.Context, r backendRequest) (*http.Request, error) {
	// Resolving the path against the base would remove dot segments and take the
	// first segment of a path that begins with two slashes as a host.
	target, err := url.ParseRequestURI(r.path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = b.base.Scheme, b.base.Host
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
		req.Header.Set("User-Agent", "") // keeps the transport from adding its own
	}
	req.Header.Del(HeaderInstance)
	if id := *b.instance.Load(); id != "" {
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

// hopHeaders are meant for one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// forwardable returns a copy of h without the headers of the connection.
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
