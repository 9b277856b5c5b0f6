// Package standin is a backend server for experiments. It has a limited number of
// slots, a cold start, load shedding, deadlines, cancellation, drain, a health
// endpoint that reports late, and versions that misbehave in several ways. It counts
// what the mesh must avoid: repeated runs of an idempotency key, requests after
// drain and overload while cold.
package standin

import (
	"fmt"
	"time"
)

// Misbehaviour is the fault that all servers of a bad version have.
type Misbehaviour string

// The kinds of misbehaviour.
const (
	// BadNone is a healthy version.
	BadNone Misbehaviour = ""
	// BadAtOnce fails requests from the start.
	BadAtOnce Misbehaviour = "at-once"
	// BadLater fails requests once Config.BadAfter has passed since the start.
	BadLater Misbehaviour = "later"
	// BadUnderLoad fails requests while more than a quarter of the slots are in use.
	BadUnderLoad Misbehaviour = "under-load"
	// BadOneRoute fails requests with the path prefix Config.BadRoute.
	BadOneRoute Misbehaviour = "one-route"
	// BadSlow takes ten times as long for a request.
	BadSlow Misbehaviour = "slow"
)

// Config describes one stand-in.
type Config struct {
	// Listen is the HTTP address.
	Listen string
	// Service is in the body of each answer, Version and Host are in its headers.
	Service, Version, Host string
	// Slots is the maximum number of requests that run concurrently.
	Slots int
	// Backlog is the maximum number of further requests that wait for a slot. Requests
	// above it are shed as not run.
	Backlog int
	// Latency is the duration of a request on a warm server.
	Latency time.Duration
	// ColdSlots is the concurrency limit of a server that has served no request yet.
	// It rises to Slots until the server is warm.
	ColdSlots int
	// WarmAfter is the number of served requests after which the server is warm.
	WarmAfter int
	// ColdPenalty is the factor by which a request takes longer if it runs above the
	// concurrency limit of a cold server.
	ColdPenalty int
	// Bad is the misbehaviour of the server.
	Bad Misbehaviour
	// BadShare is the percentage of requests that Bad affects.
	BadShare int
	// BadAfter is the time from the start until BadLater fails requests.
	BadAfter time.Duration
	// BadRoute is the path prefix of the requests that BadOneRoute fails.
	BadRoute string
	// HealthLag is the time from a drain until the health endpoint reports it.
	HealthLag time.Duration
	// Outgoing is the base URL of the node of this server, used for nested calls.
	Outgoing string
}

// DefaultConfig returns the configuration of a healthy server with the size of one
// backend server of the two cooperatives. Addresses and names are empty.
func DefaultConfig() Config {
	return Config{
		Slots: 20, Backlog: 20, Latency: 5 * time.Millisecond,
		ColdSlots: 2, WarmAfter: 100, ColdPenalty: 20,
		BadShare: 100, BadAfter: 10 * time.Second, HealthLag: 3 * time.Second,
	}
}

// ParseMisbehaviour returns the misbehaviour with the name s; the empty name is BadNone.
func ParseMisbehaviour(s string) (Misbehaviour, error) {
	switch b := Misbehaviour(s); b {
	case BadNone, BadAtOnce, BadLater, BadUnderLoad, BadOneRoute, BadSlow:
		return b, nil
	default:
		return BadNone, fmt.Errorf("unknown misbehaviour %q", s)
	}
}
