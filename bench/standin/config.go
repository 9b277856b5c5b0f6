// Package standin is a backend server for experiments: it has slots, a cold
// start, shedding, cancellation, deadlines, drain, lagging health and load
// endpoints, and versions that are bad in several ways. It checks from its side
// what must hold: runs per idempotency key, work after drain, load while cold.
package standin

import (
	"fmt"
	"time"
)

// Badness is a way in which a version misbehaves.
type Badness string

// The ways of being bad.
const (
	BadNone      Badness = ""
	BadAtOnce    Badness = "at-once"
	BadLater     Badness = "later"
	BadUnderLoad Badness = "under-load"
	BadOneRoute  Badness = "one-route"
	BadSlow      Badness = "slow"
)

// Config describes one stand-in.
type Config struct {
	// Listen is the HTTP address.
	Listen string
	// Service, Version and Host appear in each answer.
	Service, Version, Host string
	// Slots is the number of requests that run at a time.
	Slots int
	// Backlog is the number of further requests that wait inside the backend
	// server; more are shed as not run.
	Backlog int
	// Latency is the time one request takes when warm.
	Latency time.Duration
	// ColdSlots is the concurrency that a cold server bears.
	ColdSlots int
	// WarmAfter is the number of requests after which the server is warm.
	WarmAfter int
	// ColdPenalty is how many times slower a request runs above the bearable
	// concurrency while cold.
	ColdPenalty int
	// Bad selects the misbehaviour, BadShare how many of 100 requests it hits.
	Bad      Badness
	BadShare int
	// BadAfter is the delay of BadLater.
	BadAfter time.Duration
	// BadRoute is the path prefix of BadOneRoute.
	BadRoute string
	// HealthLag is how late the health and load endpoints report.
	HealthLag time.Duration
	// Outgoing is the base URL of the own node for nested calls.
	Outgoing string
}

// DefaultConfig returns the sizes of one upstream of the two cooperatives.
func DefaultConfig() Config {
	return Config{
		Slots: 20, Backlog: 20, Latency: 5 * time.Millisecond,
		ColdSlots: 2, WarmAfter: 100, ColdPenalty: 20,
		BadShare: 100, BadAfter: 10 * time.Second, HealthLag: 3 * time.Second,
	}
}

// ParseBadness checks the name of a misbehaviour.
func ParseBadness(s string) (Badness, error) {
	switch b := Badness(s); b {
	case BadNone, BadAtOnce, BadLater, BadUnderLoad, BadOneRoute, BadSlow:
		return b, nil
	default:
		return BadNone, fmt.Errorf("unknown badness %q", s)
	}
}
