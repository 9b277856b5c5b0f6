package note

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

func (s *State) publish(c Command, pos model.Position) (Result, error) {
	n := c.Publish.Note
	if err := n.Check(); err != nil {
		return Result{}, err
	}
	if n.Number != s.head+1 {
		return Result{}, s.numberConflict(n.Number)
	}
	if err := s.checkNewMoves(n, s.config, nil); err != nil {
		return Result{}, err
	}
	b := newConfigBuilder(s.config)
	if err := b.fold(n, nil); err != nil {
		return Result{}, err
	}
	if err := validateChange(b.cfg, b.changed); err != nil {
		return Result{}, err
	}
	if err := validateDistinctRoutes(b.cfg, b.changed.Routes); err != nil {
		return Result{}, err
	}
	n.Revision = 1
	r := &Record{
		Note: n, Operator: c.Operator, Operation: c.Operation, Position: pos, Accepted: s.now,
		Moves: newMoves(n, s.config, nil, s.now),
	}
	s.head = n.Number
	s.retained = append(s.retained, r)
	s.retainedEntries += n.entries()
	s.config = b.cfg
	s.compact()
	s.auditNote(c, pos, ActionPublish, r)
	return Result{Number: n.Number, Revision: n.Revision, Changed: true}, nil
}

// numberConflict returns the conflict for a note whose number is not the next one.
func (s *State) numberConflict(number uint64) error {
	e := &conflictError{message: fmt.Sprintf("note %d: the next number is %d", number, s.head+1)}
	if r := s.retainedRecord(number); r != nil {
		e.winner = r.winner()
		e.message = fmt.Sprintf("note %d was published by %s at %s; the next number is %d",
			number, r.Operator, r.Accepted.Format(time.RFC3339), s.head+1)
	}
	return e
}

// checkNewMoves checks the deadlines and targets of the note's moves. before is
// the configuration without the note. A deadline may have passed if old has the
// same move, or if the service has no shares yet and moves at once.
func (s *State) checkNewMoves(n Note, before Config, old *Record) error {
	for i, m := range n.Moves {
		kept := old != nil && slices.ContainsFunc(old.Note.Moves, m.equal)
		if !kept && len(before.Shares[m.Service]) > 0 && !m.By.After(s.now) {
			return invalid(indexPath("moves", i)+".by", "the deadline %s has passed", m.By.Format(time.RFC3339))
		}
	}
	return checkMoveTargets(n, before)
}

// recordAtRevision returns the record of a note that may be amended or withdrawn
// if it has the given revision.
func (s *State) recordAtRevision(number, revision uint64) (*Record, error) {
	r := s.retainedRecord(number)
	switch {
	case r == nil && number > 0 && number <= s.head:
		return nil, &conflictError{message: fmt.Sprintf("note %d is too old to be changed", number)}
	case r == nil:
		return nil, eris.Wrapf(ErrNotFound, "note %d", number)
	case r.Withdrawn:
		return nil, &conflictError{message: fmt.Sprintf("note %d was withdrawn by %s", number, r.Operator), winner: r.winner()}
	case r.Note.Revision != revision:
		return nil, &conflictError{
			message: fmt.Sprintf("note %d has revision %d, expected %d", number, r.Note.Revision, revision),
			winner:  r.winner(),
		}
	}
	return r, nil
}

// configBefore returns the configuration folded from the notes below a number.
func (s *State) configBefore(number uint64) (Config, error) {
	b := newConfigBuilder(s.base)
	for _, r := range s.retained {
		if r.Note.Number >= number {
			break
		}
		if r.Withdrawn {
			continue
		}
		if err := b.fold(r.Note, r.Steps); err != nil {
			return Config{}, err
		}
	}
	return b.cfg, nil
}

func (s *State) amend(c Command, pos model.Position) (Result, error) {
	n := c.Amend.Note
	if err := n.Check(); err != nil {
		return Result{}, err
	}
	old, err := s.recordAtRevision(n.Number, c.Amend.ExpectedRevision)
	if err != nil {
		return Result{}, err
	}
	before, err := s.configBefore(n.Number)
	if err != nil {
		return Result{}, err
	}
	if err := s.checkNewMoves(n, before, old); err != nil {
		return Result{}, err
	}
	n.Revision, n.Declared = old.Note.Revision+1, old.Note.Declared
	steps := keptSteps(old, n)
	r := &Record{
		Note: n, Operator: c.Operator, Operation: c.Operation, Position: pos, Accepted: s.now,
		Moves: newMoves(n, before, old.Moves, s.now), Steps: steps, StepOwners: keptStepOwners(old, steps),
	}
	if err := s.replaceRecord(r, old.droppedMoves(n)); err != nil {
		return Result{}, err
	}
	s.archiveDroppedMoves(old, n)
	s.auditNote(c, pos, ActionAmend, r)
	return Result{Number: n.Number, Revision: n.Revision, Changed: true}, nil
}

// archiveDroppedMoves archives, as withdrawn, the moves of old that its
// amendment n drops or gives another target.
func (s *State) archiveDroppedMoves(old *Record, n Note) {
	for _, m := range old.Moves {
		if kept, ok := n.move(m.Move.Service); ok && kept.To == m.Move.To {
			continue
		}
		m.Withdrawn = true
		s.archiveMove(m)
	}
}

func (s *State) withdraw(c Command, pos model.Position) (Result, error) {
	old, err := s.recordAtRevision(c.Withdraw.Number, c.Withdraw.ExpectedRevision)
	if err != nil {
		return Result{}, err
	}
	r := *old
	r.Note.Revision++
	r.Operator, r.Operation, r.Position, r.Accepted = c.Operator, c.Operation, pos, s.now
	r.InForce, r.Done, r.Reversed, r.Withdrawn = time.Time{}, time.Time{}, time.Time{}, true
	r.Moves = slices.Clone(old.Moves)
	for i := range r.Moves {
		r.Moves[i].Withdrawn = true
	}
	if err := s.replaceRecord(&r, old.Note.Moves); err != nil {
		return Result{}, err
	}
	s.auditNote(c, pos, ActionWithdraw, &r)
	return Result{Number: r.Note.Number, Revision: r.Note.Revision, Changed: true}, nil
}

// replaceRecord replaces the retained record of the same number if the resulting
// configuration is valid. The steps of its dropped moves are undone.
func (s *State) replaceRecord(r *Record, dropped []Move) error {
	restoreSteps := s.dropStepsOf(r.Note.Number, dropped)
	cfg, err := s.configWith(r)
	if err != nil {
		restoreSteps()
		return err
	}
	i := len(s.retained) - int(s.head-r.Note.Number) - 1
	s.retainedEntries += r.Note.entries() - s.retained[i].Note.entries()
	s.retained[i] = r
	s.config = cfg
	s.compact()
	return nil
}

// annotateNoteError adds the number of note r to a field error, unless r is the
// replaced record itself.
func annotateNoteError(r, replace *Record, err error) error {
	var f *FieldError
	if r.Note.Number == replace.Note.Number || !errors.As(err, &f) {
		return err
	}
	return invalid(fmt.Sprintf("notes[%d].%s", r.Note.Number, f.Field), "a later note depends on this one: %s", f.Message)
}

func (s *State) auditNote(c Command, pos model.Position, action Action, r *Record) {
	s.audit.add(AuditRecord{
		Operator: c.Operator, Operation: c.Operation, Action: action, Position: pos, Number: r.Note.Number,
		Revision: r.Note.Revision, Changes: r.Note.describeChanges(), Accepted: s.now,
	})
}

func (s *State) takeOut(c Command, pos model.Position) (Result, error) {
	return s.setDataCentreState(c, pos, c.TakeOut.DataCentre, DataCentreOut, ActionDataCentreOut)
}

// beginReturn changes nothing if the data centre is in service or returning already.
func (s *State) beginReturn(c Command, pos model.Position) (Result, error) {
	dc := c.BeginReturn.DataCentre
	if s.config.DataCentres[dc] != DataCentreOut {
		return Result{}, checkDataCentre(dc)
	}
	return s.setDataCentreState(c, pos, dc, DataCentreReturning, ActionDataCentreReturn)
}

// finishReturn puts a returning data centre back in service. It is a conflict if
// the data centre was taken out again in the meantime.
func (s *State) finishReturn(c Command, pos model.Position) (Result, error) {
	dc := c.FinishReturn.DataCentre
	if s.config.DataCentres[dc] != DataCentreReturning {
		return Result{}, &conflictError{message: fmt.Sprintf("data centre %s is not returning", dc)}
	}
	return s.setDataCentreState(c, pos, dc, DataCentreInService, ActionDataCentreInService)
}

// maxDataCentres bounds the data centres in the state, which keeps each one that
// was ever taken out of service.
const maxDataCentres = 1_024

func checkDataCentre(dc model.DataCentre) error {
	if !validName(string(dc)) {
		return invalid("data_centre", "%q is not a name", dc)
	}
	return nil
}

func (s *State) setDataCentreState(c Command, pos model.Position, dc model.DataCentre, to DataCentreState, action Action) (Result, error) {
	if err := checkDataCentre(dc); err != nil {
		return Result{}, err
	}
	was, known := s.config.DataCentres[dc]
	if was == to {
		return Result{}, nil
	}
	if !known && len(s.config.DataCentres) >= maxDataCentres {
		return Result{}, invalid("data_centre", "more than %d data centres", maxDataCentres)
	}
	s.config.DataCentres = maps.Clone(s.config.DataCentres)
	s.config.DataCentres[dc] = to
	s.audit.add(AuditRecord{
		Operator: c.Operator, Operation: c.Operation, Action: action, Position: pos, DataCentre: dc, Accepted: s.now,
		Changes: []string{fmt.Sprintf("data centre %s from %s to %s", dc, was, to)},
	})
	return Result{Changed: true}, nil
}

func (s *State) recordHost(c Command, pos model.Position) (Result, error) {
	h := c.RecordControlHost
	if !validName(string(h.Host)) {
		return Result{}, invalid("host", "%q is not a name", h.Host)
	}
	action, verb := ActionControlHostAdd, "added"
	if h.Removed {
		action, verb = ActionControlHostRemove, "removed"
	}
	s.audit.add(AuditRecord{
		Operator: c.Operator, Operation: c.Operation, Action: action, Position: pos, DataCentre: h.DataCentre,
		Accepted: s.now, Changes: []string{fmt.Sprintf("control host %s %s", h.Host, verb)},
	})
	return Result{}, nil
}
