// Package telemetry sets up structured logs and serves metrics.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
)

// NewLogger returns a logger that writes JSON lines to w. Each line names its
// process as self, since host is the host that a line is about.
func NewLogger(w io.Writer, level slog.Level, host, role string) *slog.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("self", host, "role", role)
}

// closeTimeout bounds how long the end of a process waits for a slow output of its log.
const closeTimeout = 500 * time.Millisecond

// OpenLog returns a logger that writes to out without ever blocking, and a
// function that writes the last lines at the end of the process.
func OpenLog(out io.Writer, level slog.Level, host, role string) (*slog.Logger, func()) {
	w := NewWriter(out)
	return NewLogger(w, level, host, role), func() { w.Close(closeTimeout) }
}

// kratosLogger feeds kratos log calls into slog.
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
