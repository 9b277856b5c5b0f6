package telemetry

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks each write until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a blocked output that delays the code that logs or makes the buffer
// grow without limit, and against dropped lines that are not counted.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	log := slog.New(slog.NewJSONHandler(w, nil))
	before := Counter(MetricLogDropped).Count()
	began := time.Now()
	for range 20_000 {
		log.Info("line", "text", strings.Repeat("x", 100))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("logging 20,000 lines took %s", took)
	}
	if Counter(MetricLogDropped).Count() == before {
		t.Error("no dropped bytes were counted")
	}
	w.mu.Lock()
	held := len(w.pending)
	w.mu.Unlock()
	if held > logBufferBytes {
		t.Errorf("%d bytes are buffered", held)
	}
	close(out.release)
	w.Close(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if !strings.HasSuffix(out.got.String(), "}\n") {
		t.Error("the last written line is incomplete")
	}
}

// Guards against many failures in a second that flood the log.
func TestRequestLinesAreBounded(t *testing.T) {
	r := NewRequestSampler()
	logged := 0
	for range 100_000 {
		if r.AllowNotable() {
			logged++
		}
	}
	if logged < detailBurst || logged > 2*detailBurst+detailRate {
		t.Errorf("%d lines about notable requests", logged)
	}
	// Refusals under overload must not suppress requests with an unknown outcome.
	failed := 0
	for range 100_000 {
		if r.AllowFailed() {
			failed++
		}
	}
	if failed < failureBurst || failed > 2*failureBurst+failureRate+detailRate {
		t.Errorf("%d lines about failed requests after the limit of notable ones was reached", failed)
	}
	usual := 0
	for range 1000 {
		if r.AllowRoutine() {
			usual++
		}
	}
	if usual != 1000/sampleEvery {
		t.Errorf("%d of 1000 usual requests were logged", usual)
	}
}

// BenchmarkRequestLine measures the processor time to log a request.
func BenchmarkRequestLine(b *testing.B) {
	log, stop := OpenLog(io.Discard, slog.LevelInfo, "n1", "node")
	defer stop()
	for b.Loop() {
		log.Info("request routed", "request", "8efa13d82bde88ff", "route", "r-pdbbpy4", "kind", "lookup", "service", "nomi63a",
			"version", "v1", "host", "sidecar-medina-6", "data_centre", "medina", "choice", "own data centre",
			"tried", []string{"sidecar-medina-2", "sidecar-medina-6"}, "status", 200, "not_run", false, "reason", "",
			"ms", 266.756, "late", true, "position", "1.25")
	}
}

// BenchmarkSuppressedLine measures the processor time to suppress the line of a request.
func BenchmarkSuppressedLine(b *testing.B) {
	r := NewRequestSampler()
	for b.Loop() {
		r.AllowNotable()
	}
}
