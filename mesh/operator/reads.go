package operator

import (
	"math"
	"net/http"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

func (s *Server) notes(r request) (int, any, error) {
	before, err := r.queryUint("before", 0, math.MaxUint64)
	if err != nil {
		return 0, nil, err
	}
	limit, err := r.queryUint("limit", defaultPageSize, maxPageSize)
	if err != nil {
		return 0, nil, err
	}
	list, read, err := s.service.backend.Notes(r.ctx, before, int(limit))
	return http.StatusOK, NotesAnswer{Read: read, Notes: list}, err
}

func (s *Server) note(r request) (int, any, error) {
	number, err := r.noteNumber()
	if err != nil {
		return 0, nil, err
	}
	n, read, err := s.service.backend.Note(r.ctx, number)
	return http.StatusOK, NoteAnswer{Read: read, Note: n}, err
}

func (s *Server) moves(r request) (int, any, error) {
	list, read, err := s.service.backend.Moves(r.ctx)
	return http.StatusOK, MovesAnswer{Read: read, Moves: list}, err
}

// move answers at once. With watch=1 it answers when the move's sequence differs
// from the query parameter seen, which defaults to the current sequence.
func (s *Server) move(r request) (int, any, error) {
	service := model.ServiceName(r.Vars().Get("service"))
	watch, err := r.queryUint("watch", 0, 1)
	if err != nil {
		return 0, nil, err
	}
	m, read, err := s.service.backend.Move(r.ctx, service)
	if watch == 0 || err != nil {
		return http.StatusOK, MoveAnswer{Read: read, Move: m}, err
	}
	seen, err := r.queryUint("seen", m.Sequence, math.MaxUint64)
	if err != nil {
		return 0, nil, err
	}
	select {
	case s.pollSlots <- struct{}{}:
		defer func() { <-s.pollSlots }()
	default:
		return 0, nil, eris.Wrapf(ErrOverloaded, "%d long polls wait already", cap(s.pollSlots))
	}
	answer, err := s.service.WatchMove(r.ctx, service, seen)
	return http.StatusOK, answer, err
}

func (s *Server) dataCentres(r request) (int, any, error) {
	list, read, err := s.service.backend.DataCentres(r.ctx)
	return http.StatusOK, DataCentresAnswer{Read: read, DataCentres: list}, err
}

func (s *Server) controlHosts(r request) (int, any, error) {
	list, read, err := s.service.backend.ControlHosts(r.ctx)
	return http.StatusOK, ControlHostsAnswer{Read: read, ControlHosts: list}, err
}

func (s *Server) audit(r request) (int, any, error) {
	after, err := r.queryUint("after", 0, math.MaxUint64)
	if err != nil {
		return 0, nil, err
	}
	limit, err := r.queryUint("limit", defaultPageSize, maxPageSize)
	if err != nil {
		return 0, nil, err
	}
	list, read, err := s.service.backend.Audit(r.ctx, after, int(limit))
	return http.StatusOK, AuditAnswer{Read: read, Records: list}, err
}

func (s *Server) status(r request) (int, any, error) {
	v, read, err := s.service.backend.Status(r.ctx)
	return http.StatusOK, StatusAnswer{Read: read, Status: v}, err
}

func (s *Server) nodes(r request) (int, any, error) {
	list, read, err := s.service.backend.Nodes(r.ctx, model.ServiceName(r.Query().Get("service")))
	return http.StatusOK, NodesAnswer{Read: read, Nodes: list}, err
}

func (s *Server) config(r request) (int, any, error) {
	c, read, err := s.service.backend.Config(r.ctx)
	return http.StatusOK, ConfigAnswer{Read: read, Config: configView(c)}, err
}
