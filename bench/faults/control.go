package faults

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
	"balsamtrail.org/mesh/settings"
)

// metricValue returns the value or count of one metric of a control host.
func (e *env) metricValue(c *demo.ControlHost, name string) (int64, error) {
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, "https://"+c.OperatorAddress+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	client, err := e.operatorHTTPClient()
	if err != nil {
		return 0, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(b, &all); err != nil {
		return 0, err
	}
	var v struct{ Value, Count int64 }
	if err := json.Unmarshal(all[name], &v); err != nil {
		return 0, fmt.Errorf("metric %s of %s: %w", name, c.Host, err)
	}
	return v.Value + v.Count, nil
}

const (
	// leaderKills is the number of times the leader is killed during the move.
	leaderKills = 3
	// moveDuration is the time from the publication of the move to its deadline. The
	// scenario waits as long again after the kills for the move to complete.
	moveDuration = 40 * time.Second
	// moveLoadFactor multiplies the load, so that the first small share gets enough
	// calls to be judged. Every new leader collects these results from zero.
	moveLoadFactor = 4
	// killInterval is the time from the restart of a leader to the next kill.
	killInterval = 4 * time.Second
	// leaderDowntime is the time from a kill of the leader to its restart.
	leaderDowntime = 2 * time.Second
)

// killLeaderDuringMove kills the leader three times during a move. The move must complete
// exactly once, and no confirmed read may show a decreasing share.
func killLeaderDuringMove(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	for _, s := range backendSpecs("ledger", "v2", ledgerDataCentres) {
		b, err := e.Add(s)
		if err != nil {
			return err
		}
		if err := b.Start(); err != nil {
			return err
		}
	}
	entries, _ := e.entryNodes()
	e.loadFactor = moveLoadFactor
	e.startLoad(entries)
	c, err := e.client()
	if err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, func() error { return e.checkAllRoute(1) }); err != nil {
		return err
	}
	began := time.Now()
	if _, err := e.publish(c, operator.NewOperationID(), moveNote(2, began.Add(moveDuration))); err != nil {
		return err
	}
	watch := e.watchMove()
	for range leaderKills {
		time.Sleep(killInterval)
		if err := e.killLeader(); err != nil {
			return errors.Join(err, watch.stopAndReport())
		}
	}
	view, err := e.awaitMove(c, moveDuration)
	took := time.Since(began)
	if err := errors.Join(err, watch.stopAndReport()); err != nil {
		return err
	}
	completions := 0
	for i, s := range view.Steps {
		if s.Share == model.ShareAll && (i == 0 || view.Steps[i-1].Share != model.ShareAll) {
			completions++
		}
	}
	if completions != 1 {
		return fmt.Errorf("the move completed %d times: %+v", completions, view.Steps)
	}
	e.addFigure("move of %s completed once in %s with %d leader kills and %d steps, the share fell in none of %d confirmed reads",
		moveDuration, seconds(took), leaderKills, len(view.Steps), watch.reads)
	e.addFigure("lookups not answered in time %d of %d", notOK(e.flowReport(lookupFlow)), e.flowReport(lookupFlow).Sent)
	return nil
}

// killLeader kills the leader and starts it again after leaderDowntime.
func (e *env) killLeader() error {
	var leader *demo.ControlHost
	err := demo.Eventually(startTimeout, func() (err error) { leader, err = e.Leader(); return err })
	if err != nil {
		return err
	}
	leader.Kill()
	e.logProgress("leader %s killed", leader.Host)
	time.Sleep(leaderDowntime)
	return leader.Start()
}

// awaitMove waits until the move of the ledger service is in state MoveDone.
func (e *env) awaitMove(c *operator.Client, limit time.Duration) (operator.MoveView, error) {
	var v operator.MoveView
	err := demo.Eventually(limit, func() error {
		a, err := c.Move(e.ctx, "ledger")
		if err != nil {
			return err
		}
		if v = a.Move; v.State != operator.MoveDone {
			return fmt.Errorf("move is %s at %d: %s", v.State, v.Share, v.Reason)
		}
		return nil
	})
	return v, err
}

// moveWatcher polls the move of the ledger service on every control host and checks the
// confirmed reads.
type moveWatcher struct {
	stop  context.CancelFunc
	wg    sync.WaitGroup
	mu    sync.Mutex
	reads int
	err   error
	steps []operator.StepView
}

// watchMove starts a moveWatcher.
func (e *env) watchMove() *moveWatcher {
	ctx, cancel := context.WithCancel(e.ctx)
	w := &moveWatcher{stop: cancel}
	for _, h := range e.Controls {
		c, err := e.client(h)
		if err != nil {
			w.err = err
			continue
		}
		w.wg.Go(func() {
			for ctx.Err() == nil {
				attemptCtx, stop := context.WithTimeout(ctx, time.Second)
				a, err := c.Move(attemptCtx, "ledger")
				stop()
				if err == nil && a.Read.Confirmed && a.Move.Note == 2 {
					w.checkSteps(a.Move)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	return w
}

// checkSteps checks that the steps of a confirmed read never decrease the share, and
// that they agree with those of earlier reads. Reads on several hosts overlap, so
// a shorter list of steps may arrive after a longer one.
func (w *moveWatcher) checkSteps(m operator.MoveView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reads++
	for i, s := range m.Steps {
		if i > 0 && s.Share < m.Steps[i-1].Share {
			w.err = fmt.Errorf("share fell from %d to %d: %s", m.Steps[i-1].Share, s.Share, s.Reason)
		}
		if i < len(w.steps) && (w.steps[i].Share != s.Share || !w.steps[i].At.Equal(s.At)) {
			w.err = fmt.Errorf("step %d changed from %+v to %+v", i, w.steps[i], s)
		}
	}
	if len(m.Steps) > len(w.steps) {
		w.steps = m.Steps
	}
}

// stopAndReport stops the watcher and returns the last contradiction that it found.
func (w *moveWatcher) stopAndReport() error {
	w.stop()
	w.wg.Wait()
	return w.err
}

const (
	// pauseDuration is the time for which the leader is paused.
	pauseDuration = 10 * time.Second
	// resumeObservation is the time for which the paused host is polled, which starts
	// shortly before it resumes.
	resumeObservation = 3 * time.Second
)

// pauseLeader pauses the leader for longer than its lease while a note is published
// through the other control hosts. After it resumes, the old leader must not answer
// a confirmed read with old state, accept another note 2 or cause an election.
func pauseLeader(e *env) error {
	if err := e.startMesh(ledgerDataCentres, allDataCentres); err != nil {
		return err
	}
	entries, _ := e.entryNodes()
	e.startLoad(entries)
	pausedLeader, err := e.Leader()
	if err != nil {
		return err
	}
	otherHosts := slices.DeleteFunc(slices.Clone(e.Controls), func(c *demo.ControlHost) bool { return c == pausedLeader })
	others, err := e.client(otherHosts...)
	if err != nil {
		return err
	}
	paused, err := e.client(pausedLeader)
	if err != nil {
		return err
	}
	if _, err := paused.Status(e.ctx); err != nil {
		return err
	}
	if err := pausedLeader.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	defer func() { _ = pausedLeader.Signal(syscall.SIGCONT) }()
	began := time.Now()
	res, err := e.publish(others, operator.NewOperationID(), withdrawNote)
	if err != nil {
		return fmt.Errorf("publish through the others: %w", err)
	}
	accepted := time.Since(began)
	e.logProgress("leader %s paused; note 2 accepted through the others", pausedLeader.Host)
	converged, err := timeUntil(startTimeout, func() error { return e.checkAllRoute(res.Position.Index) })
	if err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(pauseDuration)))
	before, err := others.Status(e.ctx)
	if err != nil {
		return err
	}
	if err := e.checkReportsUnreachable(before.Status.Leader, pausedLeader.Host); err != nil {
		return err
	}
	collect := e.queryPaused(paused)
	time.Sleep(100 * time.Millisecond) // lets the requests reach the socket buffers of the paused process
	if err := pausedLeader.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	confirmed, total, err := collect()
	if err != nil {
		return err
	}
	after, err := others.Status(e.ctx)
	if err != nil {
		return err
	}
	if after.Status.Term != before.Status.Term || after.Status.Leader != before.Status.Leader {
		return fmt.Errorf("the leader or term changed when the paused leader resumed: term %d led by %s became %d led by %s",
			before.Status.Term, before.Status.Leader, after.Status.Term, after.Status.Leader)
	}
	e.endLoad()
	e.addFigure("paused %s: note accepted by the others after %s, in force on all nodes %s later", pauseDuration, seconds(accepted),
		seconds(converged))
	e.addFigure("after the pause %d of %d reads were confirmed, none showed old state; term %d unchanged", confirmed, total, after.Status.Term)
	e.addFigure("lookups not answered in time %d of %d", notOK(e.flowReport(lookupFlow)), e.flowReport(lookupFlow).Sent)
	if n := notOK(e.flowReport(lookupFlow)); n > 0 {
		return fmt.Errorf("%d lookups not answered in time: %v", n, e.flowReport(lookupFlow).Outcomes)
	}
	return nil
}

// checkReportsUnreachable checks that the leader's status reports the unreachable host
// as a problem.
func (e *env) checkReportsUnreachable(leader, unreachable model.HostID) error {
	i := slices.IndexFunc(e.Controls, func(c *demo.ControlHost) bool { return c.Host == leader })
	if i < 0 {
		return fmt.Errorf("leader %q is unknown", leader)
	}
	c, err := e.client(e.Controls[i])
	if err != nil {
		return err
	}
	st, err := c.Status(e.ctx)
	if err != nil {
		return err
	}
	if !slices.Contains(st.Status.Problems, "control host "+string(unreachable)+" is not heard") {
		return fmt.Errorf("status of the leader does not report the unreachable host: %v", st.Status.Problems)
	}
	return nil
}

// queryPaused sends reads and a conflicting note with number 2 to the paused host. It is
// called before the host resumes; the reads go on for resumeObservation. The returned
// function waits for all answers and returns the numbers of confirmed and of all
// answered reads, or an error if an answer was wrong.
func (e *env) queryPaused(paused *operator.Client) func() (confirmed, total int, err error) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var found error
	var confirmed, total int
	deadline := time.Now().Add(resumeObservation)
	read := func() {
		a, err := paused.Notes(e.ctx, 0, 10)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			return
		}
		total++
		if !a.Read.Confirmed {
			return
		}
		confirmed++
		if len(a.Notes) == 0 || a.Notes[0].Note.Number < 2 {
			found = fmt.Errorf("a confirmed read shows old state: %d notes", len(a.Notes))
		}
	}
	for range 4 {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				read()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Go(func() {
		_, err := e.publish(paused, operator.NewOperationID(), smallNote(2, "rival"))
		mu.Lock()
		defer mu.Unlock()
		if !errors.Is(err, operator.ErrConflict) {
			found = fmt.Errorf("conflicting note 2 through the paused host: %w, want a conflict", err)
		}
	})
	return func() (int, int, error) { wg.Wait(); return confirmed, total, found }
}

const (
	// outageDuration is the time for which all control hosts are down.
	outageDuration = 15 * time.Second
	// backendKillDelay is the time from the start of the outage until a backend server
	// is restarted.
	backendKillDelay = 3 * time.Second
)

// stopAllControlHosts kills all control hosts for outageDuration and restarts a backend
// server and a node during the outage. Lookups must be answered all the time, and
// writes must be refused as not run.
func stopAllControlHosts(e *env) error {
	if err := e.startWithCaches(); err != nil {
		return err
	}
	entries, others := e.entryNodes()
	e.startLoad(entries)
	time.Sleep(2 * time.Second)
	began := time.Now()
	for _, c := range e.Controls {
		c.Kill()
	}
	e.logProgress("all control hosts killed")
	time.Sleep(backendKillDelay)
	restarted := others[0]
	if err := e.saveRuns(restarted); err != nil {
		return err
	}
	restarted.Backend.Kill()
	time.Sleep(time.Second)
	if err := restarted.Backend.Start(); err != nil {
		return err
	}
	firstRequestAfter, err := timeUntil(outageDuration, func() error {
		st, err := restarted.Stats()
		if err == nil && st.Requests == 0 {
			err = errors.New("the restarted backend server gets no requests")
		}
		return err
	})
	if err != nil {
		return err
	}
	if err := e.restartNodeInOutage(others[1]); err != nil {
		return err
	}
	time.Sleep(time.Until(began.Add(outageDuration)))
	controlStart := time.Now()
	if err := e.startControls(); err != nil {
		return err
	}
	electionTime := time.Since(controlStart)
	entry := entries[0].CallerURL
	writeRecovery, err := timeUntil(startTimeout, func() error { return sendWrite(e, entry) })
	if err != nil {
		return fmt.Errorf("writes do not run after the outage: %w", err)
	}
	time.Sleep(2 * time.Second)
	e.endLoad()
	l, w := e.flowReport(lookupFlow), e.flowReport(writeFlow)
	e.addFigure("outage of %s: lookups not answered in time %d of %d (%v)", outageDuration, notOK(l), l.Sent, l.Outcomes)
	e.addFigure("writes %v", w.Outcomes)
	e.addFigure("restarted backend server got its first request %s after its start", seconds(firstRequestAfter))
	e.addFigure("leader elected %s after the start, writes run again %s later", seconds(electionTime), seconds(writeRecovery))
	if n := notOK(l); n > 0 {
		return fmt.Errorf("%d lookups not answered in time", n)
	}
	if w.Outcomes[load.OutcomeNotRun] == 0 {
		return errors.New("no write was refused as not run during the outage")
	}
	return nil
}

// startWithCaches starts a mesh whose nodes keep the configuration and their live peers
// in cache files, so that they can restart without a control host.
func (e *env) startWithCaches() error {
	for _, s := range append(backendSpecs("ledger", "v1", ledgerDataCentres), backendSpecs("roster", "v1", allDataCentres)...) {
		b, err := e.Add(s)
		if err != nil {
			return err
		}
		n, err := settings.LoadNode(e.settingsFile(b.Host))
		if err != nil {
			return err
		}
		n.CacheFile = filepath.Join(e.dir, string(b.Host)+".peers")
		if err := e.saveSettings(b.Host, n); err != nil {
			return err
		}
	}
	return e.startAll()
}

// peerStartTimeout bounds the time until a node restarted during the outage routes.
const peerStartTimeout = 5 * time.Second

// restartNodeInOutage kills a node during the outage and starts it again. The node must
// learn from its peers the lowest position that it may route by, and must not route
// by an older one.
func (e *env) restartNodeInOutage(s *demo.BackendServer) error {
	before, err := s.Status()
	if err != nil {
		return err
	}
	s.Node.Kill()
	if err := s.Node.Start(); err != nil {
		return err
	}
	took, err := timeUntil(peerStartTimeout, func() error {
		code, err := statusCode(s.CallerURL + "/rosters/3")
		if err == nil && code != http.StatusOK {
			err = fmt.Errorf("node %s answers %d", s.Host, code)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("a node restarted during the outage does not route: %w", err)
	}
	after, err := s.Status()
	if err != nil {
		return err
	}
	if after.Position.Index < before.Position.Index {
		return fmt.Errorf("a restarted node routes by index %d after it served %d", after.Position.Index, before.Position.Index)
	}
	e.addFigure("a node restarted in the outage routes after %s", seconds(took))
	return nil
}
