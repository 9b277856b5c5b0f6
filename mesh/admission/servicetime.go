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
)

// serviceTime measures the mean service time of the backend server over all requests,
// as the time that requests have spent in slots for each one that has ended. Requests
// that still run count too: the mean of those that have ended would show a phase of
// slowness only when it is over, since the long ones end last.
type serviceTime struct {
	recent, usual decayedMean
	at            time.Time
}

// decayedMean is the time in slots and the number of ended requests, both decayed.
type decayedMean struct{ seconds, ended float64 }

// advance adds the time since the last call, in which inFlight requests ran.
func (s *serviceTime) advance(now time.Time, inFlight int) {
	elapsed := now.Sub(s.at)
	if s.at.IsZero() || elapsed <= 0 {
		s.at = now
		return
	}
	s.at = now
	s.recent.advance(elapsed, inFlight, recentServiceTimeConstant)
	s.usual.advance(elapsed, inFlight, usualServiceTimeConstant)
}

func (m *decayedMean) advance(elapsed time.Duration, inFlight int, timeConstant time.Duration) {
	kept := math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
	m.seconds = m.seconds*kept + float64(inFlight)*timeConstant.Seconds()*(1-kept)
	m.ended *= kept
}

// ended counts a request that the backend server has answered without an error. One that
// ended otherwise has only spent time in a slot.
func (s *serviceTime) ended() {
	s.recent.ended++
	s.usual.ended++
}

// means returns the recent and the usual mean; 0 while they are not known.
func (s *serviceTime) means() (recent, usual time.Duration) {
	if s.usual.ended < minServiceTimeRequests {
		return 0, 0
	}
	u := s.usual.seconds / s.usual.ended
	r := (s.recent.seconds + recentPriorRequests*u) / (s.recent.ended + recentPriorRequests)
	return time.Duration(r * float64(time.Second)), time.Duration(u * float64(time.Second))
}
