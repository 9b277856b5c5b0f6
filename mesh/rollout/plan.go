package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// Parameters of a move's pace.
const (
	// defaultMinDwell is the minimum time at a share: a step is in force on all nodes within
	// about 2 s, and a window of evidence must follow it.
	defaultMinDwell = 3 * time.Second
	// minDwellDivisor sets the minimum dwell time of a move with a near deadline to 1/14 of the
	// time between acceptance and deadline.
	minDwellDivisor = 14
	// shortestMinDwell is the lower limit of the minimum dwell time, in which a share comes
	// into force on most nodes and a window of evidence follows.
	shortestMinDwell = 500 * time.Millisecond
	// maxDwell is the upper limit of the planned time at a share when the deadline is far.
	maxDwell = 2 * time.Minute
	// plannedFraction is the fraction of the time to the deadline that the plan divides among
	// the remaining stages; the rest is a reserve.
	plannedFraction = 0.6
	// earlyStepStrictness is the strictness (four times the calls, half the excess) of the
	// evidence that allows a step after half of its planned time. No step is taken earlier,
	// because there is nothing to gain by finishing before the deadline, and more time at a
	// share shows whether the version turns bad later.
	earlyStepStrictness = 2
)

// Plan is the schedule of the steps from the present share to full share, computed backwards from the deadline.
type Plan struct {
	// Dwell is the planned time at each stage.
	Dwell time.Duration
	// Next is the planned time of the next step; evidence of earlyStepStrictness allows the
	// step from Earliest on.
	Next     Instant
	Earliest Instant
	// Forecast is when the move would complete at the present rate of calls, 0 if there are no calls.
	Forecast Instant
}

// minDwell is the minimum time at a share for this move.
func (s Status) minDwell() time.Duration {
	return min(defaultMinDwell, max(s.Move.By.Time().Sub(s.Accepted.Time())/minDwellDivisor, shortestMinDwell))
}

// PlanOf plans the remaining steps of a move. callsPerSecond is the rate of the service's calls to both versions.
func PlanOf(now time.Time, st Status, s Summary, callsPerSecond float64) Plan {
	stagesLeft := 0
	for _, stage := range stages {
		if stage.next > st.Share {
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

// forecast adds up the times at the remaining stages: the minimum dwell time, or the time to
// collect the stage's number of calls if that is longer.
func forecast(now time.Time, st Status, s Summary, callsPerSecond float64) Instant {
	at := InstantOf(now)
	if st.Share == model.ShareAll {
		return at.add(st.minDwell())
	}
	if callsPerSecond <= 0 {
		return 0
	}
	collected := float64(s.New.Calls)
	for _, stage := range stages {
		if stage.next <= st.Share {
			continue
		}
		share := max(stage.share, min(st.Share, stage.next))
		missing := max(stage.minCalls-collected, 0)
		collected = 0
		collecting := time.Duration(missing / (callsPerSecond * float64(share) / float64(model.ShareAll)) * float64(time.Second))
		at = at.add(max(st.minDwell(), collecting))
	}
	return at.add(st.minDwell())
}

// atRisk reports whether the move may miss its deadline: the forecast is later than the
// deadline, or there is no forecast and half of the time has passed.
func (p Plan) atRisk(now time.Time, st Status) bool {
	if p.Forecast != 0 {
		return p.Forecast > st.Move.By
	}
	half := st.Accepted + (st.Move.By-st.Accepted)/2
	return InstantOf(now) > half
}
