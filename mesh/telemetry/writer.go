package telemetry

import (
	"io"
	"sync"
	"time"
)

// Bounds of the log writer.
const (
	// logBufferBytes is the number of bytes that wait for the output. At 200 lines a
	// second it holds some seconds of a blocked output.
	logBufferBytes = 512 << 10
	// logFlushInterval is how long lines are gathered for one write, which costs a system
	// call. A process that is killed loses the lines of that time.
	logFlushInterval = 20 * time.Millisecond
)

// MetricLogDropped counts the bytes of log lines that were dropped, since the
// output was blocked or slow.
const MetricLogDropped = "log.dropped_bytes"

// Writer passes lines on from a goroutine of its own, so that a blocked or slow
// output never delays the code that logs. Lines that do not fit in its buffer
// are dropped and counted.
type Writer struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	// mu guards the fields below.
	mu      sync.Mutex
	pending []byte
	closed  bool
}

// NewWriter returns a writer to out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
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

// Close writes what is buffered, for at most the given time.
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
