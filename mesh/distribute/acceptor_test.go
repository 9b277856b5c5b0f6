package distribute

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// TestUpdatesInAnyOrder guards against a child whose version differs from the
// published one after it received deltas and snapshots that were merged, out of
// order, repeated, or based on a position that the parent never had.
func TestUpdatesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, lagging := NewStore(), NewStore()
		a := NewAcceptor("n1", NewStore(), membership.NewTable(), discardLog)
		published := map[model.Position]note.Config{{}: note.NewConfig()}
		var frames []deltaFrame
		var versions []*Version
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for i := range steps {
			cfg, pos := drawConfig(t), positionAt(uint64(i+1))
			published[pos] = cfg
			if v := source.Current(); v != nil && rapid.Bool().Draw(t, "known") {
				must(t, source.PublishDelta(pos, cfg, note.Diff(v.Config, cfg)))
			} else {
				must(t, source.Publish(pos, cfg))
			}
			versions = append(versions, source.Current())
			if rapid.Bool().Draw(t, "skip") { // a second parent that receives fewer versions
				must(t, lagging.Publish(pos, cfg))
			}
			for _, s := range []*Store{source, lagging} {
				from := positionAt(uint64(rapid.IntRange(0, i).Draw(t, "from")))
				if u, ok := s.deltaSince(from); ok {
					frames = append(frames, u)
				}
			}
		}
		for _, f := range rapid.Permutation(append(frames, frames...)).Draw(t, "order") {
			err := a.acceptDelta(f)
			if err != nil && !errors.Is(err, ErrOld) && !errors.Is(err, ErrBase) && !errors.Is(err, ErrDiverged) {
				t.Fatal(err)
			}
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				s, err := EncodeSnapshot(rapid.SampledFrom(versions).Draw(t, "version"))
				must(t, err)
				v, err := DecodeSnapshot(s)
				must(t, err)
				if err := a.acceptVersion(v); err != nil && !errors.Is(err, ErrOld) {
					t.Fatal(err)
				}
			}
			expectConfig(t, a, published)
		}
		if a.Store().Position() == positionAt(uint64(steps)) {
			return
		}
		if u, ok := source.deltaSince(a.Store().Position()); !ok || a.acceptDelta(u) != nil {
			must(t, a.acceptVersion(source.Current()))
		}
		expectConfig(t, a, published)
	})
}

func must(t *rapid.T, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// sameConfig compares two configurations. A data centre in service counts as
// absent, because note.Diff reports the return of a data centre as that state.
func sameConfig(a, b note.Config) bool {
	plain := func(c note.Config) note.Config {
		c = c.Clone()
		maps.DeleteFunc(c.DataCentres, func(_ model.DataCentre, s note.DataCentreState) bool { return s == note.DataCentreInService })
		return c
	}
	return reflect.DeepEqual(plain(a), plain(b))
}

// expectConfig compares the accepted version with the one published at its position.
func expectConfig(t *rapid.T, a *Acceptor, published map[model.Position]note.Config) {
	v := a.Store().Current()
	if v == nil {
		return
	}
	if !sameConfig(v.Config, published[v.Position]) {
		t.Fatalf("at %s differs by %+v", v.Position, note.Diff(v.Config, published[v.Position]))
	}
	if v.Sum != sumOf(published[v.Position]) {
		t.Fatalf("at %s sum differs", v.Position)
	}
}

// TestRouteEqualComparesEveryField guards against a field of a route that Equal
// does not compare, so that a change of it is overlooked.
func TestRouteEqualComparesEveryField(t *testing.T) {
	base := route("r", "ledger", 1)
	if !base.Equal(route("r", "ledger", 1)) {
		t.Fatal("equal routes differ")
	}
	fields := reflect.TypeOf(base)
	for i := range fields.NumField() {
		other := route("r", "ledger", 1)
		f := reflect.ValueOf(&other).Elem().Field(i)
		switch f.Kind() {
		case reflect.String:
			f.SetString("other")
		case reflect.Bool:
			f.SetBool(true)
		case reflect.Slice:
			f.Set(reflect.MakeSlice(f.Type(), 3, 3)) // longer than every slice of base
		case reflect.Uint8:
			f.SetUint(3)
		default:
			f.SetInt(7)
		}
		if base.Equal(other) {
			t.Fatalf("a change of %s is overlooked", fields.Field(i).Name)
		}
	}
}

// TestComposeMatchesApply guards against a composed delta whose effect differs
// from that of its parts applied one after the other.
func TestComposeMatchesApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawConfig(t), drawConfig(t), drawConfig(t)
		got, err := a.Apply(Compose(note.Diff(a, b), note.Diff(b, c)))
		if err != nil || !sameConfig(got, c) {
			t.Fatalf("%v: %+v", err, note.Diff(got, c))
		}
	})
}

// TestHeldRoutesMatchRebuild guards against held routes that, once everything
// has arrived, still depend on whether endpoints or versions arrived first.
func TestHeldRoutesMatchRebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, eps := NewStore(), membership.NewTable()
		a := NewAcceptor("n1", NewStore(), eps, discardLog)
		for i := range rapid.IntRange(1, 8).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "endpoint") {
				name := fmt.Sprintf("s%d", rapid.IntRange(0, 3).Draw(t, "service"))
				eps.Merge(servingAnnouncement("h-"+name, name, 1))
				a.ReleaseHeldRoutes()
			}
			must(t, source.Publish(positionAt(uint64(i+1)), drawConfig(t)))
			must(t, a.acceptVersion(source.Current()))
		}
		for i := range 4 {
			name := fmt.Sprintf("s%d", i)
			eps.Merge(servingAnnouncement("h-"+name, name, 1))
		}
		a.ReleaseHeldRoutes()
		f := a.InForce()
		if len(f.Held) > 0 || !reflect.DeepEqual(f.Config, f.Accepted.Config.Clone()) {
			t.Fatalf("held %v, differs by %+v", f.Held, note.Diff(f.Config, f.Accepted.Config))
		}
	})
}

var _ = Describe("Acceptor", func() {
	var eps *membership.Table
	var a *Acceptor
	source := func(cfgs ...note.Config) *Store {
		s := NewStore()
		for i, c := range cfgs {
			Expect(s.Publish(positionAt(uint64(i+1)), c)).To(Succeed())
		}
		return s
	}
	accept := func(s *Store) error {
		u, ok := s.deltaSince(a.Store().Position())
		Expect(ok).To(BeTrue())
		return a.acceptDelta(u)
	}
	BeforeEach(func() {
		eps = membership.NewTable()
		a = NewAcceptor("n1", NewStore(), eps, discardLog)
		eps.Merge(servingAnnouncement("n1", "ledger", 1))
	})

	It("keeps the previous route, with its removed service, until the new service has an endpoint", func() {
		s := source(configOf(route("r", "ledger", 0)))
		Expect(accept(s)).To(Succeed())
		Expect(s.Publish(positionAt(2), configOf(route("r", "roster", 0), route("new", "roster", 0)))).To(Succeed())
		Expect(accept(s)).To(Succeed())
		f := a.InForce()
		Expect(f.Accepted.Position).To(Equal(positionAt(2)))
		Expect(f.Config.Routes["r"].Service).To(Equal(model.ServiceName("ledger")))
		Expect(f.Config.Services).To(HaveKey(model.ServiceName("ledger")))
		Expect(f.Config.Routes).NotTo(HaveKey(model.RouteName("new")))
		Expect(a.Report().Held).To(Equal(2))
		Expect(a.Report().Refusals[0].Reason).To(ContainSubstring("no endpoint of service roster"))
		Expect(s.Publish(positionAt(3), configOf(route("r", "roster", 0), route("new", "roster", 1)))).To(Succeed())
		Expect(accept(s)).To(Succeed())
		Expect(a.Report().Refusals[0].Position).To(Equal(positionAt(2)))
		eps.Merge(servingAnnouncement("n2", "roster", 1))
		a.ReleaseHeldRoutes()
		Expect(a.InForce().Config.Routes["r"].Service).To(Equal(model.ServiceName("roster")))
		Expect(a.InForce().Config.Services).NotTo(HaveKey(model.ServiceName("ledger")))
		Expect(a.Report().Held).To(BeZero())
	})

	It("does not withdraw a route whose service lost its endpoints", func() {
		s := source(configOf(route("r", "ledger", 0)))
		Expect(accept(s)).To(Succeed())
		lapsed := servingAnnouncement("n1", "ledger", 2)
		lapsed.State = membership.StateLapsed
		eps.Merge(lapsed)
		Expect(s.Publish(positionAt(2), configOf(route("r", "ledger", 0), route("q", "ledger", 0)))).To(Succeed())
		Expect(accept(s)).To(Succeed())
		Expect(a.InForce().Config.Routes).To(HaveKey(model.RouteName("r")))
		Expect(a.InForce().Held).To(HaveLen(1))
	})

	It("refuses an invalid version as a whole, reports it once and accepts the next valid one", func() {
		s := source(configOf(route("r", "ledger", 0)))
		Expect(accept(s)).To(Succeed())
		before := a.InForce()
		bad := configOf(route("r", "ledger", 1))
		bad.Routes["q"] = note.Route{Name: "q", PathPrefix: "no-slash", Service: "ledger", Kind: model.KindLookup, Timeout: 1}
		Expect(s.Publish(positionAt(2), bad)).To(Succeed())
		Expect(accept(s)).To(MatchError(ErrRefused))
		Expect(accept(s)).To(MatchError(ErrRefused))
		Expect(a.InForce()).To(BeIdenticalTo(before))
		Expect(a.Report().Refusals).To(HaveLen(1))
		Expect(a.Report().Refusals[0].Reason).To(ContainSubstring("routes[q].path_prefix"))
		Expect(s.Publish(positionAt(3), configOf(route("r", "ledger", 1)))).To(Succeed())
		Expect(accept(s)).To(Succeed())
		Expect(a.Report().Refusals).To(BeEmpty())
	})

	It("refuses a version below the floor", func() {
		a.SetFloor(positionAt(2))
		s := source(configOf(route("r", "ledger", 0)))
		Expect(accept(s)).To(MatchError(ErrBelowFloor))
		Expect(a.InForce()).To(BeNil())
	})

	DescribeTable("checks the invariants at each swap", func(want invariant.Name, corrupt func(next *InForce) uint64) {
		s := source(configOf(route("r", "ledger", 0)), configOf(route("r", "ledger", 1)))
		Expect(accept(s)).To(Succeed())
		cfg := configOf(route("r", "ledger", 2))
		next := &InForce{Accepted: &Version{Position: positionAt(3), Config: cfg, Sum: sumOf(cfg)}, Config: cfg.Clone()}
		wantSum := corrupt(next)
		Expect(func() { a.swap(next, wantSum) }).To(PanicWith(ContainSubstring(string(want))))
	},
		Entry("an older version", invariant.NoOlderNote, func(n *InForce) uint64 {
			n.Accepted.Position = positionAt(1)
			return n.Accepted.Sum
		}),
		Entry("different content at the same position", invariant.AcceptedNeverReverts, func(n *InForce) uint64 {
			n.Accepted.Position = positionAt(2)
			return n.Accepted.Sum
		}),
		Entry("a route to a missing service", invariant.NoUnknownService, func(n *InForce) uint64 {
			n.Config.Routes["q"] = route("q", "absent", 0)
			return n.Accepted.Sum
		}),
		Entry("content that differs from the sender's checksum", invariant.NoPartialVersion, func(n *InForce) uint64 {
			return n.Accepted.Sum + 1
		}),
		Entry("a route that is neither in force nor held", invariant.NoPartialVersion, func(n *InForce) uint64 {
			delete(n.Config.Routes, "r")
			return n.Accepted.Sum
		}),
	)
})
