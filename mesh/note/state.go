package note

import (
	"maps"
	"slices"
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/model"
)

const (
	// maxRetainedNotes is the number of newest notes that can be amended or withdrawn.
	maxRetainedNotes = 4_096
	// maxRetainedEntries bounds the entries of the retained notes; beyond it
	// notes are folded into the base early. It keeps them below about 60 MB.
	maxRetainedEntries = 262_144
	// maxArchivedMoves bounds the outcomes of moves whose notes are folded.
	maxArchivedMoves = maxServices
)

// State is the replicated state of notes and data centres. It has one owner,
// the control role's state machine, and is not safe for concurrent use. Apply
// depends on nothing but the state and its arguments.
type State struct {
	limits limits
	// now is the greatest time of any command.
	now      time.Time
	position model.Position
	// head is the number of the newest note.
	head uint64
	// base is the fold of the notes that are no longer retained.
	base Config
	// retained holds the newest notes, withdrawn ones included, in order of
	// number without gaps; the last one is head.
	retained        []*Record
	retainedEntries int
	// archivedMoves holds for each service the newest move whose record is gone.
	archivedMoves map[model.ServiceName]MoveState
	// config is the fold of the retained notes over base; it is never changed in place.
	config     Config
	declared   declarations
	operations operations
	audit      auditLog
}

// limits are the bounds of a State; tests lower them.
type limits struct {
	retained, entries, archived, operations, audit int
}

var defaultLimits = limits{
	retained: maxRetainedNotes, entries: maxRetainedEntries, archived: maxArchivedMoves,
	operations: maxOperations, audit: maxAuditRecords,
}

// NewState returns the state before the first command.
func NewState() *State { return newState(defaultLimits) }

func newState(l limits) *State {
	return &State{
		limits: l, base: NewConfig(), config: NewConfig(), archivedMoves: map[model.ServiceName]MoveState{},
		declared:   newDeclarations(),
		operations: newOperations(l.operations), audit: newAuditLog(l.audit),
	}
}

// Apply decides a command at its position in the log. A refused command
// changes nothing but the memory of its result.
func (s *State) Apply(c Command, pos model.Position) Result {
	if c.Time.After(s.now) {
		s.now = c.Time.UTC()
	}
	s.operations.expire(s.now)
	var digest uint64
	if c.Operation != "" {
		digest = c.digest()
		if r, ok := s.operations.find(c, digest); ok {
			return r
		}
	}
	r := s.decide(c, pos)
	if c.Operation != "" {
		s.operations.add(&operation{
			Operator: c.Operator, ID: c.Operation, Time: s.now, Digest: digest, Result: r,
		})
	}
	return r
}

func (s *State) decide(c Command, pos model.Position) Result {
	r, err := s.dispatch(c, pos)
	if err != nil {
		r = refusal(err)
	} else {
		r.Code = CodeOK
	}
	r.Position = pos
	if r.Changed {
		invariant.Check(s.position.Less(pos), invariant.AcceptedNeverReverts, "position of a change does not grow",
			"from", s.position.String(), "to", pos.String())
		s.position = pos
	}
	return r
}

func (s *State) dispatch(c Command, pos model.Position) (Result, error) {
	if err := c.check(); err != nil {
		return Result{}, err
	}
	switch {
	case c.Publish != nil:
		return s.publish(c, pos)
	case c.Amend != nil:
		return s.amend(c, pos)
	case c.Withdraw != nil:
		return s.withdraw(c, pos)
	case c.TakeOut != nil:
		return s.takeOut(c, pos)
	case c.BeginReturn != nil:
		return s.beginReturn(c, pos)
	case c.FinishReturn != nil:
		return s.finishReturn(c, pos)
	case c.SetShares != nil:
		return s.setShares(c, pos)
	case c.MarkInForce != nil:
		return s.markInForce(c)
	case c.MarkDone != nil:
		return s.markDone(c)
	case c.RecordHost != nil:
		return s.recordHost(c, pos)
	case c.Declare != nil:
		return s.declare(c, pos)
	default:
		return s.markReversed(c)
	}
}

// Bounds of the texts of a command, since they are remembered.
const (
	maxOperatorLength  = 128
	maxOperationLength = 128
	maxReasonLength    = 512
)

func (c Command) check() error {
	set := 0
	for _, present := range []bool{
		c.Publish != nil, c.Amend != nil, c.Withdraw != nil, c.TakeOut != nil, c.BeginReturn != nil,
		c.FinishReturn != nil, c.SetShares != nil, c.MarkInForce != nil, c.MarkDone != nil, c.MarkReversed != nil,
		c.RecordHost != nil, c.Declare != nil,
	} {
		if present {
			set++
		}
	}
	switch {
	case set != 1:
		return invalid("", "the command states %d changes, want 1", set)
	case c.Operator == "" || len(c.Operator) > maxOperatorLength:
		return invalid("operator", "want 1 to %d bytes", maxOperatorLength)
	case len(c.Operation) > maxOperationLength:
		return invalid("operation", "%d bytes, at most %d", len(c.Operation), maxOperationLength)
	case c.Time.IsZero():
		return invalid("time", "the time is missing")
	}
	return nil
}

// retainedRecord returns the retained retainedRecord of a note, or nil.
func (s *State) retainedRecord(number uint64) *Record {
	first := s.head - uint64(len(s.retained)) + 1
	if number < first || number > s.head {
		return nil
	}
	return s.retained[number-first]
}

// compact retires the oldest notes into the base while the bounds are exceeded.
func (s *State) compact() {
	for len(s.retained) > s.limits.retained || s.retainedEntries > s.limits.entries && len(s.retained) > 1 {
		r := s.retained[0]
		if !r.Withdrawn {
			b := newConfigBuilder(s.base)
			err := b.fold(r.Note, r.Steps)
			invariant.Check(err == nil, invariant.NoPartialVersion, "accepted note does not fold", "note", r.Note.Number, "error", err)
			s.base = b.cfg
		}
		for _, m := range r.Moves {
			s.archiveMove(m)
		}
		s.retainedEntries -= r.Note.entries()
		s.retained[0] = nil
		s.retained = s.retained[1:]
	}
}

// archiveMove keeps the outcome of a service's newest move after its record is gone.
func (s *State) archiveMove(m MoveState) {
	name := m.Move.Service
	if old, ok := s.archivedMoves[name]; ok && old.Note > m.Note {
		return
	}
	s.archivedMoves[name] = m
	if len(s.archivedMoves) <= s.limits.archived {
		return
	}
	var oldest model.ServiceName
	for k, v := range s.archivedMoves {
		if o, ok := s.archivedMoves[oldest]; !ok || v.Note < o.Note || v.Note == o.Note && k < oldest {
			oldest = k
		}
	}
	delete(s.archivedMoves, oldest)
}

// configWith folds the retained notes over the base, with replace in place of the
// note of its number.
func (s *State) configWith(replace *Record) (Config, error) {
	b := newConfigBuilder(s.base)
	b.cfg.DataCentres = s.config.DataCentres
	for _, r := range s.retained {
		if r.Note.Number == replace.Note.Number {
			r = replace
		}
		if r.Withdrawn {
			continue
		}
		if err := b.fold(r.Note, r.Steps); err != nil {
			return Config{}, annotateNoteError(r, replace, err)
		}
	}
	if err := Validate(b.cfg); err != nil {
		return Config{}, err
	}
	return b.cfg, validateDistinctRoutes(b.cfg, slices.Collect(maps.Values(b.cfg.Routes)))
}
