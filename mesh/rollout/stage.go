package rollout

import (
	"math"

	"balsamtrail.org/mesh/model"
)

// StartShare is the first share of a move: 1% of the calls.
const StartShare model.Share = 100

// stage is a share and the evidence needed there before the share may rise to next. The
// limits apply to the upper end of the one-sided 95% interval of the new version's rate
// minus the old version's rate.
type stage struct {
	share, next    model.Share
	minCalls       float64 // least number of calls that the new version has answered since the last change of the share
	maxErrorExcess float64 // limit for the difference of the error rates
	maxSlowExcess  float64 // limit for the difference of the fractions of slow calls
}

// stages are the shares of a move. The numbers of calls follow from the Wilson interval:
// 8 calls without an error exclude an error rate above 25%, 25 calls one above 10%, 70
// calls one above 4%, 110 calls one above 2.5% and 150 calls one above 2%. The stage at
// 80% exists because a version that fails only under load can still be compared there.
var stages = []stage{
	{share: 100, next: 500, minCalls: 8, maxErrorExcess: 0.26, maxSlowExcess: 0.55},
	{share: 500, next: 2000, minCalls: 25, maxErrorExcess: 0.10, maxSlowExcess: 0.45},
	{share: 2000, next: 5000, minCalls: 70, maxErrorExcess: 0.04, maxSlowExcess: 0.40},
	{share: 5000, next: 8000, minCalls: 110, maxErrorExcess: 0.025, maxSlowExcess: 0.35},
	{share: 8000, next: model.ShareAll, minCalls: 150, maxErrorExcess: 0.02, maxSlowExcess: 0.35},
}

const (
	// busyRouteFraction is the fraction of the old version's calls from which a route needs
	// evidence of its own.
	busyRouteFraction = 0.05
	// routeCallsFactor scales a stage's number of calls for one route, which has only some of
	// the service's calls.
	routeCallsFactor = 0.1
	// routeExcessFactor scales a stage's maxErrorExcess and maxSlowExcess for one route.
	routeExcessFactor = 5
	// minTimedFraction is the fraction of a stage's number of calls whose latency must have
	// been compared with the old version's p95.
	minTimedFraction = 0.5
	// noTrafficCoverage is the fraction of the live nodes that must report before a service
	// counts as having no traffic.
	noTrafficCoverage = 0.95
)

// CallStats holds the call statistics of one version over one or more windows. Every field is
// a number of attempts at sending a call to the version.
type CallStats struct {
	// Calls counts the attempts that count as answered, those with CallOK or CallError; Errors
	// counts those with CallError.
	Calls  uint64 `cbor:"1,keyasint"`
	Errors uint64 `cbor:"2,keyasint,omitempty"`
	// Refused counts the attempts that did not run: refused ones and those that could not connect.
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	// Timed counts the answered attempts whose latency was compared with the old version's p95;
	// Slow counts those above it.
	Timed uint64 `cbor:"4,keyasint,omitempty"`
	Slow  uint64 `cbor:"5,keyasint,omitempty"`
}

func (c *CallStats) add(o CallStats) {
	c.Calls += o.Calls
	c.Errors += o.Errors
	c.Refused += o.Refused
	c.Timed += o.Timed
	c.Slow += o.Slow
}

// ErrorRate returns the fraction of the answered calls that failed.
func (c CallStats) ErrorRate() float64 { return ratio(c.Errors, c.Calls) }

// SlowRate returns the fraction of the timed calls that were slow.
func (c CallStats) SlowRate() float64 { return ratio(c.Slow, c.Timed) }

func (c CallStats) refusalRate() float64 { return ratio(c.Refused, c.Calls+c.Refused) }

func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Summary is the evidence since the last change of the share, as stored with each step.
type Summary struct {
	// Old and New are the call statistics of all routes. New includes calls to cold backend servers.
	Old CallStats `cbor:"1,keyasint"`
	New CallStats `cbor:"2,keyasint"`
	// WorstRoute is the busy route with the greatest excessUpperBound; WorstOld and WorstNew are
	// its call statistics.
	WorstRoute model.RouteName `cbor:"3,keyasint,omitempty"`
	WorstOld   CallStats       `cbor:"4,keyasint"`
	WorstNew   CallStats       `cbor:"5,keyasint"`
	// Windows is the number of windows that are summed up.
	Windows int `cbor:"6,keyasint"`
	// Nodes is the number of live nodes; Reported is the number of those that reported recently.
	Nodes    uint32 `cbor:"7,keyasint"`
	Reported uint32 `cbor:"8,keyasint"`
	// NoTraffic says that nearly all nodes report and none of them has seen a call for NoTrafficFor.
	NoTraffic bool `cbor:"9,keyasint,omitempty"`
}

// covered reports whether at least the given fraction of the live nodes reported recently.
func (s Summary) covered(fraction float64) bool {
	return s.Nodes > 0 && float64(s.Reported) >= fraction*float64(s.Nodes)
}

// stageOf returns the highest stage whose share is at most the given one.
func stageOf(share model.Share) stage {
	at := stages[0]
	for _, stage := range stages {
		if share >= stage.share {
			at = stage
		}
	}
	return at
}

// MaxNextShare returns the greatest share that the evidence allows for the next step. A
// version that has completed passes the stages again without evidence.
func MaxNextShare(st Status, s Summary) model.Share {
	switch {
	case st.Phase == PhaseDone:
		return stageOf(st.Share).next
	case st.Share < StartShare:
		return StartShare
	case st.Share == model.ShareAll:
		return model.ShareAll
	}
	current := stageOf(st.Share)
	if s.NoTraffic && s.covered(noTrafficCoverage) && s.New.Calls+s.Old.Calls == 0 {
		return current.next
	}
	route := stage{minCalls: current.minCalls * routeCallsFactor, maxErrorExcess: current.maxErrorExcess * routeExcessFactor, maxSlowExcess: current.maxSlowExcess * routeExcessFactor}
	if !current.allows(s.Old, s.New, 1) || s.WorstRoute != "" && !route.allows(s.WorstOld, s.WorstNew, 1) {
		return st.Share
	}
	return current.next
}

// allows reports whether the evidence meets the stage's limits. A strictness of 2 requires
// four times the calls and allows half the excess.
func (s stage) allows(oldStats, newStats CallStats, strictness float64) bool {
	if float64(newStats.Calls) < s.minCalls*strictness*strictness {
		return false
	}
	if excessUpperBound(newStats.Errors, newStats.Calls, oldStats.ErrorRate()) > s.maxErrorExcess/strictness {
		return false
	}
	if float64(newStats.Timed) < minTimedFraction*s.minCalls*strictness*strictness {
		return false // calls to cold backend servers are not timed
	}
	return excessUpperBound(newStats.Slow, newStats.Timed, oldStats.SlowRate()) <= s.maxSlowExcess/strictness
}

// excessUpperBound is the upper end of the one-sided 95% Wilson interval of k events in n
// calls, minus the base rate.
func excessUpperBound(k, n uint64, base float64) float64 {
	if n == 0 {
		return 1
	}
	const z = 1.645
	p, m := ratio(k, n), float64(n)
	upper := (p + z*z/(2*m) + z*math.Sqrt(p*(1-p)/m+z*z/(4*m*m))) / (1 + z*z/m)
	return upper - base
}
