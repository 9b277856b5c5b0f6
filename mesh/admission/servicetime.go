package admission

import (
	"math"
	"time"
)

// Constants of the measured service time.
const (
	// recentServiceTimeConstant is the time constant of the recent service time. Phases
	// of slowness on shared machines take about 600 ms.
	recentServiceTimeConstant = 500 * time.Millisecond
	// usualServiceTimeConstant is that of the usual one.
	usualServiceTimeConstant = 5 * time.Second
	// recentPriorRequests is the weight of the usual service time in the recent one, in
	// requests, so that a few long requests don't make a server look slow.
	recentPriorRequests = 4.0
	// minServiceTimeRequests is the number of requests in the usual window from which a
	// service time is known.
	minServiceTimeRequests = 5.0
	// minServiceTimeSeconds is the time in slots, in seconds, from which it is known of a
	// server that ends hardly any request.
	minServiceTimeSeconds = 10.0
	// maxSlownessAge is how long a slowness that the backend server states counts.
	maxSlownessAge = 200 * time.Millisecond
	// coldRatioPrior is the assumed ratio of the service times of a cold server and of a
	// warm one, and maxColdRatio the greatest that is learned.
	coldRatioPrior, maxColdRatio = 2.0, 4.0
	// coldRatioRequests is the number of requests after the cold time from which the ratio
	// is learned.
	coldRatioRequests = 50.0
)

// serviceTime measures the mean service time of the backend server over all requests,
// as the time that requests have spent in slots for each one that has ended. Requests
// that still run count too: the mean of those that have ended would show a phase of
// slowness only when it is over, since the long ones end last.
type serviceTime struct {
	recent, usual decayedMean
	at            time.Time
	// cold is the mean over the cold time, which does not enter usual.
	cold      decayedMean
	coldUntil time.Time
	// coldRatio is the learned ratio of cold and usual service times; 0 before the first.
	coldRatio float64
	// stated is the slowness that the backend server last stated, meanStated its mean over
	// the time of the usual service time, and statedAt the time of the last one.
	stated, meanStated float64
	statedAt           time.Time
}

// decayedMean is the time in slots and the number of ended requests, both decayed.
type decayedMean struct{ seconds, ended float64 }

// start forgets a former lifetime of the backend server but the ratio of its cold time.
func (s *serviceTime) start() { *s = serviceTime{coldRatio: s.coldRatio} }

// advance adds the time since the last call, in which inFlight requests ran.
func (s *serviceTime) advance(now time.Time, inFlight int) {
	elapsed := now.Sub(s.at)
	if s.at.IsZero() || elapsed <= 0 {
		s.at = now
		return
	}
	wasCold := s.isCold(s.at)
	s.at = now
	s.recent.advance(elapsed, inFlight, recentServiceTimeConstant)
	if wasCold {
		s.cold.seconds += float64(inFlight) * elapsed.Seconds()
	} else {
		s.usual.advance(elapsed, inFlight, usualServiceTimeConstant)
	}
	if wasCold && !s.isCold(now) && !s.usual.known() && s.cold.known() {
		s.usual = decayedMean{seconds: s.cold.mean() / s.ratio() * minServiceTimeRequests, ended: minServiceTimeRequests}
		s.recent = decayedMean{}
	}
}

func (m *decayedMean) advance(elapsed time.Duration, inFlight int, timeConstant time.Duration) {
	kept := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	m.seconds = m.seconds*kept + float64(inFlight)*timeConstant.Seconds()*(1-kept)
	m.ended *= kept
}

// mean returns the mean service time in seconds.
func (m *decayedMean) mean() float64 { return m.seconds / max(m.ended, 1) }

func (m *decayedMean) known() bool {
	return m.ended >= minServiceTimeRequests || m.seconds >= minServiceTimeSeconds
}

// ended counts a request that the backend server has answered without an error. One that
// ended otherwise has only spent time in a slot.
func (s *serviceTime) ended(now time.Time) {
	s.recent.ended++
	if s.isCold(now) {
		s.cold.ended++
		return
	}
	s.usual.ended++
	if s.usual.ended > coldRatioRequests && s.cold.ended >= minServiceTimeRequests {
		s.coldRatio = min(max(s.cold.mean()/s.usual.mean(), 1), maxColdRatio)
		s.cold = decayedMean{}
	}
}

// observeSlowness takes how long work takes on the machine of the backend server at the
// moment, as it states itself; 100 is usual.
func (s *serviceTime) observeSlowness(now time.Time, slowness int) {
	s.stated = float64(slowness)
	if s.meanStated == 0 {
		s.meanStated = s.stated
	}
	s.meanStated += (1 - math.Exp(-now.Sub(s.statedAt).Seconds()/usualServiceTimeConstant.Seconds())) * (s.stated - s.meanStated)
	s.statedAt = now
}

func (s *serviceTime) isCold(now time.Time) bool { return now.Before(s.coldUntil) }

// ratio returns the assumed ratio of cold and usual service times.
func (s *serviceTime) ratio() float64 {
	if s.coldRatio == 0 {
		return coldRatioPrior
	}
	return s.coldRatio
}

// means returns the recent and the usual mean; 0 while they are not known. A stated slowness
// tells the recent one better than the requests that have ended since. During the cold
// time both are the mean of the cold server, as it will stay so for longer than a report
// counts.
func (s *serviceTime) means(now time.Time) (recent, usual time.Duration) {
	var r, u float64
	switch {
	case s.isCold(now) && s.cold.known():
		r = s.cold.mean()
		u = r
	case s.isCold(now) && s.usual.known():
		r = s.usual.mean() * s.ratio()
		u = r
	case s.isCold(now) || !s.usual.known():
		return 0, 0
	default:
		u = s.usual.mean()
		r = (s.recent.seconds + recentPriorRequests*u) / (s.recent.ended + recentPriorRequests)
		if now.Sub(s.statedAt) <= maxSlownessAge {
			r = u * s.stated / s.meanStated
		}
	}
	return time.Duration(r * float64(time.Second)), time.Duration(u * float64(time.Second))
}

// slowness returns the expected ratio of service times now to the usual ones of the server.
func (s *serviceTime) slowness(now time.Time) float64 {
	if s.isCold(now) {
		return s.ratio()
	}
	recent, usual := s.means(now)
	if usual == 0 {
		return 1
	}
	return float64(recent) / float64(usual)
}
