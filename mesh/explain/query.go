package explain

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// ErrInvalid is returned for a query with an invalid field.
var ErrInvalid = errors.New("invalid query")

// FieldError is an ErrInvalid that names the field, which is also the name of the flag of
// the operators' tool.
type FieldError struct {
	Field   string `json:"field"`
	Message string `json:"error"`
}

// Error implements error.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Field, e.Message) }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

func invalid(field, format string, args ...any) error {
	return &FieldError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// Request is the request to explain.
type Request struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path with the query, if any, as the caller would send it.
	Path string `json:"path"`
	// TimeoutMs is the timeout that the caller states; 0 if none.
	TimeoutMs int64 `json:"timeout_ms,omitempty"`
}

// Check returns a FieldError for the first invalid field.
func (r Request) Check() error {
	_, err := r.HTTPRequest()
	return err
}

// HTTPRequest returns the request as a node would get it, without headers.
func (r Request) HTTPRequest() (*http.Request, error) {
	switch {
	case r.Method == "":
		return nil, invalid("method", "is required")
	case !isToken(r.Method):
		return nil, invalid("method", "%q is not an HTTP method", r.Method)
	case r.Path == "":
		return nil, invalid("path", "is required")
	case !strings.HasPrefix(r.Path, "/"):
		return nil, invalid("path", "%q does not begin with a slash", r.Path)
	case strings.ContainsAny(r.Host, "/ \t\r\n@?#"):
		return nil, invalid("host", "%q is not a host name with an optional port", r.Host)
	case r.TimeoutMs < 0:
		return nil, invalid("timeout", "%d ms, want more than 0", r.TimeoutMs)
	}
	u, err := url.ParseRequestURI(r.Path)
	if err != nil || strings.ContainsAny(r.Path, " \t\r\n") {
		return nil, invalid("path", "%q is not a path as in an HTTP request", r.Path)
	}
	return &http.Request{
		Method: r.Method, URL: u, RequestURI: r.Path, Host: r.Host, Header: http.Header{},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}, nil
}

// isToken reports whether s is a token of RFC 9110.
func isToken(s string) bool {
	return s != "" && strings.IndexFunc(s, func(c rune) bool {
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		return !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
	}) < 0
}

// Values returns the query of a URL for the request.
func (r Request) Values() url.Values {
	v := url.Values{"method": {r.Method}, "host": {r.Host}, "path": {r.Path}}
	if r.TimeoutMs > 0 {
		v.Set("timeout", (time.Duration(r.TimeoutMs) * time.Millisecond).String())
	}
	return v
}

// ParseValues returns the request in the query of a URL. The method defaults to GET.
func ParseValues(v url.Values) (Request, error) {
	for name := range v {
		switch {
		case name != "method" && name != "host" && name != "path" && name != "timeout":
			return Request{}, invalid(name, "is not known: want method, host, path and timeout")
		case len(v[name]) > 1:
			return Request{}, invalid(name, "is given twice")
		}
	}
	r := Request{Method: v.Get("method"), Host: v.Get("host"), Path: v.Get("path")}
	if !v.Has("method") {
		r.Method = http.MethodGet
	}
	if text := v.Get("timeout"); v.Has("timeout") {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout < time.Millisecond {
			return Request{}, invalid("timeout", "%q is not a time of at least 1ms such as 800ms", text)
		}
		r.TimeoutMs = timeout.Milliseconds()
	}
	return r, r.Check()
}

// CheckAddress returns a FieldError if address is not the host:port of a node's
// administration address.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || port == "" {
		return invalid("node", "%q is not host:port", address)
	}
	return nil
}
