package note

import (
	"maps"

	"balsamtrail.org/mesh/model"
)

// builder folds notes into one configuration. An outer map is copied before
// its first change; the inner maps of shares are replaced as a whole. Maps that
// no note touches stay shared, which keeps small changes and their Diff cheap.
type builder struct {
	cfg Config
	// changed lists what the folded notes touched, for validateChange.
	changed Delta

	ownServices, ownRoutes, ownShares bool
}

func newBuilder(c Config) *builder { return &builder{cfg: c} }

// own copies a map on its first change.
func own[K comparable, V any](m *map[K]V, owned *bool) map[K]V {
	if !*owned {
		*m, *owned = maps.Clone(*m), true
	}
	return *m
}

func (b *builder) services() map[model.ServiceName]Service {
	return own(&b.cfg.Services, &b.ownServices)
}

func (b *builder) routes() map[model.RouteName]Route { return own(&b.cfg.Routes, &b.ownRoutes) }

func (b *builder) shares() map[model.ServiceName]Shares { return own(&b.cfg.Shares, &b.ownShares) }

// fold applies a note: what it adds must be absent, what it changes or
// withdraws must be present. steps are the shares that its moves have reached.
func (b *builder) fold(n Note, steps map[model.ServiceName]Shares) error {
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
	return b.checkAdded(n)
}

func (b *builder) foldServices(n Note) error {
	for i, s := range n.Services.Added {
		if _, ok := b.cfg.Services[s.Name]; ok {
			return invalid(index("services.added", i), "service %q exists already", s.Name)
		}
		b.setService(s)
	}
	for i, s := range n.Services.Changed {
		if _, ok := b.cfg.Services[s.Name]; !ok {
			return invalid(index("services.changed", i), "unknown service %q", s.Name)
		}
		b.setService(s)
	}
	for i, w := range n.Services.Withdrawn {
		name := model.ServiceName(w)
		if _, ok := b.cfg.Services[name]; !ok {
			return invalid(index("services.withdrawn", i), "unknown service %q", w)
		}
		delete(b.services(), name)
		delete(b.shares(), name)
		delete(b.changed.Shares, name)
		b.changed.RemovedServices = append(b.changed.RemovedServices, name)
	}
	return nil
}

func (b *builder) setService(s Service) {
	b.services()[s.Name] = s
	b.changed.Services = append(b.changed.Services, s)
}

func (b *builder) foldRoutes(n Note) error {
	for i, r := range n.Routes.Added {
		if _, ok := b.cfg.Routes[r.Name]; ok {
			return invalid(index("routes.added", i), "route %q exists already", r.Name)
		}
		b.setRoute(r)
	}
	for i, r := range n.Routes.Changed {
		if _, ok := b.cfg.Routes[r.Name]; !ok {
			return invalid(index("routes.changed", i), "unknown route %q", r.Name)
		}
		b.setRoute(r)
	}
	for i, w := range n.Routes.Withdrawn {
		name := model.RouteName(w)
		if _, ok := b.cfg.Routes[name]; !ok {
			return invalid(index("routes.withdrawn", i), "unknown route %q", w)
		}
		delete(b.routes(), name)
	}
	return nil
}

func (b *builder) setRoute(r Route) {
	b.routes()[r.Name] = r
	b.changed.Routes = append(b.changed.Routes, r)
}

func (b *builder) foldTraffic(n Note) error {
	for i, s := range n.Shares {
		if _, ok := b.cfg.Services[s.Service]; !ok {
			return invalid(index("shares", i)+".service", "unknown service %q", s.Service)
		}
		b.setShares(s.Service, s.Shares)
	}
	for i, m := range n.Moves {
		if _, ok := b.cfg.Services[m.Service]; !ok {
			return invalid(index("moves", i)+".service", "unknown service %q", m.Service)
		}
		if len(b.cfg.Shares[m.Service]) == 0 {
			b.setShares(m.Service, Shares{m.To: model.ShareAll})
		}
	}
	return nil
}

func (b *builder) setShares(service model.ServiceName, shares Shares) {
	b.shares()[service] = shares
	b.changed.setShares(service, shares)
}

// checkAdded refuses an added service that no version would answer.
func (b *builder) checkAdded(n Note) error {
	if n.Declared {
		return nil
	}
	for i, s := range n.Services.Added {
		if len(b.cfg.Shares[s.Name]) == 0 {
			return invalid(index("services.added", i),
				"service %q has no version: state its shares, or a move to its first version", s.Name)
		}
	}
	return nil
}

// checkMoves refuses a move that would shift nothing; before is the
// configuration that the note is folded over.
func checkMoves(n Note, before Config) error {
	for i, m := range n.Moves {
		if before.Shares[m.Service][m.To] == model.ShareAll {
			return invalid(index("moves", i)+".to", "version %q of service %q already takes all traffic", m.To, m.Service)
		}
	}
	return nil
}

// statesTraffic reports whether the note states the traffic of the service.
func (n Note) statesTraffic(service model.ServiceName) bool {
	for _, s := range n.Shares {
		if s.Service == service {
			return true
		}
	}
	_, ok := n.move(service)
	return ok
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

// Preview returns the configuration that publishing n over c results in. It
// checks all but the note's number and the deadlines.
func Preview(c Config, n Note) (Config, error) {
	if err := n.Check(); err != nil {
		return Config{}, err
	}
	if err := checkMoves(n, c); err != nil {
		return Config{}, err
	}
	b := newBuilder(c)
	if err := b.fold(n, nil); err != nil {
		return Config{}, err
	}
	if err := Validate(b.cfg); err != nil {
		return Config{}, err
	}
	return b.cfg, validateDistinct(b.cfg, b.changed.Routes)
}
