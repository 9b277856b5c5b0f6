package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Names of headers that the stand-in reads or sets.
const (
	// HeaderNotRun marks a refusal of a request that did not run.
	HeaderNotRun = "Balsamtrail-Not-Run"
	// HeaderTimeout is the timeout of a request in milliseconds.
	HeaderTimeout = "Balsamtrail-Timeout-Ms"
	// HeaderIdempotencyKey is the idempotency key of a write.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNonce is repeated in the answer, so that callers can match the two.
	HeaderNonce = "X-Nonce"
	// HeaderVersion is the version that answered.
	HeaderVersion = "X-Standin-Version"
	// HeaderHost is the host that answered.
	HeaderHost = "X-Standin-Host"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 8 << 20

// Server is a stand-in backend server.
type Server struct {
	cfg    Config
	slots  chan struct{}
	state  serverState
	client *http.Client
	// invalid decides which requests get an invalid answer; nil for none.
	invalid atomic.Pointer[invalidShare]
}

// New returns a stand-in that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, slots: make(chan struct{}, cfg.Slots)}
	s.state.stats.Runs = map[string]int{}
	s.state.startedAt = time.Now()
	s.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}}
	return s
}

// Run listens on Config.Listen and serves requests until ctx is canceled.
func (s *Server) Run(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler returns the HTTP handler of the stand-in.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_standin/stats", s.serveStats)
	mux.HandleFunc("GET /_standin/keys", s.serveKeys)
	mux.HandleFunc("POST /_standin/drain", s.serveDrain)
	mux.HandleFunc("POST /_standin/cold", s.serveCold)
	mux.HandleFunc("POST /_standin/invalid", s.serveInvalid)
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc(BodiesPrefix, s.serveBodies)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.state.snapshot())
}

// serveKeys returns the number of runs of each idempotency key.
func (s *Server) serveKeys(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.state.runsByKey())
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.drainStart = time.Now()
	w.WriteHeader(http.StatusNoContent)
}

// serveCold makes the server cold again. Its node is not told.
func (s *Server) serveCold(w http.ResponseWriter, _ *http.Request) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.state.served = 0
	w.WriteHeader(http.StatusNoContent)
}

// serveHealth reports ok until HealthLag has passed since the drain.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.state.mu.Lock()
	drainStart := s.state.drainStart
	s.state.mu.Unlock()
	if !drainStart.IsZero() && time.Since(drainStart) > s.cfg.HealthLag {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !s.state.admit(s.cfg, time.Now()) {
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		s.state.leaveBacklog()
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, "deadline passed in the backlog", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.serveInSlot(ctx, w, r)
}

// RunKey returns what identifies the run of a request: its idempotency key or, for an upload,
// which has none, UploadKey of its nonce. It is empty for a request that may run again.
func RunKey(r *http.Request) string {
	if key := r.Header.Get(HeaderIdempotencyKey); key != "" {
		return key
	}
	if nonce := r.Header.Get(HeaderNonce); nonce != "" && r.Method == http.MethodPost {
		return UploadKey(nonce)
	}
	return ""
}

// UploadKey returns the RunKey of an upload.
func UploadKey(nonce string) string { return "upload-" + nonce }

// requestContext returns a context with the timeout in the header of the request.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	if ms, err := strconv.Atoi(r.Header.Get(HeaderTimeout)); err == nil && ms > 0 {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return context.WithCancel(r.Context())
}

// serveInSlot runs a request that has a slot and writes its answer.
func (s *Server) serveInSlot(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	if s.drawInvalid(time.Now()) {
		s.state.beginRun(s.cfg, r.Header.Get(HeaderIdempotencyKey))
		defer s.state.endRun(true, false)
		sendInvalid(w, r)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	coldFactor := s.state.beginRun(s.cfg, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		s.state.endRun(true, true)
		return
	}
	fail, factor := s.misbehave(r.URL.Path)
	canceled := !sleep(ctx, s.cfg.Latency*time.Duration(coldFactor*factor))
	defer func() { s.state.endRun(fail, canceled) }()
	if canceled {
		http.Error(w, "canceled", http.StatusGatewayTimeout)
		return
	}
	nested := ""
	if depthText, ok := strings.CutPrefix(r.URL.Path, "/nested/"); ok && !fail {
		nested, fail = s.callNested(ctx, depthText, r)
	}
	w.Header().Set(HeaderVersion, s.cfg.Version)
	w.Header().Set(HeaderHost, s.cfg.Host)
	if fail {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	nonce := r.Header.Get(HeaderNonce)
	answer := Answer(s.cfg.Service, r.Method, r.URL.Path, nonce, body) + nested
	more, _ := strconv.ParseInt(r.URL.Query().Get(ParamAnswer), 10, 64)
	w.Header().Set("Content-Length", strconv.FormatInt(int64(len(answer))+more, 10))
	_, _ = io.WriteString(w, answer)
	_, _ = io.Copy(w, NoncePattern(nonce, more))
}

// Answer returns the body of a healthy stand-in's answer to a request without nested
// calls. If the request has ParamAnswer, that many bytes of NoncePattern follow. The load
// generator compares the answers that it receives with it.
func Answer(service, method, path, nonce string, body []byte) string {
	sum := sha256.Sum256(body)
	return fmt.Sprintf("%s %s %s %s %s\n", service, method, path, nonce, hex.EncodeToString(sum[:8]))
}

// misbehave returns whether the request fails and the factor by which it takes longer.
func (s *Server) misbehave(path string) (fail bool, factor int) {
	s.state.mu.Lock()
	running, age := s.state.running, time.Since(s.state.startedAt)
	s.state.mu.Unlock()
	affected := rand.IntN(100) < s.cfg.BadShare
	switch {
	case !affected:
		return false, 1
	case s.cfg.Bad == BadAtOnce,
		s.cfg.Bad == BadLater && age > s.cfg.BadAfter,
		s.cfg.Bad == BadUnderLoad && running > s.cfg.Slots/4,
		s.cfg.Bad == BadOneRoute && strings.HasPrefix(path, s.cfg.BadRoute):
		return true, 1
	case s.cfg.Bad == BadSlow:
		return false, 10
	}
	return false, 1
}

// callNested sends a nested lookup, one level less deep, through the node of this
// server. It returns the body of the answer and whether the call failed.
func (s *Server) callNested(ctx context.Context, depthText string, r *http.Request) (string, bool) {
	depth, err := strconv.Atoi(depthText)
	if err != nil || depth <= 0 || s.cfg.Outgoing == "" {
		return "", err != nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.Outgoing+"/nested/"+strconv.Itoa(depth-1), nil)
	if err != nil {
		return "", true
	}
	for name, values := range r.Header {
		if strings.HasPrefix(name, "Balsamtrail-") {
			req.Header[name] = values
		}
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return "", true
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err != nil || resp.StatusCode != http.StatusOK
}

// sleep waits for d and reports whether ctx was not canceled meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
