package claim

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	t0     = Instant(1_700_000_000_000)
	minute = Instant(60_000)
	hour   = 60 * minute
)

func keyAt(t Instant, name string) string { return fmt.Sprintf("%d-%s", t/1000, "opaque-"+name) }

// indexedState applies commands at consecutive log indexes.
type indexedState struct {
	*State
	index uint64
}

func (t *indexedState) applyNext(c Command) Result {
	t.index++
	return t.Apply(c, t.index)
}

func claimCommand(key, token string, now Instant) Command {
	return Command{Op: OpClaim, Key: key, Token: token, Time: now, Digest: DigestOf([]byte("body")), Route: "restock",
		Owner: "n1", Incarnation: 1, RunDeadline: now + minute, Limits: Limits{Claims: 100, Bytes: 1 << 20}}
}

func completeCommand(key, token string, now Instant, body string) Command {
	a := NewAnswer(201, []Header{{Name: "Location", Value: "/1"}}, []byte(body))
	return Command{Op: OpComplete, Key: key, Token: token, Time: now, Answer: &a, Limits: Limits{Claims: 100, Bytes: 1 << 20}}
}

func releaseCommand(key, token string, now Instant) Command {
	return Command{Op: OpRelease, Key: key, Token: token, Time: now, Limits: Limits{Claims: 100, Bytes: 1 << 20}}
}

var _ = Describe("State", func() {
	var s *indexedState
	key := keyAt(t0, "a")

	BeforeEach(func() { s = &indexedState{State: NewState()} })
	claim := func(token string, now Instant) Status { return s.applyNext(claimCommand(key, token, now)).Status }

	// Guards against a write that runs twice because its entry node crashed between
	// two of its steps.
	It("answers a resend according to the state of the first attempt", func() {
		steps := []struct {
			c    Command
			want Status
		}{
			{claimCommand(key, "t1", t0), StatusInProgress},
			{claimCommand(key, "t1", t0), StatusInProgress},
			{Command{Op: OpMarkUnknown, Time: t0, Owner: "n1", Incarnation: 1}, StatusUnknown},
			{completeCommand(key, "t1", t0, "done"), StatusAnswered},
			{completeCommand(key, "t1", t0, "done"), StatusAnswered},
		}
		for _, step := range steps {
			s.applyNext(step.c)
			Expect(claim("t2", t0+1)).To(Equal(step.want))
			before, _ := s.Snapshot()
			Expect(s.Restore(before)).To(Succeed())
			after, _ := s.Snapshot()
			Expect(after).To(Equal(before))
		}
		Expect(s.applyNext(claimCommand(key, "t3", t0)).Answer.Body).To(BeEquivalentTo("done"))
	})

	// Guards against an attempt that cannot use its own grant after the response
	// with it was lost.
	It("repeats the grant to the same attempt only", func() {
		first := s.applyNext(claimCommand(key, "t1", t0))
		Expect(first.Status).To(Equal(StatusGranted))
		Expect(s.applyNext(claimCommand(key, "t1", t0+1))).To(Equal(first))
	})

	It("grants again only after a release, and never to the released attempt", func() {
		claim("t1", t0)
		Expect(s.applyNext(releaseCommand(key, "t2", t0)).Status).To(Equal(StatusReleased))
		Expect(claim("t3", t0)).To(Equal(StatusInProgress), "the release of another attempt does not release the claim")
		s.applyNext(releaseCommand(key, "t1", t0))
		Expect(claim("t1", t0)).To(Equal(StatusReleased))
		Expect(claim("t2", t0)).To(Equal(StatusReleased), "released before its claim was applied")
		Expect(claim("t3", t0)).To(Equal(StatusGranted))
	})

	It("marks a claim past its run deadline as unknown, by the time in commands only", func() {
		claim("t1", t0)
		Expect(s.HasOverdueClaim(t0 + 2*minute)).To(BeTrue())
		Expect(s.applyNext(Command{Op: OpMarkUnknown, Time: t0 + 2*minute})).To(Equal(Result{Status: StatusDone, Marked: 1}))
		Expect(claim("t2", t0)).To(Equal(StatusUnknown))
		Expect(s.applyNext(releaseCommand(key, "t1", t0)).Status).To(Equal(StatusReleased), "a release is still accepted after the run deadline")
		Expect(claim("t2", t0)).To(Equal(StatusGranted))
	})

	It("leaves claims of newer incarnations and other owners in progress", func() {
		c := claimCommand(key, "t1", t0)
		c.Incarnation = 2
		s.applyNext(c)
		Expect(s.applyNext(Command{Op: OpMarkUnknown, Time: t0, Owner: "n1", Incarnation: 1}).Marked).To(BeZero())
		Expect(s.applyNext(Command{Op: OpMarkUnknown, Time: t0, Owner: "n2", Incarnation: 9}).Marked).To(BeZero())
	})

	It("refuses another body or route under the same key", func() {
		claim("t1", t0)
		c := claimCommand(key, "t2", t0)
		c.Digest = DigestOf([]byte("other"))
		Expect(s.applyNext(c).Status).To(Equal(StatusMismatch))
		c = claimCommand(key, "t2", t0)
		c.Route = "other"
		Expect(s.applyNext(c).Status).To(Equal(StatusMismatch))
	})

	// Guards against a write that runs again because its record has expired.
	It("refuses a key past its lifetime, also if a later command has an earlier time", func() {
		claim("t1", t0)
		Expect(claim("t2", t0+24*hour)).To(Equal(StatusExpired))
		records, bytes := s.Len()
		Expect(records + bytes).To(BeZero())
		Expect(claim("t2", t0)).To(Equal(StatusExpired))
	})

	It("refuses keys from the future and malformed keys", func() {
		Expect(s.applyNext(claimCommand(keyAt(t0+6*minute, "b"), "t1", t0)).Status).To(Equal(StatusAhead))
		for _, bad := range []string{"", "x-12345678", "1700000000", "1700000000-short", "+1-12345678", "01-12345678", "1-1234567\n"} {
			Expect(s.applyNext(claimCommand(bad, "t1", t0)).Status).To(Equal(StatusBadKey), bad)
		}
	})

	// Guards against unbounded memory, and against a "not run" error for a key whose
	// write may have run.
	It("refuses new keys over its limits but still returns the state of known keys", func() {
		claim("t1", t0)
		c := claimCommand(keyAt(t0, "b"), "t1", t0)
		c.Limits.Claims = 1
		Expect(s.applyNext(c).Status).To(Equal(StatusFull))
		c = claimCommand(key, "t2", t0)
		c.Limits.Claims = 1
		Expect(s.applyNext(c).Status).To(Equal(StatusInProgress))
	})

	It("records only the digest of a body that is too large or would exceed the limits", func() {
		Expect(NewAnswer(200, nil, make([]byte, MaxBodyBytes+1)).BodyOmitted).To(BeTrue())
		claim("t1", t0)
		c := completeCommand(key, "t1", t0, "some body")
		c.Limits.Bytes = 1
		kept := s.applyNext(c).Answer
		Expect(kept.Body).To(BeNil())
		Expect(kept.BodyDigest).To(Equal(DigestOf([]byte("some body"))))
	})

	It("refuses a second, different answer and an answer of another attempt", func() {
		claim("t1", t0)
		Expect(s.applyNext(completeCommand(key, "t2", t0, "x")).Status).To(Equal(StatusNotOwner))
		s.applyNext(completeCommand(key, "t1", t0, "x"))
		Expect(s.applyNext(completeCommand(key, "t1", t0, "y")).Status).To(Equal(StatusConflict))
		Expect(s.applyNext(releaseCommand(key, "t1", t0)).Status).To(Equal(StatusNotOwner))
	})

	// Guards against invariant checks that never fail. Commands alone cannot violate
	// these invariants, so the test changes the state directly.
	It("checks the invariants write-at-most-once and true-not-run", func() {
		claim("t1", t0)
		r := s.records[key]
		Expect(func() { s.grant(r, claimCommand(key, "t2", t0), 9) }).To(PanicWith(ContainSubstring("write-at-most-once")))
		s.setAnswer(r, NewAnswer(200, nil, []byte("x")))
		Expect(func() { s.setAnswer(r, NewAnswer(200, nil, []byte("y"))) }).To(PanicWith(ContainSubstring("write-at-most-once")))
		r.ReleasedTokens = []string{"t5"}
		Expect(func() { s.applyNext(completeCommand(key, "t5", t0, "x")) }).To(PanicWith(ContainSubstring("true-not-run")))
	})

	It("uses every group and always the same one for a key", func() {
		seen := map[uint32]bool{}
		for i := range 200 {
			k := keyAt(t0, fmt.Sprint(i))
			Expect(GroupOf(k, 5)).To(Equal(GroupOf(k, 5)))
			seen[GroupOf(k, 5)] = true
		}
		Expect(seen).To(HaveLen(5))
		Expect(seen).NotTo(HaveKey(uint32(0)))
		Expect(Instant(1<<63 - 1).add(time.Hour)).To(Equal(Instant(1<<63 - 1)))
	})
})
