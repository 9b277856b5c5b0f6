package membership

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/model"
)

func drawAnnouncement(t *rapid.T) Announcement {
	a := announcement(model.HostID(fmt.Sprintf("n%d", rapid.IntRange(0, 5).Draw(t, "host"))),
		rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "seq"),
		State(rapid.IntRange(1, 4).Draw(t, "state")))
	a.Service = model.ServiceName(rapid.SampledFrom([]string{"ledger", "roster"}).Draw(t, "service"))
	// The content follows from incarnation, sequence and state, as a node never
	// issues two different records with the same three.
	a.Slots = int(a.Incarnation*100 + a.Sequence*10 + uint64(a.State))
	a.Service = model.ServiceName(fmt.Sprintf("s%d", a.Slots%2))
	a.DataCentre = model.DataCentre(fmt.Sprintf("dc%d", a.Slots%3))
	return a
}

// TestClosedLifetimeStaysClosed guards against a backend server that gets requests again
// because its restarted node announces a lifetime that had ended. Tables must agree
// whatever the order of the records.
func TestClosedLifetimeStaysClosed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Announcement {
			a := announcement("n1", rapid.Uint64Range(1, 3).Draw(t, "inc"), rapid.Uint64Range(1, 3).Draw(t, "seq"), StateServing)
			a.Instance, a.Started = "i-1", 7
			if a.Closed = rapid.Bool().Draw(t, "closed"); a.Closed {
				a.State = StateDraining
			}
			return a
		}), 1, 6, func(a Announcement) [2]uint64 { return [2]uint64{a.Incarnation, a.Sequence} }).Draw(t, "records")
		one, other, closed := NewTable(), NewTable(), false
		for _, a := range records {
			one.Merge(a)
			closed = closed || a.Closed
		}
		for _, a := range rapid.Permutation(records).Draw(t, "order") {
			other.Merge(a)
		}
		got, _ := one.Get("n1")
		if also, _ := other.Get("n1"); also != got || one.Digest() != other.Digest() {
			t.Fatalf("records %+v and %+v", got, also)
		}
		if got.Closed != closed || closed && got.State < StateDraining {
			t.Fatalf("record %+v, closed %v", got, closed)
		}
		next := got
		next.Incarnation, next.State, next.Started, next.Closed = got.Incarnation+1, StateServing, 8, false
		one.Merge(next)
		if got, _ := one.Get("n1"); got != next {
			t.Fatalf("the next lifetime is recorded as %+v", got)
		}
	})
}

// TestTableMatchesMap guards against a merge, index, change log or digest that
// disagrees with a plain map of the newest announcement of each host when
// announcements arrive twice and out of order.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, replica := NewTable(), NewTable()
		want := map[model.HostID]Announcement{}
		var cursor uint64
		batch := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 1, 60).Draw(t, "batch")
		for _, a := range batch {
			old, known := want[a.Host]
			replaced := !known || newer(a, old)
			if table.Merge(a) != replaced {
				t.Fatalf("merge of %v over %v", a, old)
			}
			if replaced {
				want[a.Host] = a
			}
			if rapid.Bool().Draw(t, "read") {
				var out []Announcement
				out, cursor = table.SinceN(cursor, rapid.IntRange(0, 2).Draw(t, "limit"))
				replica.MergeAll(out)
			}
		}
		out, _ := table.Since(cursor)
		replica.MergeAll(out)
		compareWithMap(t, table, want)
		compareWithMap(t, replica, want)
		if table.Digest() != replica.Digest() {
			t.Fatal("digests of equal tables differ")
		}
	})
}

// compareDataCentres checks the index by data centre against the list of all
// records.
func compareDataCentres(t *rapid.T, table *Table, all []Announcement) {
	dataCentres := map[model.DataCentre][]Announcement{}
	aliveHosts := 0
	for _, a := range all {
		if a.Alive() {
			aliveHosts++
			dataCentres[a.DataCentre] = append(dataCentres[a.DataCentre], a)
		}
	}
	if table.AliveHosts() != aliveHosts || len(table.dataCentres) != len(dataCentres) {
		t.Fatalf("%d alive hosts in %d data centres, want %d in %d", table.AliveHosts(), len(table.dataCentres), aliveHosts, len(dataCentres))
	}
	for dc, want := range dataCentres {
		if got := table.AliveInDataCentre(dc); !slices.Equal(got, want) {
			t.Fatalf("data centre %q: %v, want %v", dc, got, want)
		}
	}
}

// compareWithMap checks the records and indexes of the table against a plain map.
func compareWithMap(t *rapid.T, table *Table, want map[model.HostID]Announcement) {
	all := table.All()
	if len(all) != len(want) {
		t.Fatalf("%d records, want %d", len(all), len(want))
	}
	compareDataCentres(t, table, all)
	alive := map[model.ServiceName]int{}
	for _, a := range all {
		if want[a.Host] != a {
			t.Fatalf("have %v, want %v", a, want[a.Host])
		}
		if !slices.Contains(table.Service(a.Service), a) {
			t.Fatalf("%v missing from its service", a)
		}
		if a.Alive() {
			alive[a.Service]++
		}
	}
	for _, s := range []model.ServiceName{"s0", "s1"} {
		if table.HasAlive(s) != (alive[s] > 0) {
			t.Fatalf("HasAlive(%s) with %d alive", s, alive[s])
		}
	}
}

// TestTablesConverge guards against two tables that end with different records
// after merging the same announcements in different orders.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		batch := rapid.SliceOfN(rapid.Custom(drawAnnouncement), 1, 30).Draw(t, "batch")
		a, b := NewTable(), NewTable()
		a.MergeAll(batch)
		b.MergeAll(rapid.Permutation(batch).Draw(t, "order"))
		if !slices.Equal(a.All(), b.All()) {
			t.Fatalf("%v\n%v", a.All(), b.All())
		}
	})
}

var _ = Describe("Table", func() {
	It("wakes a waiting reader on a change and not before", func() {
		t := NewTable()
		ch := t.Changed(0)
		Expect(ch).NotTo(BeClosed())
		t.Merge(announcement("n1", 1, 1, StateServing))
		Expect(ch).To(BeClosed())
		Expect(t.Changed(0)).To(BeClosed())
		Expect(t.Changed(t.Sequence())).NotTo(BeClosed())
	})

	It("keeps a tombstone for the retention time, so that no older record is merged, and then drops it", func() {
		t := NewTable()
		t.Merge(announcement("n1", 2, 1, StateLeft))
		Expect(t.Prune(baseTime)).To(BeZero())
		Expect(t.Prune(baseTime.Add(TombstoneRetention - 1))).To(BeZero())
		Expect(t.Merge(announcement("n1", 1, 9, StateServing))).To(BeFalse())
		Expect(t.Prune(baseTime.Add(TombstoneRetention))).To(Equal(1))
		Expect(t.All()).To(BeEmpty())
	})

	It("bounds its tombstones and evicts the oldest, never a live host", func() {
		t := NewTable()
		t.maxTombstones = 2
		t.Merge(announcement("live", 1, 1, StateServing))
		for i := range 5 {
			t.Merge(announcement(model.HostID(fmt.Sprintf("n%d", i)), 1, 1, StateLapsed))
		}
		hosts := []model.HostID{}
		for _, a := range t.All() {
			hosts = append(hosts, a.Host)
		}
		Expect(hosts).To(Equal([]model.HostID{"live", "n3", "n4"}))
	})

	It("returns only the records in differing buckets", func() {
		a, b := NewTable(), NewTable()
		for i := range 500 {
			x := announcement(model.HostID(fmt.Sprintf("n%d", i)), 1, 1, StateServing)
			a.Merge(x)
			b.Merge(x)
		}
		a.Merge(announcement("n7", 1, 2, StateDraining))
		diff, _ := a.Differing(b.Digest())
		Expect(len(diff)).To(BeNumerically("<", 50))
		Expect(b.MergeAll(diff)).To(Equal(1))
		Expect(a.Digest()).To(Equal(b.Digest()))
	})
})
