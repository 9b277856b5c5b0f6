package rollout

import (
	"math"

	"balsamtrail.org/mesh/model"
)

// StartShare is the first share of a move: 1% of the calls.
const StartShare model.Share = 100

// stage states what the evidence at a share must show before the share may
// rise to next. The bounds are on the upper end of the 95% interval of the
// new version's excess over the old one.
type stage struct {
	share, next    model.Share
	minCalls       float64 // answered by the new version since the last change of the share
	maxErrorExcess float64 // excess error rate, at most
	maxSlowExcess  float64 // excess share of slow calls, at most
}

// stages follow from the Wilson interval: 8 calls without an error exclude an
// error rate above 25%, 25 one above 10%, 70 one above 4%, 110 one above 2.5%
// and 150 one above 2%. The step at 80% exists because a version that is bad
// only under load can still be compared there.
var stages = []stage{
	{share: 100, next: 500, minCalls: 8, maxErrorExcess: 0.26, maxSlowExcess: 0.55},
	{share: 500, next: 2000, minCalls: 25, maxErrorExcess: 0.10, maxSlowExcess: 0.45},
	{share: 2000, next: 5000, minCalls: 70, maxErrorExcess: 0.04, maxSlowExcess: 0.40},
	{share: 5000, next: 8000, minCalls: 110, maxErrorExcess: 0.025, maxSlowExcess: 0.35},
	{share: 8000, next: model.ShareAll, minCalls: 150, maxErrorExcess: 0.02, maxSlowExcess: 0.35},
}

const (
	// busyRouteFraction is the part of the old version's calls from which a route must show evidence of its own.
	busyRouteFraction = 0.05
	// routeCallsFactor and routeExcessFactor relax a level for one route, which has only a part of the calls.
	routeCallsFactor  = 0.1
	routeExcessFactor = 5
	// minTimedFraction is the part of a level's calls whose latency must have been compared.
	minTimedFraction = 0.5
	// noTrafficCoverage is the part of the nodes that must report before absence of calls counts as shown.
	noTrafficCoverage = 0.95
)

// Tally sums up calls of one version.
type Tally struct {
	Calls   uint64 `cbor:"1,keyasint"`
	Errors  uint64 `cbor:"2,keyasint,omitempty"`
	Refused uint64 `cbor:"3,keyasint,omitempty"`
	// Timed are the calls that could be compared with the old version's p95; Slow are those above it.
	Timed uint64 `cbor:"4,keyasint,omitempty"`
	Slow  uint64 `cbor:"5,keyasint,omitempty"`
}

func (t *Tally) add(o Tally) {
	t.Calls += o.Calls
	t.Errors += o.Errors
	t.Refused += o.Refused
	t.Timed += o.Timed
	t.Slow += o.Slow
}

// ErrorRate returns the part of the answered calls that failed.
func (t Tally) ErrorRate() float64 { return ratio(t.Errors, t.Calls) }

// SlowRate returns the part of the timed calls that were slow.
func (t Tally) SlowRate() float64 { return ratio(t.Slow, t.Timed) }

func (t Tally) refusalRate() float64 { return ratio(t.Refused, t.Calls+t.Refused) }

func ratio(a, b uint64) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Summary is the evidence since the last change of the share, as steps record it.
type Summary struct {
	Old Tally `cbor:"1,keyasint"`
	New Tally `cbor:"2,keyasint"`
	// WorstOld and WorstNew are of the busy route that is furthest from its bound.
	WorstRoute model.RouteName `cbor:"3,keyasint,omitempty"`
	WorstOld   Tally           `cbor:"4,keyasint"`
	WorstNew   Tally           `cbor:"5,keyasint"`
	Windows    int             `cbor:"6,keyasint"`
	// Nodes are alive, Reported of them have reported lately.
	Nodes    uint32 `cbor:"7,keyasint"`
	Reported uint32 `cbor:"8,keyasint"`
	// NoTraffic says that nearly all nodes report and none of them has seen a call for NoTrafficFor.
	NoTraffic bool `cbor:"9,keyasint,omitempty"`
}

func (s Summary) covered(fraction float64) bool {
	return s.Nodes > 0 && float64(s.Reported) >= fraction*float64(s.Nodes)
}

func stageOf(share model.Share) stage {
	at := stages[0]
	for _, l := range stages {
		if share >= l.share {
			at = l
		}
	}
	return at
}

// MaxNextShare returns the greatest share that the evidence allows after the
// status's share. A version that was done has been proved; it only passes the
// levels again.
func MaxNextShare(st Status, s Summary) model.Share {
	switch {
	case st.Phase == PhaseDone:
		return stageOf(st.Share).next
	case st.Share < StartShare:
		return StartShare
	case st.Share == model.ShareAll:
		return model.ShareAll
	}
	l := stageOf(st.Share)
	if s.NoTraffic && s.covered(noTrafficCoverage) && s.New.Calls+s.Old.Calls == 0 {
		return l.next
	}
	route := stage{minCalls: l.minCalls * routeCallsFactor, maxErrorExcess: l.maxErrorExcess * routeExcessFactor, maxSlowExcess: l.maxSlowExcess * routeExcessFactor}
	if !l.allows(s.Old, s.New, 1) || s.WorstRoute != "" && !route.allows(s.WorstOld, s.WorstNew, 1) {
		return st.Share
	}
	return l.next
}

// allows reports whether the evidence meets the level; a strictness of 2 asks
// for four times the calls and half the excess.
func (l stage) allows(oldTally, newTally Tally, strictness float64) bool {
	if float64(newTally.Calls) < l.minCalls*strictness*strictness {
		return false
	}
	if excessUpperBound(newTally.Errors, newTally.Calls, oldTally.ErrorRate()) > l.maxErrorExcess/strictness {
		return false
	}
	if float64(newTally.Timed) < minTimedFraction*l.minCalls*strictness*strictness {
		return false // calls to cold backend servers are not timed
	}
	return excessUpperBound(newTally.Slow, newTally.Timed, oldTally.SlowRate()) <= l.maxSlowExcess/strictness
}

// excessUpperBound is the upper end of the 95% Wilson interval of k of n, less the base rate.
func excessUpperBound(k, n uint64, base float64) float64 {
	if n == 0 {
		return 1
	}
	const z = 1.645
	p, m := ratio(k, n), float64(n)
	upper := (p + z*z/(2*m) + z*math.Sqrt(p*(1-p)/m+z*z/(4*m*m))) / (1 + z*z/m)
	return upper - base
}
