package faults

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

// repeat returns a list with each data centre n times.
func repeat(n int, dcs ...model.DataCentre) []model.DataCentre {
	var out []model.DataCentre
	for range n {
		out = append(out, dcs...)
	}
	return out
}

const (
	// restartTimeout bounds the time until all restarted nodes route, and then until
	// they reach all services.
	restartTimeout = 20 * time.Second
	// ledgerNodesPerDataCentre is the number of nodes of the ledger service in each data
	// centre.
	ledgerNodesPerDataCentre = 9
)

// restartAllNodes kills all nodes at once, publishes a note while they are down and
// restarts them together.
func restartAllNodes(e *env) error {
	if err := e.startMesh(repeat(ledgerNodesPerDataCentre, allDataCentres...), allDataCentres); err != nil {
		return err
	}
	began := time.Now()
	for _, s := range e.Servers {
		s.Node.Kill()
	}
	killed := time.Since(began)
	if killed > time.Second {
		e.logProgress("the kills took %s", killed)
	}
	c, err := e.client()
	if err != nil {
		return err
	}
	res, err := e.publish(c, operator.NewOperationID(), withdrawNote)
	if err != nil {
		return err
	}
	before, err := e.controlBytes()
	if err != nil {
		return err
	}
	for _, s := range e.Servers {
		if err := s.Node.Start(); err != nil {
			return err
		}
	}
	took, err := timeUntil(restartTimeout, func() error { return e.checkAllRoute(res.Position.Index) })
	if err != nil {
		return fmt.Errorf("not all nodes route after %s: %w", restartTimeout, err)
	}
	after, err := e.controlBytes()
	if err != nil {
		return err
	}
	serviceTime, err := timeUntil(restartTimeout, e.checkAllServe)
	if err != nil {
		return fmt.Errorf("not all nodes serve: %w", err)
	}
	e.addFigure("%d nodes killed in %s route by the newest note %s after the restart and reach all services %s later",
		len(e.Servers), seconds(killed), seconds(took), seconds(serviceTime))
	e.addFigure("control hosts sent %.0f KB, %.1f KB a node", float64(after-before)/1000,
		float64(after-before)/1000/float64(len(e.Servers)))
	return nil
}

// controlBytes returns the number of bytes that the running control hosts have sent.
func (e *env) controlBytes() (int64, error) {
	var sum int64
	for _, c := range e.Controls {
		if !c.Running() {
			continue
		}
		n, err := e.metricValue(c, "control.bytes_sent")
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

const (
	// lateNotes is the number of notes published while the node is down.
	lateNotes = 300
	// catchUpTimeout bounds the time until the restarted node has the newest note in force.
	catchUpTimeout = 15 * time.Second
)

// restartLateNode stops a node, publishes many notes and restarts the node. Route "old"
// is withdrawn before the stop, so an answer on it shows that the node routes by an
// older note than before the stop.
func restartLateNode(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	entries, others := e.entryNodes()
	late := others[0]
	e.startLoad(entries)
	c, err := e.client()
	if err != nil {
		return err
	}
	res, err := e.publish(c, operator.NewOperationID(), withdrawNote)
	if err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, func() error { return e.checkAllRoute(res.Position.Index) }); err != nil {
		return err
	}
	served := res.Position.Index
	if err := late.Node.Stop(); err != nil {
		return err
	}
	began := time.Now()
	for i := range lateNotes {
		n := 3 + i
		if res, err = e.publish(c, operator.NewOperationID(), smallNote(n, fmt.Sprintf("small note %d", n))); err != nil {
			return fmt.Errorf("note %d: %w", n, err)
		}
	}
	e.logProgress("%d notes published in %s", lateNotes, seconds(time.Since(began)))
	watch := watchWithdrawnRoute(late, served)
	began = time.Now()
	if err := late.Node.Start(); err != nil {
		return err
	}
	var st demo.NodeStatus
	err = demo.Eventually(catchUpTimeout, func() error {
		st, err = late.Status()
		if err == nil && (!st.Routable || st.Position.Index < res.Position.Index) {
			err = fmt.Errorf("routable %t, index %d of %d", st.Routable, st.Position.Index, res.Position.Index)
		}
		return err
	})
	took := time.Since(began)
	if werr := watch(); werr != nil || err != nil {
		return errors.Join(err, werr)
	}
	e.endLoad()
	if n := notOK(e.flowReport(lookupFlow)); n > 0 {
		return fmt.Errorf("%d of %d lookups not answered in time", n, e.flowReport(lookupFlow).Sent)
	}
	e.addFigure("caught up with %d notes %s after the start with %.1f KB received", lateNotes, seconds(took),
		float64(st.BytesReceived)/1000)
	return nil
}

// watchWithdrawnRoute sends requests for the withdrawn route to the node until the
// returned function is called. That function returns an error if the node routed
// by an older note or a lower index than served.
func watchWithdrawnRoute(s *demo.BackendServer, served uint64) func() error {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var found error
	wg.Go(func() {
		for {
			if code, err := statusCode(s.CallerURL + "/old/1"); err == nil && code != http.StatusNotFound && code != http.StatusServiceUnavailable {
				found = fmt.Errorf("withdrawn route answered with status %d", code)
			}
			if st, err := s.Status(); err == nil && st.Routable && st.Position.Index < served {
				found = fmt.Errorf("node routes by index %d after it served %d", st.Position.Index, served)
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	return func() error { close(stop); wg.Wait(); return found }
}

// maxConvergenceTime bounds the time until an accepted note is in force on all nodes.
const maxConvergenceTime = 4 * time.Second

// restartEachNode stops every node in turn with SIGTERM and starts it again. Callers use
// entry nodes that are not restarted meanwhile; all their requests must be answered.
func restartEachNode(e *env) error {
	if err := e.startMesh(append(repeat(9, "thun"), "bern-altstadt", "burgdorf"), allDataCentres); err != nil {
		return err
	}
	c, err := e.client()
	if err != nil {
		return err
	}
	rosters, ledgers := e.entryNodes()
	r := &rollingRestart{e: e, c: c, nextNote: 2}
	for _, g := range [][2][]*demo.BackendServer{{rosters, ledgers}, {ledgers, rosters}} {
		e.startLoad(g[0])
		for _, s := range g[1] {
			if err := r.restart(s); err != nil {
				return err
			}
		}
		e.endLoad()
	}
	for _, f := range e.report.Flows() {
		if n := notOK(f); n > 0 {
			for _, line := range e.report.Details() {
				e.logProgress("not ok: %s", line)
			}
			return fmt.Errorf("%d of %d requests of %s were not answered in time: %v", n, f.Sent, f.Name, f.Outcomes)
		}
	}
	if r.parentsStopped == 0 {
		return errors.New("no node with children was stopped")
	}
	if err := e.checkParentHandovers(); err != nil {
		return err
	}
	e.addFigure("%d nodes restarted, longest stop %s; %d of them had children, notes published at their stop in force within %s",
		len(e.Servers), seconds(r.longestStop), r.parentsStopped, seconds(r.slowestNote))
	f := e.flowReport(lookupFlow)
	e.addFigure("%d lookups all answered, p99 %.1f ms", f.Sent, f.P99)
	return nil
}

// checkParentHandovers checks that every child of a stopping node switched to another
// parent before its stream from the stopping node ended.
func (e *env) checkParentHandovers() error {
	var found error
	for _, s := range e.Servers {
		e.scanLog(string(s.Host), func(line string) {
			for _, p := range e.Servers {
				if strings.Contains(line, `"parent lost"`) && strings.Contains(line, `"parent":"`+string(p.Host)+`"`) && !strings.Contains(line, `"lived":"0s"`) {
					found = fmt.Errorf("%s lost its parent without a handover: %s", s.Host, line)
				}
			}
		})
	}
	return found
}

// rollingRestart restarts nodes one after the other and records the longest times.
type rollingRestart struct {
	e *env
	c *operator.Client
	// nextNote is the number of the next note to publish.
	nextNote int
	// parentsStopped counts the stopped nodes that had children.
	parentsStopped int
	// longestStop is the longest time from SIGTERM to the exit of a node.
	longestStop time.Duration
	// slowestNote is the longest time until a note was in force on all other nodes.
	slowestNote time.Duration
}

// restart stops a node and starts it again. If the node has children, a note is
// published during its stop.
func (r *rollingRestart) restart(s *demo.BackendServer) error {
	childrenBefore, err := childCount(s)
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	began := time.Now()
	go func() { stopped <- s.Node.Stop() }()
	if childrenBefore > 0 {
		r.parentsStopped++
		if err := r.publishDuring(s); err != nil {
			return err
		}
	}
	if err := <-stopped; err != nil {
		return fmt.Errorf("node %s exited with %w", s.Host, err)
	}
	r.longestStop = max(r.longestStop, time.Since(began))
	if n := r.e.countLog(string(s.Host), "planned stop cuts requests"); n > 0 {
		return fmt.Errorf("node %s cut requests during its planned stop", s.Host)
	}
	if err := s.Node.Start(); err != nil {
		return err
	}
	return demo.Eventually(startTimeout, func() error {
		code, err := statusCode(s.CallerURL + "/cabinets/7")
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("node %s answers %d", s.Host, code)
		}
		return err
	})
}

// publishDuring publishes a note while s stops and waits until the note is in force on
// all other nodes.
func (r *rollingRestart) publishDuring(s *demo.BackendServer) error {
	res, err := r.e.publish(r.c, operator.NewOperationID(), smallNote(r.nextNote, "during a stop"))
	if err != nil {
		return err
	}
	r.nextNote++
	took, err := timeUntil(startTimeout, func() error {
		for _, o := range r.e.Servers {
			if o == s {
				continue
			}
			if st, err := o.Status(); err != nil || st.Position.Index < res.Position.Index {
				return fmt.Errorf("node %s: index %d of %d, %w", o.Host, st.Position.Index, res.Position.Index, err)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	r.slowestNote = max(r.slowestNote, took)
	if took > maxConvergenceTime {
		return fmt.Errorf("note took %s during the stop of a parent", took)
	}
	return nil
}
