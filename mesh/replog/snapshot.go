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

// A snapshot file consists of a magic number, the length and CRC of the
// metadata, the metadata, and the state. The metadata contains size and checksum
// of the state.
const (
	// snapshotMagic is the start of a snapshot file.
	snapshotMagic = "BTSNAP1\n"
	// snapshotPrefix is the start of the name of a snapshot file.
	snapshotPrefix = "snapshot-"
	// snapshotSuffix is the end of the name of a snapshot file.
	snapshotSuffix = ".snap"
	// snapshotHeaderBytes is the size of magic number, length and CRC, in bytes.
	snapshotHeaderBytes = len(snapshotMagic) + 8
	// maxMetaBytes limits the size of the metadata, in bytes.
	maxMetaBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func snapshotName(dir string, index uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%s%016x%s", snapshotPrefix, index, snapshotSuffix))
}

// snapshotIndex returns the log index in the name of a snapshot file. It returns
// false for other files.
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
		return eris.Wrapf(ErrDisk, "encode snapshot metadata: %v", err)
	}
	head := []byte(snapshotMagic)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(body)))
	head = binary.LittleEndian.AppendUint32(head, crc32.Checksum(body, castagnoli))
	return diskError(wal.WriteAtomic(fsys, snapshotName(dir, meta.Index), head, body, state))
}

// decodeSnapshot checks the contents of a snapshot file and returns metadata and
// state.
func decodeSnapshot(name string, b []byte) (SnapshotMeta, []byte, error) {
	var meta SnapshotMeta
	if len(b) < snapshotHeaderBytes || string(b[:len(snapshotMagic)]) != snapshotMagic {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset 0: wrong file header", name)
	}
	n := int(binary.LittleEndian.Uint32(b[len(snapshotMagic):]))
	sum := binary.LittleEndian.Uint32(b[len(snapshotMagic)+4:])
	if n > maxMetaBytes || n > len(b)-snapshotHeaderBytes {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: invalid length of the metadata", name, len(snapshotMagic))
	}
	body, state := b[snapshotHeaderBytes:snapshotHeaderBytes+n], b[snapshotHeaderBytes+n:]
	if crc32.Checksum(body, castagnoli) != sum {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: metadata checksum mismatch", name, snapshotHeaderBytes)
	}
	if err := cbor.Unmarshal(body, &meta); err != nil {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: decode metadata: %v", name, snapshotHeaderBytes, err)
	}
	if int64(len(state)) != meta.Size || xxhash.Sum64(state) != meta.Checksum {
		return meta, nil, eris.Wrapf(ErrDamaged, "%s at offset %d: state size or checksum mismatch", name, snapshotHeaderBytes+n)
	}
	return meta, state, nil
}

// readChunk reads part of the state from a snapshot file.
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

// diskError converts an error of package wal to an error of this package.
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
