package node

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/rollout"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// callSender sends a call to another node. It is implemented by *callmux.Client.
type callSender interface {
	Do(ctx context.Context, addr string, want peer.Identity, req *callmux.Request) (*callmux.Response, error)
}

// dispatcher chooses backend servers for calls, sends the calls, and retries or hedges
// them.
type dispatcher struct {
	log             *slog.Logger
	self            peer.Identity
	picker          *routing.Picker
	hedger          *routing.Hedger
	retries         *routing.Bucket
	sender          callSender
	local           *serving
	recorder        *rollout.Recorder
	notices         knownNotices
	position        func() model.Position
	onNewerPosition func(from peer.Identity, pos model.Position)
}

// dispatch tries a call until it gets a final answer or no further attempt is allowed. It
// returns the last attempt, or an earlier answer that reported an error if no later attempt
// was answered.
func (d *dispatcher) dispatch(ctx context.Context, c *call) *attempt {
	deadline, _ := ctx.Deadline()
	c.attempts = routing.NewAttempts(c.route, deadline, c.budget, d.retries)
	var errorAnswer *attempt // answer that reports an error; returned if no later attempt is answered
	for {
		a := d.nextAttempt(ctx, c)
		if !errors.Is(a.err, errNoServer) {
			c.room.add(a.retryAfter())
		}
		if a.isFinal(c.route) || !mayRetry(ctx, c, a) {
			if errorAnswer != nil && !a.answered() {
				a.close()
				return errorAnswer
			}
			errorAnswer.close()
			return c.finalAttempt(a)
		}
		c.mayHaveRun = c.mayHaveRun || !a.notRun()
		telemetry.Counter("entry.retries").Inc(1)
		errorAnswer.close()
		errorAnswer = nil
		if a.answered() {
			errorAnswer = a
			continue
		}
		a.close()
	}
}

// mayRetry reports whether the call is tried again. If so, the retry has been taken
// from the budgets.
func mayRetry(ctx context.Context, c *call, a *attempt) bool {
	if ctx.Err() != nil || errors.Is(a.err, errNoServer) || !c.body.canRepeat() {
		return false
	}
	if a.notRun() || a.result == routing.ResultFailed || a.answered() {
		c.budget.Return(a.lentBudget) // the fault is next to this level, which takes back the retries it lent
	}
	return c.attempts.Retry(time.Now(), a.result, a.notRun()) == routing.RetryAllowed
}

// nextAttempt makes one attempt, which is hedged if the route allows it.
func (d *dispatcher) nextAttempt(ctx context.Context, c *call) *attempt {
	server, err := d.choose(c)
	if err != nil {
		return noServerAttempt(err)
	}
	if c.route.Hedge && c.body.isWhole() {
		return d.sendHedged(ctx, c, server)
	}
	return d.send(ctx, c, server)
}

// errNoServer is the error of an attempt for which no backend server was available. Such a
// call is not retried.
var errNoServer = errors.New("no backend server")

func noServerAttempt(err error) *attempt {
	return &attempt{err: errors.Join(ErrNotRun, errNoServer), result: routing.ResultRefused, reason: err.Error()}
}

// choose selects the version and the backend server for the next attempt.
func (d *dispatcher) choose(c *call) (routing.Choice, error) {
	now := time.Now()
	service := c.service
	v, err := d.picker.PickVersion(service)
	if err == nil && d.recorder.Stopped(now, service, v) {
		// The outcomes on this node alone are strong evidence against the version, so
		// it is blocked here at once. updateBlockedVersions lifts the block when that
		// ends.
		if err = d.picker.Block(service, v, true); err == nil {
			v, err = d.picker.PickVersion(service)
		}
	}
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	server, err := d.picker.PickBackendServer(now, service, v, c.attempts.Tried())
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	c.attempts.Started(server.Host)
	return server, nil
}

// send sends the call once to the given backend server and records the outcome.
func (d *dispatcher) send(ctx context.Context, c *call, server routing.Choice) *attempt {
	a := &attempt{server: server, lentBudget: c.budget.Lend()}
	req := d.request(c, server, a.lentBudget)
	started := time.Now()
	resp, err := d.do(ctx, server, req)
	a.latency = time.Since(started)
	a.classify(ctx, resp, err)
	d.observe(c, a)
	return a
}

func (d *dispatcher) request(c *call, server routing.Choice, lent int) *callmux.Request {
	req := &callmux.Request{
		Route: c.route.Name, Service: server.Service, Version: server.Version,
		Method: c.method, Path: c.path, Header: c.header, Kind: c.route.Kind,
		RetryBudget: lent, Position: d.position(),
		Priority: c.route.Priority, MaxWait: maxSlotWait(c.route), TimeToLatencyTarget: c.timeToLatencyDeadline(),
		Notice: d.notices.get(server.Host),
	}
	req.Body, req.BodyLength = c.body.open()
	return req
}

// slotWaitDivisor divides a route's latency target to give the time that a request may
// wait for a slot. A caller that is refused after that still has time for a retry.
const slotWaitDivisor = 4

// maxSlotWait returns how long a request may wait for a slot; 0 means that the serving
// node's own limit applies. Requests of the highest priority get no shorter limit:
// they are nested calls of running requests, which fail if they are refused, so a late
// slot is better than an early refusal.
func maxSlotWait(r note.Route) time.Duration {
	if r.Priority == highestPriority {
		return 0
	}
	return r.LatencyTarget / slotWaitDivisor
}

// highestPriority is the most urgent priority that a route can state.
const highestPriority = 1

func (d *dispatcher) do(ctx context.Context, server routing.Choice, req *callmux.Request) (*callmux.Response, error) {
	if server.Host == d.self.Host {
		return d.local.handle(ctx, d.self, req)
	}
	want := peer.Identity{Role: peer.RoleNode, DataCentre: server.DataCentre, Host: server.Host}
	return d.sender.Do(ctx, server.CallAddress, want, req)
}

// observe reports the outcome of an attempt to the picker, the hedger and the release
// evidence. It also reports a peer that has a newer position.
func (d *dispatcher) observe(c *call, a *attempt) {
	now := time.Now()
	outcome := routing.Outcome{Result: a.result, Latency: a.latency, Limit: a.limit(), Utilization: a.utilization()}
	if a.resp != nil {
		outcome.RecentServiceTime, outcome.UsualServiceTime = a.resp.RecentServiceTime, a.resp.UsualServiceTime
	}
	d.picker.Observe(now, a.server.Host, outcome)
	if a.resp != nil {
		d.notices.observe(a.server.Host, a.resp)
	}
	if a.resp != nil && d.position().Less(a.resp.Position) {
		d.onNewerPosition(peer.Identity{Role: peer.RoleNode, DataCentre: a.server.DataCentre, Host: a.server.Host}, a.resp.Position)
	}
	if a.result == routing.ResultCancelled {
		return
	}
	if a.answered() && c.route.Hedge {
		d.hedger.Observe(c.route.Name, a.latency)
	}
	d.recorder.Record(now, rollout.Observation{
		Service: a.server.Service, Version: a.server.Version, Route: c.route.Name, Kind: c.route.Kind,
		DataCentre: a.server.DataCentre, ServerAge: now.Sub(time.UnixMilli(int64(a.server.Incarnation))),
		ColdTime: a.server.ColdTime, Outcome: a.outcome(), Latency: a.latency,
	})
}

// sendHedged sends a second attempt to another backend server if the first one takes
// longer than the hedge delay, which most calls of the route stay below. It returns
// the first answer and cancels the other attempt.
func (d *dispatcher) sendHedged(ctx context.Context, c *call, first routing.Choice) *attempt {
	delay, known := d.hedger.Delay(c.route.Name)
	if !known {
		return d.send(ctx, c, first)
	}
	results := make(chan *hedgedAttempt, 2)
	firstAttempt := d.startAttempt(ctx, c, first, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case h := <-results:
		return h.attempt
	case <-timer.C:
	}
	second, ok := d.hedgeServer(c)
	if !ok {
		return (<-results).attempt
	}
	telemetry.Counter("entry.hedges").Inc(1)
	secondAttempt := d.startAttempt(ctx, c, second, results)
	winner := <-results
	if winner.attempt.answered() {
		loser := firstAttempt
		if winner == firstAttempt {
			loser = secondAttempt
		}
		loser.cancel()
		go func() { (<-results).attempt.close() }()
		return winner.attempt
	}
	c.mayHaveRun = c.mayHaveRun || !winner.attempt.notRun()
	winner.attempt.close()
	return (<-results).attempt
}

// hedgedAttempt is one of the two concurrent attempts of a hedged call.
type hedgedAttempt struct {
	attempt *attempt
	cancel  context.CancelFunc
}

func (d *dispatcher) startAttempt(ctx context.Context, c *call, server routing.Choice, results chan<- *hedgedAttempt) *hedgedAttempt {
	// The winner's context is not canceled here, because the answer's body is still
	// read from it. It ends with the call's context.
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedAttempt{cancel: cancel}
	go func() {
		h.attempt = d.send(ctx, c, server)
		results <- h
	}()
	return h
}

// hedgeServer takes a hedge from the budgets and chooses another backend server for
// it.
func (d *dispatcher) hedgeServer(c *call) (routing.Choice, bool) {
	if !c.attempts.Hedge(time.Now(), d.hedger) {
		return routing.Choice{}, false
	}
	server, err := d.choose(c)
	return server, err == nil
}

// digestOf returns the digest of a write's method, path and body, or the kept start of a long
// one; see claim.Answer.RequestDigest. A write that reuses a key with another digest is refused.
func digestOf(c *call) claim.Digest {
	return claim.DigestOf(bytes.Join([][]byte{[]byte(c.method), []byte(c.path), c.body.bytes()}, []byte{0}))
}
