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
	// Service gives the slots, the queue limit and the queue timeout.
	Service note.Service
	// Provisional says that Service is not the stated one yet, as before the first
	// configuration. Until SetService a cold backend server gets no requests, since
	// nobody knows what it bears.
	Provisional bool
	// ColdLoad is the part of the stated rate of a cold backend server that it is
	// given; 0 stands for 1.
	ColdLoad float64
	// OverloadAfter is how long the queue must have been non-empty to count as
	// overloaded. A shorter one serves the newest lookups first sooner, a longer
	// one keeps the order by deadline through bursts.
	OverloadAfter time.Duration
	// Log receives one line for each change of state and, at debug level, for
	// each refusal.
	Log *slog.Logger
}

// DefaultOverloadAfter is the default of Config.OverloadAfter.
const DefaultOverloadAfter = 50 * time.Millisecond

// Gate admits requests to one backend server.
type Gate struct {
	log        *slog.Logger
	limitGauge metrics.Gauge

	// mu guards the fields below.
	mu      sync.Mutex
	sched   *scheduler
	waiting map[*Waiter]chan decision
	// idle is closed when the last request ends; nil if nobody waits for it.
	idle chan struct{}
	// paceTimer wakes the queue when the pacer lets the next request start; nil while
	// no wake-up is due.
	paceTimer *time.Timer
}

// NewGate returns a gate for a fresh backend server.
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
		log:        cfg.Log.With("service", string(cfg.Service.Name)),
		limitGauge: telemetry.Gauge(MetricLimit),
		sched:      newScheduler(cfg),
		waiting:    map[*Waiter]chan decision{},
	}
}

// Acquire waits for a slot. The error is a *NotRun. The caller must call
// release exactly once; later calls do nothing.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (release func(Outcome), err error) {
	w := &Waiter{Ticket: t}
	wait, d := g.arrive(time.Now(), w)
	if wait != nil {
		d = g.wait(ctx, w, wait)
	}
	if d.refused != "" {
		telemetry.Counter(MetricRefused + metricNames[d.refused]).Inc(1)
		g.log.Debug("request refused", "route", string(t.Route), "kind", t.Kind.String(), "reason", string(d.refused))
		return nil, &NotRun{Reason: d.refused}
	}
	return g.release(t, d), nil
}

// arrive returns the decision on w, or the channel that delivers it.
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

// deliver hands decisions to their waiters. The mutex is held.
func (g *Gate) deliver(decided ...decision) {
	for _, d := range decided {
		g.waiting[d.waiter] <- d // has room: each waiter gets one decision
		delete(g.waiting, d.waiter)
	}
	if g.idle != nil && g.isIdle() {
		close(g.idle)
		g.idle = nil
	}
}

// armPaceTimer sees to it that the queue goes on when the pacer lets the next
// request start. The mutex is held.
func (g *Gate) armPaceTimer(now time.Time) {
	if g.paceTimer != nil || g.sched.queue.Len() == 0 || g.sched.inFlight >= g.sched.limiter.Limit() {
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

// wait blocks until the decision, the time to give up or the end of the context.
func (g *Gate) wait(ctx context.Context, w *Waiter, decided <-chan decision) decision {
	timer := time.NewTimer(time.Until(w.ExpiresAt))
	defer timer.Stop()
	for {
		select {
		case d := <-decided:
			return d
		case <-timer.C:
			g.dispatch(time.Now())
			timer.Reset(time.Millisecond) // only if the wall clock is behind the timer
		case <-ctx.Done():
			return g.cancelWait(w, decided)
		}
	}
}

// cancelWait takes a waiter out of the queue. If it has just got a slot, the
// slot is returned.
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
		g.release(w.Ticket, d)(Outcome{Result: ResultCancelled})
	}
	return refused
}

func (g *Gate) dispatch(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.sched.dispatch(now)...)
}

func (g *Gate) release(t Ticket, d decision) func(Outcome) {
	started := time.Now()
	var once sync.Once
	return func(o Outcome) {
		once.Do(func() {
			now := time.Now()
			if o.Latency == 0 {
				o.Latency = now.Sub(started)
			}
			g.finish(now, Sample{Route: t.Route, Started: started, InFlight: d.inFlight, Result: o.Result, Latency: o.Latency})
		})
	}
}

func (g *Gate) finish(now time.Time, s Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.sched.limiter.Limit()
	g.deliver(g.sched.finish(now, s)...)
	g.armPaceTimer(now)
	after := g.sched.limiter.Limit()
	g.limitGauge.Update(int64(after))
	if after < before {
		g.log.Info("concurrency limit lowered", "from", before, "to", after, "result", int(s.Result), "latency", s.Latency.String())
	}
}

// Drain refuses new requests from now on. Requests in the queue may still get
// a slot for a second; running ones finish.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.drain(time.Now())
	g.log.Info("draining", "in_flight", g.sched.inFlight, "queued", g.sched.queue.Len())
}

// WaitIdle waits until no request runs or waits. Call it after Drain.
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

// SetDataCentre follows the state of this node's data centre. Out refuses new
// requests as not run; a return starts cold.
func (g *Gate) SetDataCentre(state note.DataCentreState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.setDataCentre(now, state)
	g.deliver(g.sched.dispatch(now)...)
	g.log.Info("data centre state", "state", state.String())
}

// Start opens the gate for a backend server that has just registered, with the
// slots that it states and the time for which it is cold.
func (g *Gate) Start(slots int, cold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.start(now, slots, cold)
	g.deliver(g.sched.dispatch(now)...)
	g.armPaceTimer(now)
	g.log.Info("backend server started", "slots", slots, "cold", cold.String())
}

// SetCold paces requests for as long as the backend server says that it is cold.
func (g *Gate) SetCold(cold time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.sched.pacer.start(now, cold)
	g.deliver(g.sched.dispatch(now)...)
	g.armPaceTimer(now)
}

// SetAvailable opens the gate, or refuses every request while there is no
// backend server to send it to.
func (g *Gate) SetAvailable(available bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sched.unavailable == !available {
		return
	}
	g.sched.unavailable = !available
	g.deliver(g.sched.dispatch(time.Now())...)
	g.log.Info("backend server availability", "available", available)
}

// Restarted says that the backend server has been started again and is cold.
func (g *Gate) Restarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sched.limiter.ColdStart(time.Now())
}

// SetService follows a change of the service's limits.
func (g *Gate) SetService(s note.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sched.limiter.fixed {
		s.Slots = g.sched.service.Slots
	}
	g.sched.service, g.sched.provisional = s, false
	g.sched.pacer.rate = s.ColdRate * g.sched.coldLoad
	g.sched.limiter.SetSlots(s.Slots)
	g.sched.queue.limit = s.QueueLimit
	g.deliver(g.sched.dispatch(time.Now())...)
}

// Limit returns the concurrency limit to advertise; zero while new requests are refused.
func (g *Gate) Limit() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.advertisedLimit()
}

// Utilization returns the part of the limit that is in use, waiting requests
// included; it exceeds 1 while requests wait.
func (g *Gate) Utilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.utilization(time.Now())
}

// Load returns the number of requests that run and that wait.
func (g *Gate) Load() (inFlight, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sched.inFlight, g.sched.queue.Len()
}
