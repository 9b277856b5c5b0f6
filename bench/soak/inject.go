package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/settings"
)

const (
	// settleTime must pass behind a fault until another counts as alone: two lease
	// times, in which others learn of it, and a start.
	settleTime = 5 * time.Second
	// bindWait is the time within which a process that cannot bind its addresses ends.
	bindWait = 400 * time.Millisecond
	// stopTimeout is the time that a planned stop may take: 1.5 s until the departure
	// is known, 2 s of the longest route, and a margin for a busy machine.
	stopTimeout = 10 * time.Second
	// groupRepairTimeout is the time until the control group is whole again behind a fault
	// of one of its hosts.
	groupRepairTimeout = 20 * time.Second
	callDelay          = 150 * time.Millisecond
	// tornBytes of zeros are appended to a log, as blocks that a loss of power left
	// allocated and not written. Other bytes would be damage, which a control host
	// rightly refuses.
	tornBytes = 37
)

// injector brings the drawn faults about and repairs each of them. At most one
// control host and a third of the backend servers of a service are harmed at a
// time, unless the fault is the loss of all nodes of a data centre.
type injector struct {
	r *run

	// mu guards the fields below.
	mu            sync.Mutex
	busyHosts     map[model.HostID]bool
	activeByGroup map[model.ServiceName]int
	counts        map[Fault]int
	// active counts the faults in progress, calm is when the last one was repaired.
	active     int
	lastRepair time.Time
}

// controlGroup and operators are groups of targets besides the services.
const (
	controlGroup    model.ServiceName = "control"
	operatorGroup   model.ServiceName = "operators"
	dataCentreGroup model.ServiceName = "herd"
)

func newInjector(r *run) *injector {
	return &injector{r: r, busyHosts: map[model.HostID]bool{}, activeByGroup: map[model.ServiceName]int{}, counts: map[Fault]int{}}
}

// injectRounds injects rounds until ctx ends; each round is repaired when it is over.
func (j *injector) injectRounds(ctx context.Context, p *Plan) {
	for ctx.Err() == nil {
		round := p.Next()
		var events sync.WaitGroup
		for _, e := range round.Events {
			events.Go(func() {
				if sleep(ctx, e.Delay) {
					j.inject(ctx, e)
				}
			})
		}
		events.Wait()
		sleep(ctx, round.Pause)
	}
}

// sleep waits for d; it returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (j *injector) inject(ctx context.Context, e Event) {
	f := j.r.fleet
	control := f.Controls[e.Target%uint64(len(f.Controls))]
	server := f.Servers[e.Target%uint64(len(f.Servers))]
	switch e.Fault {
	case KillControl, PauseControl, StopControl, WipeControlDisk, TearControlLog, BlackholeStreams, DropControlResponses:
		j.injectReserved(e, control.Host, controlGroup, 1, func() error { return errors.Join(j.injectControlFault(e, control), j.awaitHealthyGroup(ctx)) })
	case PublishNote, RaceNotes:
		j.injectReserved(e, "operator", operatorGroup, 1, func() error { return j.r.publishNotes(ctx, e) })
	case TakeOutDataCentre:
		j.injectReserved(e, "operator", operatorGroup, 1, func() error { return j.takeOutAndReturn(ctx, e) })
	case KillDataCentreNodes:
		dc := f.DataCentres[e.Target%uint64(len(f.DataCentres))]
		j.injectReserved(e, model.HostID(dc), dataCentreGroup, 1, func() error { return j.restartDataCentreNodes(e, dc) })
	default:
		serverCount := 0
		for _, s := range f.Servers {
			if s.Service == server.Service {
				serverCount++
			}
		}
		j.injectReserved(e, server.Host, server.Service, serverCount/3, func() error { return j.injectServerFault(e, server) })
	}
}

// injectReserved reserves a target for a fault; one whose target is in use is left out.
func (j *injector) injectReserved(e Event, host model.HostID, group model.ServiceName, maxActive int, f func() error) {
	j.mu.Lock()
	if j.busyHosts[host] || j.activeByGroup[group] >= maxActive {
		j.mu.Unlock()
		return
	}
	j.busyHosts[host] = true
	j.activeByGroup[group]++
	j.counts[e.Fault]++
	j.active++
	j.mu.Unlock()
	j.r.logProgress("%s: %s for %s", e.Fault, host, e.Duration.Round(time.Millisecond))
	err := f()
	if err != nil {
		j.r.recordViolation("%s at %s: %v", e.Fault, host, err)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.busyHosts, host)
	j.activeByGroup[group]--
	j.active--
	j.lastRepair = time.Now()
}

// isOnlyFault reports whether the caller's fault is the only one, and was so for some time.
func (j *injector) isOnlyFault() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.active == 1 && time.Since(j.lastRepair) > settleTime
}

// injectControlFault harms one control host.
func (j *injector) injectControlFault(e Event, c *demo.ControlHost) error {
	switch e.Fault {
	case BlackholeStreams:
		j.r.relays.streams[c.Host].Blackhole()
		time.Sleep(e.Duration)
		return nil
	case DropControlResponses:
		j.r.relays.streams[c.Host].SetDropResponses(true)
		time.Sleep(e.Duration)
		j.r.relays.streams[c.Host].SetDropResponses(false)
		return nil
	case PauseControl:
		return pause(c.Process, e.Duration)
	case StopControl:
		return restart(c.Process, e.Duration, stop)
	case WipeControlDisk:
		return restart(c.Process, e.Duration, func(p *demo.Process) error {
			p.Kill()
			// The group exists, so that a host with an empty disk joins it.
			err := j.r.fleet.EditControl(c.Host, func(s *settings.Control) error {
				for i := range s.ControlHosts {
					s.ControlHosts[i].Voter = false
				}
				return nil
			})
			return errors.Join(err, os.RemoveAll(j.r.fleet.DataDir(c.Host)))
		})
	case TearControlLog:
		return restart(c.Process, e.Duration, func(p *demo.Process) error {
			p.Kill()
			return appendTornWrite(j.r.fleet.DataDir(c.Host))
		})
	}
	return restart(c.Process, e.Duration, kill)
}

// awaitHealthyGroup waits until the control group reports no problem.
func (j *injector) awaitHealthyGroup(ctx context.Context) error {
	c, err := j.r.fleet.Client()
	if err != nil {
		return err
	}
	defer c.Close()
	return demo.Eventually(groupRepairTimeout, func() error {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		st, err := c.Status(requestCtx)
		switch {
		case ctx.Err() != nil:
			return nil // the run is over; checkRecovered decides
		case err != nil:
			return err
		case len(st.Status.Problems) > 0:
			return fmt.Errorf("not whole %s after the repair: %s", groupRepairTimeout, strings.Join(st.Status.Problems, "; "))
		}
		return nil
	})
}

// appendTornWrite appends to the newest file of each log what a cut-off write leaves.
func appendTornWrite(dir string) error {
	newest := map[string]string{}
	err := filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".wal") {
			newest[filepath.Dir(path)] = max(newest[filepath.Dir(path)], path)
		}
		return err
	})
	if err != nil {
		return err
	}
	for _, path := range newest {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		_, err = f.Write(make([]byte, tornBytes))
		if err = errors.Join(err, f.Close()); err != nil {
			return err
		}
	}
	return nil
}

// injectServerFault harms a node, its backend server or the way to it.
func (j *injector) injectServerFault(e Event, s *demo.BackendServer) error {
	calls := j.r.relays.calls[s.Host]
	switch e.Fault {
	case KillNode:
		return restart(s.Node, e.Duration, kill)
	case PauseNode:
		return pause(s.Node, e.Duration)
	case StopNode:
		return restart(s.Node, e.Duration, func(p *demo.Process) error { return j.stopDuringWrites(p, s) })
	case KillServer:
		return restart(s.Backend, e.Duration, kill)
	case PauseServer:
		return pause(s.Backend, e.Duration)
	case MakeServerCold:
		return post("http://" + s.BackendAddress + "/_standin/cold")
	case DelayCalls:
		calls.SetDelay(callDelay)
		defer calls.SetDelay(0)
	case ResetCalls:
		calls.Reset()
	case DropNodeResponses:
		calls.SetDropResponses(true)
		defer calls.SetDropResponses(false)
	case BlackholeCalls:
		calls.Blackhole()
	}
	time.Sleep(e.Duration)
	return nil
}

// restartDataCentreNodes kills all nodes of a data centre and starts them together.
func (j *injector) restartDataCentreNodes(e Event, dc model.DataCentre) error {
	var errs [64]error
	var wg sync.WaitGroup
	n := 0
	for _, s := range j.r.fleet.Servers {
		if s.DataCentre != dc || n == len(errs) {
			continue
		}
		slot := &errs[n]
		n++
		wg.Go(func() { *slot = restart(s.Node, e.Duration, kill) })
	}
	wg.Wait()
	return errors.Join(errs[:]...)
}

// stopDuringWrites stops a node by plan while callers use a connection to it.
func (j *injector) stopDuringWrites(p *demo.Process, s *demo.BackendServer) error {
	k := newKeepAliveWriter(s.Caller)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.run()
	}()
	time.Sleep(bindWait)
	alone := j.isOnlyFault()
	err := stop(p)
	<-done
	if alone && j.isOnlyFault() {
		j.r.recordUnanswered(k.unanswered)
	}
	return err
}

func kill(p *demo.Process) error {
	p.Kill()
	return nil
}

// stop ends a process by plan. One that does not end in time writes its goroutines
// to its log.
func stop(p *demo.Process) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	err := demo.Eventually(stopTimeout, func() error {
		if p.Running() {
			return fmt.Errorf("%s did not end within %s of SIGTERM", p.Name, stopTimeout)
		}
		return nil
	})
	if err != nil {
		_ = p.Signal(syscall.SIGQUIT)
		time.Sleep(bindWait)
		p.Kill()
	}
	return err
}

// restart ends a process and starts it again after a time, more than once while
// another program holds one of its addresses.
func restart(p *demo.Process, down time.Duration, end func(*demo.Process) error) error {
	err := end(p)
	time.Sleep(down)
	again := demo.Eventually(startTimeout, func() error {
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(bindWait)
		if !p.Running() {
			return fmt.Errorf("%s did not stay up after its restart", p.Name)
		}
		return nil
	})
	return errors.Join(err, again)
}

func pause(p *demo.Process, duration time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return fmt.Errorf("pause: %w", err)
	}
	time.Sleep(duration)
	return p.Signal(syscall.SIGCONT)
}
