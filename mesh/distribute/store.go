package distribute

import (
	"sync"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Store holds the current version and its history. Control hosts and nodes
// serve their children from it. One mutex guards it.
type Store struct {
	mu       sync.Mutex
	current  *Version
	history  History
	changed  chan struct{}
	snapshot *Snapshot
}

// NewStore returns a store without a version.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Publish makes cfg the current version. If pos is not newer than the current
// position, it changes nothing and returns ErrOld. The caller must validate cfg
// before the call and must not change it afterwards.
func (s *Store) Publish(pos model.Position, cfg note.Config) error {
	from := s.Current()
	old, sum, at := note.Config{}, uint64(0), model.Position{}
	if from != nil {
		old, sum, at = from.Config, from.Sum, from.Position
	}
	if !at.Less(pos) {
		return eris.Wrapf(ErrOld, "%s after %s", pos, at)
	}
	d := note.Diff(old, cfg)
	return s.replace(from, &Version{Position: pos, Config: cfg, Sum: sumAfter(sum, old, cfg, d)}, d)
}

// PublishDelta is Publish for a caller that knows the delta from the current
// version. It avoids the comparison of the whole configuration.
func (s *Store) PublishDelta(pos model.Position, cfg note.Config, d note.Delta) error {
	from := s.Current()
	if from == nil {
		return s.Publish(pos, cfg)
	}
	if !from.Position.Less(pos) {
		return eris.Wrapf(ErrOld, "%s after %s", pos, from.Position)
	}
	return s.replace(from, &Version{Position: pos, Config: cfg, Sum: sumAfter(from.Sum, from.Config, cfg, d)}, d)
}

// replace makes to the current version, or returns ErrOld if the current
// version is no longer from.
func (s *Store) replace(from, to *Version, d note.Delta) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != from {
		return eris.Wrapf(ErrOld, "%s: another version was published meanwhile", to.Position)
	}
	var at model.Position
	if from != nil {
		at = from.Position
	}
	s.history.add(at, to.Position, d)
	s.current = to
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// Current returns the current version, or nil before the first one.
func (s *Store) Current() *Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Position returns the position of the current version, or zero before the
// first one.
func (s *Store) Position() model.Position {
	if v := s.Current(); v != nil {
		return v.Position
	}
	return model.Position{}
}

// Changed returns a channel that is closed once the current version is newer than after.
func (s *Store) Changed(after model.Position) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && after.Less(s.current.Position) {
		return closedChan
	}
	return s.changed
}

var closedChan = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// deltaSince returns the delta from a position to the current version. ok is
// false if the history does not reach back that far.
func (s *Store) deltaSince(after model.Position) (u deltaFrame, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return u, false
	}
	d, base, ok := s.history.Since(after)
	if !ok {
		return u, false
	}
	return deltaFrame{Base: base, Position: s.current.Position, Sum: s.current.Sum, Delta: d}, true
}

// Snapshot returns a snapshot that is newer than after and from which the
// history leads to the current version. It is encoded once and reused for all
// children.
func (s *Store) Snapshot(after model.Position) (*Snapshot, error) {
	s.mu.Lock()
	v, kept := s.current, s.snapshot
	usable := kept != nil && v != nil && after.Less(kept.Position) && (kept.Position == v.Position || s.history.covers(kept.Position))
	s.mu.Unlock()
	if usable {
		return kept, nil
	}
	if v == nil {
		return nil, eris.Wrap(ErrSnapshot, "no version to take a snapshot of")
	}
	snap, err := EncodeSnapshot(v)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = snap
	return snap, nil
}
