// Package registration keeps the state of a backend server that registers itself with
// the node beside it and renews the registration by heartbeats. A lifetime is one run
// of the backend server, from start to exit. Heartbeats may arrive late, repeatedly or
// from an earlier lifetime; the newest lifetime counts, and within it the highest
// sequence number. The package does no encoding and reads no clock.
package registration

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// State is the state that a backend server reports.
type State uint8

// States of a heartbeat.
const (
	// StateReady means that the backend server accepts new requests.
	StateReady State = iota + 1
	// StateDraining means that it finishes running requests and accepts no new ones.
	StateDraining
)

// Heartbeat is one report of a backend server about itself.
type Heartbeat struct {
	// Instance identifies a lifetime of the backend server. A restarted backend server
	// may reuse it; Started then differs.
	Instance string
	// Started is the start time of the backend server by its own clock, in Unix
	// milliseconds. A later one means a newer lifetime.
	Started int64
	// Sequence increases with each heartbeat of a lifetime.
	Sequence   uint64
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Address is the host and port at which the backend server accepts requests.
	Address string
	Version model.ServiceVersion
	Slots   int
	State   State
	// ColdFor is how much longer the backend server is cold.
	ColdFor time.Duration
}

// Lifetime is what other processes know of a lifetime of the backend server.
type Lifetime struct {
	Instance string
	Started  int64
	// Closed says that the lifetime drains or has ended.
	Closed bool
}

// Change is the effect of a heartbeat or a deregistration.
type Change uint8

// The effects.
const (
	// Unchanged means that the report repeats known state or is older than it.
	Unchanged Change = iota
	// Started means that a new lifetime has begun.
	Started
	// Renewed means that the current lifetime continues, possibly with new values.
	Renewed
	// Draining means that the current lifetime accepts no new requests from now on.
	Draining
	// Deregistered means that the lifetime has ended.
	Deregistered
)
