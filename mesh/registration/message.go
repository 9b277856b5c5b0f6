// Package registration decides what a node believes of the backend server
// beside it, where that server registers itself and renews the registration by
// heartbeats. Heartbeats may be late, repeated or from a lifetime that is over;
// the newest lifetime and within it the greatest sequence win. The package knows
// no encoding and no clock.
package registration

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// State is what a backend server says of itself.
type State uint8

// The states of a heartbeat.
const (
	// StateReady takes new work.
	StateReady State = iota + 1
	// StateDraining finishes running work and takes no new work.
	StateDraining
)

// Heartbeat is one report of a backend server about itself.
type Heartbeat struct {
	// Instance names one lifetime of a backend server, though a restart may keep it.
	Instance string
	// Started is the time of the backend server's start by its own clock, in unix
	// milliseconds. It orders lifetimes.
	Started int64
	// Sequence grows with each heartbeat of a lifetime.
	Sequence   uint64
	Service    model.ServiceName
	DataCentre model.DataCentre
	// Address is where the backend server answers requests.
	Address string
	Version model.ServiceVersion
	Slots   int
	State   State
	// ColdFor is how much longer the backend server is cold.
	ColdFor time.Duration
}

// Change says what a heartbeat or a deregistration changed.
type Change uint8

// The changes.
const (
	// Unchanged confirms what was known, or comes from the past of the same lifetime.
	Unchanged Change = iota
	// Started begins another lifetime.
	Started
	// Renewed confirms the lifetime with newer figures.
	Renewed
	// Draining ends new work for the lifetime.
	Draining
	// Left ends the lifetime.
	Deregistered
)
