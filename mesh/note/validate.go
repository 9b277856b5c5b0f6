package note

import (
	"slices"
	"strings"
	"time"

	"balsamtrail.org/mesh/model"
)

// Limits of fields to which a front end may bound what its operators state.
const (
	// MaxRetries is the upper limit of Route.MaxRetries.
	MaxRetries = 5
	// MaxConnections is the upper limit of Service.Connections.
	MaxConnections = 10_000
	// MaxTimeout is the upper limit of timeouts, cold times and latency targets.
	MaxTimeout = 10 * time.Minute
	// MaxWeight is the maximum weight of one service in a split.
	MaxWeight = 1_000_000
	// MaxColdRate is the upper limit of Service.ColdRate in requests per second.
	MaxColdRate = 1e6
)

// Limits of the fields of a configuration.
const (
	// maxNameLength is the maximum length of a name in bytes.
	maxNameLength = 64
	// maxSlots is the maximum number of concurrent requests on one backend server.
	maxSlots = 10_000
	// maxQueueLimit is the maximum number of requests that wait for one backend server.
	maxQueueLimit = 100_000
	// maxSplitParts is the maximum number of services in a split.
	maxSplitParts = 64
	// maxHostLength is the maximum length of a virtual host in bytes.
	maxHostLength = 253
	// maxRoutes is the maximum number of routes in a configuration.
	maxRoutes = 50_000
	// maxServices is the maximum number of services in a configuration.
	maxServices = 10_000
	// maxVersionsPerService is the maximum number of versions that share the traffic
	// of one service.
	maxVersionsPerService = 16
	// maxPathLength is the maximum length of a path prefix or health path in bytes.
	maxPathLength = 1_024
)

var httpMethods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true,
}

// Validate checks the services, routes and shares of a configuration. The error
// names the field.
func Validate(c Config) error {
	if err := validateSize(c); err != nil {
		return err
	}
	if err := validateLimits(c.Limits); err != nil {
		return err
	}
	for name, s := range c.Services {
		if err := validateService(keyPath("services", string(name)), name, s); err != nil {
			return err
		}
	}
	for name := range c.Routes {
		if err := validateRouteIn(c, name); err != nil {
			return err
		}
	}
	for name := range c.Shares {
		if err := validateSharesIn(c, name); err != nil {
			return err
		}
	}
	return nil
}

// validateChange is Validate for a configuration that differs from a valid one
// by d only: it checks the changes in d and what refers to a removed service.
func validateChange(c Config, d Delta) error {
	if err := validateSize(c); err != nil {
		return err
	}
	if err := validateLimits(c.Limits); err != nil {
		return err
	}
	for _, s := range d.Services {
		if err := validateService(keyPath("services", string(s.Name)), s.Name, s); err != nil {
			return err
		}
	}
	for _, r := range d.Routes {
		if _, ok := c.Routes[r.Name]; !ok {
			continue // removed by the same delta
		}
		if err := validateRouteIn(c, r.Name); err != nil {
			return err
		}
	}
	for name := range d.Shares {
		if _, ok := c.Shares[name]; !ok {
			continue // removed by the same delta
		}
		if err := validateSharesIn(c, name); err != nil {
			return err
		}
	}
	return validateRemovedServices(c, d.RemovedServices)
}

// validateRemovedServices checks that no route or shares refer to a removed service.
func validateRemovedServices(c Config, removed []model.ServiceName) error {
	if len(removed) == 0 {
		return nil
	}
	for name := range c.Routes {
		if err := validateRouteIn(c, name); err != nil {
			return err
		}
	}
	for _, name := range removed {
		if _, ok := c.Shares[name]; !ok {
			continue
		}
		if err := validateSharesIn(c, name); err != nil {
			return err
		}
	}
	return nil
}

// MaxBodyBytes is the upper limit of CallerLimits.BodyBytes.
const MaxBodyBytes = 1 << 40

// MaxHeaderBytes is the upper limit of CallerLimits.HeaderBytes. Nodes pass on no larger
// heads to each other.
const MaxHeaderBytes = 64 << 10

func validateLimits(l CallerLimits) error {
	switch {
	case l.HeaderBytes < 0 || l.HeaderBytes > MaxHeaderBytes:
		return invalid("limits.header_bytes", "%d, want 0 to %d", l.HeaderBytes, MaxHeaderBytes)
	case l.BodyBytes < 0 || l.BodyBytes > MaxBodyBytes:
		return invalid("limits.body_bytes", "%d, want 0 to %d", l.BodyBytes, int64(MaxBodyBytes))
	}
	return nil
}

func validateSize(c Config) error {
	if len(c.Services) > maxServices {
		return invalid("services", "%d services, at most %d", len(c.Services), maxServices)
	}
	if len(c.Routes) > maxRoutes {
		return invalid("routes", "%d routes, at most %d", len(c.Routes), maxRoutes)
	}
	return nil
}

// keyPath returns the path of a map element, such as services[ledger].
func keyPath(list, name string) string { return list + "[" + name + "]" }

func validateService(field string, name model.ServiceName, s Service) error {
	switch {
	case !validName(string(name)) || name != s.Name:
		return invalid(field+".name", "%q is not a name", s.Name)
	case s.Slots < 1 || s.Slots > maxSlots:
		return invalid(field+".slots", "%d, want 1 to %d", s.Slots, maxSlots)
	case s.Connections < 1 || s.Connections > MaxConnections:
		return invalid(field+".connections", "%d, want 1 to %d", s.Connections, MaxConnections)
	case s.QueueLimit < 0 || s.QueueLimit > maxQueueLimit:
		return invalid(field+".queue_limit", "%d, want 0 to %d", s.QueueLimit, maxQueueLimit)
	case s.QueueTimeout < 0 || s.QueueTimeout > MaxTimeout:
		return invalid(field+".queue_timeout", "%s, want 0 to %s", s.QueueTimeout, MaxTimeout)
	case s.HealthPath != "" && (!strings.HasPrefix(s.HealthPath, "/") || len(s.HealthPath) > maxPathLength):
		return invalid(field+".health_path", "%q, want a path of at most %d bytes that starts with /", s.HealthPath, maxPathLength)
	case s.ColdTime < 0 || s.ColdTime > MaxTimeout:
		return invalid(field+".cold_time", "%s, want 0 to %s", s.ColdTime, MaxTimeout)
	case !(s.ColdRate >= 0 && s.ColdRate <= MaxColdRate):
		return invalid(field+".cold_rate", "%g, want 0 to %g", s.ColdRate, MaxColdRate)
	}
	return nil
}

func validateRouteIn(c Config, name model.RouteName) error {
	field, r := keyPath("routes", string(name)), c.Routes[name]
	for _, d := range r.Destinations() {
		if _, ok := c.Services[d.Service]; !ok {
			if len(r.Split) > 0 {
				return invalid(field+".split", "unknown service %q", d.Service)
			}
			return invalid(field+".service", "unknown service %q", d.Service)
		}
	}
	return validateRoute(field, name, r)
}

func validateRoute(field string, name model.RouteName, r Route) error {
	switch {
	case !validName(string(name)) || name != r.Name:
		return invalid(field+".name", "%q is not a name", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathLength:
		return invalid(field+".path_prefix", "%q, want a path of at most %d bytes that starts with /", r.PathPrefix, maxPathLength)
	case !r.Kind.Valid():
		return invalid(field+".kind", "%d is not a kind", r.Kind)
	case r.Timeout <= 0 || r.Timeout > MaxTimeout:
		return invalid(field+".timeout", "%s, want more than 0 and at most %s", r.Timeout, MaxTimeout)
	case r.MaxRetries < 0 || r.MaxRetries > MaxRetries:
		return invalid(field+".max_retries", "%d, want 0 to %d", r.MaxRetries, MaxRetries)
	case r.Hedge && r.Kind != model.KindLookup:
		return invalid(field+".hedge", "only lookups may be hedged")
	case len(r.Host) > maxHostLength || r.Host != strings.ToLower(r.Host):
		return invalid(field+".host", "%q, want lower case and at most %d bytes", r.Host, maxHostLength)
	case r.LatencyTarget < 0 || r.LatencyTarget > MaxTimeout:
		return invalid(field+".latency_target", "%s, want 0 to %s", r.LatencyTarget, MaxTimeout)
	case r.Unkeyed && r.Kind.Idempotent():
		return invalid(field+".unkeyed", "a %s has no idempotency key", r.Kind)
	case r.RetryErrors && !r.Kind.Idempotent():
		return invalid(field+".retry_errors", "a %s runs at most once", r.Kind)
	case len(r.Methods) > len(httpMethods):
		return invalid(field+".methods", "%d methods, at most %d", len(r.Methods), len(httpMethods))
	}
	for i, m := range r.Methods {
		if !httpMethods[m] {
			return invalid(indexPath(field+".methods", i), "%q is not an HTTP method", m)
		}
	}
	return validateSplit(field, r)
}

// validateSplit checks that a split starts with the route's service, has each
// service once and has a weight above 0.
func validateSplit(field string, r Route) error {
	if len(r.Split) == 0 {
		return nil
	}
	if len(r.Split) > maxSplitParts {
		return invalid(field+".split", "%d parts, at most %d", len(r.Split), maxSplitParts)
	}
	if r.Split[0].Service != r.Service {
		return invalid(field+".service", "%q, want that of the first part of the split %q", r.Service, r.Split[0].Service)
	}
	seen, total := map[model.ServiceName]bool{}, uint64(0)
	for i, d := range r.Split {
		if seen[d.Service] {
			return invalid(indexPath(field+".split", i)+".service", "%q is named twice", d.Service)
		}
		if d.Weight > MaxWeight {
			return invalid(indexPath(field+".split", i)+".weight", "%d, at most %d", d.Weight, MaxWeight)
		}
		seen[d.Service] = true
		total += uint64(d.Weight)
	}
	if total == 0 {
		return invalid(field+".split", "all weights are 0")
	}
	return nil
}

// validateDistinctRoutes refuses a changed route that matches the same requests
// as another route of c, since nodes could choose differently between the two.
func validateDistinctRoutes(c Config, changed []Route) error {
	if len(changed) == 0 {
		return nil
	}
	type hostPrefix struct{ host, prefix string }
	byHostPrefix := make(map[hostPrefix][]Route, len(changed))
	for _, r := range changed {
		p := hostPrefix{r.Host, r.PathPrefix}
		byHostPrefix[p] = append(byHostPrefix[p], r)
	}
	for _, o := range c.Routes {
		for _, r := range byHostPrefix[hostPrefix{o.Host, o.PathPrefix}] {
			if r.Name != o.Name && r.overlaps(o) {
				return invalid(keyPath("routes", string(r.Name))+".path_prefix", "route %q matches the same requests", o.Name)
			}
		}
	}
	return nil
}

// overlaps reports whether a request method matches both routes; a route without
// methods matches all.
func (r Route) overlaps(o Route) bool {
	if len(r.Methods) == 0 || len(o.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(o.Methods, m) })
}

func validateSharesIn(c Config, name model.ServiceName) error {
	field := keyPath("shares", string(name))
	if _, ok := c.Services[name]; !ok {
		return invalid(field, "unknown service %q", name)
	}
	return validateShares(field, c.Shares[name])
}

func validateShares(field string, shares Shares) error {
	if len(shares) > maxVersionsPerService {
		return invalid(field, "%d versions, at most %d", len(shares), maxVersionsPerService)
	}
	var sum model.Share
	for v, s := range shares {
		if !validVersion(v) {
			return invalid(field, "%q is not a version name", v)
		}
		if s > model.ShareAll {
			return invalid(keyPath(field, string(v)), "%d, at most %d", s, model.ShareAll)
		}
		sum += s
	}
	if sum != model.ShareAll {
		return invalid(field, "shares add up to %d, want %d", sum, model.ShareAll)
	}
	return nil
}

func validName(s string) bool { return consistsOf(s, "-_.") }

// validVersion also allows what versions of software contain, such as build metadata after a
// plus sign.
func validVersion(v model.ServiceVersion) bool { return consistsOf(string(v), "-_.+~:") }

// consistsOf reports whether s has a valid length and only letters, digits and characters of
// punctuation.
func consistsOf(s, punctuation string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune(punctuation, r)
		if !ok {
			return false
		}
	}
	return true
}
