package standin

import (
	"maps"
	"sync"
	"time"
)

// Stats holds the counters of a stand-in. The demo reads them after a run.
type Stats struct {
	// Requests counts the requests that were not shed, Shed the others.
	Requests int64 `json:"requests"`
	Shed     int64 `json:"shed"`
	// Failed counts runs that ended with an error, Canceled the requests that were
	// canceled or whose deadline passed.
	Failed   int64 `json:"failed"`
	Canceled int64 `json:"canceled"`
	// Writes counts runs with an idempotency key.
	Writes int64 `json:"writes"`
	// DuplicateKeys counts runs of a key that had run before.
	DuplicateKeys int64 `json:"duplicate_keys"`
	// AfterDrain counts requests that came more than drainGrace after the drain.
	AfterDrain int64 `json:"after_drain"`
	// ColdOverload counts runs above the concurrency limit of a cold server.
	ColdOverload int64 `json:"cold_overload"`
	// MaxRunning is the highest number of concurrent runs.
	MaxRunning int `json:"max_running"`
	// MaxRunsPerKey is the highest number of runs of one key.
	MaxRunsPerKey int `json:"max_runs_per_key"`
	// LastRequest is when the last request arrived that was not shed.
	LastRequest time.Time `json:"last_request"`
	// Runs is the number of runs of each idempotency key.
	Runs map[string]int `json:"-"`
}

// serverState counts the requests in progress and those handled. The mutex guards
// all fields.
type serverState struct {
	mu    sync.Mutex
	stats Stats
	// running and waiting count the requests in a slot and those that wait for one.
	running int
	waiting int
	// served counts finished runs; it decides whether the server is warm.
	served int
	// drainStart is when the drain began; zero if the server is not draining.
	drainStart time.Time
	startedAt  time.Time
}

// drainGrace is the time after the start of a drain during which new requests are
// still expected.
const drainGrace = 2 * time.Second

// admit adds a request to the backlog. It returns false if the request is shed.
func (s *serverState) admit(cfg Config, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running+s.waiting >= cfg.Slots+cfg.Backlog {
		s.stats.Shed++
		return false
	}
	if !s.drainStart.IsZero() && now.Sub(s.drainStart) > drainGrace {
		s.stats.AfterDrain++
	}
	s.stats.Requests++
	s.stats.LastRequest = now
	s.waiting++
	return true
}

// beginRun moves a request from the backlog to a slot and returns the factor by
// which its run takes longer.
func (s *serverState) beginRun(cfg Config, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.running)
	if key != "" {
		s.stats.Writes++
		s.stats.Runs[key]++
		if s.stats.Runs[key] > 1 {
			s.stats.DuplicateKeys++
		}
		s.stats.MaxRunsPerKey = max(s.stats.MaxRunsPerKey, s.stats.Runs[key])
	}
	if s.served < cfg.WarmAfter && s.running > s.concurrencyLimit(cfg) {
		s.stats.ColdOverload++
		return cfg.ColdPenalty
	}
	return 1
}

// concurrencyLimit returns the number of concurrent requests that are not slowed
// down. It rises with the requests served until the server is warm.
func (s *serverState) concurrencyLimit(cfg Config) int {
	if cfg.WarmAfter == 0 || s.served >= cfg.WarmAfter {
		return cfg.Slots
	}
	return cfg.ColdSlots + (cfg.Slots-cfg.ColdSlots)*s.served/cfg.WarmAfter
}

// endRun records the end of a run.
func (s *serverState) endRun(failed, canceled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.served++
	if failed {
		s.stats.Failed++
	}
	if canceled {
		s.stats.Canceled++
	}
}

// leaveBacklog removes a request from the backlog that was canceled or whose deadline
// passed.
func (s *serverState) leaveBacklog() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.stats.Canceled++
}

// runsByKey returns the number of runs of each idempotency key.
func (s *serverState) runsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.stats.Runs)
}

// snapshot returns the counters. The map in Runs is not copied and must not be read.
func (s *serverState) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
