package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/experiment"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/bench/standin"
)

// watchInterval is the interval at which the status of all nodes is polled.
const watchInterval = 250 * time.Millisecond

// logProgress writes a progress line with the time of the run if the run is verbose.
func (r *run) logProgress(format string, args ...any) {
	if r.Verbose {
		_, _ = fmt.Fprintf(r.Out, "  %6.1f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// observation is the last polled status of a node; valid is false before the first poll.
type observation struct {
	status demo.NodeStatus
	valid  bool
}

// watchNodes polls every node until ctx ends and records violated invariants and
// positions that went back.
func (r *run) watchNodes(ctx context.Context) {
	observations := make([]observation, len(r.fleet.Servers))
	for sleep(ctx, watchInterval) {
		for i, s := range r.fleet.Servers {
			st, err := s.Status()
			if err != nil {
				continue // the node is down or paused
			}
			r.checkNodeStatus(s, observations[i], st)
			observations[i] = observation{status: st, valid: true}
		}
	}
}

// checkNodeStatus compares a node's status with its previous one. A lower uptime means
// that the process was restarted, which allows a lower position.
func (r *run) checkNodeStatus(s *demo.BackendServer, previous observation, st demo.NodeStatus) {
	if st.Violations > 0 {
		r.recordViolation("node %s counted %d violations of invariants", s.Host, st.Violations)
	}
	if !previous.valid || st.UptimeMs < previous.status.UptimeMs {
		return
	}
	before, now := previous.status.Position, st.Position
	if now.Epoch < before.Epoch || now.Epoch == before.Epoch && now.Index < before.Index {
		r.recordViolation("node %s went back from position %d to %d", s.Host, before.Index, now.Index)
	}
}

// awaitRecovery waits until every node serves and every control host shows the newest
// acknowledged note.
func (r *run) awaitRecovery(ctx context.Context) {
	if err := demo.Eventually(recoveryTimeout, r.checkAllServe); err != nil {
		r.recordViolation("nodes do not serve %s after the last repair: %v", recoveryTimeout, err)
	}
	for _, c := range r.fleet.Controls {
		err := demo.Eventually(recoveryTimeout, func() error { return r.checkShowsAcknowledged(ctx, c) })
		if err != nil {
			r.recordViolation("control host %s: %v", c.Host, err)
		}
	}
}

// checkPanics records the panics that the nodes have counted since their start; the logs tell
// of those of former processes.
func (r *run) checkPanics() {
	for _, s := range r.fleet.Servers {
		m, err := s.Metrics()
		if n := m["entry.panics"].Count; err == nil && n > 0 {
			r.recordViolation("node %s counted %d panics of its HTTP servers", s.Host, n)
		}
	}
}

// checkShowsAcknowledged returns an error unless a control host shows the newest
// acknowledged note.
func (r *run) checkShowsAcknowledged(ctx context.Context, h *demo.ControlHost) error {
	c, err := r.fleet.Client(h)
	if err != nil {
		return err
	}
	defer c.Close()
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, err := c.Notes(requestCtx, 0, 1)
	if err != nil {
		return err
	}
	if want := r.lastAcknowledged(); len(a.Notes) == 0 || a.Notes[0].Note.Number < want {
		return fmt.Errorf("does not show note %d, which was acknowledged", want)
	}
	return nil
}

// recordUnanswered records the keys of writes that were sent to a node during its
// planned stop and got no answer.
func (r *run) recordUnanswered(keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = append(r.unanswered, keys...)
}

// result compares the answers that callers got with the writes that ran, scans the
// logs and returns the result of the run.
func (r *run) result(counts map[Fault]int) (*Result, error) {
	runs := map[string]int{}
	for i := range r.fleet.Servers {
		if err := experiment.ReadRuns(filepath.Join(r.Dir, fmt.Sprintf("%d.runs", i)), runs); err != nil {
			return nil, err
		}
	}
	res := &Result{Seed: r.Seed, FaultCounts: counts, WritesRun: len(runs)}
	for _, found := range load.CompareRuns(r.report.Keys(), runs) {
		r.recordViolation("%s", found)
	}
	for _, key := range r.unanswered {
		if runs[key] > 0 {
			r.recordViolation("a planned stop left write %s without an answer, but the write ran", key)
		}
	}
	if n := r.report.Count(load.OutcomeWrong); n > 0 {
		r.recordViolation("%d wrong or cut answers: %s", n, strings.Join(r.report.Details(), "; "))
	}
	for _, found := range demo.ScanLogs(r.Dir) {
		r.recordViolation("%s", found)
	}
	for _, f := range r.report.Flows() {
		res.Sent += f.Sent
		res.Answered += f.Outcomes[load.OutcomeOK]
		res.NotRun += f.Outcomes[load.OutcomeNotRun]
	}
	res.Violations = r.violations
	return res, nil
}

// write writes a summary line and a line for each violation.
func (res *Result) write(w io.Writer) {
	n := 0
	for _, c := range res.FaultCounts {
		n += c
	}
	verdict := "ok"
	if len(res.Violations) > 0 {
		verdict = "FAILED"
	}
	_, _ = fmt.Fprintf(w, "seed %d: %s: %d faults of %d kinds, %d requests, %d answered, %d not run, %d writes ran\n",
		res.Seed, verdict, n, len(res.FaultCounts), res.Sent, res.Answered, res.NotRun, res.WritesRun)
	for _, v := range res.Violations {
		_, _ = fmt.Fprintf(w, "  %s\n", v)
	}
}

// keepAliveWriter is a caller that sends writes on one connection until the node closes it.
type keepAliveWriter struct {
	base string
	// unanswered holds the keys of writes that were sent completely and got no answer.
	unanswered []string
}

func newKeepAliveWriter(base string) *keepAliveWriter { return &keepAliveWriter{base: base} }

// run sends writes one after the other until the connection ends. A write that got no
// answer may have been in flight when the node closed the connection gracefully, so
// it is a violation only if it ran, which result checks.
func (k *keepAliveWriter) run() {
	address := strings.TrimPrefix(k.base, "http://")
	conn, err := net.DialTimeout("tcp", address, requestTimeout) //nolint:noctx // bounded by its timeout
	if err != nil {
		return
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := 0; ; i++ {
		key := fmt.Sprintf("%d-keeper%010d%04d", time.Now().Unix(), time.Now().UnixNano()%1e10, i)
		if err := k.send(conn, address, key); err != nil {
			return
		}
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		if err != nil {
			k.unanswered = append(k.unanswered, key)
			return
		}
		if resp.Close {
			return
		}
		time.Sleep(keepAliveInterval)
	}
}

// keepAliveInterval is the pause between two writes on a connection. It keeps the load
// of one connection low.
const keepAliveInterval = 10 * time.Millisecond

func (k *keepAliveWriter) send(conn net.Conn, address, key string) error {
	body := "kept connection"
	req, err := http.NewRequest(http.MethodPost, k.base+"/restocks", strings.NewReader(body)) //nolint:noctx // written to the connection by hand
	if err != nil {
		return err
	}
	req.Host = address
	req.Header.Set(standin.HeaderIdempotencyKey, key)
	req.Header.Set(standin.HeaderTimeout, "2000")
	var b bytes.Buffer
	if err := req.Write(&b); err != nil {
		return err
	}
	_, err = conn.Write(b.Bytes())
	return err
}

// post sends an empty POST request, which changes the state of a stand-in.
func post(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.New(resp.Status)
	}
	return nil
}
