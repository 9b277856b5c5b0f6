// Package callmux carries requests between nodes. Each client multiplexes its
// calls to a node on one mutual TLS connection. A request or response consists of
// a head, encoded as CBOR, and a body. They are sent in frames with a binary
// header; bodies that do not fit in the head's frame are streamed with flow control
// for each call. A connection has one reader goroutine and one writer goroutine,
// which writes frames in batches.
package callmux

import (
	"log/slog"
	"time"

	"balsamtrail.org/mesh/peer"
)

// Protocol is the ALPN protocol ID.
const Protocol = "balsamtrail-call/1"

// Names of the metrics; all are counters.
const (
	// MetricConnections counts connections that clients in this process established.
	MetricConnections = "callmux.connections"
	// MetricConnectionsEnded counts those that ended, for any reason.
	MetricConnectionsEnded = "callmux.connections_ended"
	// MetricRefused counts connections that servers in this process refused, and
	// calls that they refused before the handler ran.
	MetricRefused = "callmux.refused"
	// MetricMalformed counts calls with a head that could not be decoded.
	MetricMalformed = "callmux.malformed"
	// MetricSent counts the bytes of frames that this process sent, and
	// MetricSentRemote those of them to other data centres.
	MetricSent       = "callmux.sent"
	MetricSentRemote = "callmux.sent_remote"
)

// Config is the configuration of a Client or Server.
type Config struct {
	// Credentials holds the certificate of this process and the CA that it trusts.
	Credentials *peer.Credentials
	// Heartbeat is the interval between heartbeats on a connection. A shorter one
	// detects an unresponsive connection sooner but costs bytes on idle connections.
	Heartbeat time.Duration
	// HeartbeatDeadline is how long a heartbeat may stay unanswered, or one write
	// blocked, before the connection fails. A shorter one breaks calls when a host
	// is busy; a longer one delays calls on an unresponsive connection.
	HeartbeatDeadline time.Duration
	// DialTimeout bounds the TCP connect, and how long a call waits for a connection
	// that is being made. It adds to the latency of calls to an unreachable host.
	DialTimeout time.Duration
	// HandshakeTimeout bounds the TLS handshake and the hello exchange, on a server from
	// the accept on. It is longer than DialTimeout: calls give up, but a handshake with
	// a busy peer goes on for those that come later. A longer one leaves an
	// unresponsive connection in use for longer.
	HandshakeTimeout time.Duration
	// Handshakes is the number of handshakes that a server makes at a time; further ones
	// wait. More let a fleet connect sooner where there is processor time; with fewer,
	// each handshake ends sooner, before its client gives up.
	Handshakes int
	// IdleLimit is how long a client keeps a connection without calls. A longer
	// one saves handshakes but costs heartbeats.
	IdleLimit time.Duration
	// DrainLimit bounds how long a server that shuts down waits for calls in progress.
	DrainLimit time.Duration
	// Window is the flow-control window of each call: the number of unread body
	// bytes that this side accepts. A larger one speeds up large bodies on paths
	// with long round trips; Window times MaxCalls bounds the memory of a connection.
	Window int
	// MaxCalls bounds the calls in progress that a server accepts on one connection.
	MaxCalls int
	// MaxConnections bounds the connections of a server, handshakes in progress
	// included; further ones are closed at once. It must exceed the number of nodes
	// that call this one; a lower bound saves memory when many nodes reconnect at
	// the same time.
	MaxConnections int
	// QueueLimit bounds the bytes of queued heads and bodies on a connection. New
	// calls that would exceed it fail with ErrNotSent. A larger one lets a slow
	// connection delay more calls.
	QueueLimit int
	// Log receives a record when a connection is established, refused or ended. If it
	// is nil, nothing is logged.
	Log *slog.Logger
}

// Defaults for the zero values of Config.
const (
	DefaultHeartbeat         = 250 * time.Millisecond
	DefaultHeartbeatDeadline = time.Second
	DefaultDialTimeout       = time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultHandshakes        = 8
	DefaultIdleLimit         = time.Minute
	DefaultDrainLimit        = 30 * time.Second
	DefaultWindow            = 64 << 10 // bytes
	DefaultMaxCalls          = 1024     // calls on each connection
	DefaultMaxConnections    = 16 << 10 // connections to one server
	DefaultQueueLimit        = 1 << 20  // bytes on each connection
)

// Bounds of the flow-control window. A hello with a window outside them ends the
// connection.
const (
	// minWindow is the smallest window, in bytes: the body bytes of one data frame.
	minWindow = maxData
	// maxWindow is the largest window and the largest credit of a call, in bytes.
	maxWindow = 16 << 20
)

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.HeartbeatDeadline, DefaultHeartbeatDeadline)
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.HandshakeTimeout, max(DefaultHandshakeTimeout, c.DialTimeout))
	setDefault(&c.Handshakes, DefaultHandshakes)
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

// setDefault sets v to def if it has its zero value.
func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
