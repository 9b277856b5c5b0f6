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
	// settleTime is the time after a repair during which a new fault still counts as
	// overlapping with the old one: two lease durations, in which other hosts notice
	// the fault, and a process start.
	settleTime = 5 * time.Second
	// shortWait is the time within which a process that cannot bind its addresses exits.
	// It is also the pause before a command is resent, the head start of a writer before
	// a planned stop, and the time for writing a goroutine dump.
	shortWait = 400 * time.Millisecond
	// stopTimeout bounds a planned stop: 1.5 s until the other nodes know of the
	// departure, 2 s for the longest route timeout, and a margin for a busy machine.
	stopTimeout = 10 * time.Second
	// groupRepairTimeout bounds the time from the repair of a control host until
	// the control group reports no problem.
	groupRepairTimeout = 20 * time.Second
	// callDelay is the delay that a relay adds before it forwards data of a call.
	callDelay = 150 * time.Millisecond
	// tornBytes is the number of zero bytes appended to a log to simulate a torn write:
	// after a power loss, allocated blocks that were never written read as zeros.
	// A control host rightly refuses any other bytes as damage.
	tornBytes = 37
)

// injector injects the faults of a plan and repairs each of them. At any time at most
// one control host and a third of the backend servers of a service have a fault,
// except while all nodes of a data centre are killed.
type injector struct {
	r *run

	// mu guards the fields below.
	mu            sync.Mutex
	busyHosts     map[model.HostID]bool
	activeByGroup map[model.ServiceName]int
	counts        map[Fault]int
	// active counts the faults in progress; lastRepair is when the last one was repaired.
	active     int
	lastRepair time.Time
}

// Target groups that are not services. The number of concurrent faults is limited for
// each group.
const (
	// controlGroup contains the control hosts.
	controlGroup model.ServiceName = "control"
	// operatorGroup contains the operator that sends commands.
	operatorGroup model.ServiceName = "operators"
	// dataCentreGroup contains the data centres whose nodes are killed together.
	dataCentreGroup model.ServiceName = "herd"
)

func newInjector(r *run) *injector {
	return &injector{r: r, busyHosts: map[model.HostID]bool{}, activeByGroup: map[model.ServiceName]int{}, counts: map[Fault]int{}}
}

// injectRounds injects rounds until ctx ends. All faults of a round are repaired
// before the next round starts.
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

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject injects one event into the target that it selects, and repairs it.
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

// injectReserved reserves the target and calls f to inject the fault and repair it.
// The fault is skipped if its host already has a fault or its group has maxActive.
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

// isOnlyFault reports whether the caller's fault is the only one in progress and the
// last repair of another one is longer ago than settleTime.
func (j *injector) isOnlyFault() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.active == 1 && time.Since(j.lastRepair) > settleTime
}

// injectControlFault injects a fault into one control host or the streams to it,
// and repairs it after the duration of the event.
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
			// The group exists already: a host with an empty disk must join it as
			// a non-voter and not form a new group.
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
			return nil // the fault phase has ended; awaitRecovery makes the final check
		case err != nil:
			return err
		case len(st.Status.Problems) > 0:
			return fmt.Errorf("control group reports problems %s after the repair: %s", groupRepairTimeout, strings.Join(st.Status.Problems, "; "))
		}
		return nil
	})
}

// appendTornWrite simulates a torn write at the end of the newest file of each log.
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

// injectServerFault injects a fault into a node, its backend server or the calls
// to the node, and repairs it after the duration of the event.
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

// restartDataCentreNodes kills all nodes of a data centre and starts them again together.
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

// stopDuringWrites stops a node with SIGTERM while a caller sends writes to it on a
// keep-alive connection. Unanswered writes are recorded only if no other fault
// could have caused them.
func (j *injector) stopDuringWrites(p *demo.Process, s *demo.BackendServer) error {
	k := newKeepAliveWriter(s.CallerURL)
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.run()
	}()
	time.Sleep(shortWait)
	onlyFault := j.isOnlyFault()
	err := stop(p)
	<-done
	if onlyFault && j.isOnlyFault() {
		j.r.recordUnanswered(k.unanswered)
	}
	return err
}

func kill(p *demo.Process) error {
	p.Kill()
	return nil
}

// stop asks a process to exit with SIGTERM. If it does not exit in time, stop sends
// SIGQUIT, which dumps the goroutines to the log, and kills it.
func stop(p *demo.Process) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	err := demo.Eventually(stopTimeout, func() error {
		if p.Running() {
			return fmt.Errorf("%s did not exit within %s of SIGTERM", p.Name, stopTimeout)
		}
		return nil
	})
	if err != nil {
		_ = p.Signal(syscall.SIGQUIT)
		time.Sleep(shortWait)
		p.Kill()
	}
	return err
}

// restart calls end to stop a process and starts it again after the downtime. It
// retries the start, which fails while another program uses one of its addresses.
func restart(p *demo.Process, down time.Duration, end func(*demo.Process) error) error {
	err := end(p)
	time.Sleep(down)
	again := demo.Eventually(startTimeout, func() error {
		if err := p.Start(); err != nil {
			return err
		}
		time.Sleep(shortWait)
		if !p.Running() {
			return fmt.Errorf("%s did not stay up after its restart", p.Name)
		}
		return nil
	})
	return errors.Join(err, again)
}

func pause(p *demo.Process, duration time.Duration) error {
	if err := ignoreEnded(p, p.Signal(syscall.SIGSTOP)); err != nil {
		return fmt.Errorf("pause: %w", err)
	}
	time.Sleep(duration)
	return ignoreEnded(p, p.Signal(syscall.SIGCONT))
}

// ignoreEnded drops the error of a signal to a process that another injection has ended. A
// process that ended by itself remains an error.
func ignoreEnded(p *demo.Process, err error) error {
	if errors.Is(err, os.ErrProcessDone) && p.Ending() {
		return nil
	}
	return err
}
