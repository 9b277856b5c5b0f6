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

// Format and limits of the cache file. The file is a magic number, the checksum
// of the body, and the body in CBOR.
const (
	// cacheMagic identifies the format of the file.
	cacheMagic = "BTCACHE1"
	// cacheHeader is the size in bytes of the magic number and the checksum.
	cacheHeader = len(cacheMagic) + 8
	// cacheInterval is the minimum time between two writes of the cache file,
	// so that a burst of changes costs a node few synced writes.
	cacheInterval = time.Second
	// cachePeers bounds the peers in a cache file. A node that starts while the
	// source is unreachable asks them for the floor.
	cachePeers = 16
)

// Cache is what a node keeps on disk, so that it can start while the source is
// unreachable.
type Cache struct {
	// Version is the newest accepted version.
	Version *Version
	// Peers are other nodes that were alive when the file was written.
	Peers []Parent
}

// cacheBody is the content of a cache file after its header.
type cacheBody struct {
	ID       uint64         `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	Data     []byte         `cbor:"3,keyasint"`
	Peers    []Parent       `cbor:"4,keyasint,omitempty"`
}

// WriteCache replaces the file. The new content is durable when it returns.
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
		return eris.Wrapf(ErrCache, "%s: directory not synced: %v", path, err)
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

// ReadCache reads the file. If the file does not exist, the version is nil and
// there is no error. Any damage gives ErrCache with the name of the file.
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
		return Cache{}, eris.Errorf("checksum mismatch over %d bytes", len(rest))
	}
	var b cacheBody
	if err := cbor.Unmarshal(rest, &b); err != nil {
		return Cache{}, err
	}
	v, err := DecodeSnapshot(&Snapshot{ID: b.ID, Position: b.Position, Data: b.Data})
	return Cache{Version: v, Peers: b.Peers}, err
}

// Delays between a change of the endpoint table and a write of the peers.
const (
	// initialPeersInterval is the first delay; each further one is twice as
	// long. A node learns most of its peers in the first seconds after its
	// start, and later changes matter little.
	initialPeersInterval = 500 * time.Millisecond
	// peersInterval is the upper limit of the delay.
	peersInterval = 10 * time.Second
)

// KeepCache writes each new version of the store, at most one a second, and the
// peers after changes of the endpoint table, until ctx ends. A failed write is
// logged and retried at the next change.
func KeepCache(ctx context.Context, path string, s *Store, eps *membership.Table, peers func() []Parent, log *slog.Logger) error {
	seen, cursor, peersDelay := s.Position(), uint64(0), initialPeersInterval
	for {
		select {
		case <-s.Changed(seen):
		case <-eps.Changed(cursor):
			if !sleep(ctx, peersDelay) {
				return ctx.Err()
			}
			peersDelay = min(2*peersDelay, peersInterval)
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
