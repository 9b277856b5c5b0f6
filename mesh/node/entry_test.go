package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// scriptedSender answers calls with a function.
type scriptedSender func(ctx context.Context, addr string, req *callmux.Request) (*callmux.Response, error)

func (f scriptedSender) Do(ctx context.Context, addr string, _ peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	return f(ctx, addr, req)
}

// recordingClaims grants every claim unless err is set, and counts completions and
// releases.
type recordingClaims struct {
	mu                  sync.Mutex
	err                 error
	completed, released int
}

func (c *recordingClaims) Claim(ctx context.Context, key string, _ claim.Digest, _ model.RouteName, lifetime time.Duration) (claim.Grant, error) {
	return claim.Grant{Key: key, Deadline: time.Now().Add(lifetime)}, c.err
}

func (c *recordingClaims) Complete(context.Context, claim.Grant, claim.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completed++
	return nil
}

func (c *recordingClaims) Release(context.Context, claim.Grant, string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released++
	return nil
}

// newTestEntry returns an entry with the backend servers h1 to h3.
func newTestEntry(t *testing.T, calls callSender, claims claimer) *entry {
	t.Helper()
	return newTestEntryAt(calls, claims, map[model.HostID]string{"h1": "h1", "h2": "h2", "h3": "h3"})
}

// newTestEntryAt returns an entry with backend servers at the given hosts and call addresses.
func newTestEntryAt(calls callSender, claims claimer, hosts map[model.HostID]string) *entry {
	invariant.SetFatal(true)
	table := testTable(hosts, note.CallerLimits{})
	picker := routing.NewPicker(routing.PickerConfig{DataCentre: "thun", Seed: 1})
	picker.SetTable(time.Now(), table)
	log := slog.New(slog.DiscardHandler)
	retries := routing.NewRetryBucket()
	d := &dispatcher{
		log: log, self: peer.Identity{Role: peer.RoleNode, Host: "entry"}, picker: picker, hedger: newHedger(settings.DefaultNode(), retries),
		retries: retries, sender: calls, recorder: rollout.NewRecorder("entry", 1),
		position: func() model.Position { return model.Position{} }, onNewerPosition: func(peer.Identity, model.Position) {},
	}
	return &entry{
		startRetryAfter: func() time.Duration { return time.Second },
		elapsed:         routing.NewElapsedEstimator(),
		log:             log, dispatcher: d, table: func() *routing.Table { return table }, claims: claims, bodyLimit: 1 << 20, logSampler: telemetry.NewRequestSampler(),
		freshness:   &distribute.Freshness{Contact: func() time.Time { return time.Now().Add(-100 * time.Millisecond) }},
		callLimiter: semaphore.NewWeighted(1000), memory: newBodyMemory(16 << 20), bodyProgress: 5 * time.Second,
	}
}

// testTable returns the routing table of the tests' configuration.
func testTable(hosts map[model.HostID]string, limits note.CallerLimits) *routing.Table {
	cfg := note.NewConfig()
	cfg.Limits = limits
	cfg.Services["ledger"] = note.Service{Name: "ledger", Slots: 20, Connections: 100, QueueLimit: 20}
	cfg.Shares["ledger"] = note.Shares{"v1": model.ShareAll}
	cfg.Routes["status"] = note.Route{Name: "status", PathPrefix: "/cabinets", Service: "ledger", Kind: model.KindLookup, Timeout: time.Second, MaxRetries: 2}
	cfg.Routes["hedged"] = note.Route{Name: "hedged", PathPrefix: "/hedged", Service: "ledger", Kind: model.KindLookup, Timeout: time.Second, MaxRetries: 1, Hedge: true}
	cfg.Routes["restock"] = note.Route{Name: "restock", PathPrefix: "/restocks", Service: "ledger", Kind: model.KindWrite, Timeout: time.Second, MaxRetries: 2}
	cfg.Routes["virtual"] = note.Route{Name: "virtual", Host: "mesh.example", PathPrefix: "/virtual/", Service: "ledger", Kind: model.KindLookup, Timeout: 10 * time.Second}
	var servers []membership.Announcement
	for _, h := range slices.Sorted(maps.Keys(hosts)) {
		servers = append(servers, membership.Announcement{Host: h, Service: "ledger", Version: "v1", DataCentre: "thun",
			CallAddress: hosts[h], Slots: 20, State: membership.StateServing, Incarnation: 1})
	}
	return routing.NewTable(cfg, servers)
}

func answer(body string) *callmux.Response {
	return &callmux.Response{Status: http.StatusOK, Header: map[string][]string{}, Limit: 20, Body: io.NopCloser(strings.NewReader(body))}
}

func refusal(notRun bool) *callmux.Response {
	return &callmux.Response{Refusal: &callmux.Refusal{Reason: "test", NotRun: notRun}, Limit: 1, Body: http.NoBody}
}

func lookup(e *entry) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/cabinets/7", nil))
	return w
}

func restock(e *entry) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/restocks", strings.NewReader("crate"))
	r.Header.Set(HeaderIdempotencyKey, "1-abcdefgh")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	e.background.Wait()
	return w
}

// If the first attempt of a lookup has an unknown outcome, the call must not be refused as
// not run, even if no later attempt ran.
func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	attempts := 0
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		attempts++
		if attempts == 1 {
			return nil, callmux.ErrOutcomeUnknown
		}
		return refusal(true), nil
	}), nil)
	w := lookup(e)
	if attempts < 2 || w.Header().Get(HeaderNotRun) != "" || w.Header().Get(HeaderOutcome) != outcomeUnknown {
		t.Errorf("after %d attempts: status %d, headers %v", attempts, w.Code, w.Header())
	}
}

// When a host fails, more calls fail at once than the node's retry bucket has tokens.
// Each of them must still be retried on another host, because none has run.
func TestEveryCallIsRetriedAfterAHostFailure(t *testing.T) {
	const calls = 120
	var arrived sync.WaitGroup
	arrived.Add(calls)
	var first atomic.Int64
	e := newTestEntry(t, scriptedSender(func(_ context.Context, addr string, _ *callmux.Request) (*callmux.Response, error) {
		if first.Add(1) <= calls {
			arrived.Done()
			arrived.Wait() // blocks until every call has sent its first attempt
		}
		if addr == "h1" {
			return nil, callmux.ErrNotSent
		}
		return answer("ok"), nil
	}), nil)
	codes := make(chan int, calls)
	for range calls {
		go func() { codes <- lookup(e).Code }()
	}
	failed := 0
	for range calls {
		if <-codes != http.StatusOK {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d calls failed", failed, calls)
	}
}

// A write with an unknown outcome must neither be retried nor have its claim released,
// or a resend would run it a second time.
func TestWriteWithUnknownOutcomeKeepsItsClaim(t *testing.T) {
	attempts := 0
	claims := &recordingClaims{}
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		attempts++
		return nil, callmux.ErrOutcomeUnknown
	}), claims)
	w := restock(e)
	if attempts != 1 || claims.released != 0 || claims.completed != 0 || w.Header().Get(HeaderOutcome) != outcomeUnknown {
		t.Errorf("%d attempts, %d released, %d completed, headers %v", attempts, claims.released, claims.completed, w.Header())
	}
}

// Guards against a claim that stays in progress after every backend server refused its
// write: a resend would be rejected until the claim expires.
func TestRefusedWriteReleasesItsClaim(t *testing.T) {
	claims := &recordingClaims{}
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		return refusal(true), nil
	}), claims)
	w := restock(e)
	if claims.released != 1 || w.Header().Get(HeaderNotRun) == "" {
		t.Errorf("%d released, headers %v", claims.released, w.Header())
	}
}

// Guards against a write that is sent to a backend server without a granted claim.
func TestWriteWithoutGrantIsNotSent(t *testing.T) {
	for _, cause := range []error{claim.ErrUnavailable, claim.ErrInProgress, claim.ErrOutcomeUnknown, claim.ErrKeyExpired,
		&claim.AnsweredError{Answer: claim.NewAnswer(201, nil, []byte("made"))}} {
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			t.Errorf("%v: a request was sent", cause)
			return answer(""), nil
		}), &recordingClaims{err: cause})
		w := restock(e)
		if notRun := w.Header().Get(HeaderNotRun) != ""; notRun != errors.Is(cause, claim.ErrUnavailable) {
			t.Errorf("%v: refused as not run: %v", cause, notRun)
		}
	}
}

// brokenBody fails after a few bytes, like the body of a lost connection.
type brokenBody struct{ sent bool }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, callmux.ErrBodyTruncated
	}
	b.sent = true
	return copy(p, "half"), nil
}

func (*brokenBody) Close() error { return nil }

// A truncated answer must not look complete to the caller.
func TestTruncatedAnswerAbortsTheConnection(t *testing.T) {
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		return &callmux.Response{Status: http.StatusOK, Header: map[string][]string{}, Body: &brokenBody{}}, nil
	}), &recordingClaims{})
	srv := httptest.NewServer(e)
	defer srv.Close()
	resp, err := http.Get(srv.URL + "/cabinets/7")
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("read %q as a complete answer with status %d", b, resp.StatusCode)
	}
	w := restock(e)
	if w.Code != http.StatusBadGateway || w.Header().Get(HeaderOutcome) != outcomeUnknown {
		t.Errorf("truncated answer of a write: status %d, headers %v", w.Code, w.Header())
	}
}

// Guards against an assertion that misses a call refused as not run after an attempt with
// an unknown outcome.
func TestFalseNotRunIsAViolation(t *testing.T) {
	invariant.SetFatal(false)
	defer invariant.SetFatal(true)
	before := invariant.Violations()
	c := &call{mayHaveRun: true, attempts: routing.NewAttempts(note.Route{}, time.Now(), routing.NewBudget(0), routing.NewRetryBucket())}
	refuseCall(httptest.NewRecorder(), c, &attempt{reason: "test"})
	if n := invariant.Violations() - before; n != 1 {
		t.Errorf("%d violations", n)
	}
}

// Requests of the highest priority are nested calls of running requests. Guards
// against their refusal after a short wait, which would fail requests that most work
// has been done for.
func TestHighestPriorityHasNoShortSlotWait(t *testing.T) {
	if got := maxSlotWait(note.Route{Priority: highestPriority, LatencyTarget: 60 * time.Millisecond}); got != 0 {
		t.Errorf("highest priority: slot wait limited to %s", got)
	}
	if got := maxSlotWait(note.Route{Priority: 2, LatencyTarget: 200 * time.Millisecond}); got != 50*time.Millisecond {
		t.Errorf("priority 2: slot wait limited to %s, want 50ms", got)
	}
}

// Guards against callers that use up their retries during one short overload, or that
// retry when the latency target can no longer be met.
func TestRetryAfterFitsTheLatencyTarget(t *testing.T) {
	for target, want := range map[time.Duration]time.Duration{
		0: busyRetryAfter, 200 * time.Millisecond: 60 * time.Millisecond, time.Second: 300 * time.Millisecond,
	} {
		if got := (&call{route: note.Route{LatencyTarget: target}}).minRetryAfter(false); got != want {
			t.Errorf("target %s: %s, want %s", target, got, want)
		}
	}
	if got := (&call{route: note.Route{LatencyTarget: time.Second}}).minRetryAfter(true); got != outageRetryAfter {
		t.Errorf("without a server: %s", got)
	}
	c := &call{route: note.Route{LatencyTarget: time.Second}}
	c.room.add(150 * time.Millisecond)
	if got := c.minRetryAfter(false); got != 150*time.Millisecond {
		t.Errorf("room after 150ms: %s", got)
	}
}

// Guards against a missing log line for an aborted answer: the panic that aborts it
// ends the handler early.
func TestAbortedAnswerIsLogged(t *testing.T) {
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		return &callmux.Response{Status: http.StatusOK, Header: map[string][]string{}, Body: &brokenBody{}}, nil
	}), &recordingClaims{})
	var out bytes.Buffer
	e.log = slog.New(slog.NewJSONHandler(&out, nil))
	func() {
		defer func() {
			if r := recover(); r != http.ErrAbortHandler { //nolint:errorlint // the value that net/http names
				t.Errorf("handler panicked with %v", r)
			}
		}()
		r := httptest.NewRequest(http.MethodGet, "/cabinets/7", nil)
		r.Header.Set(HeaderRequestID, "id-1")
		e.ServeHTTP(httptest.NewRecorder(), r)
	}()
	if line := out.String(); !strings.Contains(line, reasonAnswerAborted) || !strings.Contains(line, "id-1") {
		t.Errorf("log line %q", line)
	}
}

// Guards against a request without a route whose id leads to no log line.
func TestRequestWithoutRouteIsLogged(t *testing.T) {
	e := newTestEntry(t, nil, nil)
	var out bytes.Buffer
	e.log = slog.New(slog.NewJSONHandler(&out, nil))
	r := httptest.NewRequest(http.MethodGet, "/unknown", nil)
	r.Header.Set(HeaderRequestID, "id-1")
	e.ServeHTTP(httptest.NewRecorder(), r)
	for _, want := range []string{`"request":"id-1"`, `"status":404`, `"position":"0.0"`, `"source_age_ms":`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %q", want, out.String())
		}
	}
}

// Guards against a final 404 for a route that was added while the node had lost the
// source of the configuration.
func TestMissingRouteIsNotFinalWithoutTheSource(t *testing.T) {
	e := newTestEntry(t, nil, nil)
	e.freshness = &distribute.Freshness{}
	e.freshness.RecordContact(time.Now(), 2*time.Second)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/unknown", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || w.Header().Get(HeaderNotRun) == "" {
		t.Errorf("status %d, headers %v", w.Code, w.Header())
	}
}

// blockedWriter blocks every write until it is released.
type blockedWriter struct{ release chan struct{} }

func (o blockedWriter) Write(p []byte) (int, error) {
	<-o.release
	return len(p), nil
}

// Guards against requests that block because nothing reads the log output.
func TestBlockedLogDelaysNoRequest(t *testing.T) {
	e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
		return refusal(true), nil
	}), &recordingClaims{})
	out := blockedWriter{release: make(chan struct{})}
	log, stop := telemetry.OpenLog(out, slog.LevelDebug, "n1", "node")
	defer stop()
	defer close(out.release)
	e.log, e.dispatcher.log = log, log
	const requests, limit = 500, 5 * time.Second
	for range requests {
		began := time.Now()
		if w := lookup(e); w.Code != http.StatusServiceUnavailable {
			t.Fatalf("status %d", w.Code)
		}
		if took := time.Since(began); took > limit {
			t.Fatalf("a request took %s", took)
		}
	}
}

// Guards against callers that use up their retries while every backend server is cold, as
// after a loss of all power: the refusal must say when the servers have room again.
func TestRefusalByColdServersSaysWhenToComeBack(t *testing.T) {
	const cold = 2500 * time.Millisecond
	for _, c := range []struct {
		name      string
		hints     []time.Duration // by attempt; 0 without one
		want, max time.Duration
	}{
		{"all cold", []time.Duration{cold, cold, cold}, cold, cold + maxRetryAfterSpread},
		{"one has room sooner", []time.Duration{cold, 0, cold}, outageRetryAfter, 2 * outageRetryAfter},
		{"none says", []time.Duration{0, 0, 0}, outageRetryAfter, 2 * outageRetryAfter},
	} {
		attempts := 0
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			hint := c.hints[min(attempts, len(c.hints)-1)]
			attempts++
			return &callmux.Response{Body: http.NoBody, Limit: 20,
				Refusal: &callmux.Refusal{Reason: "queue full", NotRun: true, Declined: true, RetryAfter: hint}}, nil
		}), &recordingClaims{})
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/cabinets/7", nil))
		ms, err := strconv.Atoi(w.Header().Get(HeaderRetryAfter))
		if got := time.Duration(ms) * time.Millisecond; err != nil || got < c.want || got > c.max {
			t.Errorf("%s: come back after %s (%v), want %s to %s, after %d attempts", c.name, got, err, c.want, c.max, attempts)
		}
	}
}
