// Package serverconn sends HTTP/1.1 requests to one backend server over keep-alive
// connections. Unlike net/http's Transport, it reports whether any byte of a request
// was sent, and detects an answer that belongs to another request on the same
// connection.
//
// The goroutine that sends a request owns its connection: it writes the request, reads
// the answer and returns the connection to the client. A connection in an uncertain
// state is closed instead.
package serverconn

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/telemetry"
)

// Errors of this package; test for them with errors.Is.
var (
	// ErrNotSent is returned if no byte of the request was sent.
	ErrNotSent = errors.New("request not sent to the backend server")
	// ErrLost is returned if the request may have been received but has no answer.
	ErrLost = errors.New("no answer of the backend server")
	// ErrUnreachable is returned together with ErrNotSent if no connection could be
	// made.
	ErrUnreachable = errors.New("backend server does not accept connections")
	// ErrStale is returned together with ErrLost if a reused connection ended before
	// any byte of the answer: the server may have closed it while the request was
	// being sent.
	ErrStale = errors.New("kept connection ended without an answer")
)

// Metric names; all metrics are counters.
const (
	// MetricDials counts new connections.
	MetricDials = "serverconn.dials"
	// MetricStale counts idle connections that were found closed or in an uncertain
	// state when a request was about to use them, or that failed before the answer.
	MetricStale = "serverconn.stale"
	// MetricForeignAnswers counts answers to another request, which are discarded.
	MetricForeignAnswers = "serverconn.foreign_answers"
	// MetricInvalidAnswers counts answers that wrap ErrInvalid.
	MetricInvalidAnswers = "serverconn.invalid_answers"
)

// Config configures a Client.
type Config struct {
	// Address is the TCP address of the backend server.
	Address string
	// Connections bounds the number of open connections.
	Connections int
	// DialTimeout bounds making a connection. A shorter one detects a stopped server
	// sooner, but fails requests to one that is merely busy.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept, unless the server states a
	// shorter time; default DefaultIdleTimeout. A longer one saves new connections but
	// reuses more that the server has already closed.
	IdleTimeout time.Duration
	// EchoHeader is a request header that the server echoes in its answers; empty if
	// it echoes none. An answer that echoes another value is discarded. Once the server
	// has echoed a value, an answer without one is taken only on a new connection.
	EchoHeader string
	// Log gets a line for invalid answers, of which only some are logged when they are
	// many; nil for none.
	Log *slog.Logger
}

// Error describes a request that has no answer.
type Error struct {
	// Kind is ErrNotSent or ErrLost.
	Kind error
	// Sent and Received are the numbers of bytes sent and received for the request.
	Sent, Received int64
	// Stale is set if the connection was a reused one; see ErrStale.
	Stale bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%v: %d bytes sent, %d received: %v", e.Kind, e.Sent, e.Received, e.Cause)
}

// Unwrap implements the multiple form of errors.Unwrap.
func (e *Error) Unwrap() []error {
	if e.Stale {
		return []error{e.Kind, ErrStale, e.Cause}
	}
	return []error{e.Kind, e.Cause}
}

const (
	// DefaultIdleTimeout is shorter than the usual idle timeouts of servers.
	DefaultIdleTimeout = 4 * time.Second
	// maxIdleForSingleSend is the idle time up to which a connection is reused for a
	// request that must not be sent twice. After a longer time the server, or a
	// middlebox on the path, is more likely to have dropped the connection.
	maxIdleForSingleSend = 500 * time.Millisecond
)

// Client sends requests to one backend server over a pool of connections. It
// implements http.RoundTripper.
type Client struct {
	cfg    Config
	dialer net.Dialer
	// logSampler decides which invalid answers get a log line.
	logSampler *telemetry.RequestSampler
	// echoes is set once an answer has echoed the ID of its request.
	echoes atomic.Bool

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn // ordered by last use, the most recent last
	open   int
	closed bool
}

// New returns a client without open connections.
func New(cfg Config) *Client {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Client{
		cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: 5 * time.Second}, logSampler: telemetry.NewRequestSampler(),
	}
}

// reportInvalid counts and logs an invalid answer; it ignores other errors.
func (c *Client) reportInvalid(requestID string, err error) {
	if !errors.Is(err, ErrInvalid) {
		return
	}
	telemetry.Counter(MetricInvalidAnswers).Inc(1)
	if c.logSampler.AllowFailed() {
		c.cfg.Log.Warn("invalid answer of the backend server", "request", requestID, "server", c.cfg.Address, "reason", err.Error())
	}
}

// allowResendKey is the context key that AllowResend sets.
type allowResendKey struct{}

// AllowResend returns a context for a request that may be sent a second time if a
// reused connection turns out to be closed.
func AllowResend(ctx context.Context) context.Context {
	return context.WithValue(ctx, allowResendKey{}, true)
}

// RoundTrip sends one request. It is sent at most once, unless its context is from
// AllowResend and it has no body.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	mayResend, _ := req.Context().Value(allowResendKey{}).(bool)
	mayResend = mayResend && (req.Body == nil || req.Body == http.NoBody)
	cn, err := c.takeIdle(mayResend, c.requestID(req))
	if cn != nil {
		resp, err := cn.exchange(req)
		if err == nil || req.Context().Err() != nil || !errors.Is(err, ErrNotSent) && (!mayResend || !errors.Is(err, ErrStale)) {
			return resp, err
		}
		telemetry.Counter(MetricStale).Inc(1)
	}
	if err != nil {
		return nil, err
	}
	if cn, err = c.dial(req.Context()); err != nil {
		return nil, err
	}
	return cn.exchange(req)
}

// requestID returns the value that the server echoes for a request; empty if none.
func (c *Client) requestID(req *http.Request) string {
	if c.cfg.EchoHeader == "" {
		return ""
	}
	return req.Header.Get(c.cfg.EchoHeader)
}

// takeIdle removes a reusable connection from the pool and returns it, or nil if there
// is none. A connection on which the latest request had the same ID and failed is not
// reused: the ID could not tell the same answer once more from the next one.
func (c *Client) takeIdle(mayResend bool, id string) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, eris.Wrap(ErrNotSent, "client closed")
	}
	c.closeExpired(now)
	for len(c.idle) > 0 {
		cn := c.idle[len(c.idle)-1]
		if !mayResend && now.Sub(cn.idleSince) > maxIdleForSingleSend {
			return nil, nil
		}
		c.idle = c.idle[:len(c.idle)-1]
		if (id == "" || cn.failedID != id) && cn.isReusable() {
			return cn, nil
		}
		telemetry.Counter(MetricStale).Inc(1)
		c.closeConn(cn)
	}
	return nil, nil
}

// closeExpired closes the connections whose idle timeout is over. The caller holds the
// mutex.
func (c *Client) closeExpired(now time.Time) {
	n := 0
	for n < len(c.idle) && now.Sub(c.idle[n].idleSince) > c.idle[n].idleTimeout {
		c.closeConn(c.idle[n])
		n++
	}
	c.idle = c.idle[n:]
}

// closeConn closes a connection. The caller holds the mutex.
func (c *Client) closeConn(cn *conn) {
	_ = cn.raw.Close()
	c.open--
}

// dial opens a new connection.
func (c *Client) dial(ctx context.Context) (*conn, error) {
	if !c.reserve() {
		return nil, eris.Wrapf(ErrNotSent, "%d connections are open", c.cfg.Connections)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.cfg.Address)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, errors.Join(ErrNotSent, ErrUnreachable, err)
	}
	telemetry.Counter(MetricDials).Inc(1)
	return newConn(c, raw), nil
}

// reserve counts a new connection against the limit. At the limit it closes the
// connection that has been idle for the longest time; it reports false if none is
// idle.
func (c *Client) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open >= c.cfg.Connections {
		if len(c.idle) == 0 {
			return false
		}
		c.closeConn(c.idle[0])
		c.idle = c.idle[1:]
	}
	c.open++
	return true
}

// putBack returns a connection to the pool, or closes it unless keep is set.
func (c *Client) putBack(cn *conn, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !keep || c.closed {
		c.closeConn(cn)
		return
	}
	cn.idleSince, cn.reused = time.Now(), true
	c.idle = append(c.idle, cn)
}

// Reset closes the idle connections, for example after the server has been replaced.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		c.closeConn(cn)
	}
	c.idle = nil
}

// Close closes the idle connections. Those in use are closed when their requests end.
func (c *Client) Close() {
	c.Reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
