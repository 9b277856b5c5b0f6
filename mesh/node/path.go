package node

import (
	"errors"
	"net"
	"net/http"
	"net/url"
	"path"
	"strings"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// errAmbiguousPath is returned for a path that a backend server could interpret as a
// path of another route.
var errAmbiguousPath = errors.New("path with dot segments, empty segments or encoded slashes can be read as that of another route")

// errTargetNotPassedOn is returned for a request target that the backend server would get
// changed: net/http can send a path that begins with two slashes only in its normal form.
var errTargetNotPassedOn = errors.New("path that begins with two slashes has characters that URIs do not allow")

// requestTarget returns the path and the query of a request as the caller sent them. The
// forms of net/url would escape characters that URIs do not allow.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI() // the absolute form names scheme and host too
}

// matchRequest returns the route of a request. If its virtual host has routes, only
// those are matched, byte by byte; otherwise the routes without a host are.
func matchRequest(t *routing.Table, r *http.Request) (note.Route, error) {
	target := requestTarget(r)
	if strings.HasPrefix(target, "//") && target != r.URL.RequestURI() {
		return note.Route{}, errTargetNotPassedOn
	}
	raw, _, _ := strings.Cut(target, "?")
	route, known, err := t.MatchHost(hostName(r.Host), r.Method, raw)
	if known {
		return route, err
	}
	return matchPath(t, r.Method, r.URL, raw)
}

// hostName returns the host name in a Host header, in lower case and without the port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// matchPath returns the route of the cleaned path. The request is forwarded unchanged,
// and backend servers differ in whether they remove dot segments and empty segments
// and in where they decode slashes. So every interpretation of the path must match the
// same route. raw is the path as the caller sent it.
func matchPath(t *routing.Table, method string, u *url.URL, raw string) (note.Route, error) {
	route, err := t.Match(method, cleanPath(u.Path))
	if err != nil {
		return route, err
	}
	escaped := u.EscapedPath()
	for _, p := range []string{u.Path, escaped, cleanPath(escaped), raw, cleanPath(raw)} {
		if other, err := t.Match(method, p); err != nil || other.Name != route.Name {
			return note.Route{}, errAmbiguousPath
		}
	}
	return route, nil
}

// cleanPath removes dot segments and empty segments from an absolute path.
func cleanPath(p string) string {
	if !strings.HasPrefix(p, "/") {
		return p
	}
	return path.Clean(p)
}
