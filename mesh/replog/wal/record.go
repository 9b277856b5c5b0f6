package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header (payload length, payload CRC, header CRC), the payload
// and one trailer byte. The header has its own CRC so that a damaged length is
// told apart from a record cut by a crash. The trailer is not zero and more
// than one bit away from it, so that a record whose last blocks were never
// written (they read as zeros) is told apart from one with a flipped bit.
const (
	headerSize       = 12
	trailerSize      = 1
	trailer     byte = 0xA5
)

// MaxRecord bounds the payload of one record in bytes.
const MaxRecord = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf, payload []byte) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
	buf = append(buf, payload...)
	return append(buf, trailer)
}

type recordState uint8

const (
	recordValid   recordState = iota
	recordTorn                // the rest of the file is what a crash leaves of unsynced writes
	recordCorrupt             // damage that no crash explains
)

// readRecord decodes the record at the start of b, the rest of a file. size is
// the number of bytes of the whole record.
func readRecord(b []byte) (payload []byte, size int, state recordState) {
	if len(b) < headerSize {
		return nil, 0, recordTorn
	}
	h := b[:headerSize]
	if crc32.Checksum(h[:8], castagnoli) != binary.LittleEndian.Uint32(h[8:]) {
		if allZero(b[headerSize:]) && (len(b) > headerSize || h[headerSize-1] == 0) {
			return nil, 0, recordTorn
		}
		return nil, 0, recordCorrupt
	}
	n := int(binary.LittleEndian.Uint32(h))
	if n > MaxRecord {
		return nil, 0, recordCorrupt
	}
	size = headerSize + n + trailerSize
	if len(b) < size {
		return nil, 0, recordTorn
	}
	payload = b[headerSize : headerSize+n]
	if b[size-1] == trailer && crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(h[4:]) {
		return payload, size, recordValid
	}
	if allZero(b[size-1:]) {
		return nil, 0, recordTorn
	}
	return nil, 0, recordCorrupt
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}
