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
	drainWait          = 2500 * time.Millisecond
	// settleTime is the time after a repair before the same target is hit again.
	settleTime = time.Second
)

// event is one drawn fault. All of its random parts come from the seed.
type faultEvent struct {
	gap         time.Duration
	fault       Fault
	target      uint64
	down, pause time.Duration
}

// draw returns the next fault.
func randomEvent(rng *rand.Rand) faultEvent {
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	return faultEvent{
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
	mu            sync.Mutex
	targeted      map[model.HostID]bool
	activeByGroup map[model.ServiceName]int
	counts        map[Fault]int
	errs          []error
	// portsTaken counts starts that failed because the address was taken.
	portsTaken int
}

// controlGroup counts the control hosts that are hit.
const controlGroup = model.ServiceName("control")

func newInjector(s *system, seed uint64) *injector {
	return &injector{
		s: s, rng: rand.New(rand.NewPCG(seed, seed)), targeted: map[model.HostID]bool{},
		activeByGroup: map[model.ServiceName]int{}, counts: map[Fault]int{},
	}
}

// run injects faults until ctx ends and waits until all are repaired.
func (j *injector) run(ctx context.Context) {
	defer j.wg.Wait()
	for {
		e := randomEvent(j.rng)
		select {
		case <-ctx.Done():
			return
		case <-time.After(e.gap):
		}
		j.inject(e)
	}
}

func (j *injector) inject(e faultEvent) {
	if e.fault == FaultKillControl || e.fault == FaultPauseControl {
		c := j.s.fleet.Controls[e.target%uint64(len(j.s.fleet.Controls))]
		if j.reserve(e.fault, c.Host, controlGroup, 1) {
			j.wg.Go(func() { j.release(c.Host, controlGroup, j.disruptProcess(c.Process, e, e.fault == FaultPauseControl)) })
		}
		return
	}
	b := j.s.fleet.Servers[e.target%uint64(len(j.s.fleet.Servers))]
	if j.reserve(e.fault, b.Host, b.Service, j.maxTargets(b.Service)) {
		j.wg.Go(func() { j.release(b.Host, b.Service, j.disruptServer(b, e)) })
	}
}

// bound is the number of servers of a service that may be hit at a time.
func (j *injector) maxTargets(service model.ServiceName) int {
	for _, svc := range j.s.Size.Services {
		if svc.Name == service {
			return len(svc.DataCentres) / 3
		}
	}
	return 0
}

// take reserves a target; a fault whose target is in use is left out.
func (j *injector) reserve(f Fault, host model.HostID, group model.ServiceName, limit int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.targeted[host] || j.activeByGroup[group] >= limit {
		return false
	}
	j.targeted[host] = true
	j.activeByGroup[group]++
	j.counts[f]++
	return true
}

// finish frees a target after its repair.
func (j *injector) release(host model.HostID, group model.ServiceName, err error) {
	time.Sleep(settleTime)
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.targeted, host)
	j.activeByGroup[group]--
	if err != nil {
		j.errs = append(j.errs, err)
	}
}

const (
	// bindTime is the time within which a process that cannot bind its addresses ends.
	bindWait = 400 * time.Millisecond
	// startAgainLimit bounds how long a start is repeated.
	restartTimeout = 30 * time.Second
	// stopBound is the time that a planned stop may take: 1.5 s until the
	// departure is known, 2 s of the longest route, and a margin for a busy machine.
	stopTimeout = 10 * time.Second
)

// startProcess starts a process, again while another program holds one of its addresses.
func (j *injector) startWithRetry(p *demo.Process) error {
	for end := time.Now().Add(restartTimeout); ; {
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(bindWait)
		if p.Running() {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s did not stay up for %s after its restart", p.Name, restartTimeout)
		}
		j.mu.Lock()
		j.portsTaken++
		j.mu.Unlock()
	}
}

// hitProcess kills and restarts a process, or pauses it.
func (j *injector) disruptProcess(p *demo.Process, e faultEvent, pause bool) error {
	if pause {
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("pause of %s: %w", p.Name, err)
		}
		time.Sleep(e.pause)
		return p.Signal(syscall.SIGCONT)
	}
	p.Kill()
	time.Sleep(e.down)
	return j.startWithRetry(p)
}

// hitServer brings a fault about at a backend server or its node and repairs it.
func (j *injector) disruptServer(b *demo.BackendServer, e faultEvent) error {
	switch e.fault {
	case FaultKillNode, FaultPauseNode:
		return j.disruptProcess(b.Node, e, e.fault == FaultPauseNode)
	case FaultKillBackend, FaultPauseBackend:
		return j.disruptProcess(b.Backend, e, e.fault == FaultPauseBackend)
	case FaultCold:
		return post("http://"+b.BackendAddress+"/_standin/cold", nil)
	case FaultDrain:
		if err := post(b.Admin+"/drain", nil); err != nil {
			return err
		}
		time.Sleep(drainWait)
	}
	// An error of the stop is reported after the node has been started again.
	err := stopNode(b.Node)
	time.Sleep(e.down)
	return errors.Join(err, j.startWithRetry(b.Node))
}

// stopNode stops a node by plan. One that does not end in time is made to write
// its goroutines to its log.
func stopNode(p *demo.Process) error {
	began := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop of %s: %w", p.Name, err)
	}
	err := demo.Eventually(stopTimeout, func() error {
		if p.Running() {
			return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, stopTimeout)
		}
		return nil
	})
	if err == nil {
		return nil
	}
	_ = p.Signal(syscall.SIGQUIT)
	time.Sleep(bindWait)
	p.Kill()
	return fmt.Errorf("%w at %s; its goroutines are in its log", err, began.UTC().Format(time.TimeOnly))
}
