package membership

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("LeaseKeeper", func() {
	var k *LeaseKeeper
	n1 := announcement("n1", 5, 3, StateServing)
	run := func(from, to time.Duration) (out []Announcement) {
		for d := from; d < to; d += TickInterval {
			out = append(out, k.Expire(epoch.Add(d))...)
		}
		return out
	}
	BeforeEach(func() { k = NewLeaseKeeper() })

	It("lapses a silent host after the lease, once, with a record that replaces the host's", func() {
		k.Renew(epoch, n1)
		Expect(run(0, LeaseTime)).To(BeEmpty())
		out := run(LeaseTime, 2*LeaseTime)
		Expect(out).To(HaveLen(1))
		Expect(out[0].State).To(Equal(StateLapsed))
		Expect(newer(out[0], n1)).To(BeTrue())
	})

	It("lapses after the length it was given, even if that is close to the pause limit", func() {
		k = NewLeaseKeeperOf(PauseLimit)
		k.Renew(epoch, n1)
		Expect(run(0, PauseLimit)).To(BeEmpty())
		Expect(run(PauseLimit, 2*PauseLimit)).To(HaveLen(1))
		Expect(k.Pauses()).To(BeZero())
	})

	It("does not lapse a host that left, and is not extended by an older record", func() {
		k.Renew(epoch, n1)
		left := announcement("n1", 5, 4, StateLeft)
		k.Renew(epoch, left)
		Expect(run(0, 3*LeaseTime)).To(BeEmpty())
		k.Renew(epoch, n1)
		k.Renew(epoch.Add(time.Second), announcement("n1", 4, 9, StateServing))
		Expect(k.Held()).To(Equal([]Announcement{n1}))
	})

	It("declares nobody lapsed after its own process was paused", func() {
		k.Renew(epoch, n1)
		run(0, time.Second)
		Expect(k.Expire(epoch.Add(time.Minute))).To(BeEmpty())
		Expect(k.Pauses()).To(Equal(uint64(1)))
		Expect(run(time.Minute, time.Minute+LeaseTime)).To(BeEmpty())
		Expect(run(time.Minute+LeaseTime, time.Minute+2*LeaseTime)).To(HaveLen(1))
	})

	It("declares nobody lapsed while contact with the quorum is lost, nor at once when it returns", func() {
		k.Renew(epoch, n1)
		run(0, time.Second)
		k.Suspend()
		Expect(run(time.Second, time.Hour)).To(BeEmpty())
		k.Resume(epoch.Add(time.Hour))
		Expect(run(time.Hour, time.Hour+LeaseTime)).To(BeEmpty())
		Expect(run(time.Hour+LeaseTime, time.Hour+2*LeaseTime)).To(HaveLen(1))
	})

	It("lapses an adopted host that nobody renews, and does not count it as held", func() {
		k.Adopt(epoch, []Announcement{n1, announcement("n2", 1, 1, StateServing), announcement("n3", 1, 1, StateLeft)})
		k.Release("n2")
		Expect(k.Held()).To(BeEmpty())
		Expect(run(0, LeaseTime)).To(BeEmpty())
		Expect(run(LeaseTime, 2*LeaseTime)).To(HaveLen(1))
	})
})
