package note

import (
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// setShares applies a step of a move, or the first shares of a declared service. The
// step is stored with the newest note that sets the service's traffic or adds the
// service, and is folded after that note: a note in between may have withdrawn the
// service, which drops the shares of earlier notes.
func (s *State) setShares(c Command, pos model.Position) (Result, error) {
	cmd := c.SetShares
	if _, ok := s.config.Services[cmd.Service]; !ok {
		return Result{}, eris.Wrapf(ErrNotFound, "service %q", cmd.Service)
	}
	if err := validateShares("shares", cmd.Shares); err != nil {
		return Result{}, err
	}
	owner := s.trafficOwner(cmd.Service)
	if !cmd.belongsTo(owner) {
		return Result{}, s.stepConflict(cmd, owner)
	}
	if maps.Equal(cmd.Shares, s.config.Shares[cmd.Service]) {
		return Result{}, nil
	}
	s.storeStep(s.stepHolder(cmd.Service), owner, cmd.Service, cmd.Shares)
	s.config.Shares = maps.Clone(s.config.Shares)
	s.config.Shares[cmd.Service] = cmd.Shares
	s.audit.add(AuditRecord{
		Operator: c.Operator, Operation: c.Operation, Action: ActionSetShares, Position: pos, Number: cmd.Note,
		Changes: []string{describeShares(cmd.Service, cmd.Shares)}, Accepted: s.now,
	})
	return Result{Number: cmd.Note, Changed: true}, nil
}

// belongsTo reports whether the step's note and target, as far as they are set,
// are those of owner, the note that sets the service's traffic.
func (c *SetShares) belongsTo(owner *Record) bool {
	if owner == nil {
		return c.Note == 0
	}
	m, _ := owner.Note.move(c.Service)
	return (c.Note == 0 || c.Note == owner.Note.Number) && (c.To == "" || c.To == m.To)
}

func (s *State) stepConflict(cmd *SetShares, owner *Record) error {
	e := &conflictError{message: fmt.Sprintf("note %d no longer moves service %s to this version", cmd.Note, cmd.Service)}
	if owner != nil {
		e.winner = owner.winner()
	}
	return e
}

// trafficOwner returns the newest retained note that sets the service's traffic,
// or nil if only notes folded into the base do.
func (s *State) trafficOwner(service model.ServiceName) *Record {
	for i := len(s.retained) - 1; i >= 0; i-- {
		if r := s.retained[i]; !r.Withdrawn && r.Note.setsTraffic(service) {
			return r
		}
	}
	return nil
}

// stepHolder returns the newest retained note that sets the service's traffic or adds
// the service, or nil if only notes folded into the base do.
func (s *State) stepHolder(service model.ServiceName) *Record {
	for i := len(s.retained) - 1; i >= 0; i-- {
		if r := s.retained[i]; !r.Withdrawn && (r.Note.setsTraffic(service) || r.Note.adds(service)) {
			return r
		}
	}
	return nil
}

// storeStep stores a step with its holder, or in the base if holder is nil. owner is
// the note that sets the service's traffic; nil if it is not retained. storeStep copies
// the maps, since configurations and returned records share them.
func (s *State) storeStep(holder, owner *Record, service model.ServiceName, shares Shares) {
	if holder == nil {
		s.base.Shares = maps.Clone(s.base.Shares)
		s.base.Shares[service] = shares
		return
	}
	holder.Steps = withEntry(holder.Steps, service, shares)
	if _, moves := owner.move(service); moves && holder != owner {
		holder.StepOwners = withEntry(holder.StepOwners, service, owner.Note.Number)
	} else if _, ok := holder.StepOwners[service]; ok {
		holder.StepOwners = withoutEntry(holder.StepOwners, service)
	}
}

func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	n := maps.Clone(m)
	if n == nil {
		n = map[K]V{}
	}
	n[k] = v
	return n
}

func withoutEntry[K comparable, V any](m map[K]V, k K) map[K]V {
	n := maps.Clone(m)
	delete(n, k)
	return n
}

// dropStepsOf removes the steps that the given moves of a note have stored with later
// notes. restore puts them back.
func (s *State) dropStepsOf(number uint64, moves []Move) (restore func()) {
	var undo []func()
	for _, r := range s.retained {
		for _, m := range moves {
			if r.StepOwners[m.Service] != number {
				continue
			}
			steps, owners := r.Steps, r.StepOwners
			undo = append(undo, func() { r.Steps, r.StepOwners = steps, owners })
			r.Steps, r.StepOwners = withoutEntry(steps, m.Service), withoutEntry(owners, m.Service)
		}
	}
	return func() {
		for _, f := range slices.Backward(undo) {
			f()
		}
	}
}

func (s *State) markInForce(c Command) (Result, error) {
	through := c.MarkInForce.Through
	s.audit.markInForce(through, s.now)
	for _, r := range s.retained {
		if r.InForce.IsZero() && r.Position.Compare(through) <= 0 {
			r.InForce = s.now
			if !r.Withdrawn {
				r.updateTimes()
			}
			s.audit.setOutcome(r, "")
		}
	}
	return Result{}, nil
}

func (s *State) markDone(c Command) (Result, error) {
	cmd := c.MarkDone
	return s.markMove(cmd.Number, cmd.Service, cmd.To, func(m *MoveState) {
		if m.Done.IsZero() && m.Reversed.IsZero() {
			m.Done = s.now
		}
	})
}

func (s *State) markReversed(c Command) (Result, error) {
	cmd := c.MarkReversed
	reason := cmd.Reason[:min(len(cmd.Reason), maxReasonLength)]
	return s.markMove(cmd.Number, cmd.Service, cmd.To, func(m *MoveState) {
		if m.Reversed.IsZero() {
			m.Reversed, m.Reason = s.now, reason
		}
	})
}

// markMove updates a move in its record, or in archivedMoves if its note is no
// longer retained.
func (s *State) markMove(number uint64, service model.ServiceName, to model.ServiceVersion, mark func(*MoveState)) (Result, error) {
	r := s.retainedRecord(number)
	m, archived := s.archivedMoves[service]
	if r != nil {
		found := r.moveState(service)
		if found == nil {
			return Result{}, eris.Wrapf(ErrNotFound, "move of service %q in note %d", service, number)
		}
		m = *found
	} else if !archived || m.Note != number {
		return Result{}, eris.Wrapf(ErrNotFound, "move of service %q in note %d", service, number)
	}
	if m.Withdrawn || to != "" && m.Move.To != to {
		return Result{}, &conflictError{message: fmt.Sprintf("note %d no longer moves service %s to this version", number, service)}
	}
	mark(&m)
	if r == nil {
		s.archivedMoves[service] = m
		return Result{Number: number, Revision: m.Revision}, nil
	}
	*r.moveState(service) = m
	r.updateTimes()
	s.audit.setOutcome(r, m.Reason)
	return Result{Number: number, Revision: m.Revision}, nil
}
