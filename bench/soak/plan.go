package soak

import (
	"math/rand/v2"
	"time"
)

// Fault is a kind of fault, planned stop or operator command.
type Fault string

// Faults of processes are injected by signals and by changes to their data, faults of
// calls and streams by the relays.
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

// Bounds of the random values.
const (
	// maxConcurrentFaults is the largest number of faults in a round.
	maxConcurrentFaults = 4
	// maxFaultDelay bounds the time from the start of a round to a fault that is not
	// a repetition.
	maxFaultDelay = 400 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the time until a fault is repaired.
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 3 * time.Second
	// minRoundPause and maxRoundPause bound the fault-free time between two rounds.
	minRoundPause, maxRoundPause = 300 * time.Millisecond, 1500 * time.Millisecond
)

// Event is one fault of a plan. Target, modulo the number of possible targets, selects
// the process or data centre.
type Event struct {
	Fault  Fault
	Target uint64
	// Delay is the time from the start of the round to the fault; Duration is how
	// long the fault lasts.
	Delay, Duration time.Duration
}

// Round is a set of overlapping events and the pause after them.
type Round struct {
	Events []Event
	Pause  time.Duration
}

// Plan generates the rounds of a run. The seed determines all of them.
type Plan struct{ rng *rand.Rand }

// NewPlan returns the plan for a seed.
func NewPlan(seed uint64) *Plan { return &Plan{rng: rand.New(rand.NewPCG(seed, 17))} }

// Next returns the next round. One round in four repeats the same fault on the same
// target, for example a process that keeps crashing.
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
