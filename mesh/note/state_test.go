package note

import (
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"balsamtrail.org/mesh/model"
)

var start = time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)

func service(name model.ServiceName) Service {
	return Service{Name: name, Slots: 20, Connections: 100, QueueLimit: 40, QueueTimeout: 50 * time.Millisecond}
}

func route(name model.RouteName, to model.ServiceName) Route {
	return Route{
		Name: name, PathPrefix: "/" + string(name), Methods: []string{"GET"}, Service: to,
		Kind: model.KindLookup, Timeout: time.Second, MaxRetries: 1,
	}
}

func allTraffic(v model.ServiceVersion) Shares { return Shares{v: model.ShareAll} }

// ledgerNote adds the service ledger with version v1 and one route.
func ledgerNote() Note {
	return Note{
		Number: 1, Title: "ledger",
		Services: Changes[Service]{Added: []Service{service("ledger")}},
		Routes:   Changes[Route]{Added: []Route{route("stock", "ledger")}},
		Shares:   []ServiceShares{{Service: "ledger", Shares: allTraffic("v1")}},
	}
}

func moveNote(number uint64, to model.ServiceVersion) Note {
	return Note{Number: number, Moves: []Move{{Service: "ledger", To: to, By: start.Add(time.Hour), WatchFor: time.Hour}}}
}

// driver applies commands at increasing positions and times.
type driver struct {
	*State
	index uint64
	now   time.Time
}

func newDriver(l limits) *driver { return &driver{State: newState(l), now: start} }

func (d *driver) do(c Command) Result {
	d.index++
	d.now = d.now.Add(time.Second)
	c.Time = d.now
	if c.Operator == "" {
		c.Operator, c.Operation = "berta", model.OperationID(fmt.Sprint("op-", d.index))
	}
	return d.Apply(c, model.Position{Epoch: 1, Index: d.index})
}

func (d *driver) publish(n Note) Result { return d.do(Command{Publish: &Publish{Note: n}}) }

func (d *driver) step(s *SetShares) Result {
	return d.do(Command{Operator: RolloutOperator, SetShares: s})
}

var _ = Describe("State", func() {
	var d *driver
	BeforeEach(func() { d = newDriver(defaultLimits) })

	It("returns the accepted note when a number is taken", func() {
		Expect(d.publish(ledgerNote()).Err()).To(Succeed())
		lost := d.publish(ledgerNote())
		Expect(lost.Err()).To(MatchError(ErrConflict))
		Expect(lost.Winner).NotTo(BeNil())
		Expect(lost.Winner.Operation).To(Equal(model.OperationID("op-1")))
	})

	It("answers a resend with the first result and refuses another command with its ID", func() {
		c := Command{Operator: "berta", Operation: "x", Publish: &Publish{Note: ledgerNote()}}
		first := d.do(c)
		Expect(first.Err()).To(Succeed())
		Expect(d.do(c)).To(Equal(first))
		c.Publish = &Publish{Note: moveNote(2, "v2")}
		Expect(d.do(c).Err()).To(MatchError(ErrOperationReused))
		c.Operator = "jonas"
		Expect(d.do(c).Err()).To(Succeed(), "two operators may use the same ID")
	})

	It("drops a result after 24 hours and when the limit is reached", func() {
		d = newDriver(limits{retained: 10, entries: 1000, archived: 10, operations: 2, audit: 10})
		c := Command{Operator: "berta", Operation: "x", Publish: &Publish{Note: ledgerNote()}}
		d.do(c)
		d.now = d.now.Add(operationLifetime)
		Expect(d.do(c).Err()).To(MatchError(ErrConflict))
		d.do(Command{TakeOut: &TakeOut{DataCentre: "thun"}})
		d.do(Command{BeginReturn: &BeginReturn{DataCentre: "thun"}})
		Expect(d.operations.byKey).To(HaveLen(2))
	})

	It("amends and withdraws only at the expected revision", func() {
		d.publish(ledgerNote())
		n := ledgerNote()
		n.Services.Added[0].Slots = 10
		Expect(d.do(Command{Amend: &Amend{Note: n, ExpectedRevision: 2}}).Err()).To(MatchError(ErrConflict))
		Expect(d.do(Command{Amend: &Amend{Note: n, ExpectedRevision: 1}}).Revision).To(Equal(uint64(2)))
		Expect(d.Config().Services["ledger"].Slots).To(Equal(10))
		Expect(d.do(Command{Withdraw: &Withdraw{Number: 1, ExpectedRevision: 1}}).Err()).To(MatchError(ErrConflict))
		Expect(d.do(Command{Withdraw: &Withdraw{Number: 1, ExpectedRevision: 2}}).Err()).To(Succeed())
		Expect(d.Config().Services).To(BeEmpty())
		Expect(d.do(Command{Withdraw: &Withdraw{Number: 1, ExpectedRevision: 3}}).Err()).To(MatchError(ErrConflict))
		Expect(d.do(Command{Withdraw: &Withdraw{Number: 9, ExpectedRevision: 1}}).Err()).To(MatchError(ErrNotFound))
	})

	It("refuses to withdraw a note that a later one depends on, and changes nothing", func() {
		d.publish(ledgerNote())
		d.publish(Note{Number: 2, Routes: Changes[Route]{Added: []Route{route("more", "ledger")}}})
		before := d.Config()
		r := d.do(Command{Withdraw: &Withdraw{Number: 1, ExpectedRevision: 1}})
		Expect(r.Err()).To(MatchError(ErrInvalid))
		Expect(r.Field).To(Equal("routes[more].service"))
		Expect(d.Config()).To(Equal(before))
	})

	DescribeTable("refuses a note and names the field",
		func(n Note, field string) {
			d.publish(ledgerNote())
			r := d.publish(n)
			Expect(r.Code).To(Equal(CodeInvalid))
			Expect(r.Field).To(Equal(field))
			Expect(d.Head()).To(Equal(uint64(1)))
		},
		Entry("an added service without version", Note{Number: 2,
			Services: Changes[Service]{Added: []Service{service("roster")}}}, "services.added[0]"),
		Entry("a service that exists", Note{Number: 2,
			Services: Changes[Service]{Added: []Service{service("ledger")}}}, "services.added[0]"),
		Entry("a withdrawn service that a route needs", Note{Number: 2,
			Services: Changes[Service]{Withdrawn: []string{"ledger"}}}, "routes[stock].service"),
		Entry("a route that matches the same requests", Note{Number: 2, Routes: Changes[Route]{
			Added: []Route{func() Route { r := route("twin", "ledger"); r.PathPrefix = "/stock"; return r }()}}}, "routes[twin].path_prefix"),
		Entry("a move to the version that holds all traffic", moveNote(2, "v1"), "moves[0].to"),
		Entry("a move whose deadline has passed", Note{Number: 2,
			Moves: []Move{{Service: "ledger", To: "v2", By: start}}}, "moves[0].by"),
		Entry("shares that do not add up", Note{Number: 2,
			Shares: []ServiceShares{{Service: "ledger", Shares: Shares{"v1": 1}}}}, "shares[0].shares"),
		Entry("a move and shares of one service", Note{Number: 2,
			Shares: []ServiceShares{{Service: "ledger", Shares: allTraffic("v1")}},
			Moves:  moveNote(2, "v2").Moves}, "moves[0].service"),
	)

	It("completes the move to the first version of a service at once", func() {
		n := ledgerNote()
		n.Shares, n.Moves = nil, []Move{{Service: "ledger", To: "v1", By: start}}
		Expect(d.publish(n).Err()).To(Succeed())
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")))
		Expect(d.Moves()[0].Open()).To(BeFalse())
	})

	It("undoes steps when their note is withdrawn", func() {
		d.publish(ledgerNote())
		d.publish(moveNote(2, "v2"))
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")), "a move alone changes no share")
		half := Shares{"v1": 5000, "v2": 5000}
		Expect(d.step(&SetShares{Service: "ledger", Shares: half, Note: 2}).Changed).To(BeTrue())
		Expect(d.Config().Shares["ledger"]).To(Equal(half))

		n := moveNote(2, "v2")
		n.Moves[0].By = start.Add(2 * time.Hour)
		Expect(d.do(Command{Amend: &Amend{Note: n, ExpectedRevision: 1}}).Err()).To(Succeed())
		Expect(d.Config().Shares["ledger"]).To(Equal(half), "a new deadline keeps the step")
		Expect(d.do(Command{Withdraw: &Withdraw{Number: 2, ExpectedRevision: 2}}).Err()).To(Succeed())
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v1")))
		Expect(d.step(&SetShares{Service: "ledger", Shares: half, Note: 2}).Err()).To(MatchError(ErrConflict))
	})

	It("keeps the times of notes, moves and audit records", func() {
		d.publish(ledgerNote())
		d.publish(moveNote(2, "v2"))
		d.do(Command{Operator: RolloutOperator, MarkInForce: &MarkInForce{Through: model.Position{Epoch: 1, Index: 2}}})
		d.do(Command{Operator: RolloutOperator, MarkDone: &MarkDone{Number: 2, Service: "ledger"}})
		first, _ := d.Note(1)
		Expect(first.Done).To(Equal(start.Add(3 * time.Second)))
		moved, _ := d.Note(2)
		Expect(moved.InForce).To(Equal(start.Add(3 * time.Second)))
		Expect(moved.Done).To(Equal(start.Add(4 * time.Second)))
		d.do(Command{Operator: RolloutOperator, MarkReversed: &MarkReversed{Number: 2, Service: "ledger", Reason: "errors"}})
		d.do(Command{RecordControlHost: &RecordControlHost{Host: "c4", Removed: true}})
		audit := d.Audit(0, 10)
		Expect(audit).To(HaveLen(3))
		Expect(audit[2].Changes).To(Equal([]string{"control host c4 removed"}))
		Expect(audit[1].Reversed).To(Equal(start.Add(5 * time.Second)))
		Expect(audit[1].Reason).To(Equal("errors"))
	})

	It("refuses to complete a move after an amendment of its target or a withdrawal", func() {
		d.publish(ledgerNote())
		d.publish(moveNote(2, "v2"))
		d.do(Command{Amend: &Amend{Note: moveNote(2, "v3"), ExpectedRevision: 1}})
		late := MarkDone{Number: 2, Service: "ledger", To: "v2"}
		Expect(d.do(Command{Operator: RolloutOperator, MarkDone: &late}).Err()).To(MatchError(ErrConflict))
		Expect(d.step(&SetShares{Service: "ledger", Shares: allTraffic("v2"), Note: 2, To: "v2"}).Err()).To(MatchError(ErrConflict))
		d.do(Command{Operator: RolloutOperator, MarkReversed: &MarkReversed{Number: 2, Service: "ledger", To: "v3"}})
		late.To = "v3"
		d.do(Command{Operator: RolloutOperator, MarkDone: &late})
		Expect(d.Moves()[0].Done).To(BeZero(), "a reversed move must not become done")
		d.do(Command{Withdraw: &Withdraw{Number: 2, ExpectedRevision: 2}})
		Expect(d.do(Command{Operator: RolloutOperator, MarkDone: &late}).Err()).To(MatchError(ErrConflict))
	})

	It("returns a data centre in two steps and cancels the return when it is taken out again", func() {
		out := Command{TakeOut: &TakeOut{DataCentre: "thun"}}
		back := Command{BeginReturn: &BeginReturn{DataCentre: "thun"}}
		finish := Command{Operator: RolloutOperator, FinishReturn: &FinishReturn{DataCentre: "thun"}}
		Expect(d.do(back).Changed).To(BeFalse())
		Expect(d.do(out).Changed).To(BeTrue())
		Expect(d.do(finish).Err()).To(MatchError(ErrConflict))
		d.do(back)
		Expect(d.Config().DataCentres["thun"]).To(Equal(DataCentreReturning))
		d.do(out)
		Expect(d.do(finish).Err()).To(MatchError(ErrConflict))
		Expect(d.Config().DataCentres["thun"]).To(Equal(DataCentreOut))
	})

	It("keeps the configuration and the outcome of moves when notes are folded into the base", func() {
		d = newDriver(limits{retained: 2, entries: 1000, archived: 10, operations: 10, audit: 3})
		d.publish(ledgerNote())
		d.publish(moveNote(2, "v2"))
		d.step(&SetShares{Service: "ledger", Shares: allTraffic("v2"), Note: 2})
		for i := uint64(3); i < 6; i++ {
			Expect(d.publish(Note{Number: i, Routes: Changes[Route]{Changed: []Route{route("stock", "ledger")}}}).Err()).To(Succeed())
		}
		Expect(d.Notes(0, 10)).To(HaveLen(2))
		Expect(d.Config().Shares["ledger"]).To(Equal(allTraffic("v2")))
		Expect(d.do(Command{Operator: RolloutOperator, MarkDone: &MarkDone{Number: 2, Service: "ledger"}}).Err()).To(Succeed())
		Expect(d.Moves()[0].Done).NotTo(BeZero())
		Expect(d.Audit(0, 10)).To(HaveLen(3))
		Expect(errors.Is(d.do(Command{Withdraw: &Withdraw{Number: 1, ExpectedRevision: 1}}).Err(), ErrConflict)).To(BeTrue())
	})
})
