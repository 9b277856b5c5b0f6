package claim

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// maxArrayElements bounds the number of records in a decoded snapshot. The CBOR
// package's default, 131,072, is less than DefaultLimits.Claims.
const maxArrayElements = 16 << 20

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: 1 << 10, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()

// EncodeCommand encodes c for the log.
func EncodeCommand(c Command) ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "encode command: %v", err)
	}
	return b, nil
}

// DecodeCommand decodes a log entry.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, eris.Wrapf(ErrCorrupt, "decode command: %v", err)
	}
	return c, nil
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Clock   Instant   `cbor:"1,keyasint"`
	Records []*record `cbor:"2,keyasint"`
}

// Snapshot encodes the table; equal tables give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := snapshot{Clock: s.clock, Records: slices.SortedFunc(maps.Values(s.records), func(a, b *record) int {
		return cmp.Compare(a.Key, b.Key)
	})}
	b, err := cbor.Marshal(snap)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "encode snapshot: %v", err)
	}
	return b, nil
}

// Restore replaces the table with the one in a snapshot. A snapshot that does
// not decode returns an error and leaves the table unchanged.
func (s *State) Restore(b []byte) error {
	var snap snapshot
	if err := decMode.Unmarshal(b, &snap); err != nil {
		return eris.Wrapf(ErrCorrupt, "decode snapshot: %v", err)
	}
	n := NewState()
	for i, r := range snap.Records {
		if err := validateRecord(r); err != nil {
			return eris.Wrapf(ErrCorrupt, "snapshot record %d: %v", i, err)
		}
		if n.records[r.Key] != nil {
			return eris.Wrapf(ErrCorrupt, "snapshot record %d: key appears twice", i)
		}
		n.add(r)
		if r.Phase == phaseInProgress {
			n.inProgress[r.Key] = r
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock, s.records, s.expiry, s.inProgress, s.bytes = snap.Clock, n.records, n.expiry, n.inProgress, n.bytes
	return nil
}

// validateRecord checks a decoded record and sets its creation time.
func validateRecord(r *record) error {
	if r == nil {
		return eris.New("missing")
	}
	created, err := KeyTime(r.Key)
	if err != nil {
		return err
	}
	r.created = created
	if r.Phase < phaseInProgress || r.Phase > phaseReleased {
		return eris.Errorf("unknown phase %d", r.Phase)
	}
	if (r.Phase == phaseAnswered) != (r.Answer != nil) || r.Answer != nil && !r.Answer.valid() {
		return eris.New("answer does not match the phase")
	}
	return nil
}
