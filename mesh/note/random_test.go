package note

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"balsamtrail.org/mesh/model"
)

// referenceState is a simple model of a State: it keeps every accepted note and
// folds all of them for each configuration.
type referenceState struct {
	notes       []*referenceNote
	dataCentres map[model.DataCentre]DataCentreState
}

type referenceNote struct {
	note      Note
	withdrawn bool
	steps     map[model.ServiceName]Shares
	// stepOwners names the note whose move has stored a step here; 0 for this note.
	stepOwners map[model.ServiceName]uint64
}

func (h *referenceState) config() Config {
	c := NewConfig()
	for _, n := range h.notes {
		if n.withdrawn {
			continue
		}
		for _, s := range append(n.note.Services.Added, n.note.Services.Changed...) {
			c.Services[s.Name] = s
		}
		for _, w := range n.note.Services.Withdrawn {
			delete(c.Services, model.ServiceName(w))
			delete(c.Shares, model.ServiceName(w))
		}
		for _, r := range append(n.note.Routes.Added, n.note.Routes.Changed...) {
			c.Routes[r.Name] = r
		}
		for _, w := range n.note.Routes.Withdrawn {
			delete(c.Routes, model.RouteName(w))
		}
		for _, s := range n.note.Shares {
			c.Shares[s.Service] = s.Shares
		}
		for _, m := range n.note.Moves {
			if c.Shares[m.Service] == nil {
				c.Shares[m.Service] = allTraffic(m.To)
			}
		}
		maps.Copy(c.Shares, n.steps)
		if n.note.Limits != nil {
			c.Limits = *n.note.Limits
		}
	}
	maps.Copy(c.DataCentres, h.dataCentres)
	return c
}

// newest returns the newest note in force for which f reports true, or nil.
func (h *referenceState) newest(f func(Note) bool) *referenceNote {
	for i := len(h.notes) - 1; i >= 0; i-- {
		if n := h.notes[i]; !n.withdrawn && f(n.note) {
			return n
		}
	}
	return nil
}

// dropSteps removes the steps of a note's move of a service from later notes.
func (h *referenceState) dropSteps(number uint64, service model.ServiceName) {
	for _, n := range h.notes {
		if n.stepOwners[service] == number {
			delete(n.steps, service)
			delete(n.stepOwners, service)
		}
	}
}

// amend replaces a note by its new revision.
func (h *referenceState) amend(is Note) {
	n := h.notes[is.Number-1]
	was := n.note
	is.Declared = was.Declared
	for service := range n.steps {
		added := was.adds(service) && !was.setsTraffic(service) && is.adds(service) && !is.setsTraffic(service)
		before, _ := was.move(service)
		after, moves := is.move(service)
		kept := added || moves && after.To == before.To
		if !kept {
			delete(n.steps, service)
			delete(n.stepOwners, service)
		}
	}
	for _, m := range was.Moves {
		if after, moves := is.move(m.Service); !moves || after.To != m.To {
			h.dropSteps(is.Number, m.Service)
		}
	}
	n.note = is
}

// setShares stores a step with the newest note that sets the traffic of the service or
// adds it.
func (h *referenceState) setShares(c SetShares) {
	holder := h.newest(func(n Note) bool { return n.setsTraffic(c.Service) || n.adds(c.Service) })
	holder.steps[c.Service] = c.Shares
	delete(holder.stepOwners, c.Service)
	owner := h.newest(func(n Note) bool { return n.setsTraffic(c.Service) })
	if owner == nil || owner == holder {
		return
	}
	if _, moves := owner.note.move(c.Service); moves {
		holder.stepOwners[c.Service] = owner.note.Number
	}
}

// accept applies a command that the state accepted.
func (h *referenceState) accept(c Command) {
	switch {
	case c.Publish != nil:
		h.notes = append(h.notes, &referenceNote{
			note: c.Publish.Note, steps: map[model.ServiceName]Shares{}, stepOwners: map[model.ServiceName]uint64{},
		})
	case c.Amend != nil:
		h.amend(c.Amend.Note)
	case c.Withdraw != nil:
		n := h.notes[c.Withdraw.Number-1]
		n.withdrawn = true
		for _, m := range n.note.Moves {
			h.dropSteps(n.note.Number, m.Service)
		}
	case c.SetShares != nil:
		h.setShares(*c.SetShares)
	case c.TakeOut != nil:
		h.dataCentres[c.TakeOut.DataCentre] = DataCentreOut
	case c.BeginReturn != nil && h.dataCentres[c.BeginReturn.DataCentre] == DataCentreOut:
		h.dataCentres[c.BeginReturn.DataCentre] = DataCentreReturning
	case c.FinishReturn != nil:
		h.dataCentres[c.FinishReturn.DataCentre] = DataCentreInService
	}
}

func drawShares(t *rapid.T) Shares {
	a, b := drawVersion(t), drawVersion(t)
	part := model.Share(rapid.Uint32Range(0, 10_000).Draw(t, "part"))
	if a == b {
		return allTraffic(a)
	}
	return Shares{a: part, b: model.ShareAll - part}
}

func drawVersion(t *rapid.T) model.ServiceVersion {
	return model.ServiceVersion(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
}

func drawService(t *rapid.T) model.ServiceName {
	return model.ServiceName(rapid.SampledFrom([]string{"ledger", "roster", "alerts"}).Draw(t, "service"))
}

func drawRoute(t *rapid.T, name model.RouteName, to model.ServiceName) Route {
	r := route(name, to)
	r.Kind = rapid.SampledFrom(model.Kinds).Draw(t, "kind")
	return r
}

// drawNote draws a note that mostly fits c: absent names are added, present ones are
// changed or withdrawn.
func drawNote(t *rapid.T, c Config, number uint64, now time.Time) Note {
	n := Note{Number: number}
	name := drawService(t)
	s := service(name)
	s.Slots = rapid.IntRange(0, 40).Draw(t, "slots")
	withdraw := rapid.IntRange(0, 5).Draw(t, "withdraw") == 0
	_, present := c.Services[name]
	switch {
	case withdraw:
		n.Services.Withdrawn = []string{string(name)}
	case present:
		n.Services.Changed = []Service{s}
	default:
		n.Services.Added = []Service{s}
	}
	routeName := model.RouteName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"))
	_, present = c.Routes[routeName]
	switch {
	case present && (withdraw || rapid.Bool().Draw(t, "withdraw route")):
		n.Routes.Withdrawn = []string{string(routeName)}
	case present:
		n.Routes.Changed = []Route{drawRoute(t, routeName, drawService(t))}
	case rapid.Bool().Draw(t, "add route"):
		n.Routes.Added = []Route{drawRoute(t, routeName, name)}
	}
	if withdraw {
		return n
	}
	if rapid.IntRange(0, 3).Draw(t, "limits") == 0 {
		n.Limits = &CallerLimits{BodyBytes: rapid.Int64Range(0, 3).Draw(t, "body bytes")}
	}
	if n.Declared = rapid.IntRange(0, 2).Draw(t, "declared") == 0; n.Declared {
		return n // a new service gets its shares from a command
	}
	if rapid.Bool().Draw(t, "move") {
		n.Moves = []Move{{Service: name, To: drawVersion(t), By: now.Add(time.Hour)}}
	} else if rapid.Bool().Draw(t, "shares") {
		n.Shares = []ServiceShares{{Service: name, Shares: drawShares(t)}}
	}
	return n
}

// drawCommand draws a command. Only those of the leader have their operator set.
func drawCommand(t *rapid.T, d *driver) Command {
	number := d.Head() - min(d.Head(), rapid.Uint64Range(0, 6).Draw(t, "back"))
	expected := uint64(1)
	if r, err := d.Note(number); err == nil && rapid.IntRange(0, 4).Draw(t, "stale") > 0 {
		expected = r.Note.Revision
	}
	dc := model.DataCentre(rapid.SampledFrom([]string{"thun", "burgdorf"}).Draw(t, "dc"))
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1, 2, 3, 4:
		next := d.Head() + uint64(min(1, rapid.IntRange(0, 5).Draw(t, "next")))
		return Command{Publish: &Publish{Note: drawNote(t, d.Config(), next, d.now)}}
	case 5:
		return Command{Amend: &Amend{Note: drawNote(t, d.Config(), number, d.now), ExpectedRevision: expected}}
	case 6:
		return Command{Withdraw: &Withdraw{Number: number, ExpectedRevision: expected}}
	case 7, 8:
		return Command{Operator: RolloutOperator, SetShares: &SetShares{Service: drawService(t), Shares: drawShares(t)}}
	case 9:
		return Command{TakeOut: &TakeOut{DataCentre: dc}}
	case 10:
		return Command{BeginReturn: &BeginReturn{DataCentre: dc}}
	default:
		return Command{Operator: RolloutOperator, FinishReturn: &FinishReturn{DataCentre: dc}}
	}
}

// drawOperation returns c with an operator and an operation ID, or resends an earlier
// command.
func drawOperation(t *rapid.T, c Command, sent []Command) Command {
	if len(sent) > 0 && rapid.IntRange(0, 6).Draw(t, "resend") == 0 {
		return sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
	}
	if c.Operator == "" {
		c.Operator = model.OperatorName(rapid.SampledFrom([]string{"berta", "jonas"}).Draw(t, "operator"))
		c.Operation = model.OperationID(fmt.Sprint("op-", len(sent)))
	}
	return c
}

func snapshotOf(t *rapid.T, s *State) []byte {
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRandomCommands guards against a configuration that differs from one folded from
// all notes, a delta that results in another configuration, a refused command that
// changes something, a resend with another result, and a snapshot that loses state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriver(limits{retained: 4, entries: 40, archived: 2, operations: 1000, audit: 8})
		h := &referenceState{dataCentres: map[model.DataCentre]DataCentreState{}}
		results := map[operationKey]Result{}
		var sent []Command
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			c := drawOperation(t, drawCommand(t, d), sent)
			before := d.Config()
			r := d.do(c)
			key := operationKey{c.Operator, c.Operation}
			first, resent := results[key]
			switch {
			case resent && c.Operation != "":
				if diff := cmp.Diff(first, r); diff != "" {
					t.Fatalf("result of the resend differs: %s", diff)
				}
			case r.Code == CodeOK:
				h.accept(c)
			}
			if c.Operation != "" && !resent {
				results[key] = r
				sent = append(sent, c)
			}
			checkConfig(t, before, d.Config(), h.config())
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				checkRestore(t, d)
			}
		}
	})
}

func checkConfig(t *rapid.T, before, after, rebuilt Config) {
	if diff := cmp.Diff(rebuilt, after); diff != "" {
		t.Fatalf("configuration differs from the reference: %s", diff)
	}
	applied, err := before.Apply(Diff(before, after))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(after, applied); diff != "" {
		t.Fatalf("applied delta results in another configuration: %s", diff)
	}
}

// checkRestore continues with a restored copy, so that later commands run on it.
func checkRestore(t *rapid.T, d *driver) {
	b := snapshotOf(t, d.State)
	n := newState(d.limits)
	if err := n.Restore(b); err != nil {
		t.Fatal(err)
	}
	if string(snapshotOf(t, n)) != string(b) {
		t.Fatal("snapshot of the restored state differs")
	}
	if diff := cmp.Diff(d.Config(), n.Config()); diff != "" {
		t.Fatalf("restored configuration differs: %s", diff)
	}
	d.State = n
}

// TestRandomChangeValidation guards against a configuration that validateChange or
// Config.Apply judges differently than Validate.
func TestRandomChangeValidation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewConfig()
		for i := range uint64(20) {
			b := newConfigBuilder(c)
			if b.fold(drawNote(t, c, i+1, start), nil) != nil {
				continue
			}
			whole, change := Validate(b.cfg), validateChange(b.cfg, b.changed)
			if (whole == nil) != (change == nil) {
				t.Fatalf("whole: %v, change: %v", whole, change)
			}
			applied, err := c.Apply(Diff(c, b.cfg))
			if (whole == nil) != (err == nil) || err == nil && !cmp.Equal(applied, b.cfg) {
				t.Fatalf("whole: %v, apply: %v", whole, err)
			}
			if whole == nil {
				c = b.cfg
			}
		}
	})
}
