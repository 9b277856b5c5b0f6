// Package note holds release notes, the configuration that the accepted notes
// fold into, the deltas between configurations, and the audit records. All of
// it is plain state without socket or clock; the codec is kept apart in codec.go.
package note

import (
	"maps"
	"time"

	"balsamtrail.org/mesh/model"
)

// Service is one service of the mesh and the limits of each of its backend servers.
type Service struct {
	Name model.ServiceName `cbor:"1,keyasint" json:"name"`
	// Slots is the number of requests that one backend server runs at a time.
	Slots int `cbor:"2,keyasint" json:"slots"`
	// Connections bounds the connections kept to one backend server.
	Connections int `cbor:"3,keyasint" json:"connections"`
	// QueueLimit bounds the requests that wait for a slot of one backend server.
	QueueLimit int `cbor:"4,keyasint" json:"queue_limit"`
	// QueueTimeout bounds how long a request waits for a slot.
	QueueTimeout time.Duration `cbor:"5,keyasint" json:"queue_timeout"`
	// HealthPath is where a backend server answers health requests; empty for
	// the path in the settings of its node.
	HealthPath string `cbor:"6,keyasint,omitempty" json:"health_path,omitempty"`
	// ColdTime is how long a backend server is cold after its start.
	ColdTime time.Duration `cbor:"7,keyasint,omitempty" json:"cold_time,omitempty"`
	// ColdRate bounds the requests per second to one cold backend server; 0 sets
	// no bound.
	ColdRate float64 `cbor:"8,keyasint,omitempty" json:"cold_rate,omitempty"`
}

// Route maps requests to a service by method and path prefix.
type Route struct {
	Name       model.RouteName   `cbor:"1,keyasint" json:"name"`
	PathPrefix string            `cbor:"2,keyasint" json:"path_prefix"`
	Methods    []string          `cbor:"3,keyasint" json:"methods"`
	Service    model.ServiceName `cbor:"4,keyasint" json:"service"`
	Kind       model.Kind        `cbor:"5,keyasint" json:"kind"`
	// Timeout is the deadline of a call that brings none of its own.
	Timeout time.Duration `cbor:"6,keyasint" json:"timeout"`
	// MaxRetries bounds the further tries of one call at this level.
	MaxRetries int `cbor:"7,keyasint" json:"max_retries"`
	// Hedge allows a second try of a slow lookup.
	Hedge bool `cbor:"8,keyasint" json:"hedge"`
	// Host is the virtual host that the route belongs to; empty for any host.
	Host string `cbor:"9,keyasint,omitempty" json:"host,omitempty"`
	// Split divides the calls among several services by weight. If it is set,
	// Service names the first of them.
	Split []Destination `cbor:"10,keyasint,omitempty" json:"split,omitempty"`
	// Priority ranks the route against others of the same service; 0 comes first.
	Priority uint8 `cbor:"11,keyasint,omitempty" json:"priority,omitempty"`
	// LatencyTarget is the time within which an answer is of full use; 0 if none is stated.
	LatencyTarget time.Duration `cbor:"12,keyasint,omitempty" json:"latency_target,omitempty"`
	// Unkeyed lets a write come without an idempotency key. Each request is then
	// sent to a backend server at most once, and a resend is another request.
	Unkeyed bool `cbor:"13,keyasint,omitempty" json:"unkeyed,omitempty"`
	// RetryErrors allows another try of an idempotent request whose answer
	// reports an error of the backend server.
	RetryErrors bool `cbor:"14,keyasint,omitempty" json:"retry_errors,omitempty"`
	// Immediate puts the route in force with its configuration, even on a node that
	// knows no backend server for it; its calls are then refused. Other routes wait
	// for a backend server, and until then the former route stays.
	Immediate bool `cbor:"15,keyasint,omitempty" json:"immediate,omitempty"`
}

// Destination is one part of a split.
type Destination struct {
	Service model.ServiceName `cbor:"1,keyasint" json:"service"`
	// Weight is relative to the other parts of the split.
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
	DataCentreIn DataCentreState = iota + 1
	DataCentreOut
	// DataCentreReturning takes a share of work that grows as its backend servers warm up.
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

// Config is the whole configuration in force at one position. It is immutable
// once built: every change makes a new one.
type Config struct {
	Services    map[model.ServiceName]Service        `cbor:"1,keyasint"`
	Routes      map[model.RouteName]Route            `cbor:"2,keyasint"`
	Shares      map[model.ServiceName]Shares         `cbor:"3,keyasint"`
	DataCentres map[model.DataCentre]DataCentreState `cbor:"4,keyasint"`
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
	maps.Copy(n.Services, c.Services)
	maps.Copy(n.Routes, c.Routes)
	maps.Copy(n.DataCentres, c.DataCentres)
	for s, shares := range c.Shares {
		n.Shares[s] = maps.Clone(shares)
	}
	return n
}
