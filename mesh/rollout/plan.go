package rollout

import (
	"time"

	"balsamtrail.org/mesh/model"
)

// The pace of a move.
const (
	// minDwell is the least time at a share: a step is in force everywhere
	// within about 2 s, and a window must follow it.
	minDwell = 3 * time.Second
	// A move whose deadline is near is paced faster: it stays at a share for at
	// least a part of its whole time, but never less than leastDwell, in which a
	// share is in force on most nodes and a window of evidence follows.
	dwellParts = 14
	leastDwell = 500 * time.Millisecond
	// maxDwell bounds the time at a share that the plan asks for when the deadline is far.
	maxDwell = 2 * time.Minute
	// paced is the part of the remaining time that the plan spreads over the remaining levels; the rest is reserve.
	paced = 0.6
	// strict evidence (four times the calls, half the excess) lets a step come
	// after half of its planned time. It comes no sooner, because the time left
	// to the deadline costs nothing and shows versions that turn bad later.
	strict = 2
)

// Plan is the way from a share to all calls, reckoned backwards from the deadline.
type Plan struct {
	// Dwell is the planned time at each level.
	Dwell time.Duration
	// Next is the planned time of the next step; strong evidence allows it at Soonest.
	Next    Instant
	Soonest Instant
	// Forecast is when the move completes at the present rate of calls, 0 if there are none to reckon with.
	Forecast Instant
}

// minDwell is the least time at a share of the move.
func (s Status) minDwell() time.Duration {
	return min(minDwell, max(s.Move.By.Time().Sub(s.Accepted.Time())/dwellParts, leastDwell))
}

// PlanOf plans the rest of a move. callsPerSecond are the service's calls on both versions.
func PlanOf(now time.Time, st Status, s Summary, callsPerSecond float64) Plan {
	left := 0
	for _, l := range levels {
		if l.next > st.Share {
			left++
		}
	}
	rest := st.Move.By.Time().Sub(st.Changed.Time())
	dwell := time.Duration(paced * float64(rest) / float64(max(left, 1)))
	p := Plan{Dwell: min(max(dwell, st.minDwell()), maxDwell)}
	p.Next = st.Changed.add(p.Dwell)
	p.Soonest = st.Changed.add(max(st.minDwell(), p.Dwell/2))
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
	for _, l := range levels {
		if l.next <= st.Share {
			continue
		}
		share := max(l.share, min(st.Share, l.next))
		missing := max(l.calls-collected, 0)
		collected = 0
		need := time.Duration(missing / (callsPerSecond * float64(share) / float64(model.ShareAll)) * float64(time.Second))
		at = at.add(max(st.minDwell(), need))
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
