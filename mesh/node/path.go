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

// errAmbiguousPath is returned for a path that a backend server could read as
// one of another route.
var errAmbiguousPath = errors.New("path with dot segments, empty segments or encoded slashes can be read as that of another route")

// matchRequest returns the route of a request: among those of its virtual host,
// whose prefixes match byte by byte, or of any host if that one has no routes.
func matchRequest(t *routing.Table, r *http.Request) (note.Route, error) {
	route, known, err := t.MatchHost(hostName(r.Host), r.Method, r.URL.EscapedPath())
	if known {
		return route, err
	}
	return matchPath(t, r.Method, r.URL)
}

// hostName returns the name in a Host header, in lower case and without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// matchPath returns the route of the cleaned path. Since the request is passed
// on unchanged, and backend servers differ in whether they remove dot segments
// and empty segments and where they decode slashes, each reading of the path
// must have the same route.
func matchPath(t *routing.Table, method string, u *url.URL) (note.Route, error) {
	route, err := t.Match(method, cleanPath(u.Path))
	if err != nil {
		return route, err
	}
	escaped := u.EscapedPath()
	for _, p := range []string{u.Path, escaped, cleanPath(escaped)} {
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
