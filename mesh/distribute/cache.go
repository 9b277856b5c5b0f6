package distribute

import (
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
)

// The cache file is a magic number, the checksum of the rest, and the rest in CBOR.
const (
	cacheMagic  = "BTCACHE1"
	cacheHeader = len(cacheMagic) + 8
	// cacheInterval bounds the writes of a cache file to one a second, so that a
	// burst of changes costs a node few synced writes.
	cacheInterval = time.Second
	// cachePeers bounds the peers in a cache file. A node that starts while the
	// source is out learns its floor from them.
	cachePeers = 16
)

// Cache is what a node keeps on disk for a start while the source is out.
type Cache struct {
	// Version is the newest accepted version.
	Version *Version
	// Peers are other nodes of the data centre that were alive.
	Peers []Parent
}

// cacheBody is the content of a cache file behind its header.
type cacheBody struct {
	ID       uint64         `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	Data     []byte         `cbor:"3,keyasint"`
	Peers    []Parent       `cbor:"4,keyasint,omitempty"`
}

// WriteCache replaces the file; it is durable on return.
func WriteCache(path string, c Cache) error {
	s, err := EncodeSnapshot(c.Version)
	if err != nil {
		return err
	}
	body, err := detEncMode.Marshal(cacheBody{ID: s.ID, Position: s.Position, Data: s.Data,
		Peers: c.Peers[:min(len(c.Peers), cachePeers)]})
	if err != nil {
		return eris.Wrapf(ErrCache, "%s: %v", path, err)
	}
	file := binary.LittleEndian.AppendUint64([]byte(cacheMagic), xxhash.Sum64(body))
	if err := renameio.WriteFile(path, append(file, body...), 0o600); err != nil {
		return eris.Wrapf(ErrCache, "%s: %v", path, err)
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return eris.Wrapf(ErrCache, "%s: folder not synced: %v", path, err)
	}
	return nil
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// ReadCache reads the file. The version is nil without an error if there is
// no file; any damage gives ErrCache with the name of the file.
func ReadCache(path string) (Cache, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return Cache{}, nil
	}
	if err != nil {
		return Cache{}, eris.Wrapf(ErrCache, "%s: %v", path, err)
	}
	c, err := decodeCache(data)
	if err != nil {
		return Cache{}, eris.Wrapf(ErrCache, "%s: %v", path, err)
	}
	return c, nil
}

func decodeCache(data []byte) (Cache, error) {
	if len(data) < cacheHeader || string(data[:len(cacheMagic)]) != cacheMagic {
		return Cache{}, eris.New("wrong file header")
	}
	rest := data[cacheHeader:]
	if xxhash.Sum64(rest) != binary.LittleEndian.Uint64(data[len(cacheMagic):]) {
		return Cache{}, eris.Errorf("checksum of %d bytes is wrong", len(rest))
	}
	var b cacheBody
	if err := cbor.Unmarshal(rest, &b); err != nil {
		return Cache{}, err
	}
	v, err := DecodeSnapshot(&Snapshot{ID: b.ID, Position: b.Position, Data: b.Data})
	return Cache{Version: v, Peers: b.Peers}, err
}

// initialPeersInterval and peersInterval bound the time between a change of the
// endpoints and a write. A young process writes soon, since it learns most of its
// peers in its first seconds; later changes matter little.
const (
	initialPeersInterval = 500 * time.Millisecond
	peersInterval        = 10 * time.Second
)

// KeepCache writes each new version of the store, at most one a second, and the
// peers after changes of the endpoint table, until ctx ends. A failed write is
// logged, counted and tried again at the next change.
func KeepCache(ctx context.Context, path string, s *Store, eps *membership.Table, peers func() []Parent, log *slog.Logger) error {
	seen, cursor, gap := s.Position(), uint64(0), initialPeersInterval
	for {
		select {
		case <-s.Changed(seen):
		case <-eps.Changed(cursor):
			if !sleep(ctx, gap) {
				return ctx.Err()
			}
			gap = min(2*gap, peersInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
		cursor = eps.Sequence()
		v := s.Current()
		if v == nil {
			continue
		}
		seen = v.Position
		if err := WriteCache(path, Cache{Version: v, Peers: peers()}); err != nil {
			log.Warn("cache file not written", "reason", err.Error())
		}
		if !sleep(ctx, cacheInterval) {
			return ctx.Err()
		}
	}
}
