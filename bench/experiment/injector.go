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

// Fault names a kind of injected fault.
type Fault string

// The kinds of fault. "Cold without notice" resets a warm stand-in to its cold state.
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

// faults lists the kinds that randomEvent draws from, all with the same probability.
var faults = []Fault{
	FaultKillNode, FaultKillBackend, FaultPauseNode, FaultPauseBackend, FaultDrain, FaultStop, FaultCold,
	FaultKillControl, FaultPauseControl,
}

// Times of the faults. The random ones are drawn between a minimum and a maximum.
const (
	// gapMin and gapMax bound the time before the next fault.
	gapMin, gapMax = 300 * time.Millisecond, 1200 * time.Millisecond
	// downMin and downMax bound how long a killed or stopped process stays down.
	downMin, downMax = 500 * time.Millisecond, 3 * time.Second
	// pauseMin and pauseMax bound how long a process is paused by SIGSTOP.
	pauseMin, pauseMax = time.Second, 4 * time.Second
	// drainWait is the time from the drain request until the node is stopped.
	drainWait = 2500 * time.Millisecond
	// settleTime is the time after a repair before the same target can get another fault.
	settleTime = time.Second
)

// faultEvent is one random fault. The seed determines all of its fields.
type faultEvent struct {
	gap   time.Duration
	fault Fault
	// target selects the backend server or control host, modulo their number.
	target      uint64
	down, pause time.Duration
}

// randomEvent draws the next fault from rng.
func randomEvent(rng *rand.Rand) faultEvent {
	between := func(lo, hi time.Duration) time.Duration { return lo + time.Duration(rng.Int64N(int64(hi-lo))) }
	return faultEvent{
		gap: between(gapMin, gapMax), fault: faults[rng.IntN(len(faults))], target: rng.Uint64(),
		down: between(downMin, downMax), pause: between(pauseMin, pauseMax),
	}
}

// injector injects random faults and repairs each of them. At any time at most a
// third of the backend servers of a service and one control host have a fault.
type injector struct {
	s   *system
	rng *rand.Rand
	wg  sync.WaitGroup

	// mu guards the fields below.
	mu sync.Mutex
	// targeted holds the hosts that have a fault or were repaired less than settleTime ago.
	targeted map[model.HostID]bool
	// activeByGroup counts the targeted hosts of each service and of controlGroup.
	activeByGroup map[model.ServiceName]int
	counts        map[Fault]int
	errs          []error
	// portsTaken counts the restarts that failed because another program held an address.
	portsTaken int
}

// controlGroup is the key of the control hosts in injector.activeByGroup.
const controlGroup = model.ServiceName("control")

func newInjector(s *system, seed uint64) *injector {
	return &injector{
		s: s, rng: rand.New(rand.NewPCG(seed, seed)), targeted: map[model.HostID]bool{},
		activeByGroup: map[model.ServiceName]int{}, counts: map[Fault]int{},
	}
}

// run injects faults until ctx ends, and returns when all of them are repaired.
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

// maxTargets returns how many backend servers of a service may have a fault at a time.
func (j *injector) maxTargets(service model.ServiceName) int {
	for _, svc := range j.s.Size.Services {
		if svc.Name == service {
			return len(svc.DataCentres) / 3
		}
	}
	return 0
}

// reserve reserves a host for a fault. It returns false, and the fault is skipped,
// if the host is in use or its group is at the limit.
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

// release frees a repaired host after settleTime and records the error of the fault
// or its repair.
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
	// bindWait is the time within which a process that cannot bind its addresses exits.
	bindWait = 400 * time.Millisecond
	// restartTimeout bounds how long the start of a process is retried.
	restartTimeout = 30 * time.Second
	// stopTimeout bounds a planned stop of a node: 1.5 s until its departure
	// is known to the other nodes, 2 s for the longest route timeout, and a margin for a busy machine.
	stopTimeout = 10 * time.Second
)

// startWithRetry starts a process and retries if it exits because another program
// holds one of its addresses.
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
			return fmt.Errorf("%s could not be restarted within %s", p.Name, restartTimeout)
		}
		j.mu.Lock()
		j.portsTaken++
		j.mu.Unlock()
	}
}

// disruptProcess kills and restarts a process, or pauses and continues it.
func (j *injector) disruptProcess(p *demo.Process, e faultEvent, pause bool) error {
	if pause {
		if err := p.Signal(syscall.SIGSTOP); err != nil {
			return fmt.Errorf("pause %s: %w", p.Name, err)
		}
		time.Sleep(e.pause)
		return p.Signal(syscall.SIGCONT)
	}
	p.Kill()
	time.Sleep(e.down)
	return j.startWithRetry(p)
}

// disruptServer injects a fault at a backend server or its node and repairs it.
func (j *injector) disruptServer(b *demo.BackendServer, e faultEvent) error {
	switch e.fault {
	case FaultKillNode, FaultPauseNode:
		return j.disruptProcess(b.Node, e, e.fault == FaultPauseNode)
	case FaultKillBackend, FaultPauseBackend:
		return j.disruptProcess(b.Backend, e, e.fault == FaultPauseBackend)
	case FaultCold:
		return post("http://"+b.BackendAddress+"/_standin/cold", nil)
	case FaultDrain:
		if err := post(b.AdminURL+"/drain", nil); err != nil {
			return err
		}
		time.Sleep(drainWait)
	}
	// The node is started again even if its stop failed; both errors are returned.
	err := stopNode(b.Node)
	time.Sleep(e.down)
	return errors.Join(err, j.startWithRetry(b.Node))
}

// stopNode stops a node with SIGTERM. If it does not exit within stopTimeout, SIGQUIT
// makes it write its goroutines to its log, and it is killed.
func stopNode(p *demo.Process) error {
	began := time.Now()
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop %s: %w", p.Name, err)
	}
	err := demo.Eventually(stopTimeout, func() error {
		if p.Running() {
			return fmt.Errorf("%s did not exit within %s of SIGTERM", p.Name, stopTimeout)
		}
		return nil
	})
	if err == nil {
		return nil
	}
	_ = p.Signal(syscall.SIGQUIT)
	time.Sleep(bindWait)
	p.Kill()
	return fmt.Errorf("%w sent at %s; its goroutines are in its log", err, began.UTC().Format(time.TimeOnly))
}
