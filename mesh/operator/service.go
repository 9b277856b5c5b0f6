// Package operator is the interface of operators and partners: its decisions
// over a Backend, the HTTP server of a control host, and a Go client.
package operator

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Backend is the control role as the operator interface sees it. Reads confirm
// leadership where they can and say so in Read; without a quorum they answer
// from the host's own state. Methods are called by many goroutines.
type Backend interface {
	// Submit has the leader decide a command and returns its result. The leader
	// sets the time. The error is ErrUnavailable if nothing was accepted,
	// ErrOutcomeUnknown if it may have been, or ErrStorageFull.
	Submit(ctx context.Context, c note.Command) (note.Result, error)
	// Notes returns at most limit retained notes up to number before, newest
	// first; before 0 starts at the newest.
	Notes(ctx context.Context, before uint64, limit int) ([]note.Record, Read, error)
	// Note returns one retained note, or ErrNotFound.
	Note(ctx context.Context, number uint64) (note.Record, Read, error)
	// Moves returns the newest move of each service in order of service.
	Moves(ctx context.Context) ([]MoveView, Read, error)
	// Move returns the newest move of a service, or ErrNotFound.
	Move(ctx context.Context, service model.ServiceName) (MoveView, Read, error)
	// Changed returns a channel that is closed at the next change of any move.
	Changed() <-chan struct{}
	// DataCentres returns all data centres of the settings and of announcements.
	DataCentres(ctx context.Context) ([]DataCentreView, Read, error)
	// ControlHosts returns the members of the control group.
	ControlHosts(ctx context.Context) ([]ControlHostView, Read, error)
	// AddControlHost adds a learner that becomes a voter once it has caught up.
	AddControlHost(ctx context.Context, caller Caller, h ControlHostChange) error
	// RemoveControlHost removes a control host, or returns ErrNotFound.
	RemoveControlHost(ctx context.Context, caller Caller, host model.HostID) error
	// Audit returns at most limit records with sequences above after, oldest first.
	Audit(ctx context.Context, after uint64, limit int) ([]note.AuditRecord, Read, error)
	// Status sums up the mesh.
	Status(ctx context.Context) (StatusView, Read, error)
	// Nodes returns the known nodes, of one service unless it is empty.
	Nodes(ctx context.Context, service model.ServiceName) ([]NodeView, Read, error)
	// Config returns the configuration in force.
	Config(ctx context.Context) (note.Config, Read, error)
}

// Caller is an authenticated operator and the id of the operation.
type Caller struct {
	Operator  model.OperatorName
	Operation model.OperationID
}

// Service holds the decisions of the interface apart from HTTP.
type Service struct {
	backend Backend
	// watchTimeout bounds a long poll.
	watchTimeout time.Duration
	// closing is closed when the process stops.
	closing   chan struct{}
	closeOnce sync.Once
}

// NewService returns the interface over a backend; watch bounds a long poll.
func NewService(b Backend, watchTimeout time.Duration) *Service {
	return &Service{backend: b, watchTimeout: watchTimeout, closing: make(chan struct{})}
}

// Close ends all long polls with the present state.
func (s *Service) Close() { s.closeOnce.Do(func() { close(s.closing) }) }

const maxOperationIDBytes = 128

func (s *Service) submit(ctx context.Context, caller Caller, c note.Command) (note.Result, error) {
	if err := checkOperationID(caller.Operation); err != nil {
		return note.Result{}, err
	}
	c.Operator, c.Operation = caller.Operator, caller.Operation
	r, err := s.backend.Submit(ctx, c)
	if err != nil {
		return note.Result{}, err
	}
	return r, resultError(r)
}

func checkOperationID(id model.OperationID) error {
	if id == "" || len(id) > maxOperationIDBytes {
		return &Error{Code: CodeInvalid, Field: "Operation-Id", Message: fmt.Sprintf("want 1 to %d bytes", maxOperationIDBytes)}
	}
	return nil
}

// Publish accepts a new note.
func (s *Service) Publish(ctx context.Context, caller Caller, n note.Note) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Publish: &note.Publish{Note: n}})
}

// Amend replaces a note that has the expected revision.
func (s *Service) Amend(ctx context.Context, caller Caller, n note.Note, expected uint64) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Amend: &note.Amend{Note: n, Expected: expected}})
}

// Withdraw withdraws a note that has the expected revision.
func (s *Service) Withdraw(ctx context.Context, caller Caller, number, expected uint64) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Withdraw: &note.Withdraw{Number: number, Expected: expected}})
}

// TakeOut takes a known data centre out of service.
func (s *Service) TakeOut(ctx context.Context, caller Caller, dc model.DataCentre) (note.Result, error) {
	if err := s.checkDataCentre(ctx, dc); err != nil {
		return note.Result{}, err
	}
	return s.submit(ctx, caller, note.Command{TakeOut: &note.TakeOut{DataCentre: dc}})
}

// Return begins the return of a known data centre.
func (s *Service) Return(ctx context.Context, caller Caller, dc model.DataCentre) (note.Result, error) {
	if err := s.checkDataCentre(ctx, dc); err != nil {
		return note.Result{}, err
	}
	return s.submit(ctx, caller, note.Command{BeginReturn: &note.BeginReturn{DataCentre: dc}})
}

// checkDataCentre refuses a misspelt name: taking out a data centre that does
// not exist would be accepted and change nothing.
func (s *Service) checkDataCentre(ctx context.Context, dc model.DataCentre) error {
	all, _, err := s.backend.DataCentres(ctx)
	if err != nil {
		return err
	}
	for _, d := range all {
		if d.Name == dc {
			return nil
		}
	}
	return eris.Wrapf(ErrNotFound, "data centre %q", dc)
}

// AddControlHost adds a control host.
func (s *Service) AddControlHost(ctx context.Context, caller Caller, h ControlHostChange) error {
	if err := checkOperationID(caller.Operation); err != nil {
		return err
	}
	for field, value := range map[string]string{"host": string(h.Host), "data_centre": string(h.DataCentre), "peer": h.Peer} {
		if value == "" {
			return &Error{Code: CodeInvalid, Field: field, Message: "is required"}
		}
	}
	return s.backend.AddControlHost(ctx, caller, h)
}

// RemoveControlHost removes a control host.
func (s *Service) RemoveControlHost(ctx context.Context, caller Caller, host model.HostID) error {
	if err := checkOperationID(caller.Operation); err != nil {
		return err
	}
	return s.backend.RemoveControlHost(ctx, caller, host)
}

// WatchMove returns the move of a service once its sequence differs from seen,
// or its present state when the wait is over.
func (s *Service) WatchMove(ctx context.Context, service model.ServiceName, seen uint64) (MoveAnswer, error) {
	timer := time.NewTimer(s.watchTimeout)
	defer timer.Stop()
	for {
		changed := s.backend.Changed()
		m, read, err := s.backend.Move(ctx, service)
		if err != nil || m.Sequence != seen {
			return MoveAnswer{Read: read, Move: m}, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return MoveAnswer{Read: read, Move: m}, nil
		case <-s.closing:
			return MoveAnswer{Read: read, Move: m}, nil
		case <-ctx.Done():
			return MoveAnswer{}, eris.Wrapf(ErrUnavailable, "%v", context.Cause(ctx))
		}
	}
}
