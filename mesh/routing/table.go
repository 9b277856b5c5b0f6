// Package routing decides on the entry side where a call goes: the route, the
// version by share, the backend server by load, and whether it may be tried
// again. Decisions take the time as an argument and do not block.
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

// Table is the immutable routing state of one configuration and one set of
// announcements.
type Table struct {
	// routes has the routes of each path prefix, without a slash at the end.
	routes map[string][]note.Route
	// longestPrefix is the length of the longestPrefix prefix.
	longestPrefix int
	// virtualHosts has the routes of each virtual host.
	virtualHosts map[string]*virtualHost
	// hasSplit names the routes that have a hasSplit.
	hasSplit    map[model.RouteName]bool
	services    map[model.ServiceName]*serviceTable
	dataCentres map[model.DataCentre]note.DataCentreState
}

type serviceTable struct {
	shares note.Shares
	// coldTime is how long a backend server is cold after its start; 0 if not stated.
	coldTime time.Duration
	// pools has the backend servers that take new work, by version.
	pools map[model.ServiceVersion][]membership.Announcement
}

// NewTable builds a table. Backend servers that are not serving and those in
// data centres that are out are left out. Builder does the same at a lower cost
// for a sequence of changes.
func NewTable(cfg note.Config, announcements []membership.Announcement) *Table {
	b := NewBuilder(cfg)
	b.Announce(announcements...)
	return b.Table()
}

// Match returns the route of the method with the longest path prefix. A prefix
// matches whole path segments: /a matches /a and /a/b but not /ab. Of routes
// with equal prefixes the first by name wins. A query behind the path is ignored.
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

// virtualHost has the routes of one virtual host. Their prefixes match byte by
// byte, so that a path needs no cleaning before it is matched.
type virtualHost struct {
	byPrefix map[string][]note.Route
	// prefixLengths are the prefixLengths of the prefixes, the longest first.
	prefixLengths []int
}

// MatchHost returns the route of a virtual host with the longest prefix that
// begins the path, and whether the table has routes of that host at all.
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

// Skipped returns the versions that have a share but no backend server that
// takes new work; their calls go to the other versions.
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
