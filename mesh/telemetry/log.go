// Package telemetry sets up structured logging and serves metrics.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
)

// NewLogger returns a logger that writes JSON lines to w. The attribute self holds
// the host of the process that logs, because the attribute host holds the host that
// a line is about.
func NewLogger(w io.Writer, level slog.Level, host, role string) *slog.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("self", host, "role", role)
}

// closeTimeout is how long a process waits at its end for a slow log output.
const closeTimeout = 500 * time.Millisecond

// OpenLog returns a logger that never blocks on out, and a function that writes the
// buffered lines at the end of the process.
func OpenLog(out io.Writer, level slog.Level, host, role string) (*slog.Logger, func()) {
	w := NewWriter(out)
	return NewLogger(w, level, host, role), func() { w.Close(closeTimeout) }
}

// kratosLogger passes the log records of kratos to slog.
type kratosLogger struct{ log *slog.Logger }

// KratosLogger adapts log to the logger interface of kratos.
func KratosLogger(log *slog.Logger) klog.Logger { return kratosLogger{log: log} }

var kratosLevels = map[klog.Level]slog.Level{
	klog.LevelDebug: slog.LevelDebug,
	klog.LevelInfo:  slog.LevelInfo,
	klog.LevelWarn:  slog.LevelWarn,
	klog.LevelError: slog.LevelError,
	klog.LevelFatal: slog.LevelError,
}

// Log implements the kratos Logger interface.
func (k kratosLogger) Log(level klog.Level, keyvals ...any) error {
	msg := "kratos"
	attrs := make([]slog.Attr, 0, len(keyvals)/2)
	for i := 0; i+1 < len(keyvals); i += 2 {
		key := fmt.Sprint(keyvals[i])
		if key == klog.DefaultMessageKey {
			msg = fmt.Sprint(keyvals[i+1])
			continue
		}
		attrs = append(attrs, slog.Any(key, keyvals[i+1]))
	}
	k.log.LogAttrs(nil, kratosLevels[level], msg, attrs...) //nolint:staticcheck // kratos passes no context
	return nil
}
