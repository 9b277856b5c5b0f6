package rollout

import (
	"fmt"
	"strings"
	"time"

	"balsamtrail.org/mesh/model"
)

// Limits of the decisions.
const (
	// capacityHeadroom is how much more concurrency the new version must be able to bear than the next share needs.
	capacityHeadroom = 1.3
	// minReportCoverage is the part of the nodes that must have reported lately for a step up.
	minReportCoverage = 0.5
	// dataCentreCoolDown is how long shares are held after a data centre was taken out or returned.
	dataCentreCoolDown = 5 * time.Second
	// dataCentreCoolDownDwells bounds that time for moves with a near deadline.
	dataCentreCoolDownDwells = 2
	// oldFailingErrorRate is the old version's error rate above which nothing is moved.
	// Its windows do not count as evidence for a step.
	oldFailingErrorRate = 0.10
	oldFailingMinCalls  = 50
	oldFailingWindows   = 3
	// maxRefusalRate of the new version holds the share when the old one refuses less than half as much.
	maxRefusalRate = 0.20
	// reducedShare is what a moving version keeps while it is under suspicion.
	reducedShare model.Share = 500
	// reversalLeadDwells before the deadline a hurried move that had to retreat is reversed.
	reversalLeadDwells = 2
	// maxExposure bounds the calls of a hurried move's whole time that go to a
	// version before it is proved at exposureLimitShare. It leaves a fifth of the tenth that
	// users bear for the time in which a reversal takes effect.
	maxExposure                    = 0.08
	exposureLimitShare model.Share = 5000
	// comparisonShare and severeComparisonShare are what the new version keeps while the old one
	// gets calls again for a comparison; severeComparisonShare from severeRate of failing or slow calls.
	comparisonShare       model.Share = 5000
	severeComparisonShare model.Share = 2000
	severeRate                        = 0.20
	// A comparison rises a level after minDwell with enough calls on both sides and no suspicion.
	comparisonMinNewCalls = 50
	comparisonMinOldCalls = 25
	// comparisonBackoff is the time between comparisons that found nothing, from the
	// third one on; it doubles with each.
	comparisonBackoff         = 15 * time.Second
	maxBackoffDoublings       = 6
	comparisonsWithoutBackoff = 3
	// A version that looks bad again within recurrencePeriod of its return to full
	// share keeps recurrenceComparisonShare for recurrenceComparisonDwell: near full load, but with calls of the
	// old version beside it. A move completes after maxRecurrences without a finding.
	recurrencePeriod                      = time.Minute
	recurrenceComparisonShare model.Share = 9500
	recurrenceComparisonDwell             = 20 * time.Second
	maxRecurrences                        = 2
)

// Capacity is what the backend servers can take, from their announcements and advertised limits.
type Capacity struct {
	// NewServers and OldServers are the serving backend servers of each version.
	NewServers int
	OldServers int
	// NewLimit is the sum of the limits that the new version's servers advertise.
	NewLimit int
	// OldLimit is the same for the old version, which is kept warm until the watch ends.
	OldLimit int
	// Concurrency is the number of the service's calls in flight on both versions.
	Concurrency float64
	// CallsPerSecond are the service's calls on both versions.
	CallsPerSecond float64
	// Disturbed is when a data centre was last taken out or returned.
	Disturbed time.Time
}

// maxNewShare is the share whose concurrency the new version can take.
func (c Capacity) maxNewShare() model.Share {
	if c.Concurrency <= 0 {
		return model.ShareAll
	}
	fraction := float64(c.NewLimit) / (capacityHeadroom * c.Concurrency)
	return model.Share(min(fraction, 1) * float64(model.ShareAll))
}

// minNewShare is the least share of the new version whose rest the old one can take.
func (c Capacity) minNewShare() model.Share {
	if c.Concurrency <= 0 {
		return 0
	}
	fraction := float64(c.OldLimit) / (capacityHeadroom * c.Concurrency)
	return model.ShareAll - model.Share(min(fraction, 1)*float64(model.ShareAll))
}

// Step is a decision. An Op of 0 holds the share and changes nothing.
type Step struct {
	Op       Op
	Share    model.Share
	Reason   string
	Verdict  *Verdict
	Summary  Summary
	Forecast Instant
	AtRisk   bool
}

// Command returns the command that carries out the step, or false for a hold.
func (s Step) Command(now time.Time, st Status) (Command, bool) {
	return Command{
		Op: s.Op, Move: Move{ID: st.Move.ID}, Time: InstantOf(now), Expect: st.Sequence, Share: s.Share, Reason: s.Reason,
		Verdict: s.Verdict, Summary: s.Summary, Forecast: s.Forecast, AtRisk: s.AtRisk,
	}, s.Op != 0
}

// Decide returns the leader's next step for an active move.
func Decide(now time.Time, st Status, e *Evidence, c Capacity) Step {
	v := Judge(e)
	s := e.Summary(now)
	plan := PlanOf(now, st, s, c.CallsPerSecond)
	d := decider{now: now, st: st, summary: s, verdict: v, capacity: c, plan: plan, worseThanBaseline: e.WorseThanBaseline(), recentNew: e.recentTallies(baselineTestWindows, routeKey{}).new,
		oldVersionFailing: e.oldFailing()}
	step := d.step()
	step.Summary = s
	if st.Phase != PhaseDone {
		step.Forecast, step.AtRisk = plan.Forecast, plan.atRisk(now, st)
	}
	if step.Op == 0 && step.AtRisk != st.AtRisk && st.Phase != PhaseDone {
		step.Op, step.Share = OpVerdict, st.Share
	}
	return step
}

// decider is the input of one call of Decide.
type decider struct {
	now               time.Time
	st                Status
	summary           Summary
	verdict           Verdict
	capacity          Capacity
	plan              Plan
	worseThanBaseline bool
	recentNew         Tally
	oldVersionFailing bool
}

func (d decider) step() Step {
	if d.verdict.Bad && d.st.Phase != PhaseWaiting {
		v := d.verdict
		return Step{Op: OpReverse, Reason: v.String(), Verdict: &v}
	}
	switch d.st.Phase {
	case PhaseWaiting:
		return d.begin()
	case PhaseMoving:
		return d.advance()
	case PhaseDone:
		return d.watch()
	}
	return Step{Reason: "the move has ended"}
}

func (d decider) begin() Step {
	if d.capacity.NewServers == 0 {
		return Step{Reason: "no backend server of the new version"}
	}
	share := max(min(StartShare, d.capacity.maxNewShare()), 1)
	return Step{Op: OpStep, Share: share, Reason: "start"}
}

func (d decider) advance() Step {
	if d.verdict.Suspicious && d.st.Share > reducedShare {
		return d.reduceOnSuspicion()
	}
	if d.tightDeadline() {
		if historyOf(d.st).reductions > 0 {
			return d.reverseBeforeDeadline()
		}
		if reason := d.earlyReversalReason(); reason != "" {
			v := d.verdict
			return Step{Op: OpReverse, Reason: reason, Verdict: &v}
		}
	}
	if d.st.Share == model.ShareAll {
		return d.finish()
	}
	if d.overCapacity() {
		share := max(d.capacity.maxNewShare(), 1)
		return Step{Op: OpStep, Share: share, Reason: "the new version refuses calls; back to what it can bear"}
	}
	if reason := d.holdReason(); reason != "" {
		return Step{Reason: reason}
	}
	bound := MaxNextShare(d.st, d.summary)
	if bound == d.st.Share {
		return Step{Reason: "not enough evidence for the next share"}
	}
	planned := d.plan.Next
	if stageOf(d.st.Share).allows(d.summary.Old, d.summary.New, earlyStepStrictness) {
		planned = d.plan.Earliest
	}
	if InstantOf(d.now) < planned && !d.tightDeadline() {
		return Step{Reason: "planned for later"}
	}
	next := min(bound, d.capacity.maxNewShare())
	if next <= d.st.Share+d.st.Share/10 {
		return Step{Reason: "the new version cannot bear the next share"}
	}
	return Step{Op: OpStep, Share: next, Reason: d.evidenceReason()}
}

// reduceOnSuspicion answers a suspicion at a greater share. The evidence goes on at a small
// one; a version that becomes suspicious again as its share rises is bad under load,
// which the calls at the small share would never show.
func (d decider) reduceOnSuspicion() Step {
	v := d.verdict
	if historyOf(d.st).reductions > 0 {
		return Step{Op: OpReverse, Reason: "suspicious again at a greater share: " + v.String(), Verdict: &v}
	}
	share := reducedShare
	if d.tightDeadline() {
		share = StartShare // no time is left to learn from more
	}
	return Step{Op: OpStep, Share: share, Reason: reductionReason + v.String(), Verdict: &v}
}

// tightDeadline reports whether the deadline leaves no time to raise the share again
// after a suspicion.
func (d decider) tightDeadline() bool { return d.st.minDwell() < defaultMinDwell }

// reverseBeforeDeadline ends a hurried move that had to retreat. Until its deadline is near the
// evidence may still convict the version for good reasons of its own.
func (d decider) reverseBeforeDeadline() Step {
	v := d.verdict
	if d.st.Move.By.Time().Sub(d.now) > reversalLeadDwells*d.st.minDwell() {
		return Step{Reason: "was under suspicion at a greater share, for which no time is left"}
	}
	return Step{Op: OpReverse, Reason: "not proved by its deadline after a suspicion", Verdict: &v}
}

// earlyReversalReason returns why a hurried move cannot end well any more, or "". Going on
// would give calls to a version that is not proved, and that its deadline catches
// half-way.
func (d decider) earlyReversalReason() string {
	stepsLeft := 1 // the completion
	for _, l := range stages {
		if l.next > d.st.Share {
			stepsLeft++
		}
	}
	remaining := d.st.Move.By.Time().Sub(d.now)
	switch {
	case remaining < time.Duration(stepsLeft-1)*d.st.minDwell():
		return fmt.Sprintf("%d steps cannot be taken in the %s to the deadline", stepsLeft, remaining)
	case d.st.Share <= exposureLimitShare && d.exposure() > maxExposure:
		return "not proved by the part of the calls that an unproved version may get"
	}
	return ""
}

// exposure is the part of the calls of the move's whole time that the new version
// has got so far.
func (d decider) exposure() float64 {
	shareSeconds := 0.0
	for i, r := range d.st.Steps {
		until := InstantOf(d.now)
		if i+1 < len(d.st.Steps) {
			until = d.st.Steps[i+1].Time
		}
		shareSeconds += float64(r.Share) / float64(model.ShareAll) * until.Time().Sub(r.Time.Time()).Seconds()
	}
	return shareSeconds / d.st.Move.By.Time().Sub(d.st.Accepted.Time()).Seconds()
}

// reductionReason begins the reason of the steps of retreat, by which a new leader
// knows them.
const reductionReason = "suspicion, back to a small share: "

func (d decider) evidenceReason() string {
	if d.summary.NoTraffic {
		return fmt.Sprintf("no calls for %s by %d of %d nodes; advances by plan without evidence", NoTrafficFor, d.summary.Reported, d.summary.Nodes)
	}
	return fmt.Sprintf("%d calls with %.2f%% errors, old version %.2f%%", d.summary.New.Calls,
		100*d.summary.New.ErrorRate(), 100*d.summary.Old.ErrorRate())
}

// holdReason returns why the share must not grow now, or "".
func (d decider) holdReason() string {
	s := d.summary
	switch {
	case d.verdict.Suspicious:
		return "suspicion: " + d.verdict.String()
	case d.now.Sub(d.st.Changed.Time()) < d.dwell() || s.Windows == 0 && !s.NoTraffic:
		return "the last step is too recent"
	case d.now.Sub(d.capacity.Disturbed) < min(dataCentreCoolDown, dataCentreCoolDownDwells*d.st.minDwell()):
		return "a data centre was just taken out or returned"
	case !s.covered(minReportCoverage):
		return fmt.Sprintf("reports are missing: %d of %d nodes", s.Reported, s.Nodes)
	case d.oldVersionFailing:
		return "the old version fails as well"
	case d.refusesCalls():
		return "the new version refuses calls"
	}
	return ""
}

func (d decider) refusesCalls() bool {
	rate := d.summary.New.refusalRate()
	return rate > maxRefusalRate && rate > 2*d.summary.Old.refusalRate()
}

// overCapacity reports whether the present share is more than the new version bears.
func (d decider) overCapacity() bool {
	recent := d.now.Sub(d.st.Changed.Time()) < d.st.minDwell()
	return !recent && d.refusesCalls() && d.capacity.NewServers > 0 && d.capacity.maxNewShare() < d.st.Share
}

// finish completes a move whose version has all traffic.
func (d decider) finish() Step {
	h := historyOf(d.st)
	switch {
	case d.verdict.Suspicious:
		return Step{Reason: "suspicion: " + d.verdict.String()}
	case d.worseThanBaseline && d.capacity.OldServers > 0 && h.recurrences < maxRecurrences:
		return d.startComparison(h)
	case d.now.Sub(d.st.Changed.Time()) < d.st.minDwell() || d.summary.Windows < minBadWindows && !d.summary.NoTraffic:
		return Step{Reason: "the last step is too recent"}
	}
	return Step{Op: OpComplete, Share: model.ShareAll, Reason: d.evidenceReason()}
}

// watch decides after completion.
func (d decider) watch() Step {
	if d.st.Share < model.ShareAll {
		return d.continueComparison()
	}
	if d.st.Move.WatchFor == 0 {
		// Nothing is kept to go back to.
		return Step{Op: OpEndWatch, Share: model.ShareAll, Reason: "no watch was asked for"}
	}
	h := historyOf(d.st)
	backoffOver := d.now.Sub(h.lastComparison.Time()) >= comparisonBackoff<<min(h.comparisons, maxBackoffDoublings)
	switch {
	case d.capacity.OldServers == 0 && d.worseThanBaseline:
		return Step{Reason: "looks worse than the old version did, which has no backend server left"}
	case d.worseThanBaseline && (h.comparisons < comparisonsWithoutBackoff || backoffOver):
		return d.startComparison(h)
	case d.capacity.OldServers > 0 && h.completedWithoutTraffic && h.comparisons == 0 && d.summary.New.Calls > 0:
		return Step{Op: OpStep, Share: max(severeComparisonShare, d.capacity.minNewShare()), Reason: "first calls of a version that completed without traffic"}
	case d.now.Sub(d.st.Completed.Time()) >= d.st.Move.WatchFor && !d.worseThanBaseline:
		return Step{Op: OpEndWatch, Share: model.ShareAll, Reason: "the watch is over"}
	}
	return Step{Reason: "watching"}
}

// startComparison gives the old version calls again, so that both are seen
// at the same time: looking worse than formerly alone is no proof, because the
// cause may lie outside of the version.
func (d decider) startComparison(h history) Step {
	share := comparisonShare
	switch {
	case h.recurrences > 0:
		share = recurrenceComparisonShare
	case d.recentNew.ErrorRate() >= severeRate || d.recentNew.SlowRate() >= severeRate:
		share = severeComparisonShare
	}
	share = max(share, d.capacity.minNewShare())
	if share == model.ShareAll {
		return Step{Reason: "looks worse than the old version did, which cannot bear calls"}
	}
	return Step{Op: OpStep, Share: share, Reason: "looks worse than the old version did, which gets calls for a comparison"}
}

// dwell is the least time at the present share.
func (d decider) dwell() time.Duration {
	if d.st.Share == recurrenceComparisonShare {
		return recurrenceComparisonDwell
	}
	return d.st.minDwell()
}

// continueComparison raises the share again while the comparison shows no difference.
func (d decider) continueComparison() Step {
	s := d.summary
	switch {
	case d.verdict.Suspicious:
		return Step{Reason: "suspicion: " + d.verdict.String()}
	case d.capacity.OldServers == 0:
		return Step{Op: OpStep, Share: MaxNextShare(d.st, s), Reason: "the old version has no backend server left to compare with"}
	case d.now.Sub(d.st.Changed.Time()) < d.dwell() || s.New.Calls < comparisonMinNewCalls || s.Old.Calls < comparisonMinOldCalls:
		return Step{Reason: "comparing with the old version"}
	}
	return Step{Op: OpStep, Share: MaxNextShare(d.st, s), Reason: "no worse than the old version at the same time"}
}

// history is what the accepted steps tell of earlier comparisons, so that a
// new leader continues where the old one stopped.
type history struct {
	comparisons             int     // since completion
	lastComparison          Instant // the last comparison since completion
	recurrences             int     // steps down from full share soon after the return to it
	stepsDown               int     // all steps down from full share
	completedWithoutTraffic bool    // completed without traffic
	reductions              int     // steps down for a suspicion while moving
}

func historyOf(st Status) (h history) {
	var returned Instant
	previousShare := model.Share(0)
	for _, r := range st.Steps {
		if r.Time < st.Accepted {
			continue // of the same move before it was restarted
		}
		stepDown := r.Op == OpStep && previousShare == model.ShareAll && r.Share < model.ShareAll
		if r.Op == OpStep && strings.HasPrefix(r.Reason, reductionReason) {
			h.reductions++
		}
		switch {
		case r.Op == OpComplete:
			h.completedWithoutTraffic = r.Summary.NoTraffic
		case stepDown && returned != 0 && r.Time.Time().Sub(returned.Time()) <= recurrencePeriod:
			h.recurrences++
		case stepDown:
			h.recurrences = 0
		case r.Op == OpStep && r.Share == model.ShareAll && h.stepsDown > 0:
			returned = r.Time
		}
		if stepDown {
			h.stepsDown++
		}
		if stepDown && st.Completed != 0 && r.Time >= st.Completed {
			h.comparisons, h.lastComparison = h.comparisons+1, r.Time
		}
		previousShare = r.Share
	}
	return h
}
