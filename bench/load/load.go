// Package load generates open-loop HTTP load and checks every answer: it must be
// whole and belong to its own request. Latency counts from the scheduled start
// of a request, so that a stalled system cannot hide its delay.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
)

// Flow is one kind of request that the tool sends at a fixed rate.
type Flow struct {
	Name    string
	Kind    model.Kind
	Service string
	Method  string
	Path    string
	// Rate is in requests per second over all targets.
	Rate float64
	// BodyBytes is the size of the request body of writes.
	BodyBytes int
	// Timeout is the time after which an answer is late.
	Timeout time.Duration
	// Targets are the base URLs of the entry nodes, used in turn.
	Targets []string
	// Resends bounds how often a write whose outcome is unknown is sent again
	// with the same key.
	Resends int
}

// Outcome classifies one request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
	OutcomeLate    Outcome = "late"
	OutcomeWrong   Outcome = "wrong-answer"
	OutcomeLost    Outcome = "no-connection"
)

// Generator runs flows and collects results.
type Generator struct {
	client *http.Client
	report *Report
}

const (
	// headerOutcome says why a node has no answer.
	headerOutcome = "Balsamtrail-Outcome"
	maxInFlight   = 4096
	resendDelay   = 200 * time.Millisecond
)

// New returns a generator that keeps connections to its targets.
func New(report *Report) *Generator {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}
	return &Generator{client: &http.Client{Transport: tr}, report: report}
}

// Run sends all flows until ctx ends and waits for the answers.
func (g *Generator) Run(ctx context.Context, flows []Flow) {
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() { g.runFlow(ctx, f) })
	}
	wg.Wait()
}

func (g *Generator) runFlow(ctx context.Context, f Flow) {
	interval := time.Duration(float64(time.Second) / f.Rate)
	room := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if !waitUntil(ctx, due) {
			return
		}
		room <- struct{}{}
		target := f.Targets[i%len(f.Targets)]
		wg.Go(func() {
			defer func() { <-room }()
			g.request(f, target, due)
		})
	}
}

func waitUntil(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// request sends one request, and a write again with its key while its outcome
// is unknown.
func (g *Generator) request(f Flow, target string, due time.Time) {
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	key := ""
	var body []byte
	if f.Kind == model.KindWrite {
		key = fmt.Sprintf("%d-%s", due.Unix(), "key"+nonce+"0000")
		body = bytes.Repeat([]byte(nonce[:1]), f.BodyBytes)
	}
	var res result
	for try := 0; ; try++ {
		res = g.send(f, target, nonce, key, body)
		g.report.key(key, res.outcome, try)
		again := key != "" && (res.outcome == OutcomeUnknown || res.outcome == OutcomeLost || res.outcome == OutcomeLate)
		if !again || try >= f.Resends {
			break
		}
		time.Sleep(resendDelay)
		target = f.Targets[rand.IntN(len(f.Targets))]
	}
	res.latency = time.Since(due)
	if res.outcome == OutcomeOK && f.Kind != model.KindWrite && res.latency > f.Timeout {
		res.outcome = OutcomeLate
	}
	g.report.add(f, res, due)
}

type result struct {
	outcome Outcome
	version string
	host    string
	status  int
	latency time.Duration
	detail  string
}

func (g *Generator) send(f Flow, target, nonce, key string, body []byte) result {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, f.Method, target+f.Path, bytes.NewReader(body))
	if err != nil {
		return result{outcome: OutcomeFailed, detail: err.Error()}
	}
	req.Header.Set(standin.HeaderNonce, nonce)
	req.Header.Set(standin.HeaderTimeout, strconv.FormatInt(f.Timeout.Milliseconds(), 10))
	if key != "" {
		req.Header.Set(standin.HeaderIdempotencyKey, key)
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return result{outcome: lost(ctx), detail: err.Error()}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{outcome: OutcomeUnknown, detail: err.Error()}
	}
	return classify(f, resp, string(got), standin.Answer(f.Service, f.Method, f.Path, nonce, body))
}

func lost(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return OutcomeLate
	}
	return OutcomeLost
}

func classify(f Flow, resp *http.Response, got, want string) result {
	res := result{
		version: resp.Header.Get(standin.HeaderVersion),
		host:    resp.Header.Get(standin.HeaderHost),
		status:  resp.StatusCode,
	}
	switch {
	case resp.StatusCode == http.StatusOK && got == want:
		res.outcome = OutcomeOK
	case resp.StatusCode == http.StatusOK:
		res.outcome = OutcomeWrong
		res.detail = fmt.Sprintf("flow %s: got %q, want %q", f.Name, got, want)
	case resp.Header.Get(standin.HeaderNotRun) != "":
		res.outcome = OutcomeNotRun
		res.detail = got
	case resp.Header.Get(headerOutcome) == "unknown" || resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusGatewayTimeout ||
		resp.StatusCode == http.StatusBadGateway:
		res.outcome = OutcomeUnknown
		res.detail = got
	default:
		res.outcome = OutcomeFailed
		res.detail = got
	}
	return res
}
