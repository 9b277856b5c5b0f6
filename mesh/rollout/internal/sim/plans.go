package sim

import (
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/rollout"
)

// leaderPlan decides with rollout's Leader and State.
type leaderPlan struct {
	state  *rollout.State
	leader *rollout.Leader
	index  uint64
}

// NewLeaderPlan returns the plan under test with an accepted move.
func NewLeaderPlan(s Scenario, start time.Time) Plan {
	p := &leaderPlan{state: rollout.NewState(), leader: rollout.NewLeader(nil)}
	p.apply(rollout.Command{Op: rollout.OpStart, From: Old, Time: rollout.InstantOf(start), Move: moveOf(s, start)})
	return p
}

func moveOf(s Scenario, start time.Time) rollout.Move {
	return rollout.Move{ID: rollout.MoveID{Note: 1, Service: Service}, To: New, By: rollout.InstantOf(start.Add(s.Deadline)), WatchFor: s.Watch, Revision: 1}
}

func (p *leaderPlan) apply(c rollout.Command) {
	p.index++
	p.state.Apply(c, p.index)
}

// Tick implements Plan.
func (p *leaderPlan) Tick(now time.Time, r rollout.Report, reported bool, c rollout.Capacity) model.Share {
	if reported {
		p.leader.Report(now, r)
	}
	for _, cmd := range p.leader.Tick(now, p.state.Active(), 1, func(model.ServiceName) rollout.Capacity { return c }) {
		p.apply(cmd)
	}
	return p.Status().Share
}

// Status implements Plan.
func (p *leaderPlan) Status() rollout.Status {
	st, _ := p.state.Current(Service)
	return st
}

// LoseEvidence implements Plan: another host becomes the leader.
func (p *leaderPlan) LoseEvidence() { p.leader = rollout.NewLeader(nil) }

// naivePlan is the baseline for the measured plan. It sends 1% of the calls to the new
// version for 30 s, then all calls. It reverses the move when the new version's error rate
// over 5 s is above a fixed limit, with at least 3 errors.
type naivePlan struct {
	st     rollout.Status
	start  time.Time
	recent []callStats
}

// callStats holds the numbers of answered and of failed calls to the new version over one or more ticks.
type callStats struct{ calls, errors uint64 }

const (
	// naiveCanaryDuration is how long the new version stays at the first share.
	naiveCanaryDuration = 30 * time.Second
	// naiveMaxErrorRate is the error rate above which the move is reversed.
	naiveMaxErrorRate = 0.05
	// naiveTicks is the number of ticks over which the error rate is taken.
	naiveTicks = 5
	// naiveMinErrors is the least number of errors for a reversal.
	naiveMinErrors = 3
)

// NewNaivePlan returns the naive plan at the first share.
func NewNaivePlan(s Scenario, start time.Time) Plan {
	return &naivePlan{start: start, st: rollout.Status{Move: moveOf(s, start), Phase: rollout.PhaseMoving, Share: rollout.StartShare}}
}

// Tick implements Plan.
func (p *naivePlan) Tick(now time.Time, r rollout.Report, reported bool, _ rollout.Capacity) model.Share {
	var t callStats
	for _, c := range r.Cells {
		if reported && c.Key.Version == New {
			t.calls, t.errors = t.calls+c.Counts.Calls, t.errors+c.Counts.Errors
		}
	}
	p.recent = append(p.recent, t)
	p.recent = p.recent[max(0, len(p.recent)-naiveTicks):]
	var sum callStats
	for _, t := range p.recent {
		sum.calls, sum.errors = sum.calls+t.calls, sum.errors+t.errors
	}
	done := p.st.Completed != 0 && now.Sub(p.st.Completed.Time()) > p.st.Move.WatchFor
	switch {
	case p.st.Phase == rollout.PhaseReversed || done:
	case sum.errors >= naiveMinErrors && float64(sum.errors) > naiveMaxErrorRate*float64(sum.calls):
		p.st.Phase, p.st.Share = rollout.PhaseReversed, 0
	case p.st.Phase == rollout.PhaseMoving && now.Sub(p.start) >= naiveCanaryDuration:
		p.st.Phase, p.st.Share, p.st.Completed = rollout.PhaseDone, model.ShareAll, rollout.InstantOf(now)
	}
	return p.st.Share
}

// Status implements Plan.
func (p *naivePlan) Status() rollout.Status { return p.st }

// LoseEvidence implements Plan.
func (p *naivePlan) LoseEvidence() { p.recent = nil }
