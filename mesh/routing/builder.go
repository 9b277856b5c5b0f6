package routing

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Builder builds routing tables incrementally from a sequence of changes. Each table
// shares its unchanged parts with the previous one, so that the cost of a change does
// not grow with the number of backend servers. Builder is not safe for concurrent
// use; the tables are immutable.
type Builder struct {
	cfg note.Config
	// hosts holds the newest announcement of each host.
	hosts map[model.HostID]membership.Announcement
	// services holds the same announcements by service.
	services map[model.ServiceName]map[model.HostID]membership.Announcement
	last     *Table
	// changedServices marks the services to rebuild in the next table.
	changedServices map[model.ServiceName]bool
	// allChanged is set if the next table rebuilds all services.
	allChanged bool
	// routesChanged is set if the next table rebuilds the routes.
	routesChanged bool
}

// NewBuilder returns a builder without announcements.
func NewBuilder(cfg note.Config) *Builder {
	return &Builder{
		cfg:             cfg,
		hosts:           map[model.HostID]membership.Announcement{},
		services:        map[model.ServiceName]map[model.HostID]membership.Announcement{},
		last:            &Table{},
		changedServices: map[model.ServiceName]bool{},
		allChanged:      true,
		routesChanged:   true,
	}
}

// SetConfig replaces the configuration. d is its difference from the previous one.
func (b *Builder) SetConfig(cfg note.Config, d note.Delta) {
	b.cfg = cfg
	for _, s := range d.Services {
		b.changedServices[s.Name] = true
	}
	for _, s := range d.RemovedServices {
		b.changedServices[s] = true
	}
	for s := range d.Shares {
		b.changedServices[s] = true
	}
	for _, s := range d.RemovedShares {
		b.changedServices[s] = true
	}
	b.routesChanged = b.routesChanged || len(d.Routes)+len(d.RemovedRoutes) > 0
	b.allChanged = b.allChanged || len(d.DataCentres) > 0
}

// Announce adds new or changed announcements. It ignores those older than the known
// announcement of the same host.
func (b *Builder) Announce(changed ...membership.Announcement) {
	for _, a := range changed {
		old, known := b.hosts[a.Host]
		if known && a.Compare(old) < 0 {
			continue
		}
		if known && old.Service != a.Service {
			delete(b.services[old.Service], a.Host)
			b.changedServices[old.Service] = true
		}
		b.hosts[a.Host] = a
		if b.services[a.Service] == nil {
			b.services[a.Service] = map[model.HostID]membership.Announcement{}
		}
		b.services[a.Service][a.Host] = a
		b.changedServices[a.Service] = true
	}
}

// Forget removes hosts that are no longer members.
func (b *Builder) Forget(ids ...model.HostID) {
	for _, id := range ids {
		if old, known := b.hosts[id]; known {
			delete(b.hosts, id)
			delete(b.services[old.Service], id)
			b.changedServices[old.Service] = true
		}
	}
}

// Table returns the table for the current configuration and announcements.
func (b *Builder) Table() *Table {
	t := *b.last
	t.dataCentres, t.limits = b.cfg.DataCentres, b.cfg.Limits
	if b.routesChanged {
		t.routes, t.longestPrefix = buildRoutes(b.cfg.Routes)
		t.virtualHosts = buildVirtualHosts(b.cfg.Routes)
		t.hasSplit = map[model.RouteName]bool{}
		for name, r := range b.cfg.Routes {
			if len(r.Split) > 0 {
				t.hasSplit[name] = true
			}
		}
	}
	if b.allChanged {
		t.services = make(map[model.ServiceName]*serviceTable, len(b.cfg.Services))
		for name := range b.cfg.Services {
			t.services[name] = b.buildService(name)
		}
	} else if len(b.changedServices) > 0 {
		t.services = maps.Clone(t.services)
		for name := range b.changedServices {
			delete(t.services, name)
			if _, ok := b.cfg.Services[name]; ok {
				t.services[name] = b.buildService(name)
			}
		}
	}
	b.allChanged, b.routesChanged = false, false
	clear(b.changedServices)
	b.last = &t
	return &t
}

func (b *Builder) buildService(name model.ServiceName) *serviceTable {
	s := &serviceTable{shares: b.cfg.Shares[name], coldTime: b.cfg.Services[name].ColdTime, pools: map[model.ServiceVersion][]membership.Announcement{}}
	for _, a := range b.services[name] {
		if a.State == membership.StateServing && b.cfg.DataCentres[a.DataCentre] != note.DataCentreOut {
			s.pools[a.Version] = append(s.pools[a.Version], a)
		}
	}
	// Map order is random; without sorting, choices with a fixed seed would not be
	// reproducible.
	for _, pool := range s.pools {
		slices.SortFunc(pool, func(a, b membership.Announcement) int { return cmp.Compare(a.Host, b.Host) })
	}
	return s
}

// buildRoutes returns the routes without a virtual host by path prefix, and the length
// of the longest prefix.
func buildRoutes(all map[model.RouteName]note.Route) (routes map[string][]note.Route, longest int) {
	routes = make(map[string][]note.Route, len(all))
	for _, r := range all {
		if r.Host != "" {
			continue
		}
		prefix := strings.TrimRight(r.PathPrefix, "/")
		routes[prefix] = append(routes[prefix], r)
		longest = max(longest, len(prefix))
	}
	for _, same := range routes {
		slices.SortFunc(same, func(a, b note.Route) int { return cmp.Compare(a.Name, b.Name) })
	}
	return routes, longest
}

// buildVirtualHosts returns the routes of each virtual host.
func buildVirtualHosts(all map[model.RouteName]note.Route) map[string]*virtualHost {
	hosts := map[string]*virtualHost{}
	for _, r := range all {
		if r.Host == "" {
			continue
		}
		h := hosts[r.Host]
		if h == nil {
			h = &virtualHost{byPrefix: map[string][]note.Route{}}
			hosts[r.Host] = h
		}
		h.byPrefix[r.PathPrefix] = append(h.byPrefix[r.PathPrefix], r)
		if !slices.Contains(h.prefixLengths, len(r.PathPrefix)) {
			h.prefixLengths = append(h.prefixLengths, len(r.PathPrefix))
		}
	}
	for _, h := range hosts {
		slices.SortFunc(h.prefixLengths, func(a, b int) int { return cmp.Compare(b, a) })
		for _, same := range h.byPrefix {
			slices.SortFunc(same, func(a, b note.Route) int { return cmp.Compare(a.Name, b.Name) })
		}
	}
	return hosts
}
