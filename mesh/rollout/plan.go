package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// The pace of a move.
const (
	// defaultMinDwell is the least time at a share: a step is in force everywhere
	// within about 2 s, and a window must follow it.
	defaultMinDwell = 3 * time.Second
	// A move whose deadline is near is paced faster: it stays at a share for at
	// least a part of its whole time, but never less than shortestMinDwell, in which a
	// share is in force on most nodes and a window of evidence follows.
	minDwellDivisor  = 14
	shortestMinDwell = 500 * time.Millisecond
	// maxDwell bounds the time at a share that the plan asks for when the deadline is far.
	maxDwell = 2 * time.Minute
	// plannedFraction is the part of the remaining time that the plan spreads over the remaining levels; the rest is reserve.
	plannedFraction = 0.6
	// earlyStepStrictness evidence (four times the calls, half the excess) lets a step come
	// after half of its planned time. It comes no sooner, because the time left
	// to the deadline costs nothing and shows versions that turn bad later.
	earlyStepStrictness = 2
)

// Plan is the way from a share to all calls, reckoned backwards from the deadline.
type Plan struct {
	// Dwell is the planned time at each level.
	Dwell time.Duration
	// Next is the planned time of the next step; strong evidence allows it at Soonest.
	Next     Instant
	Earliest Instant
	// Forecast is when the move completes at the present rate of calls, 0 if there are none to reckon with.
	Forecast Instant
}

// defaultMinDwell is the least time at a share of the move.
func (s Status) minDwell() time.Duration {
	return min(defaultMinDwell, max(s.Move.By.Time().Sub(s.Accepted.Time())/minDwellDivisor, shortestMinDwell))
}

// PlanOf plans the rest of a move. callsPerSecond are the service's calls on both versions.
func PlanOf(now time.Time, st Status, s Summary, callsPerSecond float64) Plan {
	stagesLeft := 0
	for _, l := range stages {
		if l.next > st.Share {
			stagesLeft++
		}
	}
	remaining := st.Move.By.Time().Sub(st.Changed.Time())
	dwell := time.Duration(plannedFraction * float64(remaining) / float64(max(stagesLeft, 1)))
	p := Plan{Dwell: min(max(dwell, st.minDwell()), maxDwell)}
	p.Next = st.Changed.add(p.Dwell)
	p.Earliest = st.Changed.add(max(st.minDwell(), p.Dwell/2))
	p.Forecast = forecast(now, st, s, callsPerSecond)
	return p
}

// forecast adds up the least time at each remaining level.
func forecast(now time.Time, st Status, s Summary, callsPerSecond float64) Instant {
	at := InstantOf(now)
	if st.Share == model.ShareAll {
		return at.add(st.minDwell())
	}
	if callsPerSecond <= 0 {
		return 0
	}
	collected := float64(s.New.Calls)
	for _, l := range stages {
		if l.next <= st.Share {
			continue
		}
		share := max(l.share, min(st.Share, l.next))
		missing := max(l.minCalls-collected, 0)
		collected = 0
		collecting := time.Duration(missing / (callsPerSecond * float64(share) / float64(model.ShareAll)) * float64(time.Second))
		at = at.add(max(st.minDwell(), collecting))
	}
	return at.add(st.minDwell())
}

// atRisk reports whether the deadline is in danger: the forecast lies behind
// it, or nothing can be forecast and half of the time has passed.
func (p Plan) atRisk(now time.Time, st Status) bool {
	if p.Forecast != 0 {
		return p.Forecast > st.Move.By
	}
	half := st.Accepted + (st.Move.By-st.Accepted)/2
	return InstantOf(now) > half
}
