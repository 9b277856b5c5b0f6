package distribute

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/note"
)

// largeConfig returns a configuration of n routes whose names compress badly.
func largeConfig(n int) note.Config {
	c := note.NewConfig()
	c.Services["ledger"] = service("ledger")
	for i := range n {
		name := fmt.Sprintf("r-%x-%x", uint64(i)*0x9e3779b97f4a7c15, uint64(i)*0xc2b2ae3d27d4eb4f)
		r := route(name, "ledger", i%3)
		c.Routes[r.Name] = r
	}
	return c
}

var _ = Describe("Snapshot", func() {
	var s *Snapshot
	var v *Version
	BeforeEach(func() {
		cfg := largeConfig(8000)
		v = &Version{Position: positionAt(9), Config: cfg, Sum: sumOf(cfg)}
		var err error
		s, err = EncodeSnapshot(v)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(s.Data)).To(BeNumerically(">", 2*chunkSize))
	})

	It("is the same on every host, so that another parent can finish a transfer", func() {
		again, err := EncodeSnapshot(&Version{Position: positionAt(9), Config: largeConfig(8000)})
		Expect(err).NotTo(HaveOccurred())
		Expect(again.ID).To(Equal(s.ID))
		var a assembly
		Expect(a.add(s.chunk(0))).To(BeNil())
		resume := a.resume()
		Expect(resume.ID).To(Equal(again.ID))
		var whole *Snapshot
		for off := resume.Offset; off < len(again.Data); off += chunkSize {
			whole, err = a.add(again.chunk(off))
			Expect(err).NotTo(HaveOccurred())
		}
		got, err := DecodeSnapshot(whole)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Sum).To(Equal(v.Sum))
		Expect(a.resume()).To(BeNil())
	})

	It("refuses damaged data, a wrong position and chunks out of order", func() {
		damaged := *s
		damaged.Data = append([]byte(nil), s.Data...)
		damaged.Data[100] ^= 1
		_, err := DecodeSnapshot(&damaged)
		Expect(err).To(MatchError(ErrSnapshot))
		moved := *s
		moved.Position = positionAt(10)
		_, err = DecodeSnapshot(&moved)
		Expect(err).To(MatchError(ErrSnapshot))
		var a assembly
		_, err = a.add(s.chunk(chunkSize))
		Expect(err).To(MatchError(ErrSnapshot))
		Expect(a.add(s.chunk(0))).To(BeNil())
		_, err = a.add(s.chunk(2 * chunkSize))
		Expect(err).To(MatchError(ErrSnapshot))
	})
})
