package wal_test

import (
	"bytes"
	"fmt"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/replog/wal"
)

const (
	dir              = "/data"
	testSegmentBytes = 200 // in bytes; small, so that a few records fill a segment
)

// openLog opens the log and returns its records.
func openLog(fsys wal.FS) (*wal.WAL, []string, error) {
	var got []string
	w, err := wal.Open(fsys, dir, testSegmentBytes, func(_ uint64, p []byte) error {
		got = append(got, string(p))
		return nil
	})
	return w, got, err
}

// writeRecords writes and syncs n records of different sizes, some with zero
// bytes.
func writeRecords(fsys *wal.MemFS, n int) []string {
	w, _, err := openLog(fsys)
	Expect(err).NotTo(HaveOccurred())
	var want []string
	for i := range n {
		rec := fmt.Sprintf("record %d %s", i, bytes.Repeat([]byte{0}, i*3))
		Expect(w.Write([]byte(rec))).To(Succeed())
		Expect(w.Sync()).To(Succeed())
		if w.RotationDue() {
			Expect(w.Rotate()).To(Succeed())
		}
		want = append(want, rec)
	}
	return want
}

func files(fsys *wal.MemFS) []string {
	names, err := fsys.List(dir)
	Expect(err).NotTo(HaveOccurred())
	for i, n := range names {
		names[i] = filepath.Join(dir, n)
	}
	return names
}

func content(fsys *wal.MemFS, name string) []byte {
	b, err := fsys.ReadFile(name)
	Expect(err).NotTo(HaveOccurred())
	return b
}

var _ = Describe("recovery", func() {
	// Guards against records that are lost, repeated or reordered by a restart or a
	// rotation.
	It("reads back all records over several segments and continues", func() {
		fsys := wal.NewMemFS()
		want := writeRecords(fsys, 12)
		want = append(want, writeRecords(fsys, 3)...)
		_, got, err := openLog(fsys)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		Expect(len(files(fsys))).To(BeNumerically(">", 2))
	})

	// Guards against a start that fails after a crash in the middle of a write, or
	// that keeps part of a record.
	It("removes a tail truncated at any byte and continues after it", func() {
		fsys := wal.NewMemFS()
		want := writeRecords(fsys, 7)
		names := files(fsys)
		last := names[len(names)-1]
		for size := range len(content(fsys, last)) {
			cut := fsys.Clone()
			cut.Put(last, content(fsys, last)[:size])
			w, got, err := openLog(cut)
			Expect(err).NotTo(HaveOccurred(), "truncated at %d", size)
			Expect(got).To(Equal(want[:len(got)]))
			Expect(w.Write([]byte("next"))).To(Succeed())
			Expect(w.Sync()).To(Succeed())
			_, reopened, err := openLog(cut)
			Expect(err).NotTo(HaveOccurred())
			Expect(reopened).To(Equal(append(got, "next")))
		}
	})

	// Guards against a report of damage if blocks that were never written read as
	// zeros.
	It("removes a tail of zeros that starts at any byte of the last record", func() {
		fsys := wal.NewMemFS()
		want := writeRecords(fsys, 6)
		names := files(fsys)
		last := names[len(names)-1]
		whole := content(fsys, last)
		start := len(whole) - len(want[5]) - 13
		for from := start; from < len(whole); from++ {
			b := append(bytes.Clone(whole[:from]), make([]byte, len(whole)-from+64)...)
			torn := fsys.Clone()
			torn.Put(last, b)
			_, got, err := openLog(torn)
			Expect(err).NotTo(HaveOccurred(), "zeros from %d", from)
			Expect(got).To(Equal(want[:5]))
		}
	})

	// Guards against a flipped bit that is taken for a torn tail, which would lose
	// synced records.
	It("refuses a flipped bit at any byte and names file and offset", func() {
		fsys := wal.NewMemFS()
		writeRecords(fsys, 7)
		for _, name := range files(fsys) {
			b := content(fsys, name)
			for i := range b {
				for bit := range 8 {
					flipped := bytes.Clone(b)
					flipped[i] ^= 1 << bit
					bad := fsys.Clone()
					bad.Put(name, flipped)
					_, _, err := openLog(bad)
					Expect(eris.Is(err, wal.ErrDamaged)).To(BeTrue(), "%s byte %d bit %d: %v", name, i, bit, err)
					Expect(err.Error()).To(MatchRegexp("%s at offset [0-9]+", name))
				}
			}
		}
	})

	// Guards against a recovery that skips a lost segment or the lost end of an
	// older one.
	It("refuses a missing segment and a truncated older segment", func() {
		fsys := wal.NewMemFS()
		writeRecords(fsys, 12)
		names := files(fsys)
		missing := fsys.Clone()
		Expect(missing.Remove(names[1])).To(Succeed())
		_, _, err := openLog(missing)
		Expect(eris.Is(err, wal.ErrDamaged)).To(BeTrue())
		cut := fsys.Clone()
		cut.Put(names[0], content(fsys, names[0])[:len(content(fsys, names[0]))-1])
		_, _, err = openLog(cut)
		Expect(eris.Is(err, wal.ErrDamaged)).To(BeTrue())
	})

	// Guards against a crash that loses a synced record or leaves part of an
	// unsynced one, however many unsynced bytes remain.
	It("keeps all synced records over a crash", func() {
		for kept := range 40 {
			fsys := wal.NewMemFS()
			want := writeRecords(fsys, 6)
			w, _, err := openLog(fsys)
			Expect(err).NotTo(HaveOccurred())
			Expect(w.Write([]byte("unsynced 1"), []byte("unsynced 2"))).To(Succeed())
			fsys.Crash(func(n int) int { return min(n, kept) })
			_, got, err := openLog(fsys)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(append(want, []string{"unsynced 1", "unsynced 2"}[:len(got)-len(want)]...)))
		}
	})
})

var _ = Describe("full disk", func() {
	// Guards against a partial record left by a full disk, which would hide the
	// records after it.
	It("keeps nothing of a write that did not fit and continues when there is space", func() {
		for free := range int64(40) {
			fsys := wal.NewMemFS()
			want := writeRecords(fsys, 4)
			w, _, err := openLog(fsys)
			Expect(err).NotTo(HaveOccurred())
			fsys.SetFree(free)
			err = w.Write(bytes.Repeat([]byte("x"), 60))
			Expect(eris.Is(err, wal.ErrFull)).To(BeTrue())
			fsys.SetFree(-1)
			Expect(w.Write([]byte("fits"))).To(Succeed())
			Expect(w.Sync()).To(Succeed())
			_, got, err := openLog(fsys)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(append(want, "fits")))
		}
	})

	// Guards against a rotation on a full disk that leaves a segment without a
	// header between other segments.
	It("stays on the old segment when the new one does not fit", func() {
		fsys := wal.NewMemFS()
		want := writeRecords(fsys, 4)
		w, _, err := openLog(fsys)
		Expect(err).NotTo(HaveOccurred())
		for free := range int64(8) {
			fsys.SetFree(free)
			Expect(eris.Is(w.Rotate(), wal.ErrFull)).To(BeTrue())
		}
		fsys.SetFree(-1)
		Expect(w.Write([]byte("after"))).To(Succeed())
		Expect(w.Sync()).To(Succeed())
		_, got, err := openLog(fsys)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(append(want, "after")))
	})
})
