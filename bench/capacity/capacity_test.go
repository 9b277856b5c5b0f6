package capacity

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/note"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("Fit", func() {
	// Guards against swapping offset and slope in a fitted line.
	It("finds offset, slope and R2 of points on a line", func() {
		l, err := Fit([]float64{1, 2, 4}, []float64{5, 7, 11})
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Offset).To(BeNumerically("~", 3, 1e-9))
		Expect(l.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(l.R2).To(BeNumerically("~", 1, 1e-9))
		Expect(l.At(10)).To(BeNumerically("~", 23, 1e-9))
	})

	// Guards against a fit to repeated runs of only two sizes, whose R2 says nothing.
	It("refuses fewer than three sizes", func() {
		_, err := Fit([]float64{1, 2, 1, 2}, []float64{5, 7, 5, 7})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("processor time", func() {
	// Guards against counting fields from the start of the line, which gives wrong fields
	// if the program name contains a space or parenthesis.
	It("counts fields after the program name", func() {
		d, err := parseStat("7 (a b) c) S 1 7 7 0 -1 4194560 100 0 0 0 12 30 0 0 20 0 9 0 1 1 1")
		Expect(err).NotTo(HaveOccurred())
		Expect(d).To(Equal(420 * time.Millisecond))
	})
})

var _ = Describe("the measured configuration", func() {
	// Guards against measuring a configuration that control hosts would reject.
	It("is valid at the size of the design", func() {
		Expect(note.Validate(config(TargetServices))).To(Succeed())
	})
})
