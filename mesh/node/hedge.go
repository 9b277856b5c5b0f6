package node

import (
	"context"
	"time"

	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/telemetry"
)

// mayHedge reports whether the attempt that is about to be made may be hedged.
func (d *dispatcher) mayHedge(c *call) bool {
	return d.hedger.Applies(c.route) && c.attempts.MayHedge() && c.body.isWhole()
}

// isSlow reports whether a backend server is known to be slow at the moment.
func (d *dispatcher) isSlow(now time.Time, server routing.Choice) bool {
	return hedgingTimes(d.picker.ExpectedService(now, server.Service, server.Version, server.Host)).Slow()
}

func hedgingTimes(s routing.ServiceTimes) hedging.ServiceTimes {
	return hedging.ServiceTimes{Recent: s.Recent, ServiceUsual: s.Mean}
}

// sendHedged sends the first attempt of a call and, if it is not answered in the usual
// time, a second one to another backend server. It returns the first successful answer and
// cancels the other attempt. If there is none it waits for both.
func (d *dispatcher) sendHedged(ctx context.Context, c *call, server routing.Choice) *attempt {
	wait, known := d.hedger.Wait(c.route.Name, 0, false)
	if !known {
		a := d.send(ctx, c, server)
		d.observeFirst(c, a)
		return a
	}
	slow := d.isSlow(time.Now(), server)
	results := make(chan *concurrentAttempt, 2)
	first := d.startAttempt(ctx, c, server, c.budget.Lend(), results)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for wait > 0 {
		select {
		case <-results:
			return d.finishFirst(c, first)
		case <-timer.C:
		}
		now := time.Now()
		slow = slow || d.isSlow(now, server)
		wait, _ = d.hedger.Wait(c.route.Name, now.Sub(first.started), slow)
		timer.Reset(wait)
	}
	second := d.startHedge(ctx, c, first, results)
	if second == nil {
		<-results
		return d.finishFirst(c, first)
	}
	return d.awaitAnswer(c, first, second, results)
}

// concurrentAttempt is one of the two concurrent attempts of a hedged call.
type concurrentAttempt struct {
	server  routing.Choice
	lent    int
	started time.Time
	cancel  context.CancelFunc
	// attempt is set before the concurrentAttempt is sent to the channel of results.
	attempt *attempt
}

func (d *dispatcher) startAttempt(ctx context.Context, c *call, server routing.Choice, lent int, results chan<- *concurrentAttempt) *concurrentAttempt {
	// The winner's context is not canceled here, because the answer's body is still
	// read from it. It ends with the call's context.
	ctx, cancel := context.WithCancel(ctx)
	h := &concurrentAttempt{server: server, lent: lent, started: time.Now(), cancel: cancel}
	go func() {
		h.attempt = d.exchange(ctx, c, server, lent)
		results <- h
	}()
	return h
}

// startHedge sends the hedged attempt if the budgets allow it and another backend server
// suits. Otherwise it counts the reason and returns nil. The attempt is sent without
// retries: those of the call were lent to the first one.
func (d *dispatcher) startHedge(ctx context.Context, c *call, first *concurrentAttempt, results chan<- *concurrentAttempt) *concurrentAttempt {
	server, skip := d.hedgeServer(ctx, c, first)
	if skip != "" {
		telemetry.Counter(hedging.MetricSkipped + string(skip)).Inc(1)
		return nil
	}
	telemetry.Counter(hedging.MetricHedges).Inc(1)
	c.attempts.Started(server.Host)
	c.attempts.Hedged()
	c.hedged = true
	return d.startAttempt(ctx, c, server, 0, results)
}

// hedgeServer charges a hedged attempt to the budgets and chooses its backend server.
func (d *dispatcher) hedgeServer(ctx context.Context, c *call, first *concurrentAttempt) (routing.Choice, hedging.Skip) {
	now := time.Now()
	deadline, _ := ctx.Deadline()
	load, versions := d.picker.HedgeLoad(first.server.Service, first.server.Version)
	in := hedging.Call{Route: c.route.Name, Remaining: deadline.Sub(now), CallBudget: first.lent, Load: load, Versions: versions}
	if ctx.Err() != nil {
		return routing.Choice{}, hedging.SkipNoTime
	}
	if skip := d.hedger.Start(in); skip != "" {
		return routing.Choice{}, skip
	}
	suits := func(load float64, times routing.ServiceTimes) bool { return d.hedger.Suits(load, hedgingTimes(times)) }
	server, err := d.picker.PickHedgeServer(now, first.server.Service, first.server.Version, c.attempts.Tried(), suits)
	if err != nil {
		d.hedger.Refund()
		return routing.Choice{}, hedging.SkipNoServer
	}
	return server, ""
}

// awaitAnswer returns the first of two attempts that succeeds. If neither does, it returns
// the one that says most about the outcome of the call.
func (d *dispatcher) awaitAnswer(c *call, first, second *concurrentAttempt, results chan *concurrentAttempt) *attempt {
	if ended := <-results; ended.attempt.result == routing.ResultOK {
		if ended == first {
			d.abandon(c, second, true, results)
		} else {
			d.abandon(c, first, false, results)
		}
		return d.finishWinner(c, first, ended)
	}
	<-results
	decisive, other := first, second
	if moreTelling(second.attempt, first.attempt) {
		decisive, other = second, first
	}
	d.discard(c, other)
	if second.attempt.neverArrived() {
		c.attempts.HedgeDeclined()
		d.hedger.Refund()
	}
	return d.finishWinner(c, first, decisive)
}

// moreTelling reports whether a says more than b about the outcome of a call of which both
// are attempts: a success most, then any answer, then an unknown outcome.
func moreTelling(a, b *attempt) bool {
	rank := func(a *attempt) int {
		switch {
		case a.result == routing.ResultOK:
			return 3
		case a.answered():
			return 2
		case !a.notRun():
			return 1
		}
		return 0
	}
	return rank(a) > rank(b)
}

// finishFirst records the outcome of a first attempt that was not hedged.
func (d *dispatcher) finishFirst(c *call, first *concurrentAttempt) *attempt {
	d.observe(c, first.attempt)
	d.observeFirst(c, first.attempt)
	return first.attempt
}

// finishWinner records the outcome of the attempt that decides a hedged call.
func (d *dispatcher) finishWinner(c *call, first, winner *concurrentAttempt) *attempt {
	if winner == first {
		return d.finishFirst(c, first)
	}
	d.observe(c, winner.attempt)
	if winner.attempt.result == routing.ResultOK {
		telemetry.Counter(hedging.MetricWon).Inc(1)
		c.hedgeWon = true
		d.hedger.Observe(c.route.Name, time.Since(first.started))
	}
	return winner.attempt
}

// discard records the outcome of an attempt that ended by itself and that does not decide
// the call.
func (d *dispatcher) discard(c *call, a *concurrentAttempt) {
	d.observe(c, a.attempt)
	a.attempt.close()
	c.room.add(a.attempt.retryAfter())
	c.mayHaveRun = c.mayHaveRun || !a.attempt.notRun()
	returnBudget(c, a.attempt)
}

// abandon cancels the attempt that lost, so that its slot is free at once. Whatever its
// outcome turns out to be, it counts as cancelled.
func (d *dispatcher) abandon(c *call, loser *concurrentAttempt, isHedge bool, results <-chan *concurrentAttempt) {
	loser.cancel()
	go func() {
		<-results
		a := loser.attempt
		a.close()
		if isHedge && a.neverArrived() {
			d.hedger.Refund()
		}
		a.result = routing.ResultCancelled
		d.observe(c, a)
	}()
}

// observeFirst records the latency of a successful first attempt.
func (d *dispatcher) observeFirst(c *call, a *attempt) {
	if a.result == routing.ResultOK {
		d.hedger.Observe(c.route.Name, a.latency)
	}
}
