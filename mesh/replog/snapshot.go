package replog

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/replog/wal"
)

// A snapshot file is a magic number, the length and CRC of the metadata, the
// metadata with size and checksum of the state, and the state.
const (
	snapshotMagic       = "BTSNAP1\n"
	snapshotPrefix      = "snapshot-"
	snapshotSuffix      = ".snap"
	snapshotHeaderBytes = len(snapshotMagic) + 8
	maxMetaBytes        = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func snapshotName(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix))
}

// snapshotIndex returns the index in a file name.
func snapshotIndex(name string) (uint64, bool) {
	s, ok := strings.CutPrefix(name, snapshotPrefix)
	if !ok {
		return 0, false
	}
	s, ok = strings.CutSuffix(s, snapshotSuffix)
	if !ok {
		return 0, false
	}
	index, err := strconv.ParseUint(s, 16, 64)
	return index, err == nil
}

// saveSnapshot writes a snapshot file; it is durable on return.
func saveSnapshot(fsys wal.FS, dir string, meta SnapshotMeta, state []byte) error {
	body, err := cbor.Marshal(meta)
	if err != nil {
		return eris.Wrapf(ErrDisk, "encode snapshot: %v", err)
	}
	head := []byte(snapshotMagic)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(body)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(body, castagnoli))
	return diskError(wal.WriteAtomic(fsys, snapshotName(dir, meta.Index), head, body, state))
}

// decodeSnapshot checks a snapshot file and returns its parts.
func decodeSnapshot(name string, b []byte) (SnapshotMeta, []byte, error) {
	var meta SnapshotMeta
	if len(b) < snapshotHeaderBytes || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset 0: wrong file header", name)
	}
	n := int(binary.LittleEndian.Uint32(b[len(snapshotMagic):]))
	sum := binary.LittleEndian.Uint32(b[len(snapshotMagic)+4:])
	if n > maxMetaBytes || n > len(b)-snapshotHeaderBytes {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: length of the metadata", name, len(snapshotMagic))
	}
	body, state := b[snapshotHeaderBytes:snapshotHeaderBytes+n], b[snapshotHeaderBytes+n:]
	if crc32.Checksum(body, castagnoli) != sum {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: checksum of the metadata", name, snapshotHeaderBytes)
	}
	if err := cbor.Unmarshal(body, &meta); err != nil {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: %v", name, snapshotHeaderBytes, err)
	}
	if int64(len(state)) != meta.Size || xxhash.Sum64(state) != meta.Checksum {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: checksum of the state", name, snapshotHeaderBytes+n)
	}
	return meta, state, nil
}

// readChunk reads a part of the state of a snapshot file.
func readChunk(fsys wal.FS, dir string, index uint64, offset, size int64) ([]byte, error) {
	f, err := fsys.Open(snapshotName(dir, index))
	if err != nil {
		return nil, diskError(wal.Classify(err))
	}
	defer f.Close()
	var n [4]byte
	if _, err := f.ReadAt(n[:], int64(len(snapshotMagic))); err != nil {
		return nil, diskError(wal.Classify(err))
	}
	b := make([]byte, size)
	start := int64(snapshotHeaderBytes) + int64(binary.LittleEndian.Uint32(n[:])) + offset
	if _, err := f.ReadAt(b, start); err != nil {
		return nil, diskError(wal.Classify(err))
	}
	return b, nil
}

// diskError turns an error of package wal into one of this package.
func diskError(err error) error {
	switch {
	case err == nil:
		return nil
	case eris.Is(err, wal.ErrFull):
		return eris.Wrap(ErrDiskFull, err.Error())
	case eris.Is(err, wal.ErrDamaged):
		return eris.Wrap(ErrDamaged, err.Error())
	case eris.Is(err, wal.ErrTooLarge):
		return eris.Wrap(ErrTooLarge, err.Error())
	default:
		return eris.Wrap(ErrDisk, err.Error())
	}
}
