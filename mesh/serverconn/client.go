// Package serverconn sends HTTP/1.1 requests to the one backend server beside a
// node, over connections that are kept open. It tells apart what a transport for
// many servers does not: whether any byte of a request left this host, and whether
// an answer on a kept connection belongs to the request that waits for it.
//
// The goroutine of a request uses its connection straight down: write the request,
// read the answer, give the connection back. A connection on which anything is in
// doubt is closed.
package serverconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/telemetry"
)

// The errors of this package; use errors.Is.
var (
	// ErrNotSent is returned if no byte of the request was sent.
	ErrNotSent = errors.New("request not sent to the backend server")
	// ErrLost is returned if the request may have been received and has no answer.
	ErrLost = errors.New("no answer of the backend server")
	// ErrUnreachable is an ErrNotSent where no connection could be made.
	ErrUnreachable = errors.New("backend server does not accept connections")
	// ErrStale is an ErrLost on a kept connection that ended without any byte of an
	// answer: the server may have closed it as the request was sent.
	ErrStale = errors.New("kept connection ended without an answer")
)

// Names of metrics; all are counters.
const (
	// MetricDials counts new connections.
	MetricDials = "serverconn.dials"
	// MetricStale counts kept connections that were found closed or in doubt when they were needed.
	MetricStale = "serverconn.stale"
	// MetricForeign counts answers that belonged to another request and were passed over.
	MetricForeignAnswers = "serverconn.foreign_answers"
)

// Config is the configuration of a Client.
type Config struct {
	// Address is the TCP address of the backend server.
	Address string
	// Connections bounds the open connections.
	Connections int
	// DialTimeout bounds a new connection. A shorter one notices a server that is
	// gone sooner, but not one that is merely busy.
	DialTimeout time.Duration
	// IdleLimit is how long a connection is kept without requests, unless the
	// server states a shorter time; default DefaultIdleLimit. A longer one saves new
	// connections and meets more of those that the server has given up.
	IdleTimeout time.Duration
	// EchoHeader names a header of requests that the server repeats in its answers;
	// empty if it repeats none. An answer that repeats another value is passed over.
	EchoHeader string
}

// Error tells what is known of a request that has no answer.
type Error struct {
	// Kind is ErrNotSent or ErrLost.
	Kind error
	// Sent and Received count the bytes of the request and of its answer.
	Sent, Received int64
	// Stale says that the connection had been kept; see ErrStale.
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
	// DefaultIdleLimit is below the idle timeouts that servers usually have.
	DefaultIdleTimeout = 4 * time.Second
	// freshFor is the idle time up to which a kept connection is used for a request
	// that must not be sent twice: a server that gives up idle connections early, or
	// something between the two that forgot this one, shows after longer silence.
	maxIdleForSingleSend = 500 * time.Millisecond
)

// Client keeps connections to one backend server. It implements http.RoundTripper.
type Client struct {
	cfg    Config
	dialer net.Dialer

	// mu guards the fields below.
	mu     sync.Mutex
	idle   []*conn // the one used last is at the end
	open   int
	closed bool
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	return &Client{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout, KeepAlive: 5 * time.Second}}
}

// repeatable marks the context of a request that may be sent again.
type allowResendKey struct{}

// Repeatable returns a context for a request that may be sent a second time if a
// kept connection turns out to be closed.
func AllowResend(ctx context.Context) context.Context {
	return context.WithValue(ctx, allowResendKey{}, true)
}

// RoundTrip sends one request. It is sent once only, unless its context is
// Repeatable and it has no body.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	mayResend, _ := req.Context().Value(allowResendKey{}).(bool)
	mayResend = mayResend && (req.Body == nil || req.Body == http.NoBody)
	cn, err := c.takeIdle(mayResend)
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

// take returns a kept connection that is fit for use, or nil.
func (c *Client) takeIdle(mayResend bool) (*conn, error) {
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
		if cn.isReusable() {
			return cn, nil
		}
		telemetry.Counter(MetricStale).Inc(1)
		c.closeConn(cn)
	}
	return nil, nil
}

// expire closes the connections whose idle time is over. The mutex is held.
func (c *Client) closeExpired(now time.Time) {
	n := 0
	for n < len(c.idle) && now.Sub(c.idle[n].idleSince) > c.idle[n].idleTimeout {
		c.closeConn(c.idle[n])
		n++
	}
	c.idle = c.idle[n:]
}

// drop closes a connection. The mutex is held.
func (c *Client) closeConn(cn *conn) {
	_ = cn.raw.Close()
	c.open--
}

// dial makes a connection.
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

// reserve counts a new connection. Where the bound is reached it closes the
// connection that has been idle for longest.
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

// give takes a connection back, or closes it.
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

// Reset closes the idle connections, as after the server was replaced.
func (c *Client) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle {
		c.closeConn(cn)
	}
	c.idle = nil
}

// Close closes the idle connections; those in use end with their requests.
func (c *Client) Close() {
	c.Reset()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
