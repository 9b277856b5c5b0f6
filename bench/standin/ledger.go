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

// ledger holds the requests in progress and the counters. The mutex guards all
// fields.
type ledger struct {
	mu    sync.Mutex
	stats Stats
	// running and waiting count the requests in a slot and those that wait for one.
	running int
	waiting int
	// served counts finished runs; it decides whether the server is warm.
	served int
	// draining is when the drain began; zero if the server is not draining.
	draining  time.Time
	startedAt time.Time
}

// drainGrace is the time after the start of a drain during which new requests are
// still expected.
const drainGrace = 2 * time.Second

// admit adds a request to the backlog. It returns false if the request is shed.
func (l *ledger) admit(cfg Config, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running+l.waiting >= cfg.Slots+cfg.Backlog {
		l.stats.Shed++
		return false
	}
	if !l.draining.IsZero() && now.Sub(l.draining) > drainGrace {
		l.stats.AfterDrain++
	}
	l.stats.Requests++
	l.stats.LastRequest = now
	l.waiting++
	return true
}

// begin moves a request from the backlog to a slot and returns the factor by which
// its run takes longer.
func (l *ledger) begin(cfg Config, key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.running++
	l.stats.MaxRunning = max(l.stats.MaxRunning, l.running)
	if key != "" {
		l.stats.Writes++
		l.stats.Runs[key]++
		if l.stats.Runs[key] > 1 {
			l.stats.DuplicateKeys++
		}
		l.stats.MaxRunsPerKey = max(l.stats.MaxRunsPerKey, l.stats.Runs[key])
	}
	if l.served < cfg.WarmAfter && l.running > l.bearable(cfg) {
		l.stats.ColdOverload++
		return cfg.ColdPenalty
	}
	return 1
}

// bearable returns the concurrency limit: the number of concurrent requests that are
// not slowed down. It rises with the requests served until the server is warm.
func (l *ledger) bearable(cfg Config) int {
	if cfg.WarmAfter == 0 || l.served >= cfg.WarmAfter {
		return cfg.Slots
	}
	return cfg.ColdSlots + (cfg.Slots-cfg.ColdSlots)*l.served/cfg.WarmAfter
}

// end records the end of a run.
func (l *ledger) end(failed, canceled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.served++
	if failed {
		l.stats.Failed++
	}
	if canceled {
		l.stats.Canceled++
	}
}

// abandon removes a canceled request from the backlog.
func (l *ledger) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.stats.Canceled++
}

// runs returns the number of runs of each idempotency key.
func (l *ledger) runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.stats.Runs)
}

// snapshot returns the counters. The map in Runs is not copied and must not be read.
func (l *ledger) snapshot() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
