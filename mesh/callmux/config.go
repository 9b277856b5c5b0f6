// Package callmux carries requests between nodes. One mutual TLS connection
// per node pair multiplexes all calls: frames have a binary header, heads are
// CBOR, and each body is streamed within a window of its own. A connection has
// one reader and one batching writer goroutine.
package callmux

import (
	"log/slog"
	"time"

	"balsamtrail.org/mesh/peer"
)

// Protocol is the ALPN name of this protocol.
const Protocol = "balsamtrail-call/1"

// Names of metrics; all are counters.
const (
	// MetricConnections counts connections that clients of this process made.
	MetricConnections = "callmux.connections"
	// MetricEnded counts those that ended, for whatever reason.
	MetricConnectionsEnded = "callmux.connections_ended"
	// MetricRefused counts calls and connections that servers of this process
	// refused before their handler ran.
	MetricRefused = "callmux.refused"
)

// Config is the configuration of a Client or Server.
type Config struct {
	// Credentials are the certificate and the CA of this process.
	Credentials *peer.Credentials
	// Heartbeat is the interval of heartbeats on each connection. A shorter one
	// finds a silent connection sooner and costs bytes on idle connections.
	Heartbeat time.Duration
	// HeartbeatDeadline is how long a heartbeat may stay unanswered, and one
	// write blocked, before the connection counts as failed. A shorter one
	// breaks calls on a busy host; a longer one delays calls on a silent connection.
	HeartbeatDeadline time.Duration
	// DialTimeout bounds TCP connect, TLS handshake and hello together. It adds
	// to the latency of calls to a host that is gone.
	DialTimeout time.Duration
	// IdleLimit is how long a client keeps a connection without calls. A longer
	// one saves handshakes and costs heartbeats.
	IdleLimit time.Duration
	// DrainLimit bounds how long a stopping server waits for running calls.
	DrainLimit time.Duration
	// Window is the number of unread body bytes accepted per call. A larger one
	// speeds up large bodies over long distances; Window times MaxCalls bounds the
	// memory of a connection.
	Window int
	// MaxCalls bounds the calls in progress that a server accepts on one connection.
	MaxCalls int
	// MaxConnections bounds the connections of a server, handshakes included;
	// more are closed at once. It must exceed the number of nodes that call this
	// one; a lower bound saves memory in a storm of reconnects.
	MaxConnections int
	// QueueLimit bounds the bytes that wait for the writer; above it new calls
	// fail with ErrNotSent. A larger one lets a slow connection delay more calls.
	QueueLimit int
	// Log receives one line for each connection made or lost.
	Log *slog.Logger
}

// Defaults of Config.
const (
	DefaultHeartbeat         = 250 * time.Millisecond
	DefaultHeartbeatDeadline = time.Second
	DefaultDialTimeout       = time.Second
	DefaultIdleLimit         = time.Minute
	DefaultDrainLimit        = 30 * time.Second
	DefaultWindow            = 64 << 10
	DefaultMaxCalls          = 1024
	DefaultMaxConnections    = 16 << 10
	DefaultQueueLimit        = 1 << 20
)

// Bounds of the values that a peer may announce in its hello.
const (
	minWindow = maxData
	maxWindow = 16 << 20
)

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.HeartbeatDeadline, DefaultHeartbeatDeadline)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.IdleLimit, DefaultIdleLimit)
	setDefault(&c.DrainLimit, DefaultDrainLimit)
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.MaxCalls, DefaultMaxCalls)
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.QueueLimit, DefaultQueueLimit)
	c.Window = min(max(c.Window, minWindow), maxWindow)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
