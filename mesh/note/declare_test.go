package note

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
)

var _ = Describe("Declarations", func() {
	var d *driver
	declare := func(version, base uint64, maxRetries int, routes ...model.RouteName) Command {
		decl := &Declare{Version: version, Base: base, Services: []Service{service("ledger")}, Document: []byte{byte(version)}}
		for _, name := range routes {
			r := route(name, "ledger")
			r.MaxRetries = maxRetries
			decl.Routes = append(decl.Routes, r)
		}
		return Command{Operator: "front-end", Declare: decl}
	}
	BeforeEach(func() { d = newDriver(defaultLimits) })

	It("replaces services and routes and keeps shares", func() {
		Expect(d.do(declare(5, 0, 1, "a", "b")).Err()).To(Succeed())
		Expect(d.do(Command{Operator: RolloutOperator, SetShares: &SetShares{Service: "ledger", Shares: allTraffic("v1")}}).Err()).To(Succeed())
		Expect(d.do(declare(9, 5, 1, "b", "c")).Err()).To(Succeed())
		Expect(d.Config().Routes).To(HaveLen(2))
		Expect(d.Config().Routes).To(HaveKey(model.RouteName("c")))
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")))
		Expect(d.Declared().Version).To(BeEquivalentTo(9))
		Expect(d.Declared().Document).To(Equal([]byte{9}))
	})

	// Guards against a log that carries every whole configuration at its full size to
	// each control host.
	It("compresses a large command and decodes it unchanged", func() {
		var names []model.RouteName
		for i := range 400 {
			names = append(names, model.RouteName(fmt.Sprintf("route-%d", i)))
		}
		c := declare(5, 0, 1, names...)
		b, err := EncodeCommand(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<", 8<<10))
		got, err := DecodeCommand(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Declare).To(Equal(c.Declare))
	})

	// Guards against refusing an operator that received no answer and sends the same
	// declaration again, perhaps after others were accepted.
	It("accepts a resend without effect", func() {
		first := declare(5, 0, 1, "a")
		Expect(d.do(first).Err()).To(Succeed())
		Expect(d.do(declare(9, 5, 1, "b")).Err()).To(Succeed())
		before := d.Position()
		Expect(d.do(first).Err()).To(Succeed())
		Expect(d.Position()).To(Equal(before))
		Expect(d.Declared().Version).To(BeEquivalentTo(9))
	})

	It("accepts only the first of two declarations with the same base", func() {
		Expect(d.do(declare(5, 0, 1, "a")).Err()).To(Succeed())
		Expect(d.do(declare(7, 5, 1, "b")).Err()).To(Succeed())
		Expect(d.do(declare(8, 5, 1, "c")).Err()).To(MatchError(ErrConflict))
		Expect(d.do(declare(7, 5, 2, "b")).Err()).To(MatchError(ErrConflict), "the same number with other content")
		Expect(d.Config().Routes).To(HaveKey(model.RouteName("b")))
	})

	It("keeps the current declaration when it refuses an invalid one", func() {
		Expect(d.do(declare(5, 0, 1, "a")).Err()).To(Succeed())
		bad := declare(9, 5, 1, "b")
		bad.Declare.Routes[0].Service = "unknown"
		Expect(d.do(bad).Err()).To(MatchError(ErrInvalid))
		Expect(d.do(declare(4, 5, 1, "b")).Err()).To(MatchError(ErrInvalid), "a version below the current one")
		twice := declare(9, 5, 1, "b", "c")
		twice.Declare.Routes[1].PathPrefix = twice.Declare.Routes[0].PathPrefix
		Expect(d.do(twice).Err()).To(MatchError(ErrInvalid))
		Expect(d.Declared().Version).To(BeEquivalentTo(5))
		Expect(d.Config().Routes).To(HaveKey(model.RouteName("a")))
	})

	// Guards against a move that is lost in a declaration of other changes, or in a snapshot.
	It("keeps moves across declarations and the whole state across a snapshot", func() {
		Expect(d.do(declare(5, 0, 1, "a")).Err()).To(Succeed())
		Expect(d.do(Command{Operator: RolloutOperator, SetShares: &SetShares{Service: "ledger", Shares: allTraffic("v1")}}).Err()).To(Succeed())
		n := moveNote(d.Head()+1, "v2")
		Expect(d.do(Command{Publish: &Publish{Note: n}}).Err()).To(Succeed())
		Expect(d.do(declare(6, 5, 2, "a", "b")).Err()).To(Succeed())
		step := Shares{"v1": 9000, "v2": 1000}
		Expect(d.do(Command{Operator: RolloutOperator, SetShares: &SetShares{Service: "ledger", Shares: step, Note: n.Number, To: "v2"}}).Err()).To(Succeed())
		raw, err := d.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := NewState()
		Expect(restored.Restore(raw)).To(Succeed())
		Expect(restored.Config()).To(Equal(d.Config()))
		Expect(restored.Config().Shares["ledger"]).To(Equal(step))
		Expect(restored.Declared()).To(Equal(d.Declared()))
		Expect(restored.Apply(withTime(declare(6, 5, 2, "a", "b"), d), model.Position{Epoch: 1, Index: d.index + 1}).Err()).To(Succeed())
	})

	// takenUpAgain declares the ledger, gives it shares, declares a configuration without it and
	// then one with it again.
	takenUpAgain := func() {
		GinkgoHelper()
		adopt := Command{Operator: RolloutOperator, SetShares: &SetShares{Service: "ledger", Shares: allTraffic("v1")}}
		without := Command{Operator: "front-end", Declare: &Declare{Version: 6, Base: 5, Services: []Service{service("roster")}}}
		for _, c := range []Command{declare(5, 0, 1, "a"), adopt, without, declare(7, 6, 1, "a"), adopt} {
			Expect(d.do(c).Err()).To(Succeed())
		}
	}
	restored := func() *State {
		GinkgoHelper()
		raw, err := d.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		s := NewState()
		Expect(s.Restore(raw)).To(Succeed())
		return s
	}

	// Guards against a confirmed move that is lost: a restored state without the shares takes it
	// for the first version of the service, which then gets all calls at once.
	It("keeps the shares of a service that was withdrawn and taken up again across a snapshot", func() {
		takenUpAgain()
		s := restored()
		Expect(s.Config()).To(Equal(d.Config()))
		publish := Command{Operator: "berta", Operation: "move", Publish: &Publish{Note: moveNote(d.Head()+1, "v2")}}
		Expect(s.Apply(withTime(publish, d), model.Position{Epoch: 1, Index: d.index + 1}).Err()).To(Succeed())
		Expect(s.Moves()[0].From).To(Equal(allTraffic("v1")))
	})

	// Guards against shares that are lost when notes are folded anew or into the base.
	It("keeps these shares when an earlier note is amended and when notes are folded", func() {
		d = newDriver(limits{retained: 3, entries: 1000, archived: 10, operations: 10, audit: 10})
		takenUpAgain()
		Expect(d.publish(Note{Number: d.Head() + 1, Routes: Changes[Route]{Added: []Route{route("more", "ledger")}}}).Err()).To(Succeed())
		n, err := d.Note(d.Head() - 1)
		Expect(err).NotTo(HaveOccurred())
		n.Note.Title = "amended"
		Expect(d.do(Command{Amend: &Amend{Note: n.Note, ExpectedRevision: 1}}).Err()).To(Succeed())
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")))
		for i := range 4 {
			r := route("more", "ledger")
			r.MaxRetries = i
			Expect(d.publish(Note{Number: d.Head() + 1, Routes: Changes[Route]{Changed: []Route{r}}}).Err()).To(Succeed())
		}
		Expect(restored().Config()).To(Equal(d.Config()))
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")))
	})

	// Guards against steps of a move that are lost because its service was withdrawn and taken up
	// again meanwhile, and against steps that outlast the withdrawal of their move.
	It("keeps the steps of a move whose service is taken up again, until the move is withdrawn", func() {
		Expect(d.do(declare(5, 0, 1, "a")).Err()).To(Succeed())
		Expect(d.step(&SetShares{Service: "ledger", Shares: allTraffic("v1")}).Err()).To(Succeed())
		move := moveNote(d.Head()+1, "v2")
		Expect(d.publish(move).Err()).To(Succeed())
		Expect(d.do(Command{Operator: "front-end", Declare: &Declare{Version: 6, Base: 5, Services: []Service{service("roster")}}}).Err()).To(Succeed())
		Expect(d.do(declare(7, 6, 1, "a")).Err()).To(Succeed())
		step := Shares{"v1": 9000, "v2": 1000}
		Expect(d.step(&SetShares{Service: "ledger", Shares: step, Note: move.Number, To: "v2"}).Err()).To(Succeed())
		Expect(restored().Config().Shares["ledger"]).To(Equal(step))
		Expect(d.do(Command{Withdraw: &Withdraw{Number: move.Number, ExpectedRevision: 1}}).Err()).To(Succeed())
		Expect(d.Config().Shares).NotTo(HaveKey(model.ServiceName("ledger")))
		Expect(restored().Config()).To(Equal(d.Config()))
	})
})

func withTime(c Command, d *driver) Command {
	c.Time = d.now
	return c
}
