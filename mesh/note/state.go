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
	// maxRetainedEntries bounds the total number of entries in the retained notes;
	// beyond it the oldest notes are folded into the base early. It keeps the
	// retained notes below about 60 MB.
	maxRetainedEntries = 262_144
	// maxArchivedMoves bounds the moves that are kept after their notes are folded
	// into the base.
	maxArchivedMoves = maxServices
)

// State is the replicated state of release notes and data centres. It is owned
// by the state machine of a control host and is not safe for concurrent use.
// Apply is deterministic: its result depends only on the state and its arguments.
type State struct {
	limits limits
	// now is the latest time stated by any command.
	now      time.Time
	position model.Position
	// head is the number of the newest note.
	head uint64
	// base is the configuration folded from the notes that are no longer retained.
	base Config
	// retained holds the newest notes, including withdrawn ones, in order of number
	// and without gaps; the number of the last one is head.
	retained []*Record
	// retainedEntries is the total number of entries in the retained notes.
	retainedEntries int
	// archivedMoves holds, for each service, the newest of its moves that are no
	// longer part of a retained note.
	archivedMoves map[model.ServiceName]MoveState
	// config is the base with the retained notes folded into it and the states of
	// the data centres. Its maps are replaced, never modified.
	config     Config
	declared   declarations
	operations operations
	audit      auditLog
}

// limits holds the size limits of a State; tests lower them. retained and
// entries apply to the retained notes, archived to the archived moves,
// operations to the kept results and audit to the audit records.
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

// Apply decides a command at its position in the log. A refused command leaves
// the notes, the configuration and the audit log as they are; its result is
// kept for resends.
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
		invariant.Check(s.position.Less(pos), invariant.AcceptedNeverReverts, "position of a change does not increase",
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
	case c.RecordControlHost != nil:
		return s.recordHost(c, pos)
	case c.Declare != nil:
		return s.declare(c, pos)
	default:
		return s.markReversed(c)
	}
}

// Length limits of the texts in a command, since the state stores them.
const (
	// maxOperatorLength is the maximum length of an operator name in bytes.
	maxOperatorLength = 128
	// maxOperationLength is the maximum length of an operation ID in bytes.
	maxOperationLength = 128
	// maxReasonLength is the length in bytes to which the reason of a reversal is cut.
	maxReasonLength = 512
)

// check checks that the command states exactly one change, and its operator,
// operation ID and time.
func (c Command) check() error {
	set := 0
	for _, present := range []bool{
		c.Publish != nil, c.Amend != nil, c.Withdraw != nil, c.TakeOut != nil, c.BeginReturn != nil,
		c.FinishReturn != nil, c.SetShares != nil, c.MarkInForce != nil, c.MarkDone != nil, c.MarkReversed != nil,
		c.RecordControlHost != nil, c.Declare != nil,
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

// retainedRecord returns the record of a retained note, or nil.
func (s *State) retainedRecord(number uint64) *Record {
	first := s.head - uint64(len(s.retained)) + 1
	if number < first || number > s.head {
		return nil
	}
	return s.retained[number-first]
}

// compact folds the oldest retained notes into the base while a limit is exceeded.
func (s *State) compact() {
	for len(s.retained) > s.limits.retained || s.retainedEntries > s.limits.entries && len(s.retained) > 1 {
		r := s.retained[0]
		if !r.Withdrawn {
			b := newConfigBuilder(s.base)
			err := b.fold(r.Note, r.Steps)
			invariant.Check(err == nil, invariant.NoPartialVersion, "accepted note cannot be folded", "note", r.Note.Number, "error", err)
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

// archiveMove keeps a move that is no longer part of a retained note, unless a
// move of a newer note is archived for its service. Beyond the limit it drops
// the move of the oldest note.
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

// configWith returns the configuration folded from the base and the retained
// notes, with replace in place of the record of the same number.
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
