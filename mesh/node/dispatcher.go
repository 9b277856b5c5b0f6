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
	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/link"
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
	log      *slog.Logger
	self     peer.Identity
	picker   *routing.Picker
	hedger   *hedging.Hedger
	retries  *routing.Bucket
	sender   callSender
	local    *serving
	recorder *rollout.Recorder
	// link is the outgoing link of this host; nil if its rate is not known.
	link            *link.Link
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
	if d.hedger.Applies(c.route) {
		d.hedger.CountCall()
	}
	var errorAnswer *attempt // answer that reports an error; returned if no later attempt is answered
	for {
		a := d.nextAttempt(ctx, c)
		if a.sent() {
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
	if ctx.Err() != nil || !a.sent() || !c.body.canRepeat() {
		return false
	}
	returnBudget(c, a)
	return c.attempts.Retry(time.Now(), a.result, a.notRun()) == routing.RetryAllowed
}

// returnBudget takes back the retries that were lent to a failed attempt, if the fault is
// next to this level.
func returnBudget(c *call, a *attempt) {
	if a.notRun() || a.result == routing.ResultFailed || a.answered() {
		c.budget.Return(a.lentBudget)
	}
}

// nextAttempt makes one attempt, which is hedged if the route allows it.
func (d *dispatcher) nextAttempt(ctx context.Context, c *call) *attempt {
	server, err := d.choose(c)
	if errors.Is(err, routing.ErrNoRoom) {
		return &attempt{err: errors.Join(ErrNotRun, err), result: routing.ResultDeclined, reason: err.Error()}
	}
	if err != nil {
		return noServerAttempt(err)
	}
	if d.mayHedge(c) {
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
	v, err := d.chooseVersion(now, d.picker, c.service)
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	if own, ok := d.chooseOwnServer(now, d.picker, c.route.Kind, c.service, v, c.attempts.Tried()); ok {
		c.attempts.Started(own.Host)
		return own, nil
	}
	if c.route.Priority != highestPriority {
		if err := d.picker.CheckRoom(now, c.service, v, c.attempts.Tried()); err != nil {
			return routing.Choice{}, err
		}
	}
	server, err := d.picker.PickBackendServer(now, c.service, v, c.attempts.Tried())
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	c.attempts.Started(server.Host)
	return server, nil
}

// chooseVersion selects the version for an attempt with a picker: that of this node, or a
// snapshot of it.
func (d *dispatcher) chooseVersion(now time.Time, p *routing.Picker, service model.ServiceName) (model.ServiceVersion, error) {
	v, err := p.PickVersion(service)
	if err != nil || !d.recorder.Stopped(now, service, v) {
		return v, err
	}
	// The outcomes on this node alone are strong evidence against the version, so it is
	// blocked here at once. updateBlockedVersions lifts the block when that ends.
	if err := p.Block(service, v, true); err != nil {
		return v, err
	}
	return p.PickVersion(service)
}

// send sends the call once to the given backend server and records the outcome.
func (d *dispatcher) send(ctx context.Context, c *call, server routing.Choice) *attempt {
	a := d.exchange(ctx, c, server, c.budget.Lend())
	d.observe(c, a)
	return a
}

// exchange sends the call once to the given backend server, with the given number of
// retries, and does not record the outcome.
func (d *dispatcher) exchange(ctx context.Context, c *call, server routing.Choice, lent int) *attempt {
	a := &attempt{server: server, lentBudget: lent}
	req := d.request(c, server, lent)
	started := time.Now()
	resp, err := d.do(ctx, server, req)
	a.latency = time.Since(started)
	a.classify(ctx, resp, err)
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
	d.paceRequest(ctx, req)
	want := peer.Identity{Role: peer.RoleNode, DataCentre: server.DataCentre, Host: server.Host}
	return d.sender.Do(ctx, server.CallAddress, want, req)
}

// observe reports the outcome of an attempt to the picker and the release evidence. It also
// reports a peer that has a newer position.
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
	d.recorder.Record(now, rollout.Observation{
		Service: a.server.Service, Version: a.server.Version, Route: c.route.Name, Kind: c.route.Kind,
		DataCentre: a.server.DataCentre, ServerAge: now.Sub(time.UnixMilli(int64(a.server.Incarnation))),
		ColdTime: a.server.ColdTime, Outcome: a.outcome(), Latency: a.latency,
	})
}

// digestOf returns the digest of a write's method, path and body, or the kept start of a long
// one; see claim.Answer.RequestDigest. A write that reuses a key with another digest is refused.
func digestOf(c *call) claim.Digest {
	return claim.DigestOf(bytes.Join([][]byte{[]byte(c.method), []byte(c.path), c.body.bytes()}, []byte{0}))
}
