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
	KillNode             Fault = "kill node"
	PauseNode            Fault = "pause node"
	StopNode             Fault = "planned stop of node"
	KillServer           Fault = "kill backend server"
	PauseServer          Fault = "pause backend server"
	MakeServerCold       Fault = "backend server cold without notice"
	KillDataCentreNodes  Fault = "kill all nodes of a data centre"
	KillControl          Fault = "kill control host"
	PauseControl         Fault = "pause control host"
	StopControl          Fault = "planned stop of control host"
	WipeControlDisk      Fault = "disk of a control host lost"
	TearControlLog       Fault = "torn write at the end of a control host's log"
	DelayCalls           Fault = "calls to a node delayed"
	ResetCalls           Fault = "calls to a node reset"
	DropNodeResponses    Fault = "answers of a node cut"
	BlackholeCalls       Fault = "connections to a node silent"
	BlackholeStreams     Fault = "streams to a control host silent"
	DropControlResponses Fault = "answers of a control host cut"
	PublishNote          Fault = "note published"
	RaceNotes            Fault = "two notes with one number"
	TakeOutDataCentre    Fault = "data centre out and back"
)

var allFaults = []Fault{
	KillNode, PauseNode, StopNode, KillServer, PauseServer, MakeServerCold, KillDataCentreNodes, KillControl, PauseControl, StopControl,
	WipeControlDisk, TearControlLog, DelayCalls, ResetCalls, DropNodeResponses, BlackholeCalls, BlackholeStreams, DropControlResponses,
	PublishNote, RaceNotes, TakeOutDataCentre,
}

// Bounds of the drawn times and numbers.
const (
	maxConcurrentFaults                = 4
	maxFaultDelay                      = 400 * time.Millisecond
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 3 * time.Second
	minRoundPause, maxRoundPause       = 300 * time.Millisecond, 1500 * time.Millisecond
)

// Event is one drawn fault. Target selects among what the fault can hit.
type Event struct {
	Fault  Fault
	Target uint64
	// Delay is the time from the begin of its round, Last how long it lasts.
	Delay, Duration time.Duration
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
	r := Round{Pause: p.randomDuration(minRoundPause, maxRoundPause)}
	n := 1 + p.rng.IntN(maxConcurrentFaults)
	repeatFirst := p.rng.IntN(4) == 0
	first := p.drawEvent()
	for i := range n {
		e := p.drawEvent()
		if repeatFirst {
			e.Fault, e.Target, e.Delay = first.Fault, first.Target, time.Duration(i)*first.Duration
		}
		r.Events = append(r.Events, e)
	}
	return r
}

func (p *Plan) drawEvent() Event {
	return Event{
		Fault: allFaults[p.rng.IntN(len(allFaults))], Target: p.rng.Uint64(),
		Delay: p.randomDuration(0, maxFaultDelay), Duration: p.randomDuration(minFaultDuration, maxFaultDuration),
	}
}

func (p *Plan) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(p.rng.Int64N(int64(hi-lo)))
}
