// Package routing decides on the entry node, where a call enters the mesh, which
// route it matches, which version it goes to by share, which backend server by load,
// and whether it may be retried or hedged. All functions take the current time as an
// argument and none of them blocks.
package routing

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Table is an immutable routing table, built from one configuration and one set of
// announcements.
type Table struct {
	// routes maps each path prefix, without trailing slashes, to its routes.
	routes map[string][]note.Route
	// longestPrefix is the length in bytes of the longest prefix in routes.
	longestPrefix int
	// virtualHosts holds the routes of each virtual host.
	virtualHosts map[string]*virtualHost
	// hasSplit marks the routes that have a split.
	hasSplit    map[model.RouteName]bool
	services    map[model.ServiceName]*serviceTable
	dataCentres map[model.DataCentre]note.DataCentreState
	limits      note.CallerLimits
}

// Limits returns the limits of callers' requests.
func (t *Table) Limits() note.CallerLimits { return t.limits }

// serviceTable is the part of a Table that concerns one service.
type serviceTable struct {
	// shares is nil if the configuration states none.
	shares note.Shares
	// coldTime is how long a backend server is cold after its start; 0 if the service
	// does not state it.
	coldTime time.Duration
	// pools holds the backend servers that accept new requests, by version.
	pools map[model.ServiceVersion][]membership.Announcement
}

// NewTable builds a table. It leaves out backend servers that are not serving and
// those in data centres that are out of service. For a sequence of changes, Builder
// does the same at lower cost.
func NewTable(cfg note.Config, announcements []membership.Announcement) *Table {
	b := NewBuilder(cfg)
	b.Announce(announcements...)
	return b.Table()
}

// Match returns the route for the method with the longest matching path prefix. A
// prefix matches whole path segments: /a matches /a and /a/b but not /ab. Among routes
// with equal prefixes the first by name is chosen. A query after the path is ignored.
func (t *Table) Match(method, path string) (note.Route, error) {
	path, _, _ = strings.Cut(path, "?")
	prefix, otherMethod := path, false
	for {
		if len(prefix) <= t.longestPrefix {
			for _, r := range t.routes[prefix] {
				if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
					return r, nil
				}
				otherMethod = true
			}
		}
		i := strings.LastIndexByte(prefix, '/')
		if i < 0 {
			break
		}
		prefix = prefix[:i]
	}
	if otherMethod {
		return note.Route{}, eris.Wrapf(ErrMethodNotAllowed, "%s %.200s", method, path)
	}
	return note.Route{}, eris.Wrapf(ErrNoRoute, "%.200s", path)
}

// virtualHost holds the routes of one virtual host. Their prefixes match byte by byte,
// so that paths need no normalization before they are matched.
type virtualHost struct {
	byPrefix map[string][]note.Route
	// prefixLengths holds the distinct lengths of the prefixes in bytes, longest first.
	prefixLengths []int
}

// MatchHost returns the route of a virtual host for the method with the longest
// prefix of the path. known reports whether the table has any routes of that host.
func (t *Table) MatchHost(host, method, path string) (r note.Route, known bool, err error) {
	h := t.virtualHosts[host]
	if h == nil {
		return note.Route{}, false, nil
	}
	otherMethod := false
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		for _, r := range h.byPrefix[path[:n]] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, true, nil
			}
			otherMethod = true
		}
	}
	if otherMethod {
		return note.Route{}, true, eris.Wrapf(ErrMethodNotAllowed, "%s %s%.200s", method, host, path)
	}
	return note.Route{}, true, eris.Wrapf(ErrNoRoute, "%s%.200s", host, path)
}

// Skipped returns the versions that have a share but no backend server that accepts
// new requests. Their calls go to the other versions.
func (t *Table) Skipped() map[model.ServiceName][]model.ServiceVersion {
	skipped := map[model.ServiceName][]model.ServiceVersion{}
	for name, s := range t.services {
		for v, share := range s.shares {
			if share > 0 && len(s.pools[v]) == 0 {
				skipped[name] = append(skipped[name], v)
			}
		}
		slices.Sort(skipped[name])
	}
	return skipped
}
