package note

import (
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Now        time.Time                       `cbor:"1,keyasint"`
	Position   model.Position                  `cbor:"2,keyasint"`
	Head       uint64                          `cbor:"3,keyasint"`
	Base       Config                          `cbor:"4,keyasint"`
	Retained   []*Record                       `cbor:"5,keyasint"`
	Archive    map[model.ServiceName]MoveState `cbor:"6,keyasint"`
	Operations []*operation                    `cbor:"7,keyasint"`
	Audit      []AuditRecord                   `cbor:"8,keyasint"`
	AuditNext  uint64                          `cbor:"9,keyasint"`
	// DataCentres is stored separately, since it is not folded from notes.
	DataCentres  map[model.DataCentre]DataCentreState `cbor:"10,keyasint"`
	AuditPending uint64                               `cbor:"11,keyasint"`
	Declared     declarationsSnapshot                 `cbor:"12,keyasint"`
}

// Snapshot returns the encoded state; equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	return encode(snapshot{
		Now: s.now, Position: s.position, Head: s.head, Base: s.base, Retained: s.retained, Archive: s.archivedMoves,
		Operations: s.operations.all(), Audit: s.audit.newestRecords(), AuditNext: s.audit.nextSequence, AuditPending: s.audit.firstPending,
		DataCentres: s.config.DataCentres, Declared: s.declared.snapshot(),
	})
}

// Restore replaces the state with that of a snapshot; on an error nothing changes.
func (s *State) Restore(b []byte) error {
	snap, err := decode[snapshot](b)
	if err != nil {
		return err
	}
	n := newState(s.limits)
	n.now, n.position, n.head = snap.Now, snap.Position, snap.Head
	n.base = snap.Base.withMaps()
	if n.retained, err = snap.checkedRecords(); err != nil {
		return err
	}
	for _, r := range n.retained {
		n.retainedEntries += r.Note.entries()
	}
	for k, v := range snap.Archive {
		n.archivedMoves[k] = v
	}
	for _, op := range snap.Operations {
		if op == nil {
			return eris.Wrap(ErrMalformed, "operation is null")
		}
		n.operations.add(op)
	}
	n.declared = snap.Declared.restore()
	n.audit.records, n.audit.nextSequence, n.audit.firstPending = snap.Audit, snap.AuditNext, snap.AuditPending
	if err := n.restoreConfig(snap.DataCentres); err != nil {
		return err
	}
	*s = *n
	return nil
}

// checkedRecords returns the retained notes if their numbers have no gaps and end
// at the head.
func (s snapshot) checkedRecords() ([]*Record, error) {
	if uint64(len(s.Retained)) > s.Head {
		return nil, eris.Wrap(ErrMalformed, "more retained notes than the newest number allows")
	}
	first := s.Head - uint64(len(s.Retained)) + 1
	for i, r := range s.Retained {
		if r == nil || r.Note.Number != first+uint64(i) {
			return nil, eris.Wrapf(ErrMalformed, "note %d is missing", first+uint64(i))
		}
	}
	return s.Retained, nil
}

// restoreConfig sets the configuration folded from the base and the retained notes.
func (s *State) restoreConfig(dcs map[model.DataCentre]DataCentreState) error {
	b := newConfigBuilder(s.base)
	for _, r := range s.retained {
		if r.Withdrawn {
			continue
		}
		if err := b.fold(r.Note, r.Steps); err != nil {
			return eris.Wrapf(ErrMalformed, "note %d: %v", r.Note.Number, err)
		}
	}
	b.cfg.DataCentres = dcs
	if dcs == nil {
		b.cfg.DataCentres = map[model.DataCentre]DataCentreState{}
	}
	if err := Validate(b.cfg); err != nil {
		return eris.Wrapf(ErrMalformed, "%v", err)
	}
	s.config = b.cfg
	return nil
}

// withMaps returns c with empty maps in place of nil maps.
func (c Config) withMaps() Config {
	n := NewConfig()
	n.Limits = c.Limits
	if c.Services != nil {
		n.Services = c.Services
	}
	if c.Routes != nil {
		n.Routes = c.Routes
	}
	if c.Shares != nil {
		n.Shares = c.Shares
	}
	if c.DataCentres != nil {
		n.DataCentres = c.DataCentres
	}
	return n
}
