package admission

import (
	"time"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/note"
)

// Time limits for admitting requests that were queued when the backend server began to
// drain or its data centre was taken out of service.
const (
	// drainQueueGrace is how long queued requests may still get a slot; the rest are then
	// refused.
	drainQueueGrace = time.Second
	// maxAdmitAfterDrain is the design target for the last admission after the start of
	// draining. An invariant asserts it.
	maxAdmitAfterDrain = 2 * time.Second
	// maxAdmitAfterOut is the design target for the last admission after the data centre
	// was taken out of service. An invariant asserts it.
	maxAdmitAfterOut = 3 * time.Second
)

// scheduler makes the decisions of Gate from limiter, queue, pacer and the state of
// backend server and data centre. It does not read the clock, block or start
// goroutines.
type scheduler struct {
	service note.Service
	limiter *Limiter
	queue   *Queue
	// inFlight is the number of requests that hold a slot.
	inFlight int
	times    serviceTime
	routes   distributions
	pacer    pacer
	unknown  unknownLoad
	// abandoned holds requests that have released their slots. It counts while the backend
	// server does not state its load.
	abandoned abandoned
	// coldLoad is the factor applied to the cold rate of the service.
	coldLoad float64
	// provisional says that service holds assumed limits until the configuration arrives.
	provisional bool
	// unavailable says that there is no backend server to send requests to.
	unavailable bool
	// drainingSince is when the backend server began to drain; zero if it does not.
	drainingSince time.Time
	// outSince is when the data centre was taken out of service; zero if it is in service.
	outSince time.Time
}

// decision is the result for one request: a slot or a refusal.
type decision struct {
	waiter *Waiter
	// refused is the reason for the refusal; empty if the request got a slot.
	refused Reason
	// inFlight is the number of running requests after the admission, including this one.
	inFlight int
}

func newScheduler(cfg Config) *scheduler {
	s := &scheduler{
		service:     cfg.Service,
		provisional: cfg.Provisional,
		limiter:     NewLimiter(cfg.Service.Slots),
		queue:       NewQueue(cfg.Service.QueueLimit, cfg.OverloadAfter),
		routes:      distributions{},
		pacer:       pacer{cold: rateLimit{rate: cfg.Service.ColdRate * cfg.ColdLoad, burstTime: coldBurstTime}},
		coldLoad:    cfg.ColdLoad,
	}
	s.queue.missesTarget, s.queue.slotTime = s.missesTarget, s.slotTime
	return s
}

// arrive admits, queues or refuses a new request. It returns all resulting decisions,
// among them those on other waiters; none on w means that w is queued.
func (s *scheduler) arrive(now time.Time, w *Waiter) []decision {
	w.Arrived = now
	w.ExpiresAt = s.expiry(now, w.Request)
	if d := s.routes.of(w.Route); !w.Target.IsZero() {
		d.target = max(d.target, w.Target.Sub(now))
	}
	w.MissesTarget = s.missesTarget(now, w)
	if reason := s.refusalReason(); reason != "" {
		return []decision{{waiter: w, refused: reason}}
	}
	if s.provisional && now.Before(s.pacer.coldUntil) {
		return []decision{{waiter: w, refused: ReasonUnavailable}}
	}
	if !w.Deadline.IsZero() && !now.Before(s.latestStart(now, w.Request)) {
		return []decision{{waiter: w, refused: ReasonStale}}
	}
	if s.queue.Len() == 0 && s.inFlight < s.limit(now) && s.pacer.take(now) {
		return []decision{s.admit(now, w)}
	}
	if s.queue.WouldExpire(now, w, s.drainInterval(now)) {
		return []decision{{waiter: w, refused: ReasonNoTurn}}
	}
	evicted := s.queue.Push(now, w)
	decided := s.dispatch(now)
	if evicted != nil {
		decided = append(decided, decision{waiter: evicted, refused: ReasonQueueFull})
	}
	return decided
}

// expiry returns the time until which a request may wait for a slot: the end of its
// maximum wait or its latest useful start, whichever is earlier.
func (s *scheduler) expiry(now time.Time, t Request) time.Time {
	maxWait := s.service.QueueTimeout
	if t.MaxWait > 0 {
		maxWait = min(maxWait, t.MaxWait)
	}
	expiry := now.Add(maxWait)
	if latest := s.latestStart(now, t); !t.Deadline.IsZero() && latest.Before(expiry) {
		return latest
	}
	return expiry
}

// latestStart returns the deadline minus the median service time. Of the requests that
// start later, fewer than half would end before it. A route with too few requests is not
// refused for that.
func (s *scheduler) latestStart(now time.Time, t Request) time.Time {
	return t.Deadline.Add(-s.scaled(now, s.routes.of(t.Route).median()))
}

// missesTarget reports whether a request that started now would probably miss its latency
// target.
func (s *scheduler) missesTarget(now time.Time, w *Waiter) bool {
	return !w.Target.IsZero() && now.Add(s.scaled(now, s.routes.of(w.Route).medianOrPrior())).After(w.Target)
}

// slotTime returns how long a request is expected to hold its slot, relative to others.
func (s *scheduler) slotTime(now time.Time, w *Waiter) time.Duration {
	if m := s.routes.of(w.Route).mean(); m > 0 {
		return m
	}
	if _, usual := s.serviceTimes(now); usual > 0 {
		return usual
	}
	return unknownSlotTime
}

// scaled returns a usual service time as it is expected now, with the slowness or the
// coldness of the backend server.
func (s *scheduler) scaled(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(float64(usual) * s.times.slowness(now))
}

// drainInterval returns the measured time between two slots that become free while all
// are in use; 0 if it is not known.
func (s *scheduler) drainInterval(now time.Time) time.Duration {
	recent, _ := s.serviceTimes(now)
	return recent / time.Duration(max(s.limit(now), 1))
}

// refusalReason returns why new requests are refused at the moment; empty if they are
// accepted.
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

// admit gives a request a slot and asserts that it may have one.
func (s *scheduler) admit(now time.Time, w *Waiter) decision {
	s.times.advance(now, s.inFlight)
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

// dispatch refuses expired waiters and gives free slots to others. While the backend
// server is unavailable, or after drainQueueGrace, it refuses all waiters.
func (s *scheduler) dispatch(now time.Time) []decision {
	var decided []decision
	for _, w := range s.queue.Expire(now) {
		decided = append(decided, decision{waiter: w, refused: ReasonStale})
	}
	reason := s.refusalReason()
	refuseAll := reason == ReasonUnavailable || reason != "" && now.Sub(s.refusingSince()) >= drainQueueGrace
	for s.queue.Len() > 0 && (refuseAll || s.inFlight < s.limit(now) && s.pacer.take(now)) {
		w := s.queue.Pop(now)
		if refuseAll {
			decided = append(decided, decision{waiter: w, refused: reason})
			continue
		}
		decided = append(decided, s.admit(now, w))
	}
	return decided
}

// refusingSince returns when draining began or the data centre was taken out of
// service, whichever came first.
func (s *scheduler) refusingSince() time.Time {
	if s.drainingSince.IsZero() || !s.outSince.IsZero() && s.outSince.Before(s.drainingSince) {
		return s.outSince
	}
	return s.drainingSince
}

// finish frees the slot of a request, updates the limiter and dispatches the queue.
func (s *scheduler) finish(now time.Time, sample Sample) []decision {
	s.times.advance(now, s.inFlight)
	if sample.Result == ResultOK {
		s.times.ended(now)
	}
	if !s.times.isCold(sample.Started) {
		s.routes.observe(sample)
	}
	s.inFlight--
	if end := s.abandonedEnd(now, sample); sample.Abandoned && end.After(now) {
		s.abandoned.add(end)
	}
	s.limiter.Observe(now, sample)
	return s.dispatch(now)
}

// abandonedEnd returns when the backend server is expected to have ended an abandoned
// request: at a high quantile of the service time of its route, and at least a mean service
// time from now, since the distribution knows nothing beyond the deadlines of the requests.
// It is now if nothing is known.
func (s *scheduler) abandonedEnd(now time.Time, sample Sample) time.Time {
	recent, _ := s.serviceTimes(now)
	end := now.Add(min(recent, maxAbandonedTime))
	if q := sample.Started.Add(s.scaled(now, s.routes.of(sample.Route).quantile(abandonedQuantile))); q.After(end) {
		end = q
	}
	// More requests than slots end one after the other.
	if n := s.abandoned.requests(now); n > 0 && n+s.inFlight >= s.limiter.Limit() {
		after := s.abandoned.ends[n-1].Add(recent / time.Duration(s.limiter.Limit()))
		if after.After(end) {
			return after
		}
	}
	return end
}

// drain refuses new requests from now on.
func (s *scheduler) drain(now time.Time) {
	if s.drainingSince.IsZero() {
		s.drainingSince = now
	}
}

// setDataCentre sets the state of the data centre. A backend server whose data centre
// returns to service has had no requests for a while and counts as cold.
func (s *scheduler) setDataCentre(now time.Time, state note.DataCentreState) {
	switch {
	case state == note.DataCentreOut && s.outSince.IsZero():
		s.outSince = now
	case state != note.DataCentreOut && !s.outSince.IsZero():
		s.outSince = time.Time{}
		s.limiter.ColdStart(now)
	}
}

// advertisedLimit returns the concurrency limit to advertise; zero while new requests
// are refused.
func (s *scheduler) advertisedLimit() int {
	if s.refusalReason() != "" {
		return 0
	}
	return s.limiter.Limit()
}

// utilization returns the number of running and queued requests as a fraction of the
// limit, or the part in use of the stated rate if that is greater. While requests wait
// for a rate limit, all slots count as used, however few requests run: the server has no
// capacity for more.
func (s *scheduler) utilization(now time.Time) float64 {
	limit := float64(max(s.limit(now), 1))
	waiting := float64(s.queue.Len()) / limit
	used := float64(s.inFlight) / limit
	used = max(used, s.pacer.utilization(now))
	if waiting > 0 && len(s.pacer.active(now)) > 0 {
		used = max(used, 1)
	}
	return used + waiting
}

// retryAfter returns when the backend server has room again for a request like w that is
// refused for lack of room: the time in which the queue drains, or that until the server is
// no longer cold, if its cold rate is why. It is 0 if that is not known.
func (s *scheduler) retryAfter(now time.Time, w *Waiter, refused Reason) time.Duration {
	switch refused {
	case ReasonQueueFull, ReasonStale, ReasonNoTurn, ReasonUnavailable:
	default:
		return 0
	}
	if !s.unavailable && (s.provisional || s.pacer.cold.rate > 0) && now.Before(s.pacer.coldUntil) {
		return s.pacer.coldUntil.Sub(now)
	}
	if refused == ReasonUnavailable {
		return 0
	}
	return s.queue.ExpectedWait(now, w, s.drainInterval(now))
}

// serviceTimes returns the recent and the usual mean service time; 0 while unknown.
func (s *scheduler) serviceTimes(now time.Time) (recent, usual time.Duration) {
	s.times.advance(now, s.inFlight)
	return s.times.means(now)
}

// limit returns how many requests may run now: the concurrency limit without the slots
// that requests take which the gate does not know or whose callers have left. It is at
// least 1, so that answers tell when they have ended.
func (s *scheduler) limit(now time.Time) int {
	taken := s.unknown.requests(now)
	if !s.unknown.stated(now) {
		taken = s.abandoned.requests(now)
	}
	limit := s.limiter.Limit()
	return min(limit, max(limit-taken, 1))
}

// observeLoad takes a load that the backend server states.
func (s *scheduler) observeLoad(now time.Time, l ServerLoad) {
	s.unknown.observe(now, l, s.inFlight)
	if l.Slowness > 0 {
		s.times.observeSlowness(now, l.Slowness)
	}
}

// start accepts requests for a backend server that has just registered and stated its
// slots and for how long it is cold.
func (s *scheduler) start(now time.Time, slots int, cold time.Duration) {
	s.unavailable, s.drainingSince = false, time.Time{}
	s.service.Slots = slots
	s.limiter.SetFixed(slots)
	s.unknown, s.abandoned = unknownLoad{}, abandoned{}
	s.times.start()
	s.pacer.setStated(now, 0)
	s.setCold(now, cold)
}

// setCold takes how much longer the backend server is cold.
func (s *scheduler) setCold(now time.Time, cold time.Duration) {
	s.pacer.start(now, cold)
	s.times.coldUntil = s.pacer.coldUntil
}
