package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/bench/standin"
)

// Proxy is the naive baseline. It sends each request to a random backend server of the
// route and retries up to three times after an error or a 5xx answer, for any kind of
// request. It has no retry budget, concurrency limit, cold-start handling, hedging or
// idempotency keys.
type Proxy struct {
	client *http.Client

	// mu guards routes.
	mu     sync.Mutex
	routes []ProxyRoute
}

// ProxyRoute lists the addresses of the backend servers for a path prefix.
type ProxyRoute struct {
	Prefix  string   `json:"prefix"`
	Servers []string `json:"servers"`
}

const (
	// proxyRetries is the number of retries after the first attempt.
	proxyRetries = 3
	// proxyConnections bounds the connections to each backend server.
	proxyConnections = 100
	// defaultProxyTimeout bounds one attempt if the request has no timeout header.
	defaultProxyTimeout = 5 * time.Second
	// proxyRoutesPath is the path to which the routes are posted.
	proxyRoutesPath = "/_proxy/routes"
)

// NewProxy returns a proxy without routes; they are set by POST to /_proxy/routes.
func NewProxy() *Proxy {
	tr := &http.Transport{MaxIdleConnsPerHost: proxyConnections, MaxConnsPerHost: proxyConnections, DisableCompression: true}
	return &Proxy{client: &http.Client{Transport: tr}}
}

// Run serves on the listen address until ctx ends.
func (p *Proxy) Run(ctx context.Context, listen string) error {
	return serveHTTP(ctx, listen, p)
}

// serveHTTP serves a handler until ctx ends.
func serveHTTP(ctx context.Context, listen string, h http.Handler) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP forwards a request with retries, or sets the routes.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Path == proxyRoutesPath {
		p.setRoutes(w, body)
		return
	}
	var resp *http.Response
	for range 1 + proxyRetries {
		server, ok := p.pickServer(r.URL.Path)
		if !ok {
			http.Error(w, "no backend server", http.StatusBadGateway)
			return
		}
		var cancel context.CancelFunc
		resp, cancel, err = p.forward(r, server, body)
		defer cancel()
		if err == nil && resp.StatusCode < http.StatusInternalServerError {
			break
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

func (p *Proxy) setRoutes(w http.ResponseWriter, body []byte) {
	var routes []ProxyRoute
	if err := json.Unmarshal(body, &routes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routes = routes
}

// pickServer returns a random backend server of the route with the longest matching
// prefix.
func (p *Proxy) pickServer(path string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best ProxyRoute
	for _, r := range p.routes {
		if strings.HasPrefix(path, r.Prefix) && len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	if len(best.Servers) == 0 {
		return "", false
	}
	return best.Servers[rand.IntN(len(best.Servers))], true
}

// forward sends the request once. A 5xx answer is read completely, so that its
// connection can be reused.
func (p *Proxy) forward(r *http.Request, server string, body []byte) (*http.Response, context.CancelFunc, error) {
	timeout := defaultProxyTimeout
	if ms, err := strconv.Atoi(r.Header.Get(standin.HeaderTimeout)); err == nil && ms > 0 {
		timeout = time.Duration(ms) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+server+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return nil, cancel, err
	}
	req.Header = r.Header.Clone()
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, cancel, err
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		b, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(b))
	}
	return resp, cancel, nil
}

// setProxyRoutes sends the routes to a running proxy.
func setProxyRoutes(base string, routes []ProxyRoute) error {
	b, err := json.Marshal(routes)
	if err != nil {
		return err
	}
	return post(base+proxyRoutesPath, b)
}

// postTimeout bounds one POST request.
const postTimeout = 2 * time.Second

// post sends a POST request and returns an error unless the status is below 300.
func post(url string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), postTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s: status %d", url, resp.StatusCode)
	}
	return nil
}
