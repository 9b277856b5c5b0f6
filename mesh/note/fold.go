package note

import (
	"maps"
	"slices"

	"balsamtrail.org/mesh/model"
)

// configBuilder folds notes into a configuration. It copies an outer map before
// the first change to it and replaces the shares of a service as a whole. Maps
// that no note changes stay shared, which keeps small changes and their Diff cheap.
type configBuilder struct {
	cfg Config
	// changed collects the changes of the folded notes for validateChange. Withdrawn
	// routes are left out, since nothing refers to a route.
	changed Delta

	// These report which maps of cfg are copies that may be modified.
	copiedServices, copiedRoutes, copiedShares bool
}

func newConfigBuilder(c Config) *configBuilder { return &configBuilder{cfg: c} }

// copyOnWrite returns the map m after replacing it with a copy on the first call.
func copyOnWrite[K comparable, V any](m *map[K]V, copied *bool) map[K]V {
	if !*copied {
		*m, *copied = maps.Clone(*m), true
	}
	return *m
}

func (b *configBuilder) mutableServices() map[model.ServiceName]Service {
	return copyOnWrite(&b.cfg.Services, &b.copiedServices)
}

func (b *configBuilder) mutableRoutes() map[model.RouteName]Route {
	return copyOnWrite(&b.cfg.Routes, &b.copiedRoutes)
}

func (b *configBuilder) mutableShares() map[model.ServiceName]Shares {
	return copyOnWrite(&b.cfg.Shares, &b.copiedShares)
}

// fold applies a note: what it adds must be absent, what it changes or withdraws
// must be present. steps holds the shares that its moves have reached.
func (b *configBuilder) fold(n Note, steps map[model.ServiceName]Shares) error {
	if err := b.foldServices(n); err != nil {
		return err
	}
	if err := b.foldRoutes(n); err != nil {
		return err
	}
	if err := b.foldTraffic(n); err != nil {
		return err
	}
	for service, shares := range steps {
		b.setShares(service, shares)
	}
	if n.Limits != nil {
		b.cfg.Limits, b.changed.Limits = *n.Limits, n.Limits
	}
	return b.checkAddedServices(n)
}

func (b *configBuilder) foldServices(n Note) error {
	for i, s := range n.Services.Added {
		if _, ok := b.cfg.Services[s.Name]; ok {
			return invalid(indexPath("services.added", i), "service %q exists already", s.Name)
		}
		b.setService(s)
	}
	for i, s := range n.Services.Changed {
		if _, ok := b.cfg.Services[s.Name]; !ok {
			return invalid(indexPath("services.changed", i), "unknown service %q", s.Name)
		}
		b.setService(s)
	}
	for i, w := range n.Services.Withdrawn {
		name := model.ServiceName(w)
		if _, ok := b.cfg.Services[name]; !ok {
			return invalid(indexPath("services.withdrawn", i), "unknown service %q", w)
		}
		delete(b.mutableServices(), name)
		delete(b.mutableShares(), name)
		delete(b.changed.Shares, name)
		b.changed.RemovedServices = append(b.changed.RemovedServices, name)
	}
	return nil
}

func (b *configBuilder) setService(s Service) {
	b.mutableServices()[s.Name] = s
	b.changed.Services = append(b.changed.Services, s)
}

func (b *configBuilder) foldRoutes(n Note) error {
	for i, r := range n.Routes.Added {
		if _, ok := b.cfg.Routes[r.Name]; ok {
			return invalid(indexPath("routes.added", i), "route %q exists already", r.Name)
		}
		b.setRoute(r)
	}
	for i, r := range n.Routes.Changed {
		if _, ok := b.cfg.Routes[r.Name]; !ok {
			return invalid(indexPath("routes.changed", i), "unknown route %q", r.Name)
		}
		b.setRoute(r)
	}
	for i, w := range n.Routes.Withdrawn {
		name := model.RouteName(w)
		if _, ok := b.cfg.Routes[name]; !ok {
			return invalid(indexPath("routes.withdrawn", i), "unknown route %q", w)
		}
		delete(b.mutableRoutes(), name)
	}
	return nil
}

func (b *configBuilder) setRoute(r Route) {
	b.mutableRoutes()[r.Name] = r
	b.changed.Routes = append(b.changed.Routes, r)
}

func (b *configBuilder) foldTraffic(n Note) error {
	for i, s := range n.Shares {
		if _, ok := b.cfg.Services[s.Service]; !ok {
			return invalid(indexPath("shares", i)+".service", "unknown service %q", s.Service)
		}
		b.setShares(s.Service, s.Shares)
	}
	for i, m := range n.Moves {
		if _, ok := b.cfg.Services[m.Service]; !ok {
			return invalid(indexPath("moves", i)+".service", "unknown service %q", m.Service)
		}
		if len(b.cfg.Shares[m.Service]) == 0 {
			b.setShares(m.Service, Shares{m.To: model.ShareAll})
		}
	}
	return nil
}

func (b *configBuilder) setShares(service model.ServiceName, shares Shares) {
	b.mutableShares()[service] = shares
	b.changed.setShares(service, shares)
}

// checkAddedServices refuses an added service without shares, since no version
// would receive its calls. A declared note may add one; see Note.Declared.
func (b *configBuilder) checkAddedServices(n Note) error {
	if n.Declared {
		return nil
	}
	for i, s := range n.Services.Added {
		if len(b.cfg.Shares[s.Name]) == 0 {
			return invalid(indexPath("services.added", i),
				"service %q has no version: state its shares, or a move to its first version", s.Name)
		}
	}
	return nil
}

// checkMoveTargets refuses a move to a version that already takes all traffic in
// before, the configuration without the note.
func checkMoveTargets(n Note, before Config) error {
	for i, m := range n.Moves {
		if before.Shares[m.Service][m.To] == model.ShareAll {
			return invalid(indexPath("moves", i)+".to", "version %q of service %q already takes all traffic", m.To, m.Service)
		}
	}
	return nil
}

// setsTraffic reports whether the note has shares or a move for the service.
func (n Note) setsTraffic(service model.ServiceName) bool {
	for _, s := range n.Shares {
		if s.Service == service {
			return true
		}
	}
	_, ok := n.move(service)
	return ok
}

// adds reports whether the note adds the service.
func (n Note) adds(service model.ServiceName) bool {
	return slices.ContainsFunc(n.Services.Added, func(s Service) bool { return s.Name == service })
}

func (n Note) move(service model.ServiceName) (Move, bool) {
	for _, m := range n.Moves {
		if m.Service == service {
			return m, true
		}
	}
	return Move{}, false
}

func (m Move) equal(o Move) bool {
	return m.Service == o.Service && m.To == o.To && m.By.Equal(o.By) && m.WatchFor == o.WatchFor
}

// Preview returns the configuration that results from publishing n on top of c.
// It checks everything except the note's number and the deadlines of its moves.
func Preview(c Config, n Note) (Config, error) {
	if err := n.Check(); err != nil {
		return Config{}, err
	}
	if err := checkMoveTargets(n, c); err != nil {
		return Config{}, err
	}
	b := newConfigBuilder(c)
	if err := b.fold(n, nil); err != nil {
		return Config{}, err
	}
	if err := Validate(b.cfg); err != nil {
		return Config{}, err
	}
	return b.cfg, validateDistinctRoutes(b.cfg, b.changed.Routes)
}
