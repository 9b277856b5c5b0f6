package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/explain"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/serverconn"
	"balsamtrail.org/mesh/telemetry"
)

// httpServer is one HTTP listener of a node, based on the kratos HTTP transport.
type httpServer struct {
	name string
	srv  *khttp.Server
}

// httpServers returns the HTTP servers of the node: for callers and administration,
// and, if configured, for outgoing requests of the backend server, readiness probes
// and registration.
func (n *Node) httpServers() []*httpServer {
	callers := n.adapter.wrapCaller(n.entry)
	servers := []*httpServer{
		n.newHTTPServer("caller", n.cfg.Listen.Caller, callers),
		n.newHTTPServer("admin", n.cfg.Listen.Admin, n.adminHandler()),
	}
	if n.cfg.Listen.Outgoing != "" {
		servers = append(servers, n.newHTTPServer("outgoing", n.cfg.Listen.Outgoing, callers))
	}
	if n.cfg.Listen.Ready != "" {
		servers = append(servers, n.newHTTPServer("ready", n.cfg.Listen.Ready, n.adapter.wrapReady(http.HandlerFunc(n.serveHealth))))
	}
	if n.registration != nil && n.adapter.Registration != nil {
		servers = append(servers, n.newHTTPServer("registration", n.cfg.Listen.Registration, n.adapter.Registration(n.registration)))
	}
	return servers
}

func (n *Node) newHTTPServer(name, address string, h http.Handler) *httpServer {
	// The timeout of kratos is disabled: the deadline of a call follows from its
	// caller and its route. The router of kratos is bypassed, because it redirects
	// paths with dot segments or empty segments.
	bypassRouter := func(http.Handler) http.Handler { return h }
	srv := khttp.NewServer(khttp.Address(address), khttp.Timeout(0), khttp.Filter(bypassRouter))
	srv.ReadHeaderTimeout = n.cfg.Timeouts.HeaderRead
	srv.MaxHeaderBytes = n.cfg.Limits.HeaderBytes
	srv.ErrorLog = httpErrorLog(n.log, name)
	return &httpServer{name: name, srv: srv}
}

// MetricPanics counts panics of the HTTP servers of a node, in handlers and in net/http itself.
// Those with http.ErrAbortHandler, which end a connection on purpose, do not count.
const MetricPanics = "entry.panics"

// panicPrefix begins the line that net/http logs for a panic.
const panicPrefix = "http: panic serving"

// httpErrors logs the errors of an HTTP server and counts its panics. net/http recovers panics
// of handlers and of its own, and reports them in its log only.
type httpErrors struct {
	log    *slog.Logger
	server string
}

func httpErrorLog(l *slog.Logger, server string) *log.Logger {
	return log.New(httpErrors{l, server}, "", 0)
}

// Write implements io.Writer. It is called once for each error.
func (e httpErrors) Write(line []byte) (int, error) {
	if bytes.HasPrefix(line, []byte(panicPrefix)) {
		telemetry.Counter(MetricPanics).Inc(1)
		e.log.Error("panic of an HTTP server", "server", e.server, "error", string(line))
	} else {
		e.log.Info("error of an HTTP server", "server", e.server, "error", string(line))
	}
	return len(line), nil
}

// serve serves until stop is called, or until ctx ends because another task of the
// node has failed.
func (s *httpServer) serve(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = s.srv.Close() })()
	if err := s.srv.Start(ctx); err != nil && ctx.Err() == nil {
		return eris.Wrapf(ErrStart, "listen.%s: %v", s.name, err)
	}
	return nil
}

// stop closes the listener and waits for running requests.
func (s *httpServer) stop(ctx context.Context) { _ = s.srv.Stop(ctx) }

// adminHandler serves metrics, health, status, explanations, drain and profiles.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.MetricsHandler())
	mux.HandleFunc("GET /healthz", n.serveHealth)
	mux.HandleFunc("GET /status", n.serveStatus)
	mux.Handle("GET "+explain.Path, &explainer{
		entry: n.entry, node: n.cfg.Host, dataCentre: n.cfg.DataCentre, requestLimit: int64(n.cfg.Limits.Calls), announcements: n.endpoints.Service,
	})
	mux.HandleFunc("POST /drain", n.serveDrain)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// statusView is the JSON form of a node's state.
type statusView struct {
	Host       model.HostID         `json:"host"`
	DataCentre model.DataCentre     `json:"data_centre"`
	Region     string               `json:"region"`
	Cluster    string               `json:"cluster"`
	Service    model.ServiceName    `json:"service"`
	Version    model.ServiceVersion `json:"version"`
	Position   model.Position       `json:"position"`
	Routable   bool                 `json:"routable"`
	State      string               `json:"state"`
	Limit      int                  `json:"limit"`
	InFlight   int                  `json:"in_flight"`
	Queued     int                  `json:"queued"`
	Children   int                  `json:"children"`
	// Endpoints is the number of live backend servers that the node knows.
	Endpoints int `json:"endpoints"`
	// SourceAgeMs is the time since the control hosts were last heard from, directly
	// or through a parent, in milliseconds.
	SourceAgeMs   int64 `json:"source_age_ms"`
	Violations    int64 `json:"invariant_violations"`
	BytesSent     int64 `json:"control_bytes_sent"`
	BytesReceived int64 `json:"control_bytes_received"`
	UptimeMs      int64 `json:"uptime_ms"`
}

func (n *Node) serveStatus(w http.ResponseWriter, _ *http.Request) {
	inFlight, queued := n.gate.Load()
	sent, received := peer.Traffic()
	now := time.Now()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(statusView{
		Host: n.cfg.Host, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Cluster: n.cfg.Cluster,
		Service: n.cfg.Backend.Service, Version: n.cfg.Backend.Version,
		Position: n.acceptor.Position(), Routable: n.tableUpdater.current() != nil, State: n.publisher.Current().State.String(),
		Limit: n.gate.Limit(), InFlight: inFlight, Queued: queued, Children: n.children.Children(),
		Endpoints:   n.endpoints.AliveHosts(),
		SourceAgeMs: n.freshness.Age(now).Milliseconds(), Violations: invariant.Violations(),
		BytesSent: sent, BytesReceived: received, UptimeMs: now.Sub(n.started).Milliseconds(),
	})
}

// serveHealth answers 204 while the node can route and is not stopping.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.entry.stopping.Load():
		http.Error(w, "node is stopping", http.StatusServiceUnavailable)
		return
	case n.tableUpdater.current() == nil:
		http.Error(w, reasonNoConfig, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveDrain permanently stops new requests to the backend server; running requests
// finish.
func (n *Node) serveDrain(w http.ResponseWriter, _ *http.Request) {
	n.publisher.Drain()
	go func() {
		time.Sleep(n.cfg.Timeouts.Leave)
		n.gate.Drain()
	}()
	w.WriteHeader(http.StatusAccepted)
}

// watchBackend announces the backend server once it accepts connections, and detects
// when it becomes unreachable or returns. The status of its health answer is ignored,
// because it lags behind the real state and can be wrong.
func (n *Node) watchBackend(ctx context.Context) error {
	up := false
	announcing := false
	failures := 0
	for {
		reachable := n.probe(ctx)
		switch {
		case reachable && !announcing:
			announcing = true
			go func() { _ = n.announce(ctx) }()
		case reachable && !up:
			n.gate.Restarted()
			n.publisher.Serve()
			n.log.Info("backend server is reachable again after failed probes")
		}
		if reachable {
			up, failures = true, 0
		} else if failures++; failures == unreachableProbes && up {
			up = false
			n.publisher.Drain()
			n.log.Warn("backend server is unreachable", "probes", failures)
		}
		sleepContext(ctx, n.cfg.Timeouts.Health)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// unreachableProbes is the number of consecutive failed probes after which the backend
// server counts as unreachable.
const unreachableProbes = 2

// probe reports whether the backend server accepts a connection and answers, in whatever way:
// only the outcomes of requests say whether its answers are good.
func (n *Node) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timeouts.Health)
	defer cancel()
	u, err := n.backend.base.Parse(n.cfg.Backend.HealthPath)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return false
	}
	resp, err := n.backend.transport.RoundTrip(req)
	if err != nil {
		return errors.Is(err, serverconn.ErrInvalid)
	}
	_ = resp.Body.Close()
	return true
}
