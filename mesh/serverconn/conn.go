package serverconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"balsamtrail.org/mesh/telemetry"
)

const (
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
	// maxSyncBodyBytes is the body size up to which a request is written before its
	// answer is read. A longer request is written concurrently, because the server may
	// answer before it has read all of it.
	maxSyncBodyBytes = 16 << 10
	// maxForeignAnswers bounds the number of answers read for one request, including
	// informational ones and those to other requests.
	maxForeignAnswers = 3
	// maxHeadBytes bounds the bytes read for the head of an answer. A faulty server may
	// send a head without end, and header fields take twenty times their bytes in memory.
	// Nodes pass on no larger heads to each other (callmux.MaxHead).
	maxHeadBytes = 64 << 10
	// maxForeignBodyBytes bounds the body that is read of an answer to another request.
	maxForeignBodyBytes = 256 << 10
	// keepAliveMargin is subtracted from the idle timeout that the server states, so
	// that the connection is closed here first.
	keepAliveMargin = 500 * time.Millisecond
)

// conn is one connection. It is owned by the request that uses it, or by the client
// while it is idle.
type conn struct {
	client *Client
	raw    net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	// answers reads from r.
	answers answerReader
	// sent and received count the bytes of the current request and its answer. sent is
	// atomic because another goroutine writes long requests.
	sent     atomic.Int64
	received int64
	// writing is held during each write to the socket and guards writeErr.
	writing sync.Mutex
	// writeErr is the first error of the socket that a write was told of, other than a
	// deadline.
	writeErr error
	// headLeft is the number of bytes that may still be read for the head of the answer;
	// negative while a body is read.
	headLeft int64
	// reused is set once the connection has been returned to the pool.
	reused bool
	// requestID is the ID of the current request; see Config.EchoHeader.
	requestID string
	// failedID is the ID of the latest request if its answer was not a success.
	failedID string
	// idleSince is when the connection was returned to the pool; idleTimeout is how
	// long it may stay there.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c *Client, raw net.Conn) *conn {
	cn := &conn{client: c, raw: raw, headLeft: -1, idleTimeout: c.cfg.IdleTimeout}
	cn.r, cn.w = bufio.NewReaderSize(countingReader{cn}, bufferBytes), bufio.NewWriterSize(countingWriter{cn}, bufferBytes)
	cn.answers = answerReader{r: cn.r, beforeTrailers: func() { cn.headLeft = maxHeadBytes }}
	return cn
}

type countingReader struct{ cn *conn }

func (r countingReader) Read(p []byte) (int, error) {
	cn := r.cn
	if cn.headLeft == 0 {
		return 0, errHeadTooLong
	}
	if cn.headLeft > 0 {
		p = p[:min(int64(len(p)), cn.headLeft)]
	}
	n, err := cn.raw.Read(p)
	cn.received += int64(n)
	if cn.headLeft > 0 {
		cn.headLeft -= int64(n)
	}
	return n, err
}

var (
	errHeadTooLong        = invalid("head of more than %d bytes", maxHeadBytes)
	errForeignBodyTooLong = errors.New("answer to another request is too long")
)

type countingWriter struct{ cn *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	cn := w.cn
	cn.writing.Lock()
	defer cn.writing.Unlock()
	n, err := cn.raw.Write(p)
	cn.sent.Add(int64(n))
	if err != nil && cn.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		cn.writeErr = err
	}
	return n, err
}

// endOfConnection returns io.EOF if the end that was read is an orderly one. A reset is
// reported to one system call only: after a write was told of it, reads return a regular
// end. No further byte of the request is written.
func (cn *conn) endOfConnection() error {
	_ = cn.raw.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits
	cn.writing.Lock()
	defer cn.writing.Unlock()
	if cn.writeErr != nil {
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// isReusable reports whether an idle connection is open and has received no bytes.
// Bytes that arrive while it is idle belong to no request.
func (cn *conn) isReusable() bool {
	if cn.r.Buffered() > 0 {
		return false
	}
	sc, ok := cn.raw.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(e, syscall.EAGAIN) || errors.Is(e, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and returns its answer. The connection returns to the
// pool when the body of the answer has been read.
func (cn *conn) exchange(req *http.Request) (*http.Response, error) {
	cn.sent.Store(0)
	cn.received = 0
	cn.requestID = cn.client.requestID(req)
	ctx := req.Context()
	stop := context.AfterFunc(ctx, func() { _ = cn.raw.SetDeadline(time.Unix(1, 0)) })
	written, err := cn.write(req)
	if err != nil {
		stop()
		return nil, cn.fail(ctx, err)
	}
	resp, rest, err := cn.read(req)
	if err != nil {
		stop()
		return nil, cn.fail(ctx, err)
	}
	resp.Request = req
	resp.Body = &body{answerBody: rest, cn: cn, resp: resp, empty: rest.framing == framedByLength && rest.left == 0, stop: stop, written: written}
	return resp, nil
}

// write writes the request. For a long request it returns at once, with a channel that
// is closed when the request has been written; otherwise the channel is nil.
func (cn *conn) write(req *http.Request) (<-chan struct{}, error) {
	if req.ContentLength >= 0 && req.ContentLength <= maxSyncBodyBytes {
		if err := req.Write(cn.w); err != nil {
			return nil, err
		}
		return nil, cn.w.Flush()
	}
	done := make(chan struct{})
	go func() {
		if req.Write(cn.w) == nil && cn.w.Flush() == nil {
			close(done)
		}
	}()
	return done, nil
}

// read reads answers, and skips informational ones and those to other requests, until
// one belongs to the request. It returns it with its body, which has not been read.
func (cn *conn) read(req *http.Request) (*http.Response, answerBody, error) {
	for range maxForeignAnswers {
		cn.headLeft = maxHeadBytes
		resp, rest, err := cn.answers.next(req.Method)
		cn.headLeft = -1
		if err != nil {
			return nil, rest, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		switch cn.owner(resp) {
		case ownAnswer:
			cn.failedID = ""
			if resp.StatusCode >= http.StatusBadRequest {
				cn.failedID = cn.requestID
			}
			return resp, rest, nil
		case unidentified:
			return nil, rest, errUnidentified
		}
		telemetry.Counter(MetricForeignAnswers).Inc(1)
		if err := discard(&rest); err != nil {
			return nil, rest, err
		}
		if resp.Close {
			break
		}
	}
	return nil, answerBody{}, errors.New("answers to other requests only")
}

// discard reads the body of an answer to another request.
func discard(b *answerBody) error {
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxForeignBodyBytes+1))
	if err == nil && n > maxForeignBodyBytes {
		return errForeignBodyTooLong
	}
	return err
}

// answerOwner says to which request an answer belongs.
type answerOwner int

const (
	ownAnswer answerOwner = iota
	foreignAnswer
	// unidentified is an answer without an ID of a server that otherwise echoes it, on a
	// connection that has had other requests. It may be the repeated answer to one of them.
	unidentified
)

var errUnidentified = errors.New("answer does not say to which request it belongs")

// owner decides by the echoed ID whether an answer belongs to the current request.
func (cn *conn) owner(resp *http.Response) answerOwner {
	c := cn.client
	if c.cfg.EchoHeader == "" || cn.requestID == "" {
		return ownAnswer
	}
	switch resp.Header.Get(c.cfg.EchoHeader) {
	case cn.requestID:
		c.echoes.Store(true)
		return ownAnswer
	case "":
		if cn.reused && c.echoes.Load() {
			return unidentified
		}
		return ownAnswer
	}
	return foreignAnswer
}

// fail closes the connection and returns the error for the request.
func (cn *conn) fail(ctx context.Context, cause error) error {
	sent, received := cn.sent.Load(), cn.received
	cn.client.reportInvalid(cn.requestID, cause)
	cn.client.putBack(cn, false)
	e := &Error{Kind: ErrLost, Sent: sent, Received: received, Cause: cause}
	switch {
	case sent == 0:
		e.Kind = ErrNotSent
	case received == 0 && cn.reused && ctx.Err() == nil:
		e.Stale = true
	}
	return e
}

// body is the body of an answer. When it has been read to the end, the connection
// returns to the pool; if it is closed earlier, so is the connection.
type body struct {
	answerBody
	cn      *conn
	resp    *http.Response
	empty   bool
	stop    func() bool
	written <-chan struct{}
	once    sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.answerBody.Read(p)
	if errors.Is(err, io.EOF) && b.framing == framedByClose && !b.allWritten() {
		err = b.cn.endOfConnection()
		b.err = err
	}
	if err != nil {
		b.finish(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.empty {
		b.finish(io.EOF)
	} else {
		b.finish(errBodyClosed)
	}
	return nil
}

// errBodyClosed ends a body that was closed before its end.
var errBodyClosed = errors.New("answer closed before its end")

// finish releases the connection. It is kept if the answer ended with io.EOF and the
// connection's state is certain.
func (b *body) finish(end error) {
	b.once.Do(func() {
		cn := b.cn
		cn.client.reportInvalid(cn.requestID, end)
		keep := b.stop() && errors.Is(end, io.EOF) && !b.resp.Close && cn.r.Buffered() == 0 && b.allWritten()
		if keep {
			cn.idleTimeout = idleTimeout(b.resp.Header.Get("Keep-Alive"), cn.client.cfg.IdleTimeout)
		}
		cn.client.putBack(cn, keep)
	})
}

// allWritten reports whether the whole request has been written. It does not wait if
// the server answered earlier.
func (b *body) allWritten() bool {
	if b.written == nil {
		return true
	}
	select {
	case <-b.written:
		return true
	default:
		return false
	}
}

// idleTimeout returns the idle timeout that a Keep-Alive header states, less the
// margin and at most limit; limit if it states none.
func idleTimeout(header string, limit time.Duration) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && s >= 0 {
			return min(limit, max(time.Duration(s*float64(time.Second))-keepAliveMargin, 0))
		}
	}
	return limit
}
