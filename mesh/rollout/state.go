// Package rollout moves the traffic of a service to a new version by a stated deadline
// and reverses the move if the version is bad. State holds the replicated moves. Decide and
// Judge make the leader's decisions on evidence that Recorders on the nodes gather.
// LocalStop is a node's own circuit breaker for a new version.
package rollout

import (
	"cmp"
	"slices"
	"sync"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

const (
	// maxMoves is the number of kept moves. It covers a season of 100 days at 500 moves a day,
	// because some partners check the moves only once a season.
	maxMoves = 50_000
	// maxReplacedMoveSteps is the number of steps kept of a move that another one has replaced.
	maxReplacedMoveSteps = 6
	// maxNameLength is the maximum length of service and version names, in bytes.
	maxNameLength = 64
	// maxReasonLength is the length to which reasons are cut, in bytes.
	maxReasonLength = 512
)

// State holds the moves of all services. It is deterministic: it depends only on the
// applied commands and their log indexes. A mutex guards it.
type State struct {
	mu    sync.Mutex
	moves map[MoveID]*Status
	// current is the newest move of each service, which determines its shares.
	current map[model.ServiceName]MoveID
	// order lists the moves in order of acceptance. The oldest moves that are not current are dropped first.
	order []MoveID
}

// NewState returns a state without moves.
func NewState() *State {
	return &State{moves: map[MoveID]*Status{}, current: map[model.ServiceName]MoveID{}}
}

// Status returns the status of a move.
func (s *State) Status(id MoveID) (Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.moves[id]
	if !ok {
		return Status{}, false
	}
	return st.clone(), true
}

// Current returns the newest move of a service.
func (s *State) Current(service model.ServiceName) (Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ok := s.current[service]
	if !ok {
		return Status{}, false
	}
	return s.moves[id].clone(), true
}

// All returns the statuses of all kept moves in order of acceptance.
func (s *State) All() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Status, 0, len(s.order))
	for _, id := range s.order {
		out = append(out, s.moves[id].clone())
	}
	return out
}

// Active returns the moves that need decisions, sorted by service.
func (s *State) Active() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Status
	for _, id := range s.current {
		if st := s.moves[id]; st.Active() {
			out = append(out, st.clone())
		}
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Move.ID.Service, b.Move.ID.Service) })
	return out
}

// Apply applies the command of the log entry at index.
func (s *State) Apply(c Command, index uint64) Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(c.Reason) > maxReasonLength {
		c.Reason = c.Reason[:maxReasonLength]
	}
	if c.Op == OpStart {
		return s.start(c, index)
	}
	st, ok := s.moves[c.Move.ID]
	if !ok || s.current[c.Move.ID.Service] != c.Move.ID {
		return Result{Outcome: OutcomeUnknownMove}
	}
	if c.Op != OpWithdraw && c.ExpectedSequence != st.Sequence {
		return Result{Outcome: OutcomeStale, Status: st.clone()}
	}
	if !st.Active() {
		return Result{Outcome: OutcomeClosed, Status: st.clone()}
	}
	outcome := applyChange(st, c, index)
	return Result{Outcome: outcome, Status: st.clone()}
}

// applyChange applies a command other than OpStart to an active move.
func applyChange(st *Status, c Command, index uint64) Outcome {
	switch c.Op {
	case OpStep:
		return applyStep(st, c, index)
	case OpVerdict:
		st.Forecast, st.AtRisk = c.Forecast, c.AtRisk
	case OpComplete:
		if st.Phase != PhaseMoving || st.Share != model.ShareAll {
			return OutcomeRefused
		}
		st.Phase, st.Completed, st.AtRisk = PhaseDone, c.Time, c.Time > st.Move.By
	case OpReverse:
		st.Phase, st.Ended, st.Verdict = PhaseReversed, c.Time, c.Verdict
		setShare(st, 0, c.Time)
	case OpWithdraw:
		st.Phase, st.Ended = PhaseWithdrawn, c.Time
		setShare(st, 0, c.Time)
	case OpEndWatch:
		if st.Phase != PhaseDone || st.Share != model.ShareAll {
			return OutcomeRefused
		}
		st.WatchEnded, st.Ended = true, c.Time
	default:
		return OutcomeRefused
	}
	recordChange(st, c, index)
	return OutcomeApplied
}

// applyStep sets the share. It refuses a share above the bound that the evidence allows,
// so that a faulty leader cannot raise it.
func applyStep(st *Status, c Command, index uint64) Outcome {
	if c.Share > model.ShareAll || c.Share == 0 {
		return OutcomeRefused
	}
	if c.Share > st.Share {
		bound := MaxNextShare(*st, c.Summary)
		invariant.Check(c.Share <= bound, invariant.BadVersionShare, "share above the bound that the evidence allows",
			"service", st.Move.ID.Service, "version", st.Move.To, "share", c.Share, "bound", bound)
		if c.Share > bound {
			return OutcomeRefused
		}
	}
	if st.Phase == PhaseWaiting {
		st.Phase = PhaseMoving
	}
	st.Forecast, st.AtRisk = c.Forecast, c.AtRisk
	setShare(st, c.Share, c.Time)
	recordChange(st, c, index)
	return OutcomeApplied
}

// setShare is the only place that changes a share.
func setShare(st *Status, share model.Share, now Instant) {
	invariant.Check(st.Phase != PhaseReversed || share == 0, invariant.BadVersionShare, "share of a reversed move is not zero",
		"service", st.Move.ID.Service, "version", st.Move.To, "share", share)
	if st.Share != share {
		st.Share, st.Changed = share, now
	}
}

// recordChange adds an accepted command to the steps of its move.
func recordChange(st *Status, c Command, index uint64) {
	st.Sequence++
	st.Reason = c.Reason
	st.record(StepRecord{Op: c.Op, Time: c.Time, Index: index, Share: st.Share, Reason: c.Reason, Summary: c.Summary})
}

// start accepts a move. A resent command changes nothing. A newer revision with the same
// version amends the move where amend allows it. Any other move replaces the service's
// previous one, unless that belongs to a newer note.
func (s *State) start(c Command, index uint64) Result {
	id := c.Move.ID
	if id.Service == "" || len(id.Service) > maxNameLength || c.Move.To == "" || len(c.Move.To) > maxNameLength || len(c.From) > maxNameLength {
		return Result{Outcome: OutcomeRefused}
	}
	if old, ok := s.moves[id]; ok && c.Move.Revision <= old.Move.Revision {
		return Result{Outcome: OutcomeUnchanged, Status: old.clone()}
	}
	previous, ok := s.moves[s.current[id.Service]]
	if ok && previous.Move.ID.Note > id.Note {
		return Result{Outcome: OutcomeStale, Status: previous.clone()}
	}
	if ok && previous.Move.ID == id && previous.Move.To == c.Move.To && amend(previous, c, index) {
		return Result{Outcome: OutcomeApplied, Status: previous.clone()}
	}
	st := &Status{Move: c.Move, From: c.From, Phase: PhaseWaiting, Accepted: c.Time, Changed: c.Time}
	if ok {
		st.From = s.supersede(previous, c, index)
		previous.trimSteps()
		if previous.Move.ID == id {
			st.Steps = slices.Clone(previous.Steps)
		}
	}
	if st.From == c.Move.To || st.From == "" {
		c.Reason = "no other version has traffic"
		st.Phase, st.Share, st.Completed, st.WatchEnded = PhaseDone, model.ShareAll, c.Time, true
	}
	recordChange(st, c, index)
	s.setCurrent(st)
	return Result{Outcome: OutcomeApplied, Status: st.clone()}
}

// amend applies a newer revision with the same version, or returns false if the move has to
// start again. A move that is waiting or moving takes over everything, a completed one only
// the length of its watch. A reversed or withdrawn move starts again only with another
// deadline, so that an amendment of another part of its note does not restart it.
func amend(st *Status, c Command, index uint64) bool {
	switch {
	case st.Phase == PhaseWaiting || st.Phase == PhaseMoving:
		st.Move = c.Move
		st.AtRisk, st.Forecast = false, 0
	case st.Phase == PhaseDone:
		st.Move.Revision, st.Move.WatchFor = c.Move.Revision, c.Move.WatchFor
	case st.Move.By == c.Move.By:
		st.Move.Revision = c.Move.Revision
	default:
		return false
	}
	recordChange(st, c, index)
	return true
}

// supersede ends a previous move that is still active and returns the version that the next
// move replaces: the previous move's target if it completed, else the version before it.
// A version whose move had not completed loses its share at once.
func (s *State) supersede(previous *Status, c Command, index uint64) model.ServiceVersion {
	switch previous.Phase {
	case PhaseDone:
		if previous.Active() {
			previous.WatchEnded, previous.Ended = true, c.Time
			c.Reason = "replaced by another move during the watch"
			c.Op = OpEndWatch
			recordChange(previous, c, index)
		}
		return previous.Move.To
	case PhaseWaiting, PhaseMoving:
		previous.Phase, previous.Ended = PhaseWithdrawn, c.Time
		setShare(previous, 0, c.Time)
		c.Reason = "replaced by another move"
		c.Op = OpWithdraw
		recordChange(previous, c, index)
	}
	return previous.From
}

// setCurrent makes a move the current one of its service and drops the oldest moves above
// maxMoves, but no current one.
func (s *State) setCurrent(st *Status) {
	id := st.Move.ID
	if _, ok := s.moves[id]; ok {
		s.order = slices.DeleteFunc(s.order, func(o MoveID) bool { return o == id })
	}
	s.moves[id] = st
	s.current[id.Service] = id
	s.order = append(s.order, id)
	for i := 0; len(s.order) > maxMoves && i < len(s.order); {
		if old := s.order[i]; s.current[old.Service] != old {
			delete(s.moves, old)
			s.order = slices.Delete(s.order, i, i+1)
			continue
		}
		i++
	}
}
