package hedging

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

const testRoute = "r"

// suitable is a call that is hedged if the budgets allow it.
var suitable = Call{Route: testRoute, Remaining: time.Second, CallBudget: 1, Load: 0.3, Versions: 1}

// newTestHedger returns a Hedger whose retry bucket holds retryBurst tokens and gets one
// for each call.
func newTestHedger(limit, retryBurst float64) (*Hedger, *routing.Bucket) {
	retries := routing.NewBucket(1, retryBurst)
	return New(Config{Limit: limit, Burst: DefaultBurst, MaxLoad: DefaultMaxLoad, Retries: retries}), retries
}

// Guards against more hedged attempts than operators allow in some window of calls: after
// the start, at low rates, and when many calls become due after a time without any.
func TestLimitHoldsOverAnyWindow(t *testing.T) {
	const calls = 20_000
	for _, limit := range []float64{0, 0.02, 0.05, 0.1} {
		h, retries := newTestHedger(limit, 1000)
		random := rand.New(rand.NewPCG(1, 2))
		hedged, due := 0, 0
		// The excess of hedged attempts over the limit in the worst window that ends at
		// the current call is excess - least.
		excess, least, worst := 0.0, 0.0, 0.0
		for i := range calls {
			h.CountCall()
			retries.Deposit()
			excess -= limit
			mayBeDue := i < 1000 || i/500%2 == 0 // phases without a call that is due
			if mayBeDue && random.Float64() < 0.7 {
				due++
				if h.Start(suitable) == "" {
					hedged++
					excess++
				}
			}
			worst, least = max(worst, excess-least), min(least, excess)
			if float64(hedged) > limit*float64(i+1)+1e-9 {
				t.Fatalf("limit %v: %d hedged attempts in the first %d calls", limit, hedged, i+1)
			}
		}
		if worst > DefaultBurst+1e-9 || limit == 0 && hedged > 0 {
			t.Errorf("limit %v: %.2f more than the limit in a window", limit, worst)
		}
		if want := limit * calls / 2 * 0.95; float64(hedged) < want {
			t.Errorf("limit %v: only %d hedged attempts of %d that were due", limit, hedged, due)
		}
	}
}

// Guards against hedging where it does harm, and against a refused hedge that costs budget.
func TestUnsuitableCallsAreNotHedgedAndCostNothing(t *testing.T) {
	h, retries := newTestHedger(0.25, 10)
	for range 100 {
		h.CountCall()
		h.Observe(testRoute, 100*time.Millisecond)
	}
	for want, change := range map[Skip]func(*Call){
		SkipLoad:       func(c *Call) { c.Load = DefaultMaxLoad + 0.01 },
		SkipNoTime:     func(c *Call) { c.Remaining = 99 * time.Millisecond },
		SkipVersions:   func(c *Call) { c.Versions = 2 },
		SkipCallBudget: func(c *Call) { c.CallBudget = 0 },
	} {
		c := suitable
		change(&c)
		if got := h.Start(c); got != want {
			t.Errorf("skipped for %q, want %q", got, want)
		}
	}
	if h.State(testRoute).Tokens != DefaultBurst || retries.Tokens() != 10 {
		t.Errorf("%v hedge tokens and %v retry tokens are left", h.State(testRoute).Tokens, retries.Tokens())
	}
	for _, r := range []note.Route{{Kind: model.KindWrite}, {Kind: model.KindUrgent}, {Kind: model.KindLookup, Hedge: true}} {
		r.MaxRetries, r.Hedge = 1, r.Kind != model.KindLookup // a lookup without the field, others with it
		if h.Applies(r) {
			t.Errorf("hedging applies to %+v", r)
		}
	}
	if h.Applies(note.Route{Kind: model.KindLookup, Hedge: true}) {
		t.Error("hedging applies to a route without retries")
	}
}

// Guards against hedged attempts that use up the tokens that retries of failed calls need,
// and against budgets that are not given back.
func TestHalfOfTheRetryBurstStaysForRetries(t *testing.T) {
	h, retries := newTestHedger(0.25, 4)
	for range 100 {
		h.CountCall()
	}
	for i, want := range []Skip{"", "", SkipRetryBudget, SkipRetryBudget} {
		if got := h.Start(suitable); got != want {
			t.Errorf("attempt %d: %q, want %q", i, got, want)
		}
	}
	if h.State(testRoute).Tokens != DefaultBurst-2 || retries.Tokens() != 2 {
		t.Errorf("%v hedge tokens and %v retry tokens are left", h.State(testRoute).Tokens, retries.Tokens())
	}
	h.Refund()
	if h.State(testRoute).Tokens != DefaultBurst-1 || retries.Tokens() != 3 {
		t.Errorf("after a refund %v hedge tokens and %v retry tokens are left", h.State(testRoute).Tokens, retries.Tokens())
	}
}

// Guards against hedged attempts that multiply along nested calls: a service that is called
// by the runs of another one must get at most 20% more arrivals than it would without hedged
// attempts and retries, with the budgets of the platform and every call due and failing.
func TestArrivalsOfNestedCallsStayWithinTheRetryBudget(t *testing.T) {
	// Between processes of the platform no retry budget travels with a call.
	for _, travels := range []bool{true, false} {
		t.Run(fmt.Sprintf("budget travels %t", travels), func(t *testing.T) { testArrivals(t, travels) })
	}
}

func testArrivals(t *testing.T, budgetTravels bool) {
	const nodes, calls, part, burst = 80, 10_000, 0.09, 3
	type node struct {
		hedger  *Hedger
		retries *routing.Bucket
	}
	var mesh []node
	for range nodes {
		retries := routing.NewBucket(part, burst)
		mesh = append(mesh, node{New(Config{Limit: 0.05, Burst: DefaultBurst, MaxLoad: DefaultMaxLoad, Retries: retries}), retries})
	}
	random := rand.New(rand.NewPCG(5, 6))
	// runs returns the retry budgets of the runs that a call causes.
	runs := func(budget int) []int {
		n := mesh[random.IntN(nodes)]
		n.hedger.CountCall()
		n.retries.Deposit()
		budgets := []int{budget}
		c := suitable
		c.CallBudget = budget
		if n.hedger.Start(c) == "" {
			budgets = append(budgets, 0)
		}
		if budget > 0 && n.retries.Take() {
			budgets = append(budgets, budget-1)
		}
		return budgets
	}
	for window := range 3 {
		nested := 0
		for range calls {
			for _, budget := range runs(1) {
				if !budgetTravels {
					budget = 1
				}
				nested += len(runs(budget))
			}
		}
		t.Logf("window %d: %d arrivals of nested calls for %d calls", window, nested, calls)
		if allowed := calls*1.2 + 200; float64(nested) > allowed {
			t.Errorf("window %d: %d arrivals of nested calls for %d calls", window, nested, calls)
		}
	}
}

// Guards against an attempt that is due before a usual response can have arrived, and
// against one that does not react to a backend server that is slow by then.
func TestWait(t *testing.T) {
	h, _ := newTestHedger(0.05, 10)
	if _, known := h.Wait(testRoute, 0, false); known {
		t.Error("a time without latencies")
	}
	for i := range 1000 {
		h.Observe(testRoute, time.Duration(1+i%100)*time.Millisecond)
	}
	for _, c := range []struct {
		elapsed time.Duration
		slow    bool
		want    time.Duration
	}{{0, false, 51}, {0, true, 51}, {51, false, 45}, {51, true, 0}, {60, true, 0}, {60, false, 36}, {96, false, 0}, {200, false, 0}} {
		if got, known := h.Wait(testRoute, c.elapsed*time.Millisecond, c.slow); !known || got != c.want*time.Millisecond {
			t.Errorf("%+v: %s", c, got)
		}
	}
	if (ServiceTimes{Recent: 99, ServiceUsual: 50}).Slow() || (ServiceTimes{Recent: 100}).Slow() {
		t.Error("slow below twice the usual time, or without knowing it")
	}
	slow := ServiceTimes{Recent: 100, ServiceUsual: 50}
	if h.Suits(0.3, slow) || h.Suits(0.9, ServiceTimes{}) || !h.Suits(0.3, ServiceTimes{}) {
		t.Error("a slow or loaded backend server suits, or an idle one does not")
	}
}

// play runs lookups against servers that are slower by factor in phases of 600 ms and
// returns the latencies at the given quantiles, in multiples of the usual time. A request
// has the same work at each server. informed says that the service times are known.
func play(limit, slowPart, factor float64, informed bool, quantiles ...float64) []float64 {
	const servers, calls, usual = 66, 60_000, 100 * time.Millisecond
	h, retries := newTestHedger(limit, 1000)
	random := rand.New(rand.NewPCG(3, 4))
	cycle := time.Duration(float64(600*time.Millisecond) / slowPart)
	offsets := make([]time.Duration, servers)
	for i := range offsets {
		offsets[i] = time.Duration(random.Int64N(int64(cycle)))
	}
	slow := func(now time.Duration, s int) bool { return (now+offsets[s])%cycle < 600*time.Millisecond }
	times := func(now time.Duration, s int) ServiceTimes {
		if !informed || !slow(now, s) {
			return ServiceTimes{Recent: usual, ServiceUsual: usual}
		}
		return ServiceTimes{Recent: time.Duration(factor * float64(usual)), ServiceUsual: usual}
	}
	latencies := make([]time.Duration, calls)
	for i := range calls {
		now := time.Duration(i) * time.Millisecond
		work := float64(usual) * math.Exp(0.3*random.NormFloat64())
		takes := func(now time.Duration, s int) time.Duration {
			if slow(now, s) {
				return time.Duration(work * factor)
			}
			return time.Duration(work)
		}
		h.CountCall()
		retries.Deposit()
		first, second := random.IntN(servers), random.IntN(servers)
		latency := takes(now, first)
		delay, known := h.Wait(testRoute, 0, false)
		if known {
			wait, _ := h.Wait(testRoute, delay, times(now, first).Slow() || times(now+delay, first).Slow())
			delay += wait
		}
		if known && latency > delay && h.Suits(0, times(now+delay, second)) && h.Start(suitable) == "" {
			latency = min(latency, delay+takes(now+delay, second))
		}
		h.Observe(testRoute, latency)
		latencies[i] = latency
	}
	slices.Sort(latencies)
	var out []float64
	for _, q := range quantiles {
		out = append(out, float64(latencies[int(q*calls)])/float64(usual))
	}
	return out
}

// Guards against hedging that does not shorten the tail for servers with phases of
// slowness, and against hedging that lengthens it. Rare phases of great slowness show above
// the 95th percentile, so that the delay from the latencies is enough. Frequent ones of
// little slowness raise that percentile itself; there the service times must be known.
func TestTailFallsForServersWithPhasesOfSlowness(t *testing.T) {
	for _, c := range []struct {
		slowPart, factor, limit float64
		informed                bool
		atMost                  float64 // of the 99th percentile without hedging
	}{
		{0.04, 5, 0.02, false, 0.95},
		{0.04, 5, 0.05, false, 0.85},
		{0.04, 5, 0.10, false, 0.75},
		{0.04, 5, 0.05, true, 0.65},
		{0.15, 2.5, 0.05, true, 0.97},
		{0.15, 2.5, 0.10, true, 0.88},
		{0.15, 2.5, 0.05, false, 1.02},
	} {
		without := play(0, c.slowPart, c.factor, c.informed, 0.5, 0.95, 0.99)
		with := play(c.limit, c.slowPart, c.factor, c.informed, 0.5, 0.95, 0.99)
		t.Logf("%+v: p50, p95, p99 %.2f without, %.2f with hedging", c, without, with)
		if with[2] > c.atMost*without[2] {
			t.Errorf("%+v: p99 %.2f, without hedging %.2f", c, with[2], without[2])
		}
	}
}
