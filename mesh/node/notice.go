package node

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// notices holds what the backend server has said about itself in its answers. The zero
// value is ready for use.
type notices struct {
	mu sync.Mutex
	// limitedAt is the time of the last answer that stated a rate limit; zero if none is
	// in force.
	limitedAt time.Time
}

// observeNotices applies what an answer says about the backend server. The request was
// sent to the instance at the given time.
func (s *serving) observeNotices(h http.Header, instance string, sent time.Time) {
	if s.onLeaving != nil && h.Get(HeaderLeaving) != "" {
		s.onLeaving(instance)
	}
	s.notices.mu.Lock()
	defer s.notices.mu.Unlock()
	rate, stated := statedRate(h)
	switch {
	case stated:
		s.notices.limitedAt = time.Now()
		s.gate.SetRateLimit(rate)
	case !s.notices.limitedAt.IsZero() && sent.After(s.notices.limitedAt):
		// An answer to an earlier request may have been written before the limit began.
		s.notices.limitedAt = time.Time{}
		s.gate.ClearRateLimit()
	}
}

// statedRate returns the rate limit that an answer states, in requests per second.
// Anything but a number from 0 is ignored.
func statedRate(h http.Header) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(h.Get(HeaderRateLimit), 64)
	return rate, err == nil && rate >= 0 && !math.IsInf(rate, 0)
}
