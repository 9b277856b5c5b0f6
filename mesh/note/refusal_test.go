package note

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a control host that cannot read its own state: the message of a refusal is
// kept for resends, and where it is cut may lie within a character.
var _ = Describe("The cut message of a refusal", func() {
	It("is restored with the state", func() {
		d := newDriver(defaultLimits)
		name := strings.Repeat("\u00e9", maxMessageLength)
		r := d.do(Command{Operator: "a", Operation: "op-1", Publish: &Publish{Note: Note{
			Number: 1, Routes: Changes[Route]{Withdrawn: []string{name, name}},
		}}})
		Expect(r.Err()).To(MatchError(ErrInvalid))
		Expect(r.Message).To(HaveLen(maxMessageLength))
		snap, err := d.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(NewState().Restore(snap)).To(Succeed())
	})
})
