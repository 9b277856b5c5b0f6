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
	// With several URLs the client skips hosts that are down.
	Servers []string
	// Token is the operator's bearer token.
	Token string
	// CA holds the certificate authorities that sign the servers' certificates.
	CA *x509.CertPool
	// AttemptTimeout is the timeout of one request to one server; default 5s. A
	// lower value skips an unresponsive server sooner, but fails on slow answers.
	AttemptTimeout time.Duration
	// PollTimeout is the timeout of one long poll; default 60s. It must be longer
	// than the server's ServerConfig.WatchTimeout.
	PollTimeout time.Duration
	// TotalTimeout is the timeout of one call with all its retries; default 30s. A higher
	// value outlasts an election or outage, a lower one reports it sooner.
	TotalTimeout time.Duration
}

const (
	// defaultAttemptTimeout is the default of ClientConfig.AttemptTimeout.
	defaultAttemptTimeout = 5 * time.Second
	// defaultPollTimeout is the default of ClientConfig.PollTimeout.
	defaultPollTimeout = time.Minute
	// defaultTotalTimeout is the default of ClientConfig.TotalTimeout.
	defaultTotalTimeout = 30 * time.Second
	// initialBackoff is the wait before the first retry.
	initialBackoff = 50 * time.Millisecond
	// maxBackoff is the longest wait between two retries.
	maxBackoff = 2 * time.Second
	// dialTimeout is the timeout of the TCP connect and of the TLS handshake.
	dialTimeout = 2 * time.Second
	// maxResponseBytes is the largest size of a response body in bytes; the rest of
	// a longer body is not read.
	maxResponseBytes = 64 << 20
)

// Client calls the operator interface of one or several control hosts. It is safe
// for concurrent use.
type Client struct {
	cfg  ClientConfig
	http *http.Client
	// preferred is the index of the server that answered last; the next call tries
	// it first.
	preferred atomic.Int64
}

// NewClient returns a client. The client connects on its first call.
func NewClient(cfg ClientConfig) (*Client, error) {
	if len(cfg.Servers) == 0 {
		return nil, eris.Wrap(ErrInvalid, "no server URL is given")
	}
	for i, s := range cfg.Servers {
		if !strings.HasPrefix(s, "https://") && !strings.HasPrefix(s, "http://") {
			return nil, eris.Wrapf(ErrInvalid, "server %q is not a URL such as https://127.0.0.1:7101", s)
		}
		cfg.Servers[i] = strings.TrimSuffix(s, "/")
	}
	setDefault(&cfg.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&cfg.PollTimeout, defaultPollTimeout)
	setDefault(&cfg.TotalTimeout, defaultTotalTimeout)
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{
		TLSClientConfig:     &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: cfg.CA},
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSHandshakeTimeout: dialTimeout,
		IdleConnTimeout:     idleTimeout,
		ForceAttemptHTTP2:   true,
	}}}, nil
}

func setDefault(d *time.Duration, defaultValue time.Duration) {
	if *d == 0 {
		*d = defaultValue
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// apiCall is one call of the interface. It may be sent several times, to different
// servers.
type apiCall struct {
	method, path string
	operation    model.OperationID
	// revision is the expected revision of the note; 0 sends none.
	revision uint64
	// body is marshalled to JSON; nil sends no body.
	body any
	// longPoll selects PollTimeout in place of AttemptTimeout.
	longPoll bool
}

func (k apiCall) isWrite() bool { return k.method != http.MethodGet }

// attemptError is a failed attempt that is worth retrying, with another server or
// later.
type attemptError struct {
	err error
	// sent reports whether a server may have accepted the request.
	sent bool
}

func (e *attemptError) Error() string { return e.err.Error() }
func (e *attemptError) Unwrap() error { return e.err }

// do sends a call until a server gives a final answer. Every attempt of a write
// carries the same operation id, so the write is applied at most once.
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
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(c.cfg.TotalTimeout))
	if err != nil {
		return out, finalError(err, maybeAccepted)
	}
	if err := strictjson.UnmarshalIgnoringUnknown(answer, &out); err != nil {
		return out, eris.Wrapf(ErrInternal, "decode answer: %v", err)
	}
	return out, nil
}

// finalError returns the error of a failed call. An error body with a status below
// 500 is final and returned as is. Otherwise, if any attempt of a write may have been
// accepted, the error is ErrOutcomeUnknown, whatever the last attempt returned.
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
		return nil, eris.Wrapf(ErrInvalid, "encode body: %v", err)
	}
	return raw, nil
}

// tryServers tries each server once, starting with the preferred one.
func (c *Client) tryServers(ctx context.Context, k apiCall, raw []byte) ([]byte, error) {
	start := c.preferred.Load()
	sent := false
	var last error
	for i := range int64(len(c.cfg.Servers)) {
		server := (start + i) % int64(len(c.cfg.Servers))
		data, err := c.sendOnce(ctx, c.cfg.Servers[server], k, raw)
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

func (c *Client) sendOnce(ctx context.Context, server string, k apiCall, raw []byte) ([]byte, error) {
	limit := c.cfg.AttemptTimeout
	if k.longPoll {
		limit = c.cfg.PollTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, server+k.path, bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "create request: %v", err)
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

// neverSent reports whether the connection failed before the request was sent.
func neverSent(err error) bool {
	var op *net.OpError
	var unknown x509.UnknownAuthorityError
	var verify *tls.CertificateVerificationError
	return errors.As(err, &op) && op.Op == "dial" || errors.As(err, &unknown) || errors.As(err, &verify)
}

// responseError returns nil for a success, an attemptError for an error that is
// worth retrying, and the error body for any other error.
func responseError(status int, data []byte) error {
	if status < http.StatusOK { // net/http reads any three digits
		return &attemptError{err: eris.Errorf("invalid answer: status %03d", status), sent: true}
	}
	if status < http.StatusMultipleChoices {
		return nil
	}
	body := &Error{}
	if err := strictjson.UnmarshalIgnoringUnknown(data, body); err != nil || body.Code == "" {
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
