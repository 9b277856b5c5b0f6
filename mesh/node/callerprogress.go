package node

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"balsamtrail.org/mesh/telemetry"
)

// metricBodiesStalled counts requests that ended because their caller neither sent nor took
// anything of a body.
const metricBodiesStalled = "entry.bodies_stalled"

// errCallerStalled ends a request whose caller has neither sent nor taken anything of a body
// for the progress timeout.
var errCallerStalled = errors.New("caller neither sent nor took anything in time")

// callerProgress ends the transfer of a body from or to a caller that makes no progress for
// timeout. Only the time in which the node waits for the caller counts, not the time in
// which the backend server is silent. A nil pointer sets no limit.
type callerProgress struct {
	connection *http.ResponseController
	timeout    time.Duration

	mu sync.Mutex
	// reads and writes are the transfers that wait for the caller.
	reads, writes int
	// last is when the caller last sent or took something, or the node began to wait.
	last  time.Time
	timer *time.Timer
	// stalled is set once the request has been abandoned.
	stalled bool
}

// newCallerProgress returns nil for a timeout of 0, which sets no limit.
func newCallerProgress(w http.ResponseWriter, timeout time.Duration) *callerProgress {
	if timeout == 0 {
		return nil
	}
	return &callerProgress{connection: http.NewResponseController(w), timeout: timeout}
}

// begin says that the node waits for the caller in one more transfer.
func (p *callerProgress) begin(transfers *int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*transfers++
	if p.reads+p.writes > 1 {
		return
	}
	p.last = time.Now()
	if p.timer == nil {
		p.timer = time.AfterFunc(p.timeout, p.check)
		return
	}
	p.timer.Reset(p.timeout)
}

// end says that a transfer no longer waits, and that n bytes went over. It reports whether
// the request has been abandoned.
func (p *callerProgress) end(transfers *int, n int) (stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*transfers--
	if n > 0 {
		p.last = time.Now()
	}
	if p.reads+p.writes == 0 {
		p.timer.Stop()
	}
	return p.stalled
}

// check abandons the request if the caller has made no progress for the timeout.
func (p *callerProgress) check() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reads+p.writes == 0 {
		return // the transfer ended just now
	}
	if left := p.timeout - time.Since(p.last); left > 0 {
		p.timer.Reset(left)
		return
	}
	p.stalled = true
	telemetry.Counter(metricBodiesStalled).Inc(1)
	if p.reads > 0 {
		_ = p.connection.SetReadDeadline(time.Unix(1, 0))
	}
	if p.writes > 0 {
		_ = p.connection.SetWriteDeadline(time.Unix(1, 0))
	}
}

// reader returns a reader of the caller's body that fails with errCallerStalled.
func (p *callerProgress) reader(body io.Reader) io.Reader {
	if p == nil {
		return body
	}
	return progressReader{body, p}
}

type progressReader struct {
	body io.Reader
	p    *callerProgress
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	r.p.begin(&r.p.reads)
	n, err := r.body.Read(b)
	if r.p.end(&r.p.reads, n) && err != nil && !errors.Is(err, io.EOF) {
		err = errCallerStalled
	}
	return n, err
}

// maxWriteBytes bounds one write to a caller. What the system takes of a longer one would
// show only at its end, so that a slow caller would count as one that takes nothing.
const maxWriteBytes = 16 << 10

// writer returns a writer to the caller that fails once the caller takes nothing.
func (p *callerProgress) writer(w io.Writer) io.Writer {
	if p == nil {
		return w
	}
	return progressWriter{w, p}
}

type progressWriter struct {
	w io.Writer
	p *callerProgress
}

// Write implements io.Writer.
func (w progressWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+maxWriteBytes)]
		w.p.begin(&w.p.writes)
		n, err := w.w.Write(part)
		w.p.end(&w.p.writes, n)
		if written += n; err != nil {
			return written, err
		}
	}
	return written, nil
}
