package admission

import (
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/note"
)

// Bounds on admissions of requests that had arrived before the backend server
// began to leave or its data centre was taken out. Requests in the queue at
// that time still get a slot within drainQueueGrace; the limits are the targets of
// the design and are asserted.
const (
	drainQueueGrace    = time.Second
	maxAdmitAfterDrain = 2 * time.Second
	maxAdmitAfterOut   = 3 * time.Second
)

// scheduler combines limiter, queue and state. It holds the decisions of Gate
// and knows neither clock nor goroutine.
type scheduler struct {
	service  note.Service
	limiter  *Limiter
	queue    *Queue
	inFlight int
	pacer    pacer
	// coldLoad is the part of the stated rate that a cold backend server is given.
	coldLoad float64
	// provisional says that service is not the stated one yet.
	provisional bool
	// unavailable says that there is no backend server to send requests to.
	unavailable bool
	// drainingSince and out are the times from which no new request is accepted; zero if
	// that is not so.
	drainingSince time.Time
	outSince      time.Time
}

// decision is the end of a request's wait: a slot, or a refusal.
type decision struct {
	waiter  *Waiter
	refused Reason
	// inFlight is the number of requests that run, this one included.
	inFlight int
}

func newScheduler(cfg Config) *scheduler {
	return &scheduler{
		service:     cfg.Service,
		provisional: cfg.Provisional,
		limiter:     NewLimiter(cfg.Service.Slots),
		queue:       NewQueue(cfg.Service.QueueLimit, cfg.OverloadAfter),
		pacer:       pacer{rate: cfg.Service.ColdRate * cfg.ColdLoad},
		coldLoad:    cfg.ColdLoad,
	}
}

// arrive admits, queues or refuses a request, and decides on others that the
// arrival affects.
func (s *scheduler) arrive(now time.Time, w *Waiter) []decision {
	w.Arrived = now
	w.ExpiresAt = s.expiry(now, w.Ticket)
	w.MissesTarget = !w.Target.IsZero() && now.Add(s.limiter.ExpectedLatency(w.Route)).After(w.Target)
	if reason := s.refusalReason(); reason != "" {
		return []decision{{waiter: w, refused: reason}}
	}
	if s.provisional && now.Before(s.pacer.coldUntil) {
		return []decision{{waiter: w, refused: ReasonUnavailable}}
	}
	if !w.Deadline.IsZero() && !now.Before(s.latestStart(w.Ticket)) {
		return []decision{{waiter: w, refused: ReasonStale}}
	}
	if s.queue.Len() == 0 && s.inFlight < s.limiter.Limit() && s.pacer.take(now) {
		return []decision{s.admit(now, w)}
	}
	if s.queue.WouldExpire(now, w) {
		return []decision{{waiter: w, refused: ReasonNoTurn}}
	}
	evicted := s.queue.Push(now, w)
	decided := s.dispatch(now)
	if evicted != nil {
		decided = append(decided, decision{waiter: evicted, refused: ReasonQueueFull})
	}
	return decided
}

// expiry returns when waiting is no longer of use.
func (s *scheduler) expiry(now time.Time, t Ticket) time.Time {
	maxWait := s.service.QueueTimeout
	if t.Patience > 0 {
		maxWait = min(maxWait, t.Patience)
	}
	expiry := now.Add(maxWait)
	if latest := s.latestStart(t); !t.Deadline.IsZero() && latest.Before(expiry) {
		return latest
	}
	return expiry
}

// latestStart is half the usual latency before the deadline: a request that
// starts later is almost certainly late.
func (s *scheduler) latestStart(t Ticket) time.Time {
	return t.Deadline.Add(-s.limiter.ExpectedLatency(t.Route) / 2)
}

func (s *scheduler) refusalReason() Reason {
	switch {
	case s.unavailable:
		return ReasonUnavailable
	case !s.drainingSince.IsZero():
		return ReasonDraining
	case !s.outSince.IsZero():
		return ReasonDataCentreOut
	}
	return ""
}

// admit gives a request a slot.
func (s *scheduler) admit(now time.Time, w *Waiter) decision {
	s.inFlight++
	limit := s.limiter.Limit()
	invariant.Check(s.inFlight <= limit && limit <= 1+s.limiter.successes, invariant.ColdStartLimit,
		"request admitted above the demonstrated limit",
		"in_flight", s.inFlight, "limit", limit, "successes", s.limiter.successes)
	invariant.Check(s.drainingSince.IsZero() || w.Arrived.Before(s.drainingSince) && now.Sub(s.drainingSince) <= maxAdmitAfterDrain,
		invariant.LeavingServer, "request admitted on a leaving backend server",
		"draining", s.drainingSince, "arrived", w.Arrived, "now", now)
	invariant.Check(s.outSince.IsZero() || w.Arrived.Before(s.outSince) && now.Sub(s.outSince) <= maxAdmitAfterOut,
		invariant.DataCentreOut, "request admitted in a data centre that is out",
		"out", s.outSince, "arrived", w.Arrived, "now", now)
	return decision{waiter: w, inFlight: s.inFlight}
}

// dispatch refuses stale waiters and gives free slots to others.
func (s *scheduler) dispatch(now time.Time) []decision {
	var decided []decision
	for _, w := range s.queue.Expire(now) {
		decided = append(decided, decision{waiter: w, refused: ReasonStale})
	}
	reason := s.refusalReason()
	refuseAll := reason == ReasonUnavailable || reason != "" && now.Sub(s.refusingSince()) >= drainQueueGrace
	for s.queue.Len() > 0 && (refuseAll || s.inFlight < s.limiter.Limit() && s.pacer.take(now)) {
		w := s.queue.Pop(now)
		if refuseAll {
			decided = append(decided, decision{waiter: w, refused: reason})
			continue
		}
		decided = append(decided, s.admit(now, w))
	}
	return decided
}

// refusingSince is when the first of the states that refuse work began.
func (s *scheduler) refusingSince() time.Time {
	if s.drainingSince.IsZero() || !s.outSince.IsZero() && s.outSince.Before(s.drainingSince) {
		return s.outSince
	}
	return s.drainingSince
}

// finish returns a slot.
func (s *scheduler) finish(now time.Time, sample Sample) []decision {
	s.inFlight--
	s.limiter.Observe(now, sample)
	return s.dispatch(now)
}

// drain refuses new requests from now on.
func (s *scheduler) drain(now time.Time) {
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
}

// setDataCentre follows the state of the data centre. A backend server whose
// data centre returns has served nothing for a while and counts as cold.
func (s *scheduler) setDataCentre(now time.Time, state note.DataCentreState) {
	switch {
	case state == note.DataCentreOut && s.outSince.IsZero():
		s.outSince = now
	case state != note.DataCentreOut && !s.outSince.IsZero():
		s.outSince = time.Time{}
		s.limiter.ColdStart(now)
	}
}

// advertisedLimit is the advertised concurrency limit; zero while no work is accepted.
func (s *scheduler) advertisedLimit() int {
	if s.refusalReason() != "" {
		return 0
	}
	return s.limiter.Limit()
}

// utilization is the part of the limit in use, waiting requests included. A cold
// backend server has no room while requests wait for its stated rate, however few run.
func (s *scheduler) utilization(now time.Time) float64 {
	limit := float64(max(s.limiter.Limit(), 1))
	waiting := float64(s.queue.Len()) / limit
	used := float64(s.inFlight) / limit
	if waiting > 0 && s.pacer.active(now) {
		used = max(used, 1)
	}
	return used + waiting
}

// start opens the queue for a backend server that states what it bears: its
// slots, and for how long it is cold.
func (s *scheduler) start(now time.Time, slots int, cold time.Duration) {
	s.unavailable, s.drainingSince = false, time.Time{}
	s.service.Slots = slots
	s.limiter.SetFixed(slots)
	s.pacer.start(now, cold)
}
