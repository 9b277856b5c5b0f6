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

// Stream carries frames in both directions. Send may be called by one
// goroutine while another one is in Recv.
type Stream interface {
	// Send writes v as one frame.
	Send(v any) error
	// Recv reads one frame into v; io.EOF when the other side closed its half.
	Recv(v any) error
	// Peer is the identity in the other side's certificate.
	Peer() Identity
	// Context ends when the stream or its connection ends.
	Context() context.Context
	// Close ends the sending half; the other side's Recv returns io.EOF.
	Close() error
	// Abort ends both halves at once; a blocked Recv returns.
	Abort()
}

// sendTimeout bounds one Send: a peer that does not read for so long is
// treated as silent.
const sendTimeout = 5 * time.Second

// quicStream is a Stream over one QUIC stream.
type quicStream struct {
	st   *quic.Stream
	peer Identity
	// method is set once the first frame names it; frames count under it.
	method *traffic

	// mu serialises Send.
	mu sync.Mutex
}

func (s *quicStream) Send(v any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.st.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return eris.Wrapf(ErrClosed, "deadline: %v", err)
	}
	return writeFrame(countingWriter{s.st, s.method}, v)
}

func (s *quicStream) Recv(v any) error         { return readFrame(countingReader{s.st, s.method}, v) }
func (s *quicStream) Peer() Identity           { return s.peer }
func (s *quicStream) Context() context.Context { return s.st.Context() }
func (s *quicStream) Close() error             { return s.st.Close() }

func (s *quicStream) Abort() {
	s.st.CancelRead(streamAborted)
	s.st.CancelWrite(streamAborted)
}

// bytesSent and bytesReceived count the control traffic of the process.
var bytesSent, bytesReceived atomic.Int64

// Traffic returns the bytes of frames that this process has sent and received.
func Traffic() (sent, received int64) { return bytesSent.Load(), bytesReceived.Load() }

// traffic counts the frames of one method, in bytes.
type traffic struct{ sent, received metrics.Counter }

// trafficOf returns the counters peer.sent.<method> and peer.received.<method>.
func trafficOf(method string) *traffic {
	return &traffic{
		sent:     metrics.GetOrRegisterCounter("peer.sent."+method, metrics.DefaultRegistry),
		received: metrics.GetOrRegisterCounter("peer.received."+method, metrics.DefaultRegistry),
	}
}

type countingWriter struct {
	w      io.Writer
	method *traffic
}

func (c countingWriter) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	bytesSent.Add(int64(n))
	if c.method != nil {
		c.method.sent.Inc(int64(n))
	}
	return n, err
}

type countingReader struct {
	r      io.Reader
	method *traffic
}

func (c countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	bytesReceived.Add(int64(n))
	if c.method != nil {
		c.method.received.Inc(int64(n))
	}
	return n, err
}
