// Package load generates open-loop HTTP load and checks that every answer is complete
// and belongs to its request. Latency is measured from the scheduled start of a
// request, so that a stalled system does not hide its delay (coordinated omission).
package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
)

// Flow describes one kind of request that is sent at a fixed rate.
type Flow struct {
	Name    string
	Kind    model.Kind
	Service string
	Method  string
	Path    string
	// Rate is the number of requests per second, over all targets.
	Rate float64
	// Split holds the weights of the services of a split route, one of which answers a
	// request; empty for a route with one service.
	Split map[string]int
	// BodyBytes is the size of the request body of a write or upload. If MinBodyBytes is not
	// 0, the size is random between the two.
	MinBodyBytes, BodyBytes int
	// AnswerBytes is the size that a download asks for; random from MinAnswerBytes if that is
	// not 0.
	MinAnswerBytes, AnswerBytes int
	// Timeout is sent with each request. An answer after it is late, except for a write,
	// which may be sent several times.
	Timeout time.Duration
	// Targets are the base URLs that requests are sent to, in round-robin order.
	Targets []string
	// MaxResends is how many times at most a write without a definite outcome is sent
	// again with the same idempotency key.
	MaxResends int
}

// Outcome is the result of one request as its caller sees it.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeOK is the expected answer, in time.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun is a refusal that states that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown is an answer that leaves open whether the request ran, or one that
	// broke off.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed is any other error status.
	OutcomeFailed Outcome = "failed"
	// OutcomeLate is an answer after the timeout, or none within the limit of the client.
	OutcomeLate Outcome = "late"
	// OutcomeWrong is a successful status with a body that is not the expected one.
	OutcomeWrong Outcome = "wrong-answer"
	// OutcomeNoConnection is a transport error before the header of an answer arrived.
	OutcomeNoConnection Outcome = "no-connection"
)

// Generator sends the requests of flows and records their results in a report.
type Generator struct {
	client *http.Client
	report *Report
}

const (
	// headerOutcome is the response header with which a node tells that the outcome of
	// a request is unknown.
	headerOutcome = "Balsamtrail-Outcome"
	// maxInFlight is the maximum number of requests in flight per flow.
	maxInFlight = 4096
	// resendDelay is the delay before a write is sent again.
	resendDelay = 200 * time.Millisecond
)

// New returns a generator that reuses connections and records its results in report.
func New(report *Report) *Generator {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, MaxConnsPerHost: 512, IdleConnTimeout: 30 * time.Second}
	return &Generator{client: &http.Client{Transport: tr}, report: report}
}

// Run sends the requests of all flows until ctx is canceled, then waits for
// outstanding answers.
func (g *Generator) Run(ctx context.Context, flows []Flow) {
	var wg sync.WaitGroup
	for _, f := range flows {
		wg.Go(func() { g.runFlow(ctx, f) })
	}
	wg.Wait()
}

func (g *Generator) runFlow(ctx context.Context, f Flow) {
	interval := time.Duration(float64(time.Second) / f.Rate)
	semaphore := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(i) * interval)
		if !waitUntil(ctx, due) {
			return
		}
		semaphore <- struct{}{}
		target := f.Targets[i%len(f.Targets)]
		wg.Go(func() {
			defer func() { <-semaphore }()
			g.request(f, target, due)
		})
	}
}

// waitUntil sleeps until due and reports whether ctx was still active then.
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

// randomSize returns a size between least and most, or most if least is 0.
func randomSize(least, most int) int64 {
	if least == 0 {
		return int64(most)
	}
	return int64(least + rand.IntN(most-least+1))
}

// request sends one request. It sends a write again with the same idempotency key
// while its outcome is not definite, up to f.MaxResends times.
func (g *Generator) request(f Flow, target string, due time.Time) {
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	key := ""
	var body []byte
	if f.Kind == model.KindWrite {
		key = fmt.Sprintf("%d-%s", due.Unix(), "key"+nonce+"0000")
	}
	if !f.Kind.Idempotent() {
		body, _ = io.ReadAll(standin.NoncePattern(nonce, randomSize(f.MinBodyBytes, f.BodyBytes)))
	}
	runKey, answerBytes := key, randomSize(f.MinAnswerBytes, f.AnswerBytes)
	if f.Kind == model.KindUpload {
		runKey = standin.UploadKey(nonce)
	}
	var res result
	for attempt := 0; ; attempt++ {
		res = g.send(f, target, nonce, key, body, answerBytes)
		g.report.recordWrite(runKey, res.outcome, attempt)
		resend := key != "" && (res.outcome == OutcomeUnknown || res.outcome == OutcomeNoConnection || res.outcome == OutcomeLate)
		if !resend || attempt >= f.MaxResends {
			break
		}
		time.Sleep(resendDelay)
		target = f.Targets[rand.IntN(len(f.Targets))]
	}
	res.latency = time.Since(due)
	if res.outcome == OutcomeOK && f.Kind.Idempotent() && res.latency > f.Timeout {
		res.outcome = OutcomeLate
	}
	g.report.add(f, res, due)
}

// result is the result of one request; detail is the error or the answer that was not ok.
type result struct {
	outcome Outcome
	version string
	host    string
	service string
	status  int
	latency time.Duration
	detail  string
}

// send sends one attempt of a request and classifies its answer.
func (g *Generator) send(f Flow, target, nonce, key string, body []byte, answerBytes int64) result {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout+time.Second)
	defer cancel()
	url := target + f.Path
	if answerBytes > 0 {
		url += "?" + standin.ParamAnswer + "=" + strconv.FormatInt(answerBytes, 10)
	}
	req, err := http.NewRequestWithContext(ctx, f.Method, url, bytes.NewReader(body))
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
		return result{outcome: transportOutcome(ctx), detail: err.Error()}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{outcome: OutcomeUnknown, detail: err.Error()}
	}
	services := []string{f.Service}
	if len(f.Split) > 0 {
		services = slices.Sorted(maps.Keys(f.Split))
	}
	wanted := map[string][sha256.Size]byte{}
	for _, service := range services {
		h := sha256.New()
		_, _ = io.WriteString(h, standin.Answer(service, f.Method, f.Path, nonce, body))
		_, _ = io.Copy(h, standin.NoncePattern(nonce, answerBytes))
		wanted[service] = [sha256.Size]byte(h.Sum(nil))
	}
	return classify(f, resp, got, wanted)
}

// transportOutcome returns the outcome of an attempt that failed without an answer.
func transportOutcome(ctx context.Context) Outcome {
	if ctx.Err() != nil {
		return OutcomeLate
	}
	return OutcomeNoConnection
}

// maxDetailBytes bounds the part of a body that the detail of a result shows.
const maxDetailBytes = 200

// classify compares the digest of an answer with those that the services of the route give,
// and returns the result without its latency.
func classify(f Flow, resp *http.Response, got []byte, wanted map[string][sha256.Size]byte) result {
	digest := sha256.Sum256(got)
	res := result{
		version: resp.Header.Get(standin.HeaderVersion),
		host:    resp.Header.Get(standin.HeaderHost),
		status:  resp.StatusCode,
	}
	for service, want := range wanted {
		if resp.StatusCode == http.StatusOK && digest == want {
			res.service, res.outcome = service, OutcomeOK
			return res
		}
	}
	res.detail = string(got[:min(len(got), maxDetailBytes)])
	switch {
	case resp.StatusCode == http.StatusOK:
		res.outcome = OutcomeWrong
		res.detail = fmt.Sprintf("flow %s: got %d bytes with digest %x that begin with %q, want %x", f.Name, len(got), digest, res.detail, wanted)
	case resp.Header.Get(standin.HeaderNotRun) != "":
		res.outcome = OutcomeNotRun
	case resp.Header.Get(headerOutcome) == "unknown" || resp.StatusCode == http.StatusConflict || resp.StatusCode == http.StatusGatewayTimeout ||
		resp.StatusCode == http.StatusBadGateway:
		res.outcome = OutcomeUnknown
	default:
		res.outcome = OutcomeFailed
	}
	return res
}
