package telemetry

import (
	"io"
	"sync"
	"time"
)

// Constants of the log writer.
const (
	// logBufferBytes is the size of the buffer in bytes. At 200 lines per second it
	// holds the lines of several seconds while the output is blocked.
	logBufferBytes = 512 << 10
	// logFlushInterval is the shortest time between two writes to the output. It
	// reduces the number of system calls; a process that is killed loses the lines of
	// the last interval.
	logFlushInterval = 20 * time.Millisecond
)

// MetricLogDropped is the name of the counter of bytes of log lines that were dropped
// because the output was blocked, slow or failed.
const MetricLogDropped = "log.dropped_bytes"

// Writer buffers lines and writes them to the output in a background goroutine, so
// that a blocked or slow output never delays the code that logs. Lines that do not
// fit in the buffer are dropped and counted.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	pending []byte
	closed  bool
}

// NewWriter returns a Writer to out. Close must be called to end its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > logBufferBytes {
		w.mu.Unlock()
		Counter(MetricLogDropped).Inc(int64(len(line)))
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close stops accepting lines and waits up to limit until the buffered lines are
// written.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.pending, w.closed
		w.pending = spare[:0]
		w.mu.Unlock()
		if _, err := w.out.Write(lines); err != nil {
			Counter(MetricLogDropped).Inc(int64(len(lines)))
		}
		spare = lines
		if closed {
			return
		}
		time.Sleep(logFlushInterval)
	}
}
