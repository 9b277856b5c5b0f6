// Package experiment measures request handling with real processes on loopback and
// compares it with a naive proxy in the same run.
package experiment

import (
	"encoding/json"
	"fmt"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

const (
	version = model.ServiceVersion("v1")
	// slots is the number of requests that one backend server runs at a time, in both fleets.
	slots = 20
)

// Size describes the fleet and load of one of the two customers in section 2 of the
// design page.
type Size struct {
	Name        string
	DataCentres []model.DataCentre
	Services    []ServiceSize
	Routes      []RouteSize
	// OutageDataCentre is the data centre that the DataCentre experiment takes out.
	OutageDataCentre model.DataCentre
}

// ServiceSize places the backend servers of a service.
type ServiceSize struct {
	Name model.ServiceName
	// DataCentres has one element for each backend server.
	DataCentres []model.DataCentre
}

// RouteSize describes a route and its fraction of the load on its service.
type RouteSize struct {
	Name    string
	Kind    model.Kind
	Service model.ServiceName
	Method  string
	Prefix  string
	// Fraction is the route's fraction of the requests to the service; the
	// fractions of a service add up to 1.
	Fraction float64
}

// Aare returns the fleet that serves the street book cabinets.
func Aare() Size {
	return Size{
		Name:        "aare",
		DataCentres: []model.DataCentre{"thun", "bern-altstadt", "burgdorf"},
		Services: []ServiceSize{
			{"cabinet-ledger", []model.DataCentre{"thun", "thun", "thun", "bern-altstadt", "bern-altstadt", "burgdorf", "burgdorf"}},
			{"roster-desk", []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}},
		},
		Routes: []RouteSize{
			{"cabinet-status", model.KindLookup, "cabinet-ledger", "GET", "/cabinets", 0.75},
			{"restock", model.KindWrite, "cabinet-ledger", "POST", "/restocks", 0.10},
			{"urgent", model.KindUrgent, "cabinet-ledger", "GET", "/urgent", 0.15},
			{"roster", model.KindLookup, "roster-desk", "GET", "/rosters", 1},
		},
		OutageDataCentre: "burgdorf",
	}
}

// Sfax returns the fleet that serves the gas rig inspection.
func Sfax() Size {
	return Size{
		Name:        "sfax",
		DataCentres: []model.DataCentre{"medina", "bab-jebli", "sakiet", "port-sud"},
		Services: []ServiceSize{
			{"inspection-records", []model.DataCentre{"medina", "medina", "bab-jebli", "bab-jebli", "sakiet", "port-sud"}},
			{"leak-alerts", []model.DataCentre{"medina", "bab-jebli", "sakiet", "port-sud"}},
		},
		Routes: []RouteSize{
			{"last-check", model.KindLookup, "inspection-records", "GET", "/checks", 0.85},
			{"seal-certificate", model.KindWrite, "inspection-records", "POST", "/seals", 0.15},
			{"leak-history", model.KindLookup, "leak-alerts", "GET", "/leaks", 0.6},
			{"leak-urgent", model.KindUrgent, "leak-alerts", "GET", "/urgent/leaks", 0.4},
		},
		OutageDataCentre: "bab-jebli",
	}
}

// SizeOf returns the size with the given name.
func SizeOf(name string) (Size, error) {
	for _, s := range []Size{Aare(), Sfax()} {
		if s.Name == name {
			return s, nil
		}
	}
	return Size{}, fmt.Errorf("unknown size %q", name)
}

// specs returns the specifications of all backend servers.
func (s Size) specs(flags []string) []demo.BackendServerSpec {
	var out []demo.BackendServerSpec
	for _, svc := range s.Services {
		for _, dc := range svc.DataCentres {
			out = append(out, demo.BackendServerSpec{Service: svc.Name, Version: version, DataCentre: dc, Flags: flags})
		}
	}
	return out
}

// capacity returns the greatest rate of a service in requests per second when all
// slots of its backend servers are in use and a request takes the given latency.
func (s Size) capacity(service model.ServiceName, latency time.Duration) float64 {
	for _, svc := range s.Services {
		if svc.Name == service {
			return float64(len(svc.DataCentres)*slots) / latency.Seconds()
		}
	}
	return 0
}

// Timeouts holds the route timeout of each kind of request.
type Timeouts struct{ Lookup, Write, Urgent time.Duration }

func (t Timeouts) forKind(k model.Kind) time.Duration {
	switch k {
	case model.KindWrite:
		return t.Write
	case model.KindUrgent:
		return t.Urgent
	default:
		return t.Lookup
	}
}

// flows returns one flow for each route. The flows of a service add up to factor
// times the capacity of its backend servers.
func (s Size) flows(factor float64, latency time.Duration, t Timeouts, targets []string) []load.Flow {
	var out []load.Flow
	for _, r := range s.Routes {
		out = append(out, load.Flow{
			Name: r.Name, Kind: r.Kind, Service: string(r.Service), Method: r.Method, Path: r.Prefix + "/7",
			Rate: factor * r.Fraction * s.capacity(r.Service, latency), BodyBytes: bodyBytes(r.Kind),
			Timeout: t.forKind(r.Kind), Targets: targets,
		})
	}
	return out
}

// writeBodyBytes is the size of the request body of a write.
const writeBodyBytes = 256

func bodyBytes(k model.Kind) int {
	if k == model.KindWrite {
		return writeBodyBytes
	}
	return 0
}

// noteJSON holds the fields of a release note that the experiments use.
type noteJSON struct {
	Number   int                  `json:"number"`
	Title    string               `json:"title"`
	Services added[serviceJSON]   `json:"services"`
	Routes   added[routeJSON]     `json:"routes"`
	Shares   []serviceSharesEntry `json:"shares"`
}

type added[T any] struct {
	Added []T `json:"added"`
}

type serviceJSON struct {
	Name         model.ServiceName `json:"name"`
	Slots        int               `json:"slots"`
	Connections  int               `json:"connections"`
	QueueLimit   int               `json:"queue_limit"`
	QueueTimeout string            `json:"queue_timeout"`
}

type routeJSON struct {
	Name       string            `json:"name"`
	PathPrefix string            `json:"path_prefix"`
	Methods    []string          `json:"methods"`
	Service    model.ServiceName `json:"service"`
	Kind       string            `json:"kind"`
	Timeout    string            `json:"timeout"`
	MaxRetries int               `json:"max_retries"`
	Hedge      bool              `json:"hedge"`
}

type serviceSharesEntry struct {
	Service model.ServiceName                    `json:"service"`
	Shares  map[model.ServiceVersion]model.Share `json:"shares"`
}

// note returns the release note, in JSON, that adds all services and routes.
func (s Size) note(t Timeouts, queueTimeout time.Duration) (string, error) {
	n := noteJSON{Number: 1, Title: "services of " + s.Name}
	for _, svc := range s.Services {
		n.Services.Added = append(n.Services.Added, serviceJSON{svc.Name, slots, 100, 40, queueTimeout.String()})
		n.Shares = append(n.Shares, serviceSharesEntry{svc.Name, map[model.ServiceVersion]model.Share{version: model.ShareAll}})
	}
	for _, r := range s.Routes {
		retries := 2
		if r.Kind == model.KindWrite {
			retries = 0
		}
		n.Routes.Added = append(n.Routes.Added, routeJSON{
			Name: r.Name, PathPrefix: r.Prefix, Methods: []string{r.Method}, Service: r.Service, Kind: r.Kind.String(),
			Timeout: t.forKind(r.Kind).String(), MaxRetries: retries, Hedge: r.Kind == model.KindLookup,
		})
	}
	b, err := json.Marshal(n)
	return string(b), err
}
