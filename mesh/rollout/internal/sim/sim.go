// Package sim simulates a rollout with random call outcomes and without a network. It
// measures how many bad versions the decisions reverse, how fast, and how many good ones.
package sim

import (
	"math"
	"math/rand/v2"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/rollout"
)

// Service and versions of every run.
const (
	Service model.ServiceName    = "ledger"
	Old     model.ServiceVersion = "v1"
	New     model.ServiceVersion = "v2"
)

const (
	// tickInterval is the simulated time between two decisions.
	tickInterval = time.Second
	// maxServerLimit is the concurrency limit of a warm backend server, in calls.
	maxServerLimit = 20
	// shareDelay is the number of ticks until a step is in force on all nodes, the longest that
	// the design allows.
	shareDelay = 2
	// latencySamples is the number of latencies drawn in advance for a run.
	latencySamples = 1 << 12
)

var (
	routes      = []model.RouteName{"lookup", "restock", "history"}
	kinds       = []model.Kind{model.KindLookup, model.KindWrite, model.KindUrgent}
	dataCentres = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}
	// routeFractions are the fractions of the calls that go to the routes.
	routeFractions = []float64{0.65, 0.25, 0.10}
	servers        = []int{3, 2, 2} // backend servers of each version, by data centre
)

// Defect describes how a version is bad.
type Defect struct {
	// ErrorRate is the fraction of the calls that the defect makes fail.
	ErrorRate float64
	// Slowdown is the factor by which the defect multiplies the latency; 0 leaves it unchanged.
	Slowdown float64
	// StartsAfter is when the defect starts, from the start of the move.
	StartsAfter time.Duration
	// AfterCompletion starts the defect this long after completion instead.
	AfterCompletion time.Duration
	// Route limits the defect to one route.
	Route model.RouteName
	// MinLoad is the load of a backend server, in calls in flight, from which the defect shows.
	MinLoad float64
}

// Disruption describes what goes wrong independently of the new version.
type Disruption struct {
	// Overload makes both versions fail and slow down between From and To.
	Overload bool
	// Period limits the disruption to the first 2 s of each such span; 0 keeps it up from From to To.
	Period time.Duration
	// LostDataCentre is the number of the data centre that is unreachable between From and To: 1 is the first, 0 none.
	LostDataCentre int
	// ColdRestart restarts half of the new version's backend servers at From, which are then cold.
	ColdRestart bool
	// LostReports drops all reports between From and To.
	LostReports bool
	// NewLeader changes the leader, which loses the evidence, at From and every 15 s until To.
	NewLeader bool
	From, To  time.Duration
}

// Scenario is the setup of a run.
type Scenario struct {
	Name           string
	Defect         *Defect
	Disruption     Disruption
	BaseErrors     float64
	CallsPerSecond int
	Deadline       time.Duration
	Watch          time.Duration
	// LowTraffic says that the calls may not suffice for a bad verdict within the run; the bad
	// version must then not complete.
	LowTraffic bool
}

// Result is the outcome of one run.
type Result struct {
	Done, InTime, Reversed, AtRisk bool
	// Passed says that the move completed and was not reversed.
	Passed         bool
	CompletedAfter time.Duration
	// AffectedCalls is the number of calls that the defect failed or slowed down.
	AffectedCalls int
	// TimeToZero is the time from the first affected call until no call reaches the new version, -1 if that never happens.
	TimeToZero time.Duration
	Reason     string
}

// Plan decides on shares. Tick returns the share to bring into force, LoseEvidence
// simulates a change of the leader.
type Plan interface {
	Tick(now time.Time, r rollout.Report, reported bool, c rollout.Capacity) model.Share
	Status() rollout.Status
	LoseEvidence()
}

// cells holds the counters, indexed by version, route, data centre and cold.
type cells [2][3][3][2]rollout.Counts

type run struct {
	Scenario
	rng                *rand.Rand
	plan               Plan
	normalLatency      [latencySamples]uint8 // latency buckets without the defect
	slowLatency        [latencySamples]uint8
	start              time.Time
	shares             []model.Share
	newServerLimit     float64   // concurrency limit of each backend server of the new version
	restartedColdUntil time.Time // restarted backend servers of the new version are cold until then
	allColdUntil       time.Time // all backend servers of the new version are cold until then
	result             Result
	firstAffected      time.Time
}

// Run simulates one move and its watch with the plan.
func Run(s Scenario, seed uint64, start time.Time, p Plan) Result {
	r := &run{Scenario: s, rng: rand.New(rand.NewPCG(seed, 7)), plan: p, start: start, newServerLimit: 1}
	r.result.TimeToZero = -1
	r.allColdUntil = start.Add(time.Duration(r.rng.IntN(15)) * time.Second)
	r.sampleLatencies(&r.normalLatency, 1)
	if s.Defect != nil && s.Defect.Slowdown > 0 {
		r.sampleLatencies(&r.slowLatency, s.Defect.Slowdown)
	}
	r.shares = make([]model.Share, shareDelay)
	end := start.Add(s.Deadline + s.Watch + 60*time.Second)
	for now := start; now.Before(end); now = now.Add(tickInterval) {
		r.step(now)
	}
	st := p.Status()
	r.result.Done, r.result.InTime = st.Completed != 0, st.InTime()
	r.result.Reversed, r.result.Reason = st.Phase == rollout.PhaseReversed, st.Reason
	r.result.Passed = r.result.Done && !r.result.Reversed
	r.result.CompletedAfter = st.Completed.Time().Sub(start)
	return r.result
}

// sampleLatencies fills t with buckets of log-normal latencies with a median of 8 ms times factor.
func (r *run) sampleLatencies(t *[latencySamples]uint8, factor float64) {
	for i := range t {
		d := factor * 8 * math.Exp(0.5*r.rng.NormFloat64())
		t[i] = uint8(rollout.LatencyBucketOf(time.Duration(d * float64(time.Millisecond))))
	}
}

// step simulates one tick and the decision after it.
func (r *run) step(now time.Time) {
	age := now.Sub(r.start)
	disrupted := age >= r.Disruption.From && age < r.Disruption.To
	if r.Disruption.Period > 0 {
		disrupted = disrupted && age%r.Disruption.Period < 2*time.Second
	}
	if disrupted && r.Disruption.NewLeader && int((age-r.Disruption.From)/time.Second)%15 == 0 {
		r.plan.LoseEvidence()
	}
	if r.Disruption.ColdRestart && age == r.Disruption.From {
		r.restartedColdUntil = now.Add(rollout.DefaultColdTime)
	}
	share := r.shares[0]
	var c cells
	calls := r.poisson(float64(r.CallsPerSecond))
	for range calls {
		r.call(now, share, disrupted, &c)
	}
	if r.result.TimeToZero < 0 && !r.firstAffected.IsZero() && share == 0 {
		r.result.TimeToZero = now.Sub(r.firstAffected)
	}
	r.rampUpLimit(share)
	report := rollout.Report{Host: "n1", Sequence: uint64(age/tickInterval) + 1, Nodes: 1, Cells: c.reportCells()}
	lost := disrupted && r.Disruption.LostReports
	next := r.plan.Tick(now.Add(tickInterval), report, !lost, r.capacity())
	r.shares = append(r.shares[1:], next)
	r.result.AtRisk = r.result.AtRisk || r.plan.Status().AtRisk
}

// concurrency is the number of calls in flight by Little's law, at a mean latency of 9 ms.
func (r *run) concurrency() float64 { return float64(r.CallsPerSecond) * 0.009 }

func (r *run) capacity() rollout.Capacity {
	n := servers[0] + servers[1] + servers[2]
	return rollout.Capacity{NewServers: n, OldServers: n, NewLimit: int(r.newServerLimit * float64(n)), OldLimit: maxServerLimit * n, Concurrency: r.concurrency(), CallsPerSecond: float64(r.CallsPerSecond)}
}

// rampUpLimit raises the limit of the new version's backend servers while they get calls.
func (r *run) rampUpLimit(share model.Share) {
	if share > 0 {
		r.newServerLimit = min(r.newServerLimit+1, maxServerLimit)
	}
}

// call simulates one call and counts it.
func (r *run) call(now time.Time, share model.Share, disrupted bool, c *cells) {
	version := 0
	if model.Share(r.rng.IntN(int(model.ShareAll))) < share {
		version = 1
	}
	route, dc := r.pickRoute(), r.pickDataCentre()
	cold := version == 1 && r.isCold(now)
	n := &c[version][route][dc][boolToInt(cold)]
	load := r.concurrency() * float64(share) / float64(model.ShareAll) / 7
	if version == 1 && load > r.newServerLimit && r.rng.Float64() > r.newServerLimit/load {
		n.Refused++
		return
	}
	if disrupted && r.Disruption.LostDataCentre == dc+1 {
		if now.Sub(r.start)-r.Disruption.From >= 2*time.Second { // calls fail until the nodes notice the lost connections
			n.Unreachable++
			return
		}
		n.Calls, n.Errors = n.Calls+1, n.Errors+1
		n.Latency[rollout.LatencyBuckets-1]++
		return
	}
	errorRate, latency := r.BaseErrors, r.normalLatency[r.rng.IntN(latencySamples)]
	if cold {
		errorRate, latency = errorRate+0.03, latency+3
	}
	if disrupted && r.Disruption.Overload {
		errorRate, latency = errorRate+0.25, latency+4
	}
	failed := r.rng.Float64() < errorRate
	if version == 1 && r.defectActive(now, route, load) {
		failed, latency = r.applyDefect(now, failed, latency)
	}
	n.Calls++
	n.Errors += uint64(boolToInt(failed))
	n.Latency[min(latency, rollout.LatencyBuckets-1)]++
}

// applyDefect returns the outcome of a call to the defective version and counts the call if it is affected.
func (r *run) applyDefect(now time.Time, failed bool, latency uint8) (bool, uint8) {
	affected := false
	if r.rng.Float64() < r.Defect.ErrorRate {
		affected = !failed
		failed = true
	}
	if r.Defect.Slowdown > 0 {
		affected, latency = true, r.slowLatency[r.rng.IntN(latencySamples)]
	}
	if affected {
		r.result.AffectedCalls++
		if r.firstAffected.IsZero() {
			r.firstAffected = now
		}
	}
	return failed, latency
}

// defectActive reports whether the defect affects calls to the route now.
func (r *run) defectActive(now time.Time, route int, load float64) bool {
	b := r.Defect
	if b == nil || b.Route != "" && routes[route] != b.Route || load < b.MinLoad {
		return false
	}
	if b.AfterCompletion > 0 {
		st := r.plan.Status()
		return st.Completed != 0 && now.Sub(st.Completed.Time()) >= b.AfterCompletion
	}
	return now.Sub(r.start) >= b.StartsAfter
}

// isCold draws whether the call's backend server is cold.
func (r *run) isCold(now time.Time) bool {
	return now.Before(r.allColdUntil) || now.Before(r.restartedColdUntil) && r.rng.IntN(2) == 0
}

func (r *run) pickRoute() int {
	x := r.rng.Float64()
	for i, p := range routeFractions {
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

// poisson draws the number of calls in a tick by the normal approximation of the Poisson distribution.
func (r *run) poisson(mean float64) int {
	return max(0, int(mean+math.Sqrt(mean)*r.rng.NormFloat64()+0.5))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// reportCells returns the cells with calls as a report lists them.
func (c *cells) reportCells() []rollout.Cell {
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
