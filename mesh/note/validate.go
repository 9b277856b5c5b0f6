package note

import (
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// Bounds of the fields of a configuration.
const (
	maxNameLength  = 64
	maxSlots       = 10_000
	maxConnections = 10_000
	maxQueueLimit  = 100_000
	maxTimeout     = 5 * time.Minute
	maxRetries     = 5
	maxRoutes      = 50_000
	maxServices    = 10_000
)

// Validate checks the whole configuration; the error names the field.
func Validate(c Config) error {
	if len(c.Services) > maxServices {
		return invalid("services", "%d services, at most %d", len(c.Services), maxServices)
	}
	if len(c.Routes) > maxRoutes {
		return invalid("routes", "%d routes, at most %d", len(c.Routes), maxRoutes)
	}
	for name, s := range c.Services {
		if err := validateService(name, s); err != nil {
			return err
		}
	}
	for name, r := range c.Routes {
		if err := validateRoute(c, name, r); err != nil {
			return err
		}
	}
	for name, shares := range c.Shares {
		if err := validateShares(c, name, shares); err != nil {
			return err
		}
	}
	return nil
}

func validateService(name model.ServiceName, s Service) error {
	field := "services[" + string(name) + "]"
	switch {
	case !validName(string(name)) || name != s.Name:
		return invalid(field+".name", "%q is not a name", s.Name)
	case s.Slots < 1 || s.Slots > maxSlots:
		return invalid(field+".slots", "%d, want 1 to %d", s.Slots, maxSlots)
	case s.Connections < 1 || s.Connections > maxConnections:
		return invalid(field+".connections", "%d, want 1 to %d", s.Connections, maxConnections)
	case s.QueueLimit < 0 || s.QueueLimit > maxQueueLimit:
		return invalid(field+".queue_limit", "%d, want 0 to %d", s.QueueLimit, maxQueueLimit)
	case s.QueueTimeout < 0 || s.QueueTimeout > maxTimeout:
		return invalid(field+".queue_timeout", "%s, want 0 to %s", s.QueueTimeout, maxTimeout)
	}
	return nil
}

func validateRoute(c Config, name model.RouteName, r Route) error {
	field := "routes[" + string(name) + "]"
	if _, ok := c.Services[r.Service]; !ok {
		return invalid(field+".service", "unknown service %q", r.Service)
	}
	switch {
	case !validName(string(name)) || name != r.Name:
		return invalid(field+".name", "%q is not a name", r.Name)
	case !strings.HasPrefix(r.PathPrefix, "/"):
		return invalid(field+".path_prefix", "%q does not start with /", r.PathPrefix)
	case r.Kind < model.KindLookup || r.Kind > model.KindUrgent:
		return invalid(field+".kind", "%d is not a kind", r.Kind)
	case r.Timeout <= 0 || r.Timeout > maxTimeout:
		return invalid(field+".timeout", "%s, want more than 0 and at most %s", r.Timeout, maxTimeout)
	case r.MaxRetries < 0 || r.MaxRetries > maxRetries:
		return invalid(field+".max_retries", "%d, want 0 to %d", r.MaxRetries, maxRetries)
	case r.Hedge && r.Kind != model.KindLookup:
		return invalid(field+".hedge", "only lookups may be hedged")
	}
	return nil
}

func validateShares(c Config, name model.ServiceName, shares Shares) error {
	field := "shares[" + string(name) + "]"
	if _, ok := c.Services[name]; !ok {
		return invalid(field, "unknown service %q", name)
	}
	var sum model.Share
	for v, s := range shares {
		if !validName(string(v)) {
			return invalid(field, "%q is not a version name", v)
		}
		if s > model.ShareAll {
			return invalid(field+"["+string(v)+"]", "%d, at most %d", s, model.ShareAll)
		}
		sum += s
	}
	if sum != model.ShareAll {
		return invalid(field, "shares add up to %d, want %d", sum, model.ShareAll)
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r)
		if !ok {
			return false
		}
	}
	return true
}

func invalid(field, format string, args ...any) error {
	return eris.Wrapf(ErrInvalid, field+": "+format, args...)
}
