package experiment

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"strings"

	"balsamtrail.org/bench/standin"
)

// ServeRecorded serves a stand-in whose runs are recorded until ctx ends.
func ServeRecorded(ctx context.Context, cfg standin.Config, file string) error {
	h, err := RecordRuns(file, standin.New(cfg).Handler())
	if err != nil {
		return err
	}
	return serveHTTP(ctx, cfg.Listen, h)
}

// RecordRuns writes the idempotency key of each request that reaches a stand-in
// to a file, so that the runs of a stand-in that is killed later still count. A
// line "+key" is written before the request runs; a line "-key" follows if the
// stand-in refuses it as not run.
func RecordRuns(file string, next http.Handler) (http.Handler, error) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get(standin.HeaderIdempotencyKey)
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

// refusalRecorder notes a refusal as not run before its header is sent.
type refusalRecorder struct {
	http.ResponseWriter
	file *os.File
	key  string
}

// WriteHeader notes the refusal and sends the header.
func (r *refusalRecorder) WriteHeader(status int) {
	if r.Header().Get(standin.HeaderNotRun) != "" {
		_, _ = r.file.WriteString("-" + r.key + "\n")
	}
	r.ResponseWriter.WriteHeader(status)
}

// ReadRuns adds the runs of each key in a file to runs; a missing file has none.
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
