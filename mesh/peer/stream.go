package peer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Stream carries frames in both directions. Send and Recv may be called
// concurrently by different goroutines.
type Stream interface {
	// Send writes v as one frame.
	Send(v any) error
	// Recv reads one frame into v. It returns io.EOF when the other side has closed
	// its sending half.
	Recv(v any) error
	// Peer returns the identity in the other side's certificate.
	Peer() Identity
	// Context returns a context that is canceled when the stream or its connection
	// ends.
	Context() context.Context
	// Close closes the sending half; the other side's Recv returns io.EOF.
	Close() error
	// Abort closes both halves at once; a blocked Recv returns.
	Abort()
}

// sendTimeout bounds one Send. If the peer does not read for that long, the send
// fails.
const sendTimeout = 5 * time.Second

// quicStream is a Stream over one QUIC stream.
type quicStream struct {
	st   *quic.Stream
	peer Identity
	// counters holds the traffic counters of the stream's method; nil until the
	// method is known.
	counters *traffic
	// onTimeout is called when the peer has not answered in time; nil on an accepted stream.
	onTimeout func()

	// mu serialises Send.
	mu sync.Mutex
}

func (s *quicStream) Send(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.st.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return eris.Wrapf(ErrClosed, "deadline: %v", err)
	}
	return writeFrame(countingWriter{s.st, s.counters}, v)
}

func (s *quicStream) Recv(v any) error         { return readFrame(countingReader{s.st, s.counters}, v) }
func (s *quicStream) Peer() Identity           { return s.peer }
func (s *quicStream) Context() context.Context { return s.st.Context() }
func (s *quicStream) Close() error             { return s.st.Close() }

func (s *quicStream) Abort() {
	s.st.CancelRead(streamAborted)
	s.st.CancelWrite(streamAborted)
}

// bytesSent and bytesReceived count the frame bytes of all streams of the process.
var bytesSent, bytesReceived atomic.Int64

// Traffic returns the frame bytes that this process has sent and received.
func Traffic() (sent, received int64) { return bytesSent.Load(), bytesReceived.Load() }

// traffic counts the frame bytes of one method.
type traffic struct {
	sent, received metrics.Counter
	// sentRemote counts the bytes sent to other data centres; nil for a peer in the
	// own one.
	sentRemote metrics.Counter
}

// trafficOf returns the counters peer.sent.<method>, peer.received.<method> and
// peer.sent_remote.<method>.
func trafficOf(method string, remote bool) *traffic {
	t := &traffic{
		sent:     metrics.GetOrRegisterCounter("peer.sent."+method, metrics.DefaultRegistry),
		received: metrics.GetOrRegisterCounter("peer.received."+method, metrics.DefaultRegistry),
	}
	if remote {
		t.sentRemote = metrics.GetOrRegisterCounter("peer.sent_remote."+method, metrics.DefaultRegistry)
	}
	return t
}

// countingWriter counts the bytes that are written to w.
type countingWriter struct {
	w        io.Writer
	counters *traffic
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	bytesSent.Add(int64(n))
	if c.counters != nil {
		c.counters.sent.Inc(int64(n))
		if c.counters.sentRemote != nil {
			c.counters.sentRemote.Inc(int64(n))
		}
	}
	return n, err
}

// countingReader counts the bytes that are read from r.
type countingReader struct {
	r        io.Reader
	counters *traffic
}

func (c countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	bytesReceived.Add(int64(n))
	if c.counters != nil {
		c.counters.received.Inc(int64(n))
	}
	return n, err
}
