package rollout

import (
	"fmt"
	"strings"
	"time"

	"balsamtrail.org/mesh/model"
)

// Limits of the decisions.
const (
	// headroom is how much more concurrency the new version must be able to bear than the next share needs.
	headroom = 1.3
	// reportCoverage is the part of the nodes that must have reported lately for a step up.
	reportCoverage = 0.5
	// settle is how long shares are held after a data centre was taken out or returned.
	settle = 5 * time.Second
	// settleDwells bounds that time for moves with a near deadline.
	settleDwells = 2
	// stormRate is the old version's error rate above which nothing is moved.
	// Its windows do not count as evidence for a step.
	stormRate    = 0.10
	stormCalls   = 50
	stormWindows = 3
	// refusalRate of the new version holds the share when the old one refuses less than half as much.
	refusalRate = 0.20
	// suspectShare is what a moving version keeps while it is under suspicion.
	suspectShare model.Share = 500
	// unprovedDwells before the deadline a hurried move that had to retreat is reversed.
	unprovedDwells = 2
	// exposurePart bounds the calls of a hurried move's whole time that go to a
	// version before it is proved at provedShare. It leaves a fifth of the tenth that
	// users bear for the time in which a reversal takes effect.
	exposurePart             = 0.08
	provedShare  model.Share = 5000
	// mildShare and graveShare are what the new version keeps while the old one
	// gets calls again for a comparison; graveShare from graveRate of failing or slow calls.
	mildShare  model.Share = 5000
	graveShare model.Share = 2000
	graveRate              = 0.20
	// A comparison rises a level after minDwell with enough calls on both sides and no suspicion.
	compareNew = 50
	compareOld = 25
	// comparePause is the time between comparisons that found nothing, from the
	// third one on; it doubles with each.
	comparePause   = 15 * time.Second
	maxPauses      = 6
	freeComparison = 3
	// A version that looks bad again within relapseWithin of its return to full
	// share keeps nearShare for nearDwell: near full load, but with calls of the
	// old version beside it. A move completes after maxRelapses without a finding.
	relapseWithin             = time.Minute
	nearShare     model.Share = 9500
	nearDwell                 = 20 * time.Second
	maxRelapses               = 2
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

// bearable is the share whose concurrency the new version can take.
func (c Capacity) bearable() model.Share {
	if c.Concurrency <= 0 {
		return model.ShareAll
	}
	part := float64(c.NewLimit) / (headroom * c.Concurrency)
	return model.Share(min(part, 1) * float64(model.ShareAll))
}

// returnable is the least share of the new version whose rest the old one can take.
func (c Capacity) returnable() model.Share {
	if c.Concurrency <= 0 {
		return 0
	}
	part := float64(c.OldLimit) / (headroom * c.Concurrency)
	return model.ShareAll - model.Share(min(part, 1)*float64(model.ShareAll))
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
	d := decision{now: now, st: st, summary: s, verdict: v, capacity: c, plan: plan, alone: e.SuspectAlone(), recent: e.recent(aloneWindows, routeKey{}).new,
		storm: e.stormy()}
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

// decision is the input of one call of Decide.
type decision struct {
	now      time.Time
	st       Status
	summary  Summary
	verdict  Verdict
	capacity Capacity
	plan     Plan
	alone    bool
	recent   Tally
	storm    bool
}

func (d decision) step() Step {
	if d.verdict.Bad && d.st.Phase != PhaseWaiting {
		v := d.verdict
		return Step{Op: OpReverse, Reason: v.String(), Verdict: &v}
	}
	switch d.st.Phase {
	case PhaseWaiting:
		return d.begin()
	case PhaseMoving:
		return d.move()
	case PhaseDone:
		return d.watch()
	}
	return Step{Reason: "the move has ended"}
}

func (d decision) begin() Step {
	if d.capacity.NewServers == 0 {
		return Step{Reason: "no backend server of the new version"}
	}
	share := max(min(StartShare, d.capacity.bearable()), 1)
	return Step{Op: OpStep, Share: share, Reason: "start"}
}

func (d decision) move() Step {
	if d.verdict.Suspicious && d.st.Share > suspectShare {
		return d.retreat()
	}
	if d.hurried() {
		if historyOf(d.st).retreats > 0 {
			return d.unproved()
		}
		if reason := d.hopeless(); reason != "" {
			v := d.verdict
			return Step{Op: OpReverse, Reason: reason, Verdict: &v}
		}
	}
	if d.st.Share == model.ShareAll {
		return d.finish()
	}
	if d.overCapacity() {
		share := max(d.capacity.bearable(), 1)
		return Step{Op: OpStep, Share: share, Reason: "the new version refuses calls; back to what it can bear"}
	}
	if reason := d.hold(); reason != "" {
		return Step{Reason: reason}
	}
	bound := Bound(d.st, d.summary)
	if bound == d.st.Share {
		return Step{Reason: "not enough evidence for the next share"}
	}
	planned := d.plan.Next
	if levelOf(d.st.Share).allows(d.summary.Old, d.summary.New, strict) {
		planned = d.plan.Soonest
	}
	if InstantOf(d.now) < planned && !d.hurried() {
		return Step{Reason: "planned for later"}
	}
	next := min(bound, d.capacity.bearable())
	if next <= d.st.Share+d.st.Share/10 {
		return Step{Reason: "the new version cannot bear the next share"}
	}
	return Step{Op: OpStep, Share: next, Reason: d.why()}
}

// retreat answers a suspicion at a greater share. The evidence goes on at a small
// one; a version that becomes suspicious again as its share rises is bad under load,
// which the calls at the small share would never show.
func (d decision) retreat() Step {
	v := d.verdict
	if historyOf(d.st).retreats > 0 {
		return Step{Op: OpReverse, Reason: "suspicious again at a greater share: " + v.String(), Verdict: &v}
	}
	share := suspectShare
	if d.hurried() {
		share = StartShare // no time is left to learn from more
	}
	return Step{Op: OpStep, Share: share, Reason: retreatReason + v.String(), Verdict: &v}
}

// hurried reports whether the deadline leaves no time to raise the share again
// after a suspicion.
func (d decision) hurried() bool { return d.st.minDwell() < minDwell }

// unproved ends a hurried move that had to retreat. Until its deadline is near the
// evidence may still convict the version for good reasons of its own.
func (d decision) unproved() Step {
	v := d.verdict
	if d.st.Move.By.Time().Sub(d.now) > unprovedDwells*d.st.minDwell() {
		return Step{Reason: "was under suspicion at a greater share, for which no time is left"}
	}
	return Step{Op: OpReverse, Reason: "not proved by its deadline after a suspicion", Verdict: &v}
}

// hopeless returns why a hurried move cannot end well any more, or "". Going on
// would give calls to a version that is not proved, and that its deadline catches
// half-way.
func (d decision) hopeless() string {
	left := 1 // the completion
	for _, l := range levels {
		if l.next > d.st.Share {
			left++
		}
	}
	rest := d.st.Move.By.Time().Sub(d.now)
	switch {
	case rest < time.Duration(left-1)*d.st.minDwell():
		return fmt.Sprintf("%d steps cannot be taken in the %s to the deadline", left, rest)
	case d.st.Share <= provedShare && d.exposure() > exposurePart:
		return "not proved by the part of the calls that an unproved version may get"
	}
	return ""
}

// exposure is the part of the calls of the move's whole time that the new version
// has got so far.
func (d decision) exposure() float64 {
	got := 0.0
	for i, r := range d.st.Steps {
		until := InstantOf(d.now)
		if i+1 < len(d.st.Steps) {
			until = d.st.Steps[i+1].Time
		}
		got += float64(r.Share) / float64(model.ShareAll) * until.Time().Sub(r.Time.Time()).Seconds()
	}
	return got / d.st.Move.By.Time().Sub(d.st.Accepted.Time()).Seconds()
}

// retreatReason begins the reason of the steps of retreat, by which a new leader
// knows them.
const retreatReason = "suspicion, back to a small share: "

func (d decision) why() string {
	if d.summary.Absent {
		return fmt.Sprintf("no calls for %s by %d of %d nodes; advances by plan without evidence", AbsentFor, d.summary.Reported, d.summary.Nodes)
	}
	return fmt.Sprintf("%d calls with %.2f%% errors, old version %.2f%%", d.summary.New.Calls,
		100*d.summary.New.ErrorRate(), 100*d.summary.Old.ErrorRate())
}

// hold returns why the share must not grow now, or "".
func (d decision) hold() string {
	s := d.summary
	switch {
	case d.verdict.Suspicious:
		return "suspicion: " + d.verdict.String()
	case d.now.Sub(d.st.Changed.Time()) < d.dwell() || s.Windows == 0 && !s.Absent:
		return "the last step is too recent"
	case d.now.Sub(d.capacity.Disturbed) < min(settle, settleDwells*d.st.minDwell()):
		return "a data centre was just taken out or returned"
	case !s.covered(reportCoverage):
		return fmt.Sprintf("reports are missing: %d of %d nodes", s.Reported, s.Nodes)
	case d.storm:
		return "the old version fails as well"
	case d.refusing():
		return "the new version refuses calls"
	}
	return ""
}

func (d decision) refusing() bool {
	rate := d.summary.New.refusalRate()
	return rate > refusalRate && rate > 2*d.summary.Old.refusalRate()
}

// overCapacity reports whether the present share is more than the new version bears.
func (d decision) overCapacity() bool {
	recent := d.now.Sub(d.st.Changed.Time()) < d.st.minDwell()
	return !recent && d.refusing() && d.capacity.NewServers > 0 && d.capacity.bearable() < d.st.Share
}

// finish completes a move whose version has all traffic.
func (d decision) finish() Step {
	h := historyOf(d.st)
	switch {
	case d.verdict.Suspicious:
		return Step{Reason: "suspicion: " + d.verdict.String()}
	case d.alone && d.capacity.OldServers > 0 && h.relapses < maxRelapses:
		return d.backForComparison(h)
	case d.now.Sub(d.st.Changed.Time()) < d.st.minDwell() || d.summary.Windows < badWindows && !d.summary.Absent:
		return Step{Reason: "the last step is too recent"}
	}
	return Step{Op: OpComplete, Share: model.ShareAll, Reason: d.why()}
}

// watch decides after completion.
func (d decision) watch() Step {
	if d.st.Share < model.ShareAll {
		return d.compare()
	}
	if d.st.Move.WatchFor == 0 {
		// Nothing is kept to go back to.
		return Step{Op: OpEndWatch, Share: model.ShareAll, Reason: "no watch was asked for"}
	}
	h := historyOf(d.st)
	rested := d.now.Sub(h.last.Time()) >= comparePause<<min(h.comparisons, maxPauses)
	switch {
	case d.capacity.OldServers == 0 && d.alone:
		return Step{Reason: "looks worse than the old version did, which has no backend server left"}
	case d.alone && (h.comparisons < freeComparison || rested):
		return d.backForComparison(h)
	case d.capacity.OldServers > 0 && h.unproved && h.comparisons == 0 && d.summary.New.Calls > 0:
		return Step{Op: OpStep, Share: max(graveShare, d.capacity.returnable()), Reason: "first calls of a version that completed without traffic"}
	case d.now.Sub(d.st.Completed.Time()) >= d.st.Move.WatchFor && !d.alone:
		return Step{Op: OpEndWatch, Share: model.ShareAll, Reason: "the watch is over"}
	}
	return Step{Reason: "watching"}
}

// backForComparison gives the old version calls again, so that both are seen
// at the same time: looking worse than formerly alone is no proof, because the
// cause may lie outside of the version.
func (d decision) backForComparison(h history) Step {
	share := mildShare
	switch {
	case h.relapses > 0:
		share = nearShare
	case d.recent.ErrorRate() >= graveRate || d.recent.SlowRate() >= graveRate:
		share = graveShare
	}
	share = max(share, d.capacity.returnable())
	if share == model.ShareAll {
		return Step{Reason: "looks worse than the old version did, which cannot bear calls"}
	}
	return Step{Op: OpStep, Share: share, Reason: "looks worse than the old version did, which gets calls for a comparison"}
}

// dwell is the least time at the present share.
func (d decision) dwell() time.Duration {
	if d.st.Share == nearShare {
		return nearDwell
	}
	return d.st.minDwell()
}

// compare raises the share again while the comparison shows no difference.
func (d decision) compare() Step {
	s := d.summary
	switch {
	case d.verdict.Suspicious:
		return Step{Reason: "suspicion: " + d.verdict.String()}
	case d.capacity.OldServers == 0:
		return Step{Op: OpStep, Share: Bound(d.st, s), Reason: "the old version has no backend server left to compare with"}
	case d.now.Sub(d.st.Changed.Time()) < d.dwell() || s.New.Calls < compareNew || s.Old.Calls < compareOld:
		return Step{Reason: "comparing with the old version"}
	}
	return Step{Op: OpStep, Share: Bound(d.st, s), Reason: "no worse than the old version at the same time"}
}

// history is what the accepted steps tell of earlier comparisons, so that a
// new leader continues where the old one stopped.
type history struct {
	comparisons int     // since completion
	last        Instant // the last comparison since completion
	relapses    int     // steps down from full share soon after the return to it
	downs       int     // all steps down from full share
	unproved    bool    // completed without traffic
	retreats    int     // steps down for a suspicion while moving
}

func historyOf(st Status) (h history) {
	var returned Instant
	before := model.Share(0)
	for _, r := range st.Steps {
		if r.Time < st.Accepted {
			continue // of the same move before it was restarted
		}
		down := r.Op == OpStep && before == model.ShareAll && r.Share < model.ShareAll
		if r.Op == OpStep && strings.HasPrefix(r.Reason, retreatReason) {
			h.retreats++
		}
		switch {
		case r.Op == OpComplete:
			h.unproved = r.Summary.Absent
		case down && returned != 0 && r.Time.Time().Sub(returned.Time()) <= relapseWithin:
			h.relapses++
		case down:
			h.relapses = 0
		case r.Op == OpStep && r.Share == model.ShareAll && h.downs > 0:
			returned = r.Time
		}
		if down {
			h.downs++
		}
		if down && st.Completed != 0 && r.Time >= st.Completed {
			h.comparisons, h.last = h.comparisons+1, r.Time
		}
		before = r.Share
	}
	return h
}
