package rollout

import (
	"fmt"
	"strings"
	"time"

	"balsamtrail.org/mesh/model"
)

// Parameters of the leader's decisions.
const (
	// capacityHeadroom is the factor by which the summed concurrency limits of a version's
	// servers must exceed the concurrency expected at its share.
	capacityHeadroom = 1.3
	// minReportCoverage is the fraction of the live nodes that must have reported recently
	// before the share may rise.
	minReportCoverage = 0.5
	// dataCentreCoolDown is how long shares are held after a data centre was taken out of service
	// or returned to service.
	dataCentreCoolDown = 5 * time.Second
	// dataCentreCoolDownDwells caps dataCentreCoolDown for moves with a tight deadline, in
	// multiples of the move's minimum dwell time.
	dataCentreCoolDownDwells = 2
	// oldFailingErrorRate is the old version's error rate above which it counts as failing.
	// The share is then held, and windows with such a rate are no evidence for a step.
	oldFailingErrorRate = 0.10
	// oldFailingMinCalls is the least number of calls to the old version in oldFailingWindows
	// windows for which its error rate is considered; a single window needs a third of them.
	oldFailingMinCalls = 50
	// oldFailingWindows is the number of newest windows over which the old version's error rate is taken.
	oldFailingWindows = 3
	// maxRefusalRate is the new version's rate of refused calls above which the share is
	// held, unless the old version refuses at least half as often.
	maxRefusalRate = 0.20
	// reducedShare is the share (5%) to which a move goes back when the new version is suspicious.
	reducedShare model.Share = 500
	// reversalLeadDwells is how long before its deadline a move with a tight deadline is
	// reversed if its share was reduced on a suspicion, in multiples of its minimum dwell time.
	reversalLeadDwells = 2
	// maxExposure limits the fraction of the calls between acceptance and deadline that a
	// move with a tight deadline sends to the new version up to exposureLimitShare. At most
	// a tenth of the calls may reach a bad version; a fifth of that is left for the time
	// until a reversal takes effect.
	maxExposure = 0.08
	// exposureLimitShare is the greatest share (50%) at which maxExposure applies; a version
	// with a greater share has passed enough stages.
	exposureLimitShare model.Share = 5000
	// comparisonShare is the new version's share (50%) while the old one gets calls again
	// for a comparison.
	comparisonShare model.Share = 5000
	// severeComparisonShare replaces comparisonShare (20%) when the new version's rate of
	// failed or of slow calls reaches severeRate, and at the first calls to a version whose
	// move completed without traffic.
	severeComparisonShare model.Share = 2000
	// severeRate is the rate of failed or of slow calls from which severeComparisonShare applies.
	severeRate = 0.20
	// comparisonMinNewCalls is the number of calls to the new version that a comparison needs
	// before the share rises by one stage.
	comparisonMinNewCalls = 50
	// comparisonMinOldCalls is the number of calls to the old version that it needs for that.
	comparisonMinOldCalls = 25
	// comparisonBackoff is the base of the exponential backoff between comparisons that found
	// no difference; the wait doubles with each comparison.
	comparisonBackoff = 15 * time.Second
	// maxBackoffDoublings is the number of doublings at which the backoff stops growing.
	maxBackoffDoublings = 6
	// comparisonsWithoutBackoff is the number of comparisons before the backoff applies.
	comparisonsWithoutBackoff = 3
	// recurrencePeriod is the time after the return to full share within which another
	// comparison counts as a recurrence.
	recurrencePeriod = time.Minute
	// recurrenceComparisonShare is the new version's share (95%) in the comparison after a
	// recurrence: nearly full load, but with calls to the old version to compare with.
	recurrenceComparisonShare model.Share = 9500
	// recurrenceComparisonDwell is the minimum dwell time at that share.
	recurrenceComparisonDwell = 20 * time.Second
	// maxRecurrences is the number of recurrences after which a move completes if no
	// comparison found a difference.
	maxRecurrences = 2
)

// Capacity is the load that the backend servers of a service can take, from their
// announcements and advertised limits.
type Capacity struct {
	// NewServers is the number of serving backend servers of the new version.
	NewServers int
	// OldServers is the number of serving backend servers of the old version.
	OldServers int
	// NewLimit is the sum of the concurrency limits that the new version's servers advertise.
	NewLimit int
	// OldLimit is the sum of the limits that the old version's servers advertise; they keep
	// running until the watch ends.
	OldLimit int
	// Concurrency is the number of the service's calls in flight on both versions.
	Concurrency float64
	// CallsPerSecond is the rate of the service's calls to both versions.
	CallsPerSecond float64
	// LastDataCentreChange is when a data centre was last taken out of service or returned to service.
	LastDataCentreChange time.Time
}

// maxNewShare is the greatest share whose concurrency the new version can take.
func (c Capacity) maxNewShare() model.Share {
	if c.Concurrency <= 0 {
		return model.ShareAll
	}
	fraction := float64(c.NewLimit) / (capacityHeadroom * c.Concurrency)
	return model.Share(min(fraction, 1) * float64(model.ShareAll))
}

// minNewShare is the least share of the new version at which the old version can take the remaining calls.
func (c Capacity) minNewShare() model.Share {
	if c.Concurrency <= 0 {
		return 0
	}
	fraction := float64(c.OldLimit) / (capacityHeadroom * c.Concurrency)
	return model.ShareAll - model.Share(min(fraction, 1)*float64(model.ShareAll))
}

// Step is the leader's decision on a move. With Op 0 it holds the share and changes nothing.
type Step struct {
	Op       Op
	Share    model.Share
	Reason   string
	Verdict  *Verdict
	Summary  Summary
	Forecast Instant
	AtRisk   bool
}

// Command returns the command that carries out the step, or false if the step holds the share.
func (s Step) Command(now time.Time, st Status) (Command, bool) {
	return Command{
		Op: s.Op, Move: Move{ID: st.Move.ID}, Time: InstantOf(now), ExpectedSequence: st.Sequence, Share: s.Share, Reason: s.Reason,
		Verdict: s.Verdict, Summary: s.Summary, Forecast: s.Forecast, AtRisk: s.AtRisk,
	}, s.Op != 0
}

// Decide returns the leader's next step for an active move.
func Decide(now time.Time, st Status, e *Evidence, c Capacity) Step {
	v := Judge(e)
	s := e.Summary(now)
	plan := PlanOf(now, st, s, c.CallsPerSecond)
	d := decider{now: now, st: st, summary: s, verdict: v, capacity: c, plan: plan, worseThanBaseline: e.WorseThanBaseline(), recentNew: e.recentStats(baselineTestWindows, routeKey{}).new,
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

// decider holds the input of one call of Decide.
type decider struct {
	now               time.Time
	st                Status
	summary           Summary
	verdict           Verdict
	capacity          Capacity
	plan              Plan
	worseThanBaseline bool
	recentNew         CallStats
	oldVersionFailing bool
}

// step decides by verdict and phase.
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

// begin takes the first step of a waiting move.
func (d decider) begin() Step {
	if d.capacity.NewServers == 0 {
		return Step{Reason: "no backend server of the new version"}
	}
	share := max(min(StartShare, d.capacity.maxNewShare()), 1)
	return Step{Op: OpStep, Share: share, Reason: "start"}
}

// advance decides on the next share in a move, or ends the move.
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

// reduceOnSuspicion lowers the share of a suspicious version, so that the tests go on
// with few calls. A version that becomes suspicious again as its share rises is reversed:
// it fails under load, which calls at a small share would never show.
func (d decider) reduceOnSuspicion() Step {
	v := d.verdict
	if historyOf(d.st).reductions > 0 {
		return Step{Op: OpReverse, Reason: "suspicious again at a greater share: " + v.String(), Verdict: &v}
	}
	share := reducedShare
	if d.tightDeadline() {
		share = StartShare // the deadline leaves no time to raise the share again
	}
	return Step{Op: OpStep, Share: share, Reason: reductionReason + v.String(), Verdict: &v}
}

// tightDeadline reports whether the deadline is too near for the default dwell time, which
// leaves no time to raise the share again after a suspicion.
func (d decider) tightDeadline() bool { return d.st.minDwell() < defaultMinDwell }

// reverseBeforeDeadline ends a move with a tight deadline whose share was reduced. It
// waits until the deadline is near, because the tests may still find the version bad.
func (d decider) reverseBeforeDeadline() Step {
	v := d.verdict
	if d.st.Move.By.Time().Sub(d.now) > reversalLeadDwells*d.st.minDwell() {
		return Step{Reason: "was under suspicion at a greater share, for which no time is left"}
	}
	return Step{Op: OpReverse, Reason: "not proved by its deadline after a suspicion", Verdict: &v}
}

// earlyReversalReason returns why a move with a tight deadline is reversed without a bad
// verdict, or "". Going on would send more calls to a version without enough evidence, and
// the deadline might come in the middle of the move.
func (d decider) earlyReversalReason() string {
	stepsLeft := 1 // the step that completes the move
	for _, stage := range stages {
		if stage.next > d.st.Share {
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

// exposure is the fraction of the calls between acceptance and deadline that the new
// version has received so far, assuming a constant rate of calls.
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

// reductionReason is the prefix of the reason of reduceOnSuspicion's steps. A new leader
// recognises such steps by it.
const reductionReason = "suspicion, back to a small share: "

// evidenceReason describes the evidence that a step up is based on.
func (d decider) evidenceReason() string {
	if d.summary.NoTraffic {
		return fmt.Sprintf("no calls for %s by %d of %d nodes; advances by plan without evidence", NoTrafficFor, d.summary.Reported, d.summary.Nodes)
	}
	return fmt.Sprintf("%d calls with %.2f%% errors, old version %.2f%%", d.summary.New.Calls,
		100*d.summary.New.ErrorRate(), 100*d.summary.Old.ErrorRate())
}

// holdReason returns why the share must not rise now, or "".
func (d decider) holdReason() string {
	s := d.summary
	switch {
	case d.verdict.Suspicious:
		return "suspicion: " + d.verdict.String()
	case d.now.Sub(d.st.Changed.Time()) < d.dwell() || s.Windows == 0 && !s.NoTraffic:
		return "the last step is too recent"
	case d.now.Sub(d.capacity.LastDataCentreChange) < min(dataCentreCoolDown, dataCentreCoolDownDwells*d.st.minDwell()):
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

// refusesCalls reports whether the new version refuses too many calls, and more than twice
// as often as the old version.
func (d decider) refusesCalls() bool {
	rate := d.summary.New.refusalRate()
	return rate > maxRefusalRate && rate > 2*d.summary.Old.refusalRate()
}

// overCapacity reports whether the present share is more than the new version can take.
func (d decider) overCapacity() bool {
	recent := d.now.Sub(d.st.Changed.Time()) < d.st.minDwell()
	return !recent && d.refusesCalls() && d.capacity.NewServers > 0 && d.capacity.maxNewShare() < d.st.Share
}

// finish completes a move whose new version gets all calls.
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

// watch decides on a completed move until its watch ends.
func (d decider) watch() Step {
	if d.st.Share < model.ShareAll {
		return d.continueComparison()
	}
	if d.st.Move.WatchFor == 0 {
		// Without a watch, no old version is kept to return to.
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

// startComparison gives the old version calls again, so that both versions run at the
// same time. A rate above the old version's earlier rate alone proves nothing, because its
// cause may lie outside the new version.
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

// dwell is the minimum time at the present share.
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

// history is what the accepted steps say about earlier comparisons and reductions. It is
// derived from the replicated steps, so that a new leader continues where the former one stopped.
type history struct {
	comparisons             int     // since completion
	lastComparison          Instant // start of the newest comparison since completion
	recurrences             int     // consecutive steps down within recurrencePeriod of the return to full share
	stepsDown               int     // steps down from full share
	completedWithoutTraffic bool    // no traffic when the move completed
	reductions              int     // steps that reduced the share on a suspicion
}

// historyOf derives the history from the steps since the move was accepted.
func historyOf(st Status) (h history) {
	var returned Instant
	previousShare := model.Share(0)
	for _, r := range st.Steps {
		if r.Time < st.Accepted {
			continue // taken before the move was restarted
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
