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
	position        func() model.Position
	onNewerPosition func(from peer.Identity, pos model.Position)
}

// dispatch tries a call until it gets a final answer or no further try is allowed. It
// returns the last try, or an earlier answer that reported an error if no later try
// was answered.
func (d *dispatcher) dispatch(ctx context.Context, c *call) *try {
	deadline, _ := ctx.Deadline()
	c.attempts = routing.NewAttempts(c.route, deadline, c.budget, d.retries)
	var errorAnswer *try // answer that reports an error; returned if no later try is answered
	for {
		t := d.nextTry(ctx, c)
		if t.isFinal(c.route) || !mayRetry(ctx, c, t) {
			if errorAnswer != nil && !t.answered() {
				t.close()
				return errorAnswer
			}
			errorAnswer.close()
			return c.finalTry(t)
		}
		c.mayHaveRun = c.mayHaveRun || !t.notRun()
		telemetry.Counter("entry.retries").Inc(1)
		errorAnswer.close()
		errorAnswer = nil
		if t.answered() {
			errorAnswer = t
			continue
		}
		t.close()
	}
}

// mayRetry reports whether the call is tried again. If so, the retry has been taken
// from the budgets.
func mayRetry(ctx context.Context, c *call, t *try) bool {
	if ctx.Err() != nil || errors.Is(t.err, errNoServer) {
		return false
	}
	if t.notRun() || t.result == routing.ResultFailed || t.answered() {
		c.budget.Return(t.lentBudget) // the fault is next to this level, which takes back the retries it lent
	}
	return c.attempts.Retry(time.Now(), t.result, t.notRun()) == routing.Again
}

// nextTry makes one try, which is hedged if the route allows it.
func (d *dispatcher) nextTry(ctx context.Context, c *call) *try {
	server, err := d.choose(c)
	if err != nil {
		return noServerTry(err)
	}
	if c.route.Hedge {
		return d.sendHedged(ctx, c, server)
	}
	return d.send(ctx, c, server)
}

// errNoServer is the error of a try for which no backend server was available. Such a
// call is not retried.
var errNoServer = errors.New("no backend server")

func noServerTry(err error) *try {
	return &try{err: errors.Join(ErrNotRun, errNoServer), result: routing.ResultRefused, reason: err.Error()}
}

// choose selects the version and the backend server for the next try.
func (d *dispatcher) choose(c *call) (routing.Choice, error) {
	now := time.Now()
	service := c.service
	v, err := d.picker.Version(service)
	if err == nil && d.recorder.Stopped(now, service, v) {
		// The outcomes on this node alone are strong evidence against the version, so
		// it is blocked here at once. updateBlockedVersions lifts the block when that
		// ends.
		if err = d.picker.Block(service, v, true); err == nil {
			v, err = d.picker.Version(service)
		}
	}
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	server, err := d.picker.BackendServer(now, service, v, c.attempts.Tried())
	if err != nil {
		return routing.Choice{}, eris.Wrapf(ErrNotRun, "%v", err)
	}
	c.attempts.Started(server.Host)
	return server, nil
}

// send makes one try at the given backend server and records its outcome.
func (d *dispatcher) send(ctx context.Context, c *call, server routing.Choice) *try {
	t := &try{server: server, lentBudget: c.budget.Lend()}
	req := d.request(c, server, t.lentBudget)
	started := time.Now()
	resp, err := d.do(ctx, server, req)
	t.latency = time.Since(started)
	t.classify(ctx, resp, err)
	d.observe(c, t)
	return t
}

func (d *dispatcher) request(c *call, server routing.Choice, lent int) *callmux.Request {
	req := &callmux.Request{
		Route: c.route.Name, Service: server.Service, Version: server.Version,
		Method: c.method, Path: c.path, Header: c.header, Kind: c.route.Kind,
		RetryBudget: lent, Position: d.position(), BodyLength: int64(len(c.body)),
		Priority: c.route.Priority, Patience: maxSlotWait(c.route), TargetIn: c.timeToLatencyDeadline(),
	}
	if len(c.body) > 0 {
		req.Body = bytes.NewReader(c.body)
	}
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

// observe reports the outcome of a try to the picker, the hedger and the release
// evidence. It also reports a peer that has a newer position.
func (d *dispatcher) observe(c *call, t *try) {
	now := time.Now()
	d.picker.Observe(now, t.server.Host, routing.Outcome{Result: t.result, Latency: t.latency, Limit: t.limit(), Utilization: t.utilization()})
	if t.resp != nil && d.position().Less(t.resp.Position) {
		d.onNewerPosition(peer.Identity{Role: peer.RoleNode, DataCentre: t.server.DataCentre, Host: t.server.Host}, t.resp.Position)
	}
	if t.result == routing.ResultCancelled {
		return
	}
	if t.answered() && c.route.Hedge {
		d.hedger.Observe(c.route.Name, t.latency)
	}
	d.recorder.Record(now, rollout.Observation{
		Service: t.server.Service, Version: t.server.Version, Route: c.route.Name, Kind: c.route.Kind,
		DataCentre: t.server.DataCentre, ServerAge: now.Sub(time.UnixMilli(int64(t.server.Incarnation))),
		ColdTime: t.server.ColdTime, Outcome: t.outcome(), Latency: t.latency,
	})
}

// sendHedged sends a second try to another backend server if the first one takes
// longer than the hedge delay, which most calls of the route stay below. It returns
// the first answer and cancels the other try.
func (d *dispatcher) sendHedged(ctx context.Context, c *call, first routing.Choice) *try {
	delay, known := d.hedger.Delay(c.route.Name)
	if !known {
		return d.send(ctx, c, first)
	}
	results := make(chan *hedgedTry, 2)
	firstTry := d.startTry(ctx, c, first, results)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case h := <-results:
		return h.try
	case <-timer.C:
	}
	second, ok := d.hedgeServer(c)
	if !ok {
		return (<-results).try
	}
	telemetry.Counter("entry.hedges").Inc(1)
	secondTry := d.startTry(ctx, c, second, results)
	winner := <-results
	if winner.try.answered() {
		loser := firstTry
		if winner == firstTry {
			loser = secondTry
		}
		loser.cancel()
		go func() { (<-results).try.close() }()
		return winner.try
	}
	c.mayHaveRun = c.mayHaveRun || !winner.try.notRun()
	winner.try.close()
	return (<-results).try
}

// hedgedTry is one of the two concurrent tries of a hedged call.
type hedgedTry struct {
	try    *try
	cancel context.CancelFunc
}

func (d *dispatcher) startTry(ctx context.Context, c *call, server routing.Choice, results chan<- *hedgedTry) *hedgedTry {
	// The winner's context is not canceled here, because the answer's body is still
	// read from it. It ends with the call's context.
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedTry{cancel: cancel}
	go func() {
		h.try = d.send(ctx, c, server)
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

// digestOf returns the digest of a write's method, path and body. A write that reuses
// a key with another digest is refused.
func digestOf(c *call) claim.Digest {
	return claim.DigestOf(bytes.Join([][]byte{[]byte(c.method), []byte(c.path), c.body}, []byte{0}))
}
