package rollout

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// decMode limits the size of decoded values and rejects duplicate map keys.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 18, MaxMapPairs: 1 << 10, DupMapKey: cbor.DupMapKeyEnforcedAPF, UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return m
}()

func encode(v any) ([]byte, error) {
	b, err := cbor.Marshal(v)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "encode %T: %v", v, err)
	}
	return b, nil
}

// EncodeCommand encodes c for the log.
func EncodeCommand(c Command) ([]byte, error) { return encode(c) }

// DecodeCommand decodes a log entry.
func DecodeCommand(b []byte) (Command, error) {
	var c Command
	if err := decMode.Unmarshal(b, &c); err != nil {
		return Command{}, eris.Wrapf(ErrCorrupt, "decode command: %v", err)
	}
	return c, nil
}

// snapshot is the encoded form of a State: the moves in order of acceptance, each with a
// flag that says whether it is its service's current move.
type snapshot struct {
	Moves   []Status `cbor:"1,keyasint"`
	Current []bool   `cbor:"2,keyasint"`
}

// Snapshot encodes the moves. Equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var snap snapshot
	for _, id := range s.order {
		snap.Moves = append(snap.Moves, *s.moves[id])
		snap.Current = append(snap.Current, s.current[id.Service] == id)
	}
	return encode(snap)
}

// Restore replaces the moves with those of a snapshot. It returns an error and changes
// nothing if the snapshot is malformed.
func (s *State) Restore(b []byte) error {
	var snap snapshot
	if err := decMode.Unmarshal(b, &snap); err != nil {
		return eris.Wrapf(ErrCorrupt, "decode snapshot: %v", err)
	}
	if len(snap.Moves) != len(snap.Current) {
		return eris.Wrap(ErrCorrupt, "snapshot lists differ in length")
	}
	n := NewState()
	for i := range snap.Moves {
		if err := n.restore(&snap.Moves[i], snap.Current[i]); err != nil {
			return eris.Wrapf(ErrCorrupt, "snapshot move %d: %v", i, err)
		}
	}
	for _, id := range n.order {
		if _, ok := n.current[id.Service]; !ok {
			return eris.Wrapf(ErrCorrupt, "service %q has no current move", id.Service)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moves, s.current, s.order = n.moves, n.current, n.order
	return nil
}

// restore adds one move of a snapshot after checking it.
func (s *State) restore(st *Status, current bool) error {
	id := st.Move.ID
	if st.Phase < PhaseWaiting || st.Phase > PhaseWithdrawn || st.Share > model.ShareAll || len(st.Steps) > maxSteps {
		return eris.New("field out of range")
	}
	if (st.Phase == PhaseReversed || st.Phase == PhaseWithdrawn) && st.Share != 0 {
		return eris.New("reversed or withdrawn move has a share")
	}
	if _, ok := s.moves[id]; ok {
		return eris.New("duplicate move")
	}
	if _, ok := s.current[id.Service]; ok && current {
		return eris.New("service has two current moves")
	}
	if current {
		s.current[id.Service] = id
	}
	s.moves[id] = st
	s.order = append(s.order, id)
	return nil
}
