package distribute

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Limits of a snapshot.
const (
	// chunkSize is the maximum size of a chunk in bytes, so that a chunk does
	// not delay heartbeats for long.
	chunkSize = 64 << 10
	// maxSnapshot is the maximum compressed size in bytes.
	maxSnapshot = 32 << 20
	// maxUncompressed is the maximum size in bytes after decompression.
	maxUncompressed = 64 << 20
)

// Snapshot is one version in compressed form. Equal versions give equal bytes
// on every host, so that another parent can resume a transfer.
type Snapshot struct {
	// ID is the xxhash checksum of Data.
	ID       uint64
	Position model.Position
	Data     []byte
}

// snapshotBody is the content of Snapshot.Data before compression.
type snapshotBody struct {
	Position model.Position `cbor:"1,keyasint"`
	Config   note.Config    `cbor:"2,keyasint"`
}

// EncodeSnapshot compresses a version.
func EncodeSnapshot(v *Version) (*Snapshot, error) {
	plain, err := detEncMode.Marshal(snapshotBody{Position: v.Position, Config: v.Config})
	if err != nil {
		return nil, eris.Wrapf(ErrSnapshot, "encode: %v", err)
	}
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, eris.Wrapf(ErrSnapshot, "compress: %v", err)
	}
	data := enc.EncodeAll(plain, nil)
	if len(plain) > maxUncompressed || len(data) > maxSnapshot {
		return nil, eris.Wrapf(ErrSnapshot, "%d bytes, %d compressed", len(plain), len(data))
	}
	return &Snapshot{ID: xxhash.Sum64(data), Position: v.Position, Data: data}, nil
}

// DecodeSnapshot verifies the checksum and returns the version. It does not
// validate the configuration.
func DecodeSnapshot(s *Snapshot) (*Version, error) {
	if sum := xxhash.Sum64(s.Data); sum != s.ID {
		return nil, eris.Wrapf(ErrSnapshot, "checksum %x, want %x", sum, s.ID)
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUncompressed))
	if err != nil {
		return nil, eris.Wrapf(ErrSnapshot, "decompress: %v", err)
	}
	defer dec.Close()
	plain, err := dec.DecodeAll(s.Data, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrSnapshot, "decompress: %v", err)
	}
	var body snapshotBody
	if err := cbor.Unmarshal(plain, &body); err != nil {
		return nil, eris.Wrapf(ErrSnapshot, "decode: %v", err)
	}
	if body.Position != s.Position {
		return nil, eris.Wrapf(ErrSnapshot, "holds position %s, announced as %s", body.Position, s.Position)
	}
	cfg := body.Config.Clone()
	return &Version{Position: body.Position, Config: cfg, Sum: sumOf(cfg)}, nil
}

// chunk returns the chunk that starts at offset.
func (s *Snapshot) chunk(offset int) chunkFrame {
	end := min(offset+chunkSize, len(s.Data))
	return chunkFrame{ID: s.ID, Position: s.Position, Offset: offset, Total: len(s.Data), Data: s.Data[offset:end]}
}

// assembly collects the chunks of one snapshot. It is used by one goroutine.
type assembly struct {
	id       uint64
	position model.Position
	total    int
	data     []byte
}

// add appends the next chunk and returns the snapshot once it is complete. A
// chunk at offset 0 starts a new snapshot.
func (a *assembly) add(c chunkFrame) (*Snapshot, error) {
	if c.Offset == 0 {
		*a = assembly{id: c.ID, position: c.Position, total: c.Total}
	}
	switch {
	case c.Total < 1 || c.Total > maxSnapshot || len(c.Data) == 0 || len(c.Data) > chunkSize:
		return nil, eris.Wrapf(ErrSnapshot, "chunk of %d bytes in snapshot of %d", len(c.Data), c.Total)
	case c.ID != a.id || c.Position != a.position || c.Total != a.total:
		return nil, eris.Wrapf(ErrSnapshot, "chunk of snapshot %x inside %x", c.ID, a.id)
	case c.Offset != len(a.data) || c.Offset+len(c.Data) > a.total:
		return nil, eris.Wrapf(ErrSnapshot, "chunk at %d, have %d of %d", c.Offset, len(a.data), a.total)
	}
	a.data = append(a.data, c.Data...)
	if len(a.data) < a.total {
		return nil, nil
	}
	s := &Snapshot{ID: a.id, Position: a.position, Data: a.data}
	*a = assembly{}
	return s, nil
}

// resume returns the point at which a parent can resume the transfer, or nil if
// there is none.
func (a *assembly) resume() *resumeFrame {
	if len(a.data) == 0 {
		return nil
	}
	return &resumeFrame{ID: a.id, Offset: len(a.data)}
}
