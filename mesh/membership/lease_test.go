package membership

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("LeaseKeeper", func() {
	var k *LeaseKeeper
	n1 := announcement("n1", 5, 3, StateServing)
	expireBetween := func(from, to time.Duration) (out []Announcement) {
		for d := from; d < to; d += SweepInterval {
			out = append(out, k.Expire(baseTime.Add(d))...)
		}
		return out
	}
	BeforeEach(func() { k = NewLeaseKeeper() })

	It("declares a host lapsed once, when its lease runs out, with a record that replaces the host's own", func() {
		k.Renew(baseTime, n1)
		Expect(expireBetween(0, LeaseDuration)).To(BeEmpty())
		out := expireBetween(LeaseDuration, 2*LeaseDuration)
		Expect(out).To(HaveLen(1))
		Expect(out[0].State).To(Equal(StateLapsed))
		Expect(newer(out[0], n1)).To(BeTrue())
	})

	It("applies a configured lease duration, even one close to the pause threshold", func() {
		k = NewLeaseKeeperWithDuration(PauseThreshold)
		k.Renew(baseTime, n1)
		Expect(expireBetween(0, PauseThreshold)).To(BeEmpty())
		Expect(expireBetween(PauseThreshold, 2*PauseThreshold)).To(HaveLen(1))
		Expect(k.Pauses()).To(BeZero())
	})

	It("does not declare a host that left lapsed, and ignores renewals with an older record", func() {
		k.Renew(baseTime, n1)
		left := announcement("n1", 5, 4, StateLeft)
		k.Renew(baseTime, left)
		Expect(expireBetween(0, 3*LeaseDuration)).To(BeEmpty())
		k.Renew(baseTime, n1)
		k.Renew(baseTime.Add(time.Second), announcement("n1", 4, 9, StateServing))
		Expect(k.Held()).To(Equal([]Announcement{n1}))
	})

	It("declares no host lapsed after its own process was paused", func() {
		k.Renew(baseTime, n1)
		expireBetween(0, time.Second)
		Expect(k.Expire(baseTime.Add(time.Minute))).To(BeEmpty())
		Expect(k.Pauses()).To(Equal(uint64(1)))
		Expect(expireBetween(time.Minute, time.Minute+LeaseDuration)).To(BeEmpty())
		Expect(expireBetween(time.Minute+LeaseDuration, time.Minute+2*LeaseDuration)).To(HaveLen(1))
	})

	It("declares no host lapsed while contact with the quorum is lost, nor immediately after it returns", func() {
		k.Renew(baseTime, n1)
		expireBetween(0, time.Second)
		k.Suspend()
		Expect(expireBetween(time.Second, time.Hour)).To(BeEmpty())
		k.Resume(baseTime.Add(time.Hour))
		Expect(expireBetween(time.Hour, time.Hour+LeaseDuration)).To(BeEmpty())
		Expect(expireBetween(time.Hour+LeaseDuration, time.Hour+2*LeaseDuration)).To(HaveLen(1))
	})

	It("declares an adopted host lapsed if it does not renew, and does not list it as held", func() {
		k.Adopt(baseTime, []Announcement{n1, announcement("n2", 1, 1, StateServing), announcement("n3", 1, 1, StateLeft)})
		k.Release("n2")
		Expect(k.Held()).To(BeEmpty())
		Expect(expireBetween(0, LeaseDuration)).To(BeEmpty())
		Expect(expireBetween(LeaseDuration, 2*LeaseDuration)).To(HaveLen(1))
	})
})
