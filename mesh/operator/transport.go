package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note/strictjson"
)

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Servers lists the URLs of control hosts, such as https://127.0.0.1:7101.
	// Naming several lets the client pass over one that is down.
	Servers []string
	// Token is the operator's bearer token.
	Token string
	// CA holds the certificates that sign the servers' certificates.
	CA *x509.CertPool
	// AttemptTimeout bounds one request to one server; default 5s. A shorter one passes
	// over a silent server sooner and cuts slow answers.
	AttemptTimeout time.Duration
	// PollTimeout bounds one long poll; default 60s. It must be longer than the
	// server's watch limit.
	PollTimeout time.Duration
	// Total bounds all tries of one call; default 30s. A longer one rides out
	// an election or outage, a shorter one reports it sooner.
	Total time.Duration
}

// Defaults of ClientConfig.
const (
	defaultAttemptTimeout = 5 * time.Second
	defaultPollTimeout    = time.Minute
	defaultTotalTimeout   = 30 * time.Second
	initialBackoff        = 50 * time.Millisecond
	maxBackoff            = 2 * time.Second
	dialTimeout           = 2 * time.Second
	maxResponseBytes      = 64 << 20
)

// Client uses the operator interface of several control hosts. It is safe for
// concurrent use.
type Client struct {
	cfg  ClientConfig
	http *http.Client
	// preferred is the index of the server that answered last.
	preferred atomic.Int64
}

// NewClient returns a client; it connects on the first call.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, eris.Wrap(ErrInvalid, "no server is named")
	}
	for i, s := range cfg.Servers {
		if !strings.HasPrefix(s, "https://") && !strings.HasPrefix(s, "http://") {
			return nil, eris.Wrapf(ErrInvalid, "server %q is not a URL such as https://127.0.0.1:7101", s)
		}
		cfg.Servers[i] = strings.TrimSuffix(s, "/")
	}
	setDefault(&cfg.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&cfg.PollTimeout, defaultPollTimeout)
	setDefault(&cfg.Total, defaultTotalTimeout)
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: cfg.CA},
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		ForceAttemptHTTP2:   true,
	}}}, nil
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one request that may be sent several times.
type apiCall struct {
	method, path string
	operation    model.OperationID
	revision     uint64
	body         any
	// longPoll marks a long poll.
	longPoll bool
}

func (k apiCall) isWrite() bool { return k.method != http.MethodGet }

// attemptError is a failed try that another server or a later try may better.
type attemptError struct {
	err error
	// sent says that the server may have received the request.
	sent bool
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// do sends a call until a server decides it. Every try of a write carries the
// same operation id, so it is decided once.
func do[T any](ctx context.Context, c *Client, k apiCall) (T, error) {
	var out T
	raw, err := encodeBody(k.body)
	if err != nil {
		return out, err
	}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = initialBackoff, maxBackoff
	maybeAccepted := false
	answer, err := backoff.Retry(ctx, func() ([]byte, error) {
		data, err := c.tryServers(ctx, k, raw)
		var attempt *attemptError
		if errors.As(err, &attempt) {
			maybeAccepted = maybeAccepted || attempt.sent && k.isWrite()
			return nil, err
		}
		if err != nil {
			return nil, backoff.Permanent(err)
		}
		return data, nil
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(c.cfg.Total))
	if err != nil {
		return out, finalError(err, maybeAccepted)
	}
	if err := strictjson.UnmarshalKnown(answer, &out); err != nil {
		return out, eris.Wrapf(ErrInternal, "answer: %v", err)
	}
	return out, nil
}

// finalError reports a write that may have been accepted as such, whatever the
// last try met.
func finalError(err error, maybeAccepted bool) error {
	var body *Error
	switch {
	case errors.As(err, &body) && statusOf(body.Code) < http.StatusInternalServerError:
		return body
	case maybeAccepted:
		return eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	case errors.As(err, &body):
		return body
	default:
		return eris.Wrapf(ErrUnreachable, "%v", err)
	}
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	raw, err := strictjson.Marshal(body)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "body: %v", err)
	}
	return raw, nil
}

// tryServers tries each server once, beginning with the one that answered last.
func (c *Client) tryServers(ctx context.Context, k apiCall, raw []byte) ([]byte, error) {
	start := c.preferred.Load()
	sent := false
	var last error
	for i := range int64(len(c.cfg.Servers)) {
		server := (start + i) % int64(len(c.cfg.Servers))
		data, err := c.send(ctx, c.cfg.Servers[server], k, raw)
		var attempt *attemptError
		if !errors.As(err, &attempt) {
			c.preferred.Store(server)
			return data, err
		}
		sent = sent || attempt.sent
		last = attempt.err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, &attemptError{err: last, sent: sent}
}

func (c *Client) send(ctx context.Context, server string, k apiCall, raw []byte) ([]byte, error) {
	limit := c.cfg.AttemptTimeout
	if k.longPoll {
		limit = c.cfg.PollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, server+k.path, bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "request: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	if k.operation != "" {
		req.Header.Set(HeaderOperation, string(k.operation))
	}
	if k.revision != 0 {
		req.Header.Set(HeaderRevision, strconv.FormatUint(k.revision, 10))
	}
	if raw != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &attemptError{err: err, sent: !neverSent(err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, &attemptError{err: err, sent: true}
	}
	return data, responseError(resp.StatusCode, data)
}

// neverSent reports whether the connection failed before the request left.
func neverSent(err error) bool {
	var op *net.OpError
	var unknown x509.UnknownAuthorityError
	var verify *tls.CertificateVerificationError
	return errors.As(err, &op) && op.Op == "dial" || errors.As(err, &unknown) || errors.As(err, &verify)
}

// responseError returns nil for a success, an attemptError for an answer that
// another server or a later try may better, and else the error body.
func responseError(status int, data []byte) error {
	if status < http.StatusMultipleChoices {
		return nil
	}
	body := &Error{}
	if err := strictjson.UnmarshalKnown(data, body); err != nil || body.Code == "" {
		body = &Error{Code: CodeInternal, Message: "status " + strconv.Itoa(status) + " without an error body"}
	}
	switch body.Code {
	case CodeUnavailable, CodeOverloaded:
		return &attemptError{err: body}
	case CodeOutcomeUnknown, CodeInternal:
		return &attemptError{err: body, sent: true}
	default:
		return body
	}
}
