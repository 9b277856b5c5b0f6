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

// ServerConfig is the configuration of a Server.
type ServerConfig struct {
	// Listener accepts the connections. The server closes it when it stops.
	Listener net.Listener
	// TLS names the files of the server certificate. If it is empty, the server
	// uses plain HTTP; this is for tests only.
	TLS settings.OperatorTLS
	// Operators lists the operators that may use the interface.
	Operators []settings.Operator
	// WatchTimeout is the longest duration of a long poll. A higher value causes fewer
	// requests, but middleboxes may close a connection that is idle for that long.
	WatchTimeout time.Duration
	// RequestTimeout is the timeout for reading a request and for answering one that is
	// not a long poll. A lower value frees the connections of slow clients sooner.
	RequestTimeout time.Duration
	// RequestBytes is the largest size of a request body in bytes. A higher value
	// allows larger notes and uses more memory per request.
	RequestBytes int64
	// Requests is the highest number of concurrent requests; at most half of them
	// may be long polls. A higher value uses more memory.
	Requests int
	// Log receives a line for each write, each request without a valid token and
	// each internal error.
	Log *slog.Logger
}

const (
	// idleTimeout is how long the server and the client keep an idle connection.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes is the largest size of a request header in bytes.
	maxHeaderBytes = 64 << 10
)

// Server serves the operator interface over HTTP.
type Server struct {
	cfg     ServerConfig
	service *Service
	tokens  tokens
	// requestSlots has one element per request in progress; its capacity is the
	// limit of concurrent requests.
	requestSlots chan struct{}
	// pollSlots has one element per long poll in progress; its capacity is half of
	// that of requestSlots, so that long polls leave room for other requests.
	pollSlots chan struct{}
	http      *khttp.Server
	ready     func() error
}

// NewServer returns a server; Serve starts it. ready returns nil if the process
// can serve, and otherwise an error that /healthz returns to the client.
func NewServer(cfg ServerConfig, b Backend, ready func() error) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		cfg: cfg, service: NewService(b, cfg.WatchTimeout), requestSlots: make(chan struct{}, cfg.Requests),
		pollSlots: make(chan struct{}, max(1, cfg.Requests/2)), ready: ready,
	}
	var err error
	if s.tokens, err = newTokens(cfg.Operators); err != nil {
		return nil, err
	}
	// kratos has only one global logger.
	klog.SetLogger(telemetry.KratosLogger(cfg.Log))
	opts := []khttp.ServerOption{
		khttp.Listener(cfg.Listener),
		// The default timeout of one second would cut long polls short. Handlers set
		// their own timeouts; this one is an upper bound for all of them.
		khttp.Timeout(cfg.WatchTimeout + cfg.RequestTimeout),
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
	s.http.ReadHeaderTimeout = cfg.RequestTimeout
	s.http.ReadTimeout = cfg.RequestTimeout
	s.http.WriteTimeout = cfg.WatchTimeout + 2*cfg.RequestTimeout
	s.http.IdleTimeout = idleTimeout
	s.http.MaxHeaderBytes = maxHeaderBytes
	s.http.ErrorLog = slog.NewLogLogger(cfg.Log.Handler(), slog.LevelWarn)
	s.routes()
	return s, nil
}

// Serve handles requests until ctx is done. It then ends long polls with the
// current state and waits up to shutdown for other requests to finish.
func (s *Server) Serve(ctx context.Context, shutdown time.Duration) error {
	base := context.WithoutCancel(ctx)
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.service.Close()
		limit, cancel := context.WithTimeout(base, shutdown)
		defer cancel()
		if err := s.http.Stop(limit); err != nil {
			s.cfg.Log.Warn("operator interface closed with requests in progress", "reason", err.Error())
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

// ServeHTTP implements http.Handler, so that tests need no listener.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.http.ServeHTTP(w, r) }

// limitRequests limits the number of concurrent requests and the size of their
// bodies.
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

// certificate holds the server certificate and reloads it when its file changes.
type certificate struct {
	files settings.OperatorTLS

	// mu guards the fields below.
	mu        sync.Mutex
	cert      *tls.Certificate
	modTime   time.Time
	lastCheck time.Time
}

// certificateCheckInterval is the shortest time between two checks of the
// certificate file.
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

// current returns the certificate and reloads it first if its file has changed. If
// the file cannot be loaded, it keeps the previous certificate.
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
