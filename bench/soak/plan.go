package soak

import (
	"math/rand/v2"
	"time"
)

// Fault is a kind of fault or planned change.
type Fault string

// The faults. Those of nodes, backend servers and control hosts are signals; those
// of calls and streams are made by relays on the way.
const (
	KillNode       Fault = "kill node"
	PauseNode      Fault = "pause node"
	StopNode       Fault = "planned stop of node"
	KillServer     Fault = "kill backend server"
	PauseServer    Fault = "pause backend server"
	ColdServer     Fault = "backend server cold without notice"
	KillHerd       Fault = "kill all nodes of a data centre"
	KillControl    Fault = "kill control host"
	PauseControl   Fault = "pause control host"
	StopControl    Fault = "planned stop of control host"
	WipeControl    Fault = "disk of a control host lost"
	TearControl    Fault = "torn write at the end of a control host's log"
	DelayCalls     Fault = "calls to a node delayed"
	ResetCalls     Fault = "calls to a node reset"
	CutCalls       Fault = "answers of a node cut"
	SilenceCalls   Fault = "connections to a node silent"
	SilenceStreams Fault = "streams to a control host silent"
	CutStreams     Fault = "answers of a control host cut"
	PublishNote    Fault = "note published"
	RaceNotes      Fault = "two notes with one number"
	TakeOut        Fault = "data centre out and back"
)

var faults = []Fault{
	KillNode, PauseNode, StopNode, KillServer, PauseServer, ColdServer, KillHerd, KillControl, PauseControl, StopControl,
	WipeControl, TearControl, DelayCalls, ResetCalls, CutCalls, SilenceCalls, SilenceStreams, CutStreams,
	PublishNote, RaceNotes, TakeOut,
}

// Bounds of the drawn times and numbers.
const (
	maxOverlap         = 4
	spread             = 400 * time.Millisecond
	minLast, maxLast   = 300 * time.Millisecond, 3 * time.Second
	minPause, maxPause = 300 * time.Millisecond, 1500 * time.Millisecond
)

// Event is one drawn fault. Target selects among what the fault can hit.
type Event struct {
	Fault  Fault
	Target uint64
	// After is the time from the begin of its round, Last how long it lasts.
	After, Last time.Duration
}

// Round is a set of events that overlap, and the pause behind them.
type Round struct {
	Events []Event
	Pause  time.Duration
}

// Plan draws the rounds of a run. All random parts come from the seed.
type Plan struct{ rng *rand.Rand }

// NewPlan returns the plan of a seed.
func NewPlan(seed uint64) *Plan { return &Plan{rng: rand.New(rand.NewPCG(seed, 17))} }

// Next draws a round. A series hits the same target several times, as a process
// that is restarted again and again.
func (p *Plan) Next() Round {
	r := Round{Pause: p.between(minPause, maxPause)}
	n := 1 + p.rng.IntN(maxOverlap)
	series := p.rng.IntN(4) == 0
	first := p.event()
	for i := range n {
		e := p.event()
		if series {
			e.Fault, e.Target, e.After = first.Fault, first.Target, time.Duration(i)*first.Last
		}
		r.Events = append(r.Events, e)
	}
	return r
}

func (p *Plan) event() Event {
	return Event{
		Fault: faults[p.rng.IntN(len(faults))], Target: p.rng.Uint64(),
		After: p.between(0, spread), Last: p.between(minLast, maxLast),
	}
}

func (p *Plan) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.rng.Int64N(int64(hi-lo)))
}
