package admission

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/telemetry"
)

// Config is the configuration of a Gate.
type Config struct {
	// Service provides the slots, the queue limit, the queue timeout and the rate limit
	// of a cold backend server.
	Service note.Service
	// Provisional says that Service holds assumed limits, because no configuration has
	// been received yet. Until SetService a cold backend server gets no requests, since
	// its rate limit is unknown.
	Provisional bool
	// ColdLoad is the factor applied to the cold rate of the service; 0 selects 1.
	ColdLoad float64
	// OverloadAfter is how long the queue must have been non-empty to count as
	// overloaded; 0 selects DefaultOverloadAfter. A shorter time switches lookups to
	// newest first sooner, a longer one keeps them ordered by expiry during bursts.
	OverloadAfter time.Duration
	// Log receives one line for each change of state and, at debug level, for
	// each refusal; nil discards them.
	Log *slog.Logger
}

// DefaultOverloadAfter is the default of Config.OverloadAfter.
const DefaultOverloadAfter = 50 * time.Millisecond

// Gate admits requests to one backend server, queues them or refuses them. It is safe
// for concurrent use.
type Gate struct {
	log                     *slog.Logger
	limitGauge              metrics.Gauge
	recentGauge, usualGauge metrics.Gauge

	// mu guards the fields below.
	mu    sync.Mutex
	sched *scheduler
	// waiting holds the channel on which each queued request gets its decision.
	waiting map[*Waiter]chan decision
	// idle is closed when no request runs or waits any more; nil if WaitIdle is not
	// waiting for that.
	idle chan struct{}
	// paceTimer dispatches the queue when the pacer allows the next request; nil while
	// it is not armed.
	paceTimer *time.Timer
}

// NewGate returns a gate for a backend server that has just started.
func NewGate(cfg Config) *Gate {
	if cfg.OverloadAfter == 0 {
		cfg.OverloadAfter = DefaultOverloadAfter
	}
	if cfg.ColdLoad == 0 {
		cfg.ColdLoad = 1
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Gate{
		log:         cfg.Log.With("service", string(cfg.Service.Name)),
		limitGauge:  telemetry.Gauge(MetricLimit),
		recentGauge: telemetry.Gauge(MetricRecentServiceTime), usualGauge: telemetry.Gauge(MetricUsualServiceTime),
		sched:   newScheduler(cfg),
		waiting: map[*Waiter]chan decision{},
	}
}

// Acquire waits for a slot. If the request is refused, the error is a *NotRun.
// Otherwise the caller must call release when the request ends; further calls have no
// effect.
func (g *Gate) Acquire(ctx context.Context, t Request) (release func(Outcome), err error) {
	w := &Waiter{Request: t}
	wait, d := g.arrive(time.Now(), w)
	if wait != nil {
		d = g.wait(ctx, w, wait)
	}
	if d.refused != "" {
		telemetry.Counter(MetricRefused + metricNames[d.refused]).Inc(1)
		g.log.Debug("request refused", "route", string(t.Route), "kind", t.Kind.String(), "reason", string(d.refused))
		return nil, &NotRun{Reason: d.refused, RetryAfter: g.retryAfter(w, d.refused)}
	}
	return g.release(t, d), nil
}

// retryAfter returns when the backend server has room again for w, which is refused with the
// given reason; 0 if that is not known.
func (g *Gate) retryAfter(w *Waiter, refused Reason) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.retryAfter(time.Now(), w, refused)
}

// arrive passes w to the scheduler. It returns the decision on w or, if w is queued,
// the channel on which the decision will be sent.
func (g *Gate) arrive(now time.Time, w *Waiter) (<-chan decision, decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var own decision
	for _, d := range g.sched.arrive(now, w) {
		if d.waiter == w {
			own = d
			continue
		}
		g.deliver(d)
	}
	if own.waiter != nil {
		return nil, own
	}
	ch := make(chan decision, 1)
	g.waiting[w] = ch
	g.armPaceTimer(now)
	return ch, own
}

// deliver sends decisions to their waiters. g.mu must be held.
func (g *Gate) deliver(decided ...decision) {
	for _, d := range decided {
		g.waiting[d.waiter] <- d // does not block: buffered, one decision for each waiter
		delete(g.waiting, d.waiter)
	}
	if g.idle != nil && g.isIdle() {
		close(g.idle)
		g.idle = nil
	}
}

// armPaceTimer schedules a dispatch for the time at which the pacer allows the next
// request, if a request waits although a slot is free. g.mu must be held.
func (g *Gate) armPaceTimer(now time.Time) {
	if g.paceTimer != nil || g.sched.queue.Len() == 0 || g.sched.inFlight >= g.sched.limit(now) {
		return
	}
	wait := g.sched.pacer.delay(now)
	if wait <= 0 {
		return
	}
	g.paceTimer = time.AfterFunc(wait, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.paceTimer = nil
		now := time.Now()
		g.deliver(g.sched.dispatch(now)...)
		g.armPaceTimer(now)
	})
}

func (g *Gate) isIdle() bool { return g.sched.inFlight == 0 && g.sched.queue.Len() == 0 }

// wait blocks until w is admitted or refused, expires, or ctx ends.
func (g *Gate) wait(ctx context.Context, w *Waiter, decided <-chan decision) decision {
	timer := time.NewTimer(time.Until(w.ExpiresAt))
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			return d
		case <-timer.C:
			g.dispatch(time.Now())
			timer.Reset(time.Millisecond) // fires only if the wall clock lags behind the timer
		case <-ctx.Done():
			return g.cancelWait(w, decided)
		}
	}
}

// cancelWait removes a waiter from the queue after its context has ended. If the waiter
// has just been admitted, cancelWait releases its slot.
func (g *Gate) cancelWait(w *Waiter, decided <-chan decision) decision {
	refused := decision{waiter: w, refused: ReasonCancelled}
	g.mu.Lock()
	if g.sched.queue.Remove(w) {
		delete(g.waiting, w)
		g.deliver()
		g.mu.Unlock()
		return refused
	}
	g.mu.Unlock()
	if d := <-decided; d.refused == "" {
		g.release(w.Request, d)(Outcome{Result: ResultCancelled})
	}
	return refused
}

// dispatch refuses expired waiters and admits others while slots are free.
func (g *Gate) dispatch(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.sched.dispatch(now)...)
}

// release returns the function that frees the slot of an admitted request.
func (g *Gate) release(t Request, d decision) func(Outcome) {
	started := time.Now()
	var once sync.Once
	return func(o Outcome) {
		once.Do(func() {
			now := time.Now()
			if o.Latency == 0 {
				o.Latency = now.Sub(started)
			}
			g.finish(now, Sample{Route: t.Route, Started: started, InFlight: d.inFlight, Result: o.Result, Latency: o.Latency, Abandoned: o.Abandoned})
		})
	}
}

// finish frees the slot of a request and logs if its outcome lowers the limit.
func (g *Gate) finish(now time.Time, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.sched.limiter.Limit()
	g.deliver(g.sched.finish(now, s)...)
	g.armPaceTimer(now)
	if s.Abandoned {
		telemetry.Counter(MetricAbandoned).Inc(1)
	}
	if last := g.sched.abandoned.last(); s.Abandoned && last.After(now) {
		time.AfterFunc(last.Sub(now), func() { g.dispatch(time.Now()) })
	}
	after := g.sched.limiter.Limit()
	g.limitGauge.Update(int64(after))
	if after < before {
		g.log.Info("concurrency limit lowered", "from", before, "to", after, "result", int(s.Result), "latency", s.Latency.String())
	}
}

// Drain refuses new requests from now on. Queued requests may still get a slot for a
// second, and running requests finish.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.drain(time.Now())
	g.log.Info("draining", "in_flight", g.sched.inFlight, "queued", g.sched.queue.Len())
}

// WaitIdle waits until no request is running or queued. Call it after Drain.
func (g *Gate) WaitIdle(ctx context.Context) error {
	g.mu.Lock()
	if g.isIdle() {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetDataCentre sets the state of the data centre of this node. While it is out of
// service, new requests are refused. After its return the backend server counts as cold.
func (g *Gate) SetDataCentre(state note.DataCentreState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.setDataCentre(now, state)
	g.deliver(g.sched.dispatch(now)...)
	g.log.Info("admission gate applied the state of the local data centre", "state", state.String())
}

// Start opens the gate for a backend server that has just registered. slots is the
// number of concurrent requests that it states, cold the time for which it is cold.
func (g *Gate) Start(slots int, cold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.start(now, slots, cold)
	g.deliver(g.sched.dispatch(now)...)
	g.armPaceTimer(now)
	g.log.Info("backend server started", "slots", slots, "cold", cold.String())
}

// SetCold limits the rate of requests for the time that the backend server states it
// will still be cold.
func (g *Gate) SetCold(cold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.setCold(now, cold)
	g.deliver(g.sched.dispatch(now)...)
	g.armPaceTimer(now)
}

// SetRateLimit limits the requests to the rate that the backend server states in its
// answers, in requests per second, which must be above 0.
func (g *Gate) SetRateLimit(rate float64) { g.setStatedRate(rate) }

// ClearRateLimit ends the limit of SetRateLimit.
func (g *Gate) ClearRateLimit() { g.setStatedRate(0) }

func (g *Gate) setStatedRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sched.pacer.stated.rate == rate {
		return
	}
	now := time.Now()
	g.sched.pacer.setStated(now, rate)
	g.deliver(g.sched.dispatch(now)...)
	g.armPaceTimer(now)
	g.log.Info("rate limit of the backend server changed", "requests_per_second", rate)
}

// ObserveLoad takes the load that the backend server states in an answer, before the
// slot of the request is released.
func (g *Gate) ObserveLoad(l ServerLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.observeLoad(time.Now(), l)
}

// SetAvailable says whether there is a backend server to send requests to. While there
// is none, all new and queued requests are refused.
func (g *Gate) SetAvailable(available bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sched.unavailable == !available {
		return
	}
	g.sched.unavailable = !available
	g.deliver(g.sched.dispatch(time.Now())...)
	g.log.Info("backend server availability changed", "available", available)
}

// Restarted resets the concurrency limit after a restart of the backend server, which
// is cold again.
func (g *Gate) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.limiter.ColdStart(time.Now())
}

// SetService sets new limits of the service. The slots that a registered backend
// server has stated take precedence over those of the service.
func (g *Gate) SetService(s note.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sched.limiter.fixed {
		s.Slots = g.sched.service.Slots
	}
	g.sched.service, g.sched.provisional = s, false
	g.sched.pacer.cold.rate = s.ColdRate * g.sched.coldLoad
	g.sched.limiter.SetSlots(s.Slots)
	g.sched.queue.limit = s.QueueLimit
	g.deliver(g.sched.dispatch(time.Now())...)
}

// Limit returns the concurrency limit to advertise to other nodes; zero while new
// requests are refused.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.advertisedLimit()
}

// Utilization returns the number of running and queued requests as a fraction of the
// concurrency limit. It exceeds 1 while requests wait because all slots are in use.
func (g *Gate) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.utilization(time.Now())
}

// ServiceTimes returns the recent and the usual mean service time of the backend server
// over all requests; 0 while they are not known.
func (g *Gate) ServiceTimes() (recent, usual time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	recent, usual = g.sched.serviceTimes(time.Now())
	g.recentGauge.Update(recent.Microseconds())
	g.usualGauge.Update(usual.Microseconds())
	return recent, usual
}

// Load returns the numbers of running and of queued requests.
func (g *Gate) Load() (inFlight, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.inFlight, g.sched.queue.Len()
}
