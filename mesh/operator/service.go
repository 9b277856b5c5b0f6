// Package operator implements the HTTP interface for operators and partners:
// the server that a control host runs on top of a Backend, and a Go client.
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

// Backend is the part of a control host that the operator interface uses. Read
// methods confirm the leader with a quorum if they can, and report that in
// Read.Confirmed; without a quorum they answer from the host's local state.
// Implementations must be safe for concurrent use.
type Backend interface {
	// Submit passes a command to the leader and returns its result. The leader
	// sets the command's time. The error is ErrUnavailable if the command was not
	// accepted, ErrOutcomeUnknown if it may have been accepted, or ErrStorageFull.
	Submit(ctx context.Context, c note.Command) (note.Result, error)
	// Notes returns at most limit retained notes with numbers up to and including
	// before, newest first. If before is 0, it starts at the newest note.
	Notes(ctx context.Context, before uint64, limit int) ([]note.Record, Read, error)
	// Note returns one retained note, or ErrNotFound.
	Note(ctx context.Context, number uint64) (note.Record, Read, error)
	// Moves returns the newest move of each service, sorted by service name.
	Moves(ctx context.Context) ([]MoveView, Read, error)
	// Move returns the newest move of a service, or ErrNotFound.
	Move(ctx context.Context, service model.ServiceName) (MoveView, Read, error)
	// Changed returns a channel that is closed when any move changes.
	Changed() <-chan struct{}
	// DataCentres returns the data centres that the settings list, with counts of
	// their backend servers from announcements.
	DataCentres(ctx context.Context) ([]DataCentreView, Read, error)
	// ControlHosts returns the members of the control group.
	ControlHosts(ctx context.Context) ([]ControlHostView, Read, error)
	// AddControlHost adds a host to the control group as a learner, which becomes
	// a voter once it has caught up with the log.
	AddControlHost(ctx context.Context, caller Caller, h ControlHostChange) error
	// RemoveControlHost removes a host from the control group, or returns
	// ErrNotFound.
	RemoveControlHost(ctx context.Context, caller Caller, host model.HostID) error
	// Audit returns at most limit audit records with sequence numbers greater than
	// after, oldest first.
	Audit(ctx context.Context, after uint64, limit int) ([]note.AuditRecord, Read, error)
	// Status returns a summary of the mesh.
	Status(ctx context.Context) (StatusView, Read, error)
	// Nodes returns the known nodes of a service, or all known nodes if service is
	// empty.
	Nodes(ctx context.Context, service model.ServiceName) ([]NodeView, Read, error)
	// Config returns the configuration in force.
	Config(ctx context.Context) (note.Config, Read, error)
}

// Caller identifies a write: the authenticated operator and the operation id.
type Caller struct {
	Operator  model.OperatorName
	Operation model.OperationID
}

// Service implements the operations of the interface independently of HTTP.
type Service struct {
	backend Backend
	// watchTimeout is the longest duration of a long poll.
	watchTimeout time.Duration
	// closing is closed by Close.
	closing   chan struct{}
	closeOnce sync.Once
}

// NewService returns a service on top of a backend. watchTimeout is the longest
// duration of a long poll.
func NewService(b Backend, watchTimeout time.Duration) *Service {
	return &Service{backend: b, watchTimeout: watchTimeout, closing: make(chan struct{})}
}

// Close makes all long polls return the current state.
func (s *Service) Close() { s.closeOnce.Do(func() { close(s.closing) }) }

// maxOperationIDBytes is the largest length of an operation id in bytes.
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

// Publish publishes a new note.
func (s *Service) Publish(ctx context.Context, caller Caller, n note.Note) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Publish: &note.Publish{Note: n}})
}

// Amend replaces a note if its current revision is the expected one.
func (s *Service) Amend(ctx context.Context, caller Caller, n note.Note, expected uint64) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Amend: &note.Amend{Note: n, ExpectedRevision: expected}})
}

// Withdraw withdraws a note if its current revision is the expected one.
func (s *Service) Withdraw(ctx context.Context, caller Caller, number, expected uint64) (note.Result, error) {
	return s.submit(ctx, caller, note.Command{Withdraw: &note.Withdraw{Number: number, ExpectedRevision: expected}})
}

// TakeOut takes a data centre out of service.
func (s *Service) TakeOut(ctx context.Context, caller Caller, dc model.DataCentre) (note.Result, error) {
	if err := s.checkDataCentre(ctx, dc); err != nil {
		return note.Result{}, err
	}
	return s.submit(ctx, caller, note.Command{TakeOut: &note.TakeOut{DataCentre: dc}})
}

// Return starts the return of a data centre to service.
func (s *Service) Return(ctx context.Context, caller Caller, dc model.DataCentre) (note.Result, error) {
	if err := s.checkDataCentre(ctx, dc); err != nil {
		return note.Result{}, err
	}
	return s.submit(ctx, caller, note.Command{BeginReturn: &note.BeginReturn{DataCentre: dc}})
}

// checkDataCentre returns ErrNotFound for a data centre that the backend does not
// list. Without it, a command with a misspelt name would be accepted and have no
// effect.
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

// AddControlHost checks the required fields and adds a host to the control group.
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

// RemoveControlHost removes a host from the control group.
func (s *Service) RemoveControlHost(ctx context.Context, caller Caller, host model.HostID) error {
	if err := checkOperationID(caller.Operation); err != nil {
		return err
	}
	return s.backend.RemoveControlHost(ctx, caller, host)
}

// WatchMove waits until the sequence of a service's move differs from seen and
// returns the move. When the long poll times out or the service is closed, it
// returns the unchanged move.
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
