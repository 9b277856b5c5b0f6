// Package note holds release notes, the configuration folded from the accepted
// notes, the differences between configurations, and the audit records. It does
// no I/O and reads no clock: each command states its time.
package note

import (
	"maps"
	"time"

	"balsamtrail.org/mesh/model"
)

// Service is a service of the mesh with the limits of each of its backend servers.
type Service struct {
	Name model.ServiceName `cbor:"1,keyasint" json:"name"`
	// Slots is the number of requests that one backend server runs concurrently.
	Slots int `cbor:"2,keyasint" json:"slots"`
	// Connections bounds the connections to one backend server.
	Connections int `cbor:"3,keyasint" json:"connections"`
	// QueueLimit bounds the requests that wait for a slot of one backend server.
	QueueLimit int `cbor:"4,keyasint" json:"queue_limit"`
	// QueueTimeout bounds how long a request waits for a slot.
	QueueTimeout time.Duration `cbor:"5,keyasint" json:"queue_timeout"`
	// HealthPath is the path of a backend server's health check; if it is empty, the
	// path in the settings of the node applies.
	HealthPath string `cbor:"6,keyasint,omitempty" json:"health_path,omitempty"`
	// ColdTime is how long a backend server counts as cold after its start.
	ColdTime time.Duration `cbor:"7,keyasint,omitempty" json:"cold_time,omitempty"`
	// ColdRate bounds the requests per second to one cold backend server; 0 means no
	// limit.
	ColdRate float64 `cbor:"8,keyasint,omitempty" json:"cold_rate,omitempty"`
}

// Route maps requests to a service by virtual host, path prefix and method.
type Route struct {
	Name       model.RouteName   `cbor:"1,keyasint" json:"name"`
	PathPrefix string            `cbor:"2,keyasint" json:"path_prefix"`
	Methods    []string          `cbor:"3,keyasint" json:"methods"`
	Service    model.ServiceName `cbor:"4,keyasint" json:"service"`
	Kind       model.Kind        `cbor:"5,keyasint" json:"kind"`
	// Timeout is the deadline of a call that does not state one itself.
	Timeout time.Duration `cbor:"6,keyasint" json:"timeout"`
	// MaxRetries bounds the retries of one call at this hop; retries of upstream
	// callers do not count.
	MaxRetries int `cbor:"7,keyasint" json:"max_retries"`
	// Hedge allows a second, parallel attempt of a slow lookup.
	Hedge bool `cbor:"8,keyasint" json:"hedge"`
	// Host is the virtual host of the route; an empty one matches any host.
	Host string `cbor:"9,keyasint,omitempty" json:"host,omitempty"`
	// Split distributes the calls over several services by weight. If it is set,
	// Service names the first of them.
	Split []Destination `cbor:"10,keyasint,omitempty" json:"split,omitempty"`
	// Priority ranks the route among those of the same service; 0 is served first.
	Priority uint8 `cbor:"11,keyasint,omitempty" json:"priority,omitempty"`
	// LatencyTarget is the time within which an answer has its full value to the
	// caller; 0 means no target.
	LatencyTarget time.Duration `cbor:"12,keyasint,omitempty" json:"latency_target,omitempty"`
	// Unkeyed allows a write without an idempotency key. Each request is then sent
	// to a backend server at most once, and a resend counts as another request.
	Unkeyed bool `cbor:"13,keyasint,omitempty" json:"unkeyed,omitempty"`
	// RetryErrors allows a retry of an idempotent request that the backend server
	// answered with an error.
	RetryErrors bool `cbor:"14,keyasint,omitempty" json:"retry_errors,omitempty"`
	// Immediate brings the route into force with its configuration, even on a node
	// that knows no backend server for it; its calls are then refused. Otherwise the
	// node keeps the previous route until it knows a backend server.
	Immediate bool `cbor:"15,keyasint,omitempty" json:"immediate,omitempty"`
}

// Destination is one service of a split.
type Destination struct {
	Service model.ServiceName `cbor:"1,keyasint" json:"service"`
	// Weight is relative to the weights of the other services of the split.
	Weight uint32 `cbor:"2,keyasint" json:"weight"`
}

// Destinations returns the services that the route may send calls to.
func (r Route) Destinations() []Destination {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Destination{{Service: r.Service, Weight: 1}}
}

// Shares maps each version of a service to its share; the shares add up to model.ShareAll.
type Shares map[model.ServiceVersion]model.Share

// DataCentreState says whether a data centre takes new work.
type DataCentreState uint8

// The states of a data centre. One that is not in the configuration is in service.
const (
	// DataCentreInService is a data centre in service.
	DataCentreInService DataCentreState = iota + 1
	// DataCentreOut is a data centre that takes no new work.
	DataCentreOut
	// DataCentreReturning is a data centre that takes a growing share of the work
	// while its backend servers warm up.
	DataCentreReturning
)

// String returns the name used in logs and answers.
func (s DataCentreState) String() string {
	switch s {
	case DataCentreOut:
		return "out"
	case DataCentreReturning:
		return "returning"
	default:
		return "in"
	}
}

// CallerLimits bounds what callers may send in one request. Where a field is 0, the limit in
// the settings of the node applies.
type CallerLimits struct {
	// HeaderBytes bounds the head of a request, with its request line.
	HeaderBytes int64 `cbor:"1,keyasint,omitempty" json:"header_bytes,omitempty"`
	// BodyBytes bounds the body of a request.
	BodyBytes int64 `cbor:"2,keyasint,omitempty" json:"body_bytes,omitempty"`
}

// Config is the whole configuration at one position of the log. It is immutable
// once built: every change makes a new one.
type Config struct {
	Services    map[model.ServiceName]Service        `cbor:"1,keyasint"`
	Routes      map[model.RouteName]Route            `cbor:"2,keyasint"`
	Shares      map[model.ServiceName]Shares         `cbor:"3,keyasint"`
	DataCentres map[model.DataCentre]DataCentreState `cbor:"4,keyasint"`
	Limits      CallerLimits                         `cbor:"5,keyasint,omitempty"`
}

// NewConfig returns an empty configuration.
func NewConfig() Config {
	return Config{
		Services:    map[model.ServiceName]Service{},
		Routes:      map[model.RouteName]Route{},
		Shares:      map[model.ServiceName]Shares{},
		DataCentres: map[model.DataCentre]DataCentreState{},
	}
}

// Clone returns a copy that shares no map with c.
func (c Config) Clone() Config {
	n := NewConfig()
	n.Limits = c.Limits
	maps.Copy(n.Services, c.Services)
	maps.Copy(n.Routes, c.Routes)
	maps.Copy(n.DataCentres, c.DataCentres)
	for s, shares := range c.Shares {
		n.Shares[s] = maps.Clone(shares)
	}
	return n
}
