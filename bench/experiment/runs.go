package experiment

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strings"

	"balsamtrail.org/bench/standin"
)

// ServeRecorded serves a stand-in until ctx ends and records its runs in a file.
func ServeRecorded(ctx context.Context, cfg standin.Config, file string) error {
	h, err := RecordRuns(file, standin.New(cfg).Handler())
	if err != nil {
		return err
	}
	return serveHTTP(ctx, cfg.Listen, h)
}

// RecordRuns returns a handler that appends the standin.RunKey of each request to a
// file, so that the runs of a stand-in are known even after it is killed. It writes a
// line "+key" before the request runs, and a line "-key" if the stand-in then refuses
// the request as not run.
func RecordRuns(file string, next http.Handler) (http.Handler, error) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := standin.RunKey(r)
		if key == "" {
			next.ServeHTTP(w, r)
			return
		}
		if _, err := f.WriteString("+" + key + "\n"); err != nil {
			w.Header().Set(standin.HeaderNotRun, "1")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(&refusalRecorder{ResponseWriter: w, file: f, key: key}, r)
	}), nil
}

// refusalRecorder records a refusal as not run before the response header is sent.
type refusalRecorder struct {
	http.ResponseWriter
	file *os.File
	key  string
}

// WriteHeader records a refusal as not run and sends the header.
func (r *refusalRecorder) WriteHeader(status int) {
	if r.Header().Get(standin.HeaderNotRun) != "" {
		_, _ = r.file.WriteString("-" + r.key + "\n")
	}
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (r *refusalRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// ReadRuns adds the number of runs of each key in the file to runs. A missing file
// counts as empty.
func ReadRuns(file string, runs map[string]int) error {
	f, err := os.Open(file)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		line := sc.Text()
		if key, ok := strings.CutPrefix(line, "+"); ok {
			runs[key]++
		} else if key, ok := strings.CutPrefix(line, "-"); ok {
			runs[key]--
		}
	}
	return sc.Err()
}
