package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// ServerConfig is the configuration of the HTTP server.
type ServerConfig struct {
	// Listener accepts the connections; it is closed with the server.
	Listener net.Listener
	// TLS names the server certificate; without it the server speaks plain
	// HTTP, which only tests use.
	TLS settings.OperatorTLS
	// Operators lists who may use the interface.
	Operators []settings.Operator
	// Watch bounds a long poll. A longer one costs fewer requests and may be
	// cut by middleboxes.
	Watch time.Duration
	// Request bounds reading a request and answering one that does not wait.
	// A shorter one frees connections of slow clients sooner.
	Request time.Duration
	// RequestBytes bounds a request body, in bytes. A greater one admits
	// greater notes and costs memory for each request.
	RequestBytes int64
	// Requests bounds the requests served together, of which long polls may
	// take half. More need more memory.
	Requests int
	// Log receives one line for each write and each refused request.
	Log *slog.Logger
}

const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server serves the operator interface over HTTP.
type Server struct {
	cfg          ServerConfig
	service      *Service
	tokens       tokens
	requestSlots chan struct{}
	// pollSlots holds the long pollSlots; they may take half of the slots.
	pollSlots chan struct{}
	http      *khttp.Server
	ready     func() error
}

// NewServer returns a server that is not started yet. ready reports why the
// process cannot serve, or nil; /healthz answers with it.
func NewServer(cfg ServerConfig, b Backend, ready func() error) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		cfg: cfg, service: NewService(b, cfg.Watch), requestSlots: make(chan struct{}, cfg.Requests),
		pollSlots: make(chan struct{}, max(1, cfg.Requests/2)), ready: ready,
	}
	var err error
	if s.tokens, err = newTokens(cfg.Operators); err != nil {
		return nil, err
	}
	// kratos logs through one global logger only.
	klog.SetLogger(telemetry.KratosLogger(cfg.Log))
	opts := []khttp.ServerOption{
		khttp.Listener(cfg.Listener),
		// The default of one second would cut long polls; each handler sets its
		// own limit, and this one bounds them all.
		khttp.Timeout(cfg.Watch + cfg.Request),
		khttp.ErrorEncoder(s.writeError),
		khttp.NotFoundHandler(s.errorHandler(CodeNotFound, "no such resource")),
		khttp.MethodNotAllowedHandler(s.errorHandler(CodeMethod, "method not allowed")),
		khttp.Filter(s.limitRequests),
	}
	if cfg.TLS.Certificate != "" {
		conf, err := serverTLS(cfg.TLS)
		if err != nil {
			return nil, err
		}
		opts = append(opts, khttp.TLSConfig(conf))
	}
	s.http = khttp.NewServer(opts...)
	s.http.ReadHeaderTimeout = cfg.Request
	s.http.ReadTimeout = cfg.Request
	s.http.WriteTimeout = cfg.Watch + 2*cfg.Request
	s.http.IdleTimeout = idleTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.ErrorLog = slog.NewLogLogger(cfg.Log.Handler(), slog.LevelWarn)
	s.routes()
	return s, nil
}

// Serve answers requests until ctx ends, then lets running ones finish for at
// most the given time. Long polls answer at once with the present state.
func (s *Server) Serve(ctx context.Context, shutdown time.Duration) error {
	base := context.WithoutCancel(ctx)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.service.Close()
		limit, cancel := context.WithTimeout(base, shutdown)
		defer cancel()
		if err := s.http.Stop(limit); err != nil {
			s.cfg.Log.Warn("operator interface closed with requests running", "reason", err.Error())
			_ = s.http.Close()
		}
	})
	err := s.http.Start(base)
	if !stop() {
		<-stopped
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(ErrUnavailable, "operator interface: %v", err)
	}
	return nil
}

// ServeHTTP serves one request; tests use it without a listener.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// limitRequests limits the requests served together and the size of a body.
func (s *Server) limitRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
		default:
			s.writeError(w, r, eris.Wrapf(ErrOverloaded, "%d requests are served already", cap(s.requestSlots)))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, s.cfg.RequestBytes)
		next.ServeHTTP(w, r)
	})
}

func serverTLS(files settings.OperatorTLS) (*tls.Config, error) {
	c := &certificate{files: files}
	if err := c.load(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current(), nil },
	}, nil
}

// certificate holds the server certificate and loads it again when the file changes.
type certificate struct {
	files settings.OperatorTLS

	// mu guards the fields below.
	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// certificateCheckInterval bounds how often the file is examined.
const certificateCheckInterval = 5 * time.Second

func (c *certificate) load() error {
	info, err := os.Stat(c.files.Certificate)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "operator certificate: %v", err)
	}
	cert, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "operator certificate: %v", err)
	}
	c.cert, c.modTime, c.lastCheck = &cert, info.ModTime(), time.Now()
	return nil
}

// current returns the certificate; a file that cannot be used keeps the former one.
func (c *certificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.lastCheck) < certificateCheckInterval {
		return c.cert
	}
	c.lastCheck = time.Now()
	if info, err := os.Stat(c.files.Certificate); err == nil && !info.ModTime().Equal(c.modTime) {
		_ = c.load()
	}
	return c.cert
}
