package note

import (
	"maps"
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// Config returns the accepted configuration; the caller must not modify it.
func (s *State) Config() Config { return s.config }

// Position returns the position of the newest change to the configuration.
func (s *State) Position() model.Position { return s.position }

// Head returns the number of the newest note.
func (s *State) Head() uint64 { return s.head }

// Now returns the latest time stated by any command.
func (s *State) Now() time.Time { return s.now }

// Note returns the record of a retained note, or ErrNotFound.
func (s *State) Note(number uint64) (Record, error) {
	r := s.retainedRecord(number)
	if r == nil {
		return Record{}, ErrNotFound
	}
	return r.clone(), nil
}

// Notes returns at most limit retained notes with numbers up to before, newest
// first; if before is 0, it starts with the newest note.
func (s *State) Notes(before uint64, limit int) []Record {
	var out []Record
	for i := len(s.retained) - 1; i >= 0 && len(out) < limit; i-- {
		if r := s.retained[i]; before == 0 || r.Note.Number <= before {
			out = append(out, r.clone())
		}
	}
	return out
}

// clone copies a record and the parts of it that later commands modify.
func (r *Record) clone() Record {
	c := *r
	c.Moves = slices.Clone(r.Moves)
	return c
}

// Moves returns the newest known move of each service, sorted by service.
func (s *State) Moves() []MoveState {
	newest := maps.Clone(s.archivedMoves)
	for _, r := range s.retained {
		for _, m := range r.Moves {
			if old, ok := newest[m.Move.Service]; !ok || old.Note <= m.Note {
				newest[m.Move.Service] = m
			}
		}
	}
	out := make([]MoveState, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, newest[name])
	}
	return out
}

// Audit returns at most limit audit records with sequence numbers above after,
// oldest first.
func (s *State) Audit(after uint64, limit int) []AuditRecord {
	var out []AuditRecord
	for _, r := range s.audit.newestRecords() {
		if r.Sequence > after && len(out) < limit {
			out = append(out, r)
		}
	}
	return out
}
