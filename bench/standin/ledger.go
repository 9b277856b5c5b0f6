package standin

import (
	"maps"
	"sync"
	"time"
)

// Stats is what a stand-in saw; it is read by the demo after a run.
type Stats struct {
	Requests      int64          `json:"requests"`
	Shed          int64          `json:"shed"`
	Failed        int64          `json:"failed"`
	Canceled      int64          `json:"canceled"`
	Writes        int64          `json:"writes"`
	DuplicateKeys int64          `json:"duplicate_keys"`
	AfterDrain    int64          `json:"after_drain"`
	ColdOverload  int64          `json:"cold_overload"`
	MaxRunning    int            `json:"max_running"`
	MaxRunsPerKey int            `json:"max_runs_per_key"`
	LastRequest   time.Time      `json:"last_request"`
	Runs          map[string]int `json:"-"`
}

// ledger records runs; the mutex guards all fields.
type ledger struct {
	mu        sync.Mutex
	stats     Stats
	running   int
	waiting   int
	served    int
	draining  time.Time
	startedAt time.Time
}

// drainGrace is the time after drain within which new work is still expected.
const drainGrace = 2 * time.Second

// admit reserves a place; it reports false when the server sheds the request.
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

// begin starts a run and returns the factor by which it is slowed down.
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

// bearable is the concurrency that the server bears; it grows with requests served.
func (l *ledger) bearable(cfg Config) int {
	if cfg.WarmAfter == 0 || l.served >= cfg.WarmAfter {
		return cfg.Slots
	}
	return cfg.ColdSlots + (cfg.Slots-cfg.ColdSlots)*l.served/cfg.WarmAfter
}

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

func (l *ledger) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.stats.Canceled++
}

// runs returns a copy of the runs per key.
func (l *ledger) runs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.stats.Runs)
}

func (l *ledger) snapshot() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats
}
