package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of a header (payload length, payload CRC, header CRC), the
// payload and one trailer byte. The CRC of the header distinguishes a damaged
// length from a record that a crash cut short. Blocks that were never written
// read as zeros; the trailer differs from zero in more than one bit, so that
// such a record is distinguished from one with a flipped bit.
const (
	// headerSize is the size of the header, in bytes.
	headerSize = 12
	// trailerSize is the size of the trailer, in bytes.
	trailerSize = 1
	// trailer is the value of the trailer.
	trailer byte = 0xA5
)

// MaxRecord is the maximum payload of one record, in bytes.
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

// recordState is the result of reading one record.
type recordState uint8

const (
	recordValid   recordState = iota
	recordTorn                // from here on, the file can be the remainder of unsynced writes after a crash
	recordCorrupt             // damage that a crash cannot cause
)

// readRecord decodes the record at the start of b, which extends to the end of
// the file. size is the total size of the record in bytes.
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
