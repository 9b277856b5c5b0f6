package wal

import (
	"bytes"
	"testing"
)

// FuzzScan guards against a decoder that panics, or returns records that are not
// in the file.
func FuzzScan(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		reencoded := []byte(segmentMagic)
		end, _, err := scan("fuzz", b, func(p []byte) error {
			reencoded = appendRecord(reencoded, p)
			return nil
		})
		if err != nil || end == 0 {
			return
		}
		if !bytes.Equal(reencoded, b[:end]) {
			t.Fatalf("the records do not encode to the %d bytes they were read from", end)
		}
	})
}
