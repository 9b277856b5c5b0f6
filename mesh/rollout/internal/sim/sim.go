// Package sim drives a rollout with simulated call outcomes, without a
// network, to measure how its decisions fare against good and bad versions.
package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/rollout"
)

// Versions and the service of every run.
const (
	Service model.ServiceName    = "ledger"
	Old     model.ServiceVersion = "v1"
	New     model.ServiceVersion = "v2"
)

const (
	tick       = time.Second
	slots      = 20
	shareDelay = 2 // ticks until a step is in force, as the design allows
	tableSize  = 1 << 12
)

var (
	routes      = []model.RouteName{"lookup", "restock", "history"}
	kinds       = []model.Kind{model.KindLookup, model.KindWrite, model.KindUrgent}
	dataCentres = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}
	routeParts  = []float64{0.65, 0.25, 0.10}
	servers     = []int{3, 2, 2} // of each version in each data centre
)

// Bad states how a version is bad.
type Bad struct {
	// ErrorRate is the part of the calls that fails.
	ErrorRate float64
	// Slowdown multiplies the latency; 0 leaves it.
	Slowdown float64
	// After is the time of the start from the start of the move.
	After time.Duration
	// AfterDone starts the badness this long after completion instead.
	AfterDone time.Duration
	// Route limits the badness to one route.
	Route model.RouteName
	// FromLoad is the load of a backend server, in calls in flight, from which the version is bad.
	FromLoad float64
}

// Trouble states what goes wrong around a version.
type Trouble struct {
	// Storm makes every version fail and slow down between From and To.
	Storm bool
	// Every makes the storm last 2 s in each such span.
	Every time.Duration
	// LostDataCentre is out of reach between From and To; 0 is none, 1 the first.
	LostDataCentre int
	// Cold restarts half of the new version's backend servers at From.
	Cold bool
	// LostReports stops all reports between From and To.
	LostReports bool
	// NewLeader loses the evidence at From and every 15 s until To.
	NewLeader bool
	From, To  time.Duration
}

// Scenario is one kind of run.
type Scenario struct {
	Name           string
	Bad            *Bad
	Trouble        Trouble
	BaseErrors     float64
	CallsPerSecond int
	Deadline       time.Duration
	Watch          time.Duration
	// Scarce says that the calls may not suffice for a conviction within the
	// run; the version must then not have completed.
	Scarce bool
}

// Result is the outcome of one run.
type Result struct {
	Done, InTime, Reversed, AtRisk bool
	// Passed says that a version completed and was kept.
	Passed         bool
	CompletedAfter time.Duration
	// Hurt are the calls that the badness failed or slowed.
	Hurt int
	// ToZero is the time from the first hurt call until no call reaches the new version; -1 if some always do.
	ToZero time.Duration
	Reason string
}

// Plan decides on shares; Tick returns the share that is then to be in force.
type Plan interface {
	Tick(now time.Time, r rollout.Report, reported bool, c rollout.Capacity) model.Share
	Status() rollout.Status
	Forget()
}

// cells holds the counters of [version][route][data centre][cold].
type cells [2][3][3][2]rollout.Counts

type run struct {
	Scenario
	rng      *rand.Rand
	plan     Plan
	normal   [tableSize]uint8 // latency buckets drawn from the good distribution
	slow     [tableSize]uint8
	start    time.Time
	shares   []model.Share
	limit    float64   // of each new backend server
	coldTill time.Time // of the restarted new backend servers
	freshTo  time.Time // all new backend servers are cold until then
	result   Result
	firstBad time.Time
}

// Run simulates one move and its watch.
func Run(s Scenario, seed uint64, start time.Time, p Plan) Result {
	r := &run{Scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), plan: p, start: start, limit: 1}
	r.result.ToZero = -1
	r.freshTo = start.Add(time.Duration(r.rng.IntN(15)) * time.Second)
	r.fill(&r.normal, 1)
	if s.Bad != nil && s.Bad.Slowdown > 0 {
		r.fill(&r.slow, s.Bad.Slowdown)
	}
	r.shares = make([]model.Share, shareDelay)
	end := start.Add(s.Deadline + s.Watch + 60*time.Second)
	for now := start; now.Before(end); now = now.Add(tick) {
		r.step(now)
	}
	st := p.Status()
	r.result.Done, r.result.InTime = st.Completed != 0, st.InTime()
	r.result.Reversed, r.result.Reason = st.Phase == rollout.PhaseReversed, st.Reason
	r.result.Passed = r.result.Done && !r.result.Reversed
	r.result.CompletedAfter = st.Completed.Time().Sub(start)
	return r.result
}

// fill draws latencies with a median of 8 ms.
func (r *run) fill(t *[tableSize]uint8, factor float64) {
	for i := range t {
		d := factor * 8 * math.Exp(0.5*r.rng.NormFloat64())
		t[i] = uint8(rollout.BucketOf(time.Duration(d * float64(time.Millisecond))))
	}
}

func (r *run) step(now time.Time) {
	age := now.Sub(r.start)
	in := age >= r.Trouble.From && age < r.Trouble.To
	if r.Trouble.Every > 0 {
		in = in && age%r.Trouble.Every < 2*time.Second
	}
	if in && r.Trouble.NewLeader && int((age-r.Trouble.From)/time.Second)%15 == 0 {
		r.plan.Forget()
	}
	if r.Trouble.Cold && age == r.Trouble.From {
		r.coldTill = now.Add(rollout.ColdFor)
	}
	share := r.shares[0]
	var c cells
	calls := r.poisson(float64(r.CallsPerSecond))
	for range calls {
		r.call(now, share, in, &c)
	}
	if r.result.ToZero < 0 && !r.firstBad.IsZero() && share == 0 {
		r.result.ToZero = now.Sub(r.firstBad)
	}
	r.warm(share)
	report := rollout.Report{Host: "n1", Sequence: uint64(age/tick) + 1, Nodes: 1, Cells: c.list()}
	lost := in && r.Trouble.LostReports
	next := r.plan.Tick(now.Add(tick), report, !lost, r.capacity())
	r.shares = append(r.shares[1:], next)
	r.result.AtRisk = r.result.AtRisk || r.plan.Status().AtRisk
}

// concurrency is the number of calls in flight by Little's law.
func (r *run) concurrency() float64 { return float64(r.CallsPerSecond) * 0.009 }

func (r *run) capacity() rollout.Capacity {
	n := servers[0] + servers[1] + servers[2]
	return rollout.Capacity{NewServers: n, OldServers: n, NewLimit: int(r.limit * float64(n)), OldLimit: slots * n, Concurrency: r.concurrency(), CallsPerSecond: float64(r.CallsPerSecond)}
}

// warm raises the limit of the new backend servers while they get calls.
func (r *run) warm(share model.Share) {
	if share > 0 {
		r.limit = min(r.limit+1, slots)
	}
}

// call simulates one call and counts it.
func (r *run) call(now time.Time, share model.Share, trouble bool, c *cells) {
	version := 0
	if model.Share(r.rng.IntN(int(model.ShareAll))) < share {
		version = 1
	}
	route, dc := r.pickRoute(), r.pickDataCentre()
	cold := version == 1 && r.isCold(now)
	n := &c[version][route][dc][bit(cold)]
	load := r.concurrency() * float64(share) / float64(model.ShareAll) / 7
	if version == 1 && load > r.limit && r.rng.Float64() > r.limit/load {
		n.Refused++
		return
	}
	if trouble && r.Trouble.LostDataCentre == dc+1 {
		if now.Sub(r.start)-r.Trouble.From >= 2*time.Second { // until the connections are found silent
			n.Unreachable++
			return
		}
		n.Calls, n.Errors = n.Calls+1, n.Errors+1
		n.Latency[rollout.Buckets-1]++
		return
	}
	failing, latency := r.BaseErrors, r.normal[r.rng.IntN(tableSize)]
	if cold {
		failing, latency = failing+0.03, latency+3
	}
	if trouble && r.Trouble.Storm {
		failing, latency = failing+0.25, latency+4
	}
	failed := r.rng.Float64() < failing
	if version == 1 && r.isBad(now, route, load) {
		failed, latency = r.hurt(now, failed, latency)
	}
	n.Calls++
	n.Errors += uint64(bit(failed))
	n.Latency[min(latency, rollout.Buckets-1)]++
}

func (r *run) hurt(now time.Time, failed bool, latency uint8) (bool, uint8) {
	hit := false
	if r.rng.Float64() < r.Bad.ErrorRate {
		hit = !failed
		failed = true
	}
	if r.Bad.Slowdown > 0 {
		hit, latency = true, r.slow[r.rng.IntN(tableSize)]
	}
	if hit {
		r.result.Hurt++
		if r.firstBad.IsZero() {
			r.firstBad = now
		}
	}
	return failed, latency
}

func (r *run) isBad(now time.Time, route int, load float64) bool {
	b := r.Bad
	if b == nil || b.Route != "" && routes[route] != b.Route || load < b.FromLoad {
		return false
	}
	if b.AfterDone > 0 {
		st := r.plan.Status()
		return st.Completed != 0 && now.Sub(st.Completed.Time()) >= b.AfterDone
	}
	return now.Sub(r.start) >= b.After
}

func (r *run) isCold(now time.Time) bool {
	return now.Before(r.freshTo) || now.Before(r.coldTill) && r.rng.IntN(2) == 0
}

func (r *run) pickRoute() int {
	x := r.rng.Float64()
	for i, p := range routeParts {
		if x -= p; x < 0 {
			return i
		}
	}
	return 0
}

func (r *run) pickDataCentre() int {
	x := r.rng.IntN(7)
	for i, n := range servers {
		if x -= n; x < 0 {
			return i
		}
	}
	return 0
}

// poisson draws the number of calls of a tick (normal approximation).
func (r *run) poisson(mean float64) int {
	return max(0, int(mean+math.Sqrt(mean)*r.rng.NormFloat64()+0.5))
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *cells) list() []rollout.Cell {
	var out []rollout.Cell
	for v, version := range []model.ServiceVersion{Old, New} {
		for i, route := range routes {
			for j, dc := range dataCentres {
				for k := range 2 {
					n := c[v][i][j][k]
					if n.Calls+n.Refused+n.Unreachable == 0 {
						continue
					}
					key := rollout.Key{Service: Service, Version: version, Route: route, Kind: kinds[i], DataCentre: dc, Cold: k == 1}
					out = append(out, rollout.Cell{Key: key, Counts: n})
				}
			}
		}
	}
	return out
}
