package experiment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
)

// Fault is a kind of fault.
type Fault string

// The faults that are injected.
const (
	FaultKillNode     Fault = "kill node"
	FaultKillBackend  Fault = "kill stand-in"
	FaultPauseNode    Fault = "pause node"
	FaultPauseBackend Fault = "pause stand-in"
	FaultDrain        Fault = "drain and restart"
	FaultStop         Fault = "planned stop of node"
	FaultCold         Fault = "cold without notice"
	FaultKillControl  Fault = "kill control host"
	FaultPauseControl Fault = "pause control host"
)

var faults = []Fault{
	FaultKillNode, FaultKillBackend, FaultPauseNode, FaultPauseBackend, FaultDrain, FaultStop, FaultCold,
	FaultKillControl, FaultPauseControl,
}

// Bounds of the random times.
const (
	gapMin, gapMax     = 300 * time.Millisecond, 1200 * time.Millisecond
	downMin, downMax   = 500 * time.Millisecond, 3 * time.Second
	pauseMin, pauseMax = time.Second, 4 * time.Second
	drainTime          = 2500 * time.Millisecond
	// settleTime is the time after a repair before the same target is hit again.
	settleTime = time.Second
)

// event is one drawn fault. All of its random parts come from the seed.
type event struct {
	gap         time.Duration
	fault       Fault
	target      uint64
	down, pause time.Duration
}

// draw returns the next fault.
func draw(rng *rand.Rand) event {
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	return event{
		gap: between(gapMin, gapMax), fault: faults[rng.IntN(len(faults))], target: rng.Uint64(),
		down: between(downMin, downMax), pause: between(pauseMin, pauseMax),
	}
}

// injector brings random faults about and repairs each of them. At most a third
// of the servers of a service and one control host are hit at a time.
type injector struct {
	s   *system
	rng *rand.Rand
	wg  sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	busy   map[model.HostID]bool
	inUse  map[model.ServiceName]int
	counts map[Fault]int
	errs   []error
	// portsTaken counts starts that failed because the address was taken.
	portsTaken int
}

// controlGroup counts the control hosts that are hit.
const controlGroup = model.ServiceName("control")

func newInjector(s *system, seed uint64) *injector {
	return &injector{
		s: s, rng: rand.New(rand.NewPCG(seed, seed)), busy: map[model.HostID]bool{},
		inUse: map[model.ServiceName]int{}, counts: map[Fault]int{},
	}
}

// run injects faults until ctx ends and waits until all are repaired.
func (j *injector) run(ctx context.Context) {
	defer j.wg.Wait()
	for {
		e := draw(j.rng)
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.gap):
		}
		j.start(e)
	}
}

func (j *injector) start(e event) {
	if e.fault == FaultKillControl || e.fault == FaultPauseControl {
		c := j.s.fleet.Controls[e.target%uint64(len(j.s.fleet.Controls))]
		if j.take(e.fault, c.Host, controlGroup, 1) {
			j.wg.Go(func() { j.finish(c.Host, controlGroup, j.hitProcess(c.Process, e, e.fault == FaultPauseControl)) })
		}
		return
	}
	b := j.s.fleet.Servers[e.target%uint64(len(j.s.fleet.Servers))]
	if j.take(e.fault, b.Host, b.Service, j.bound(b.Service)) {
		j.wg.Go(func() { j.finish(b.Host, b.Service, j.hitServer(b, e)) })
	}
}

// bound is the number of servers of a service that may be hit at a time.
func (j *injector) bound(service model.ServiceName) int {
	for _, svc := range j.s.Size.Services {
		if svc.Name == service {
			return len(svc.Places) / 3
		}
	}
	return 0
}

// take reserves a target; a fault whose target is in use is left out.
func (j *injector) take(f Fault, host model.HostID, group model.ServiceName, bound int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.busy[host] || j.inUse[group] >= bound {
		return false
	}
	j.busy[host] = true
	j.inUse[group]++
	j.counts[f]++
	return true
}

// finish frees a target after its repair.
func (j *injector) finish(host model.HostID, group model.ServiceName, err error) {
	time.Sleep(settleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.busy, host)
	j.inUse[group]--
	if err != nil {
		j.errs = append(j.errs, err)
	}
}

const (
	// bindTime is the time within which a process that cannot bind its addresses ends.
	bindTime = 400 * time.Millisecond
	// startAgainLimit bounds how long a start is repeated.
	startAgainLimit = 30 * time.Second
	// stopBound is the time that a planned stop may take: 1.5 s until the
	// departure is known, 2 s of the longest route, and a margin for a busy machine.
	stopBound = 10 * time.Second
)

// startProcess starts a process, again while another program holds one of its addresses.
func (j *injector) startProcess(p *demo.Process) error {
	for end := time.Now().Add(startAgainLimit); ; {
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(bindTime)
		if p.Running() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s did not stay up for %s after its restart", p.Name, startAgainLimit)
		}
		j.mu.Lock()
		j.portsTaken++
		j.mu.Unlock()
	}
}

// hitProcess kills and restarts a process, or pauses it.
func (j *injector) hitProcess(p *demo.Process, e event, pause bool) error {
	if pause {
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("pause of %s: %w", p.Name, err)
		}
		time.Sleep(e.pause)
		return p.Signal(syscall.SIGCONT)
	}
	p.Kill()
	time.Sleep(e.down)
	return j.startProcess(p)
}

// hitServer brings a fault about at a backend server or its node and repairs it.
func (j *injector) hitServer(b *demo.BackendServer, e event) error {
	switch e.fault {
	case FaultKillNode, FaultPauseNode:
		return j.hitProcess(b.Node, e, e.fault == FaultPauseNode)
	case FaultKillBackend, FaultPauseBackend:
		return j.hitProcess(b.Backend, e, e.fault == FaultPauseBackend)
	case FaultCold:
		return post("http://"+b.BackendAddress+"/_standin/cold", nil)
	case FaultDrain:
		if err := post(b.Admin+"/drain", nil); err != nil {
			return err
		}
		time.Sleep(drainTime)
	}
	// An error of the stop is reported after the node has been started again.
	err := stopNode(b.Node)
	time.Sleep(e.down)
	return errors.Join(err, j.startProcess(b.Node))
}

// stopNode stops a node by plan. One that does not end in time is made to write
// its goroutines to its log.
func stopNode(p *demo.Process) error {
	began := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop of %s: %w", p.Name, err)
	}
	err := demo.Eventually(stopBound, func() error {
		if p.Running() {
			return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, stopBound)
		}
		return nil
	})
	if err == nil {
		return nil
	}
	_ = p.Signal(syscall.SIGQUIT)
	time.Sleep(bindTime)
	p.Kill()
	return fmt.Errorf("%w at %s; its goroutines are in its log", err, began.UTC().Format(time.TimeOnly))
}
