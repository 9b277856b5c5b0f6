package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// servicesPerNote keeps each note that adds services below 1,024 entries.
const servicesPerNote = 250

// Notes measures the replicated note state as a function of the number of accepted
// notes, each of which changes the routes of one of 1,500 services.
func Notes(w io.Writer, sizes []int, repeat int) error {
	p := newSeriesSet("notes")
	for range repeat {
		for _, n := range sizes {
			if err := measureNotes(p, n); err != nil {
				return err
			}
		}
	}
	return p.write(w, 15_000)
}

// publisher applies numbered notes to a state and keeps the first error.
type publisher struct {
	s    *note.State
	head uint64
	err  error
}

func (p *publisher) publish(n note.Note) {
	p.head++
	n.Number, n.Title = p.head, fmt.Sprintf("note %d", p.head)
	c := note.Command{
		Operator: "capacity", Operation: model.OperationID(fmt.Sprintf("operation-%08d", p.head)),
		Time: time.Unix(1_800_000_000+int64(p.head), 0), Publish: &note.Publish{Note: n},
	}
	if r := p.s.Apply(c, model.Position{Epoch: 1, Index: p.head}); r.Err() != nil && p.err == nil {
		p.err = r.Err()
	}
}

// setUp publishes the notes that add the services and their routes.
func (p *publisher) setUp(services int) {
	for first := 0; first < services; first += servicesPerNote {
		var n note.Note
		for i := first; i < min(first+servicesPerNote, services); i++ {
			n.Services.Added = append(n.Services.Added, service(i))
			n.Routes.Added = append(n.Routes.Added, routesOf(i, 0)...)
			n.Shares = append(n.Shares, note.ServiceShares{Service: serviceName(i), Shares: note.Shares{"v1": model.ShareAll}})
		}
		p.publish(n)
	}
}

func measureNotes(p *seriesSet, n int) error {
	before := liveHeapBytes()
	pub := &publisher{s: note.NewState()}
	pub.setUp(TargetServices)
	start := ownCPU()
	for i := range n {
		var x note.Note
		x.Routes.Changed = routesOf(i%TargetServices, i+1)
		pub.publish(x)
	}
	x := float64(n)
	p.add("note state apply, each note", "µs", x, micros(ownCPU()-start, n))
	p.add("note state heap", "B", x, liveHeapBytes()-before)
	var snapshot []byte
	p.add("note state snapshot", "µs", x, microsPerRun(3, func() { snapshot, _ = pub.s.Snapshot() }))
	p.add("note state snapshot size", "B", x, float64(len(snapshot)))
	var err error
	p.add("note state restore", "µs", x, microsPerRun(1, func() { err = note.NewState().Restore(snapshot) }))
	runtime.KeepAlive(pub)
	if pub.err != nil {
		return pub.err
	}
	return err
}
