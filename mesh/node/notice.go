package node

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/telemetry"
)

// serverNotice is what this node's backend server has said about itself in its answers.
// The zero value is ready for use.
type serverNotice struct {
	mu sync.Mutex
	// current holds the notice of the current lifetime.
	current callmux.ServerNotice
	// heard is set once the backend server itself has answered. Until then, what other nodes
	// know of it counts.
	heard bool
	// limitedAt is the time of the last answer that stated a rate limit.
	limitedAt time.Time
}

// get returns the notice to pass on; nil if there is none.
func (s *serverNotice) get() *callmux.ServerNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.RateLimit == 0 && !s.current.Leaving {
		return nil
	}
	n := s.current
	return &n
}

// begin discards the notice of a former lifetime. The caller holds the mutex.
func (s *serverNotice) begin(l lifetime) {
	if s.current.Instance != l.instance || s.current.Started != l.started {
		s.current, s.heard, s.limitedAt = callmux.ServerNotice{Instance: l.instance, Started: l.started}, false, time.Time{}
	}
}

// observeAnswer applies what an answer says about the backend server. The request was
// sent to the given lifetime of the server at the given time.
func (s *serving) observeAnswer(h http.Header, server lifetime, sent time.Time) {
	if server != *s.backend.current.Load() {
		return // a late answer of a former lifetime
	}
	s.observeLoad(h)
	s.notice.mu.Lock()
	defer s.notice.mu.Unlock()
	s.notice.begin(server)
	s.notice.heard = true
	if s.onLeaving != nil && h.Get(HeaderLeaving) != "" {
		s.notice.current.Leaving = true
		s.onLeaving(server)
	}
	rate, stated := statedRate(h)
	switch {
	case stated:
		s.notice.limitedAt = time.Now()
		s.limitRate(rate)
	case s.notice.current.RateLimit > 0 && sent.After(s.notice.limitedAt):
		// An answer to an earlier request may have been written before the limit began.
		s.notice.current.RateLimit = 0
		s.gate.ClearRateLimit()
	}
}

// observeLoad passes a load that an answer states to the gate. A malformed one is counted
// and ignored.
func (s *serving) observeLoad(h http.Header) {
	text := h.Get(HeaderServerLoad)
	if text == "" {
		return
	}
	load, err := admission.ParseServerLoad(text)
	if err != nil {
		telemetry.Counter(metricBadServerLoad).Inc(1)
		return
	}
	s.gate.ObserveLoad(load)
}

// metricBadServerLoad counts the answers whose stated load was malformed.
const metricBadServerLoad = "serving.bad_server_load"

// observeCaller applies what a calling node knows of the backend server, unless this node
// knows better. A restarted node learns this way what it had heard before.
func (s *serving) observeCaller(known *callmux.ServerNotice) {
	server := *s.backend.current.Load()
	if known == nil || server.instance == "" || known.Instance != server.instance || known.Started != server.started {
		return
	}
	s.notice.mu.Lock()
	defer s.notice.mu.Unlock()
	s.notice.begin(server)
	if s.onLeaving != nil && known.Leaving {
		s.notice.current.Leaving = true
		s.onLeaving(server)
	}
	if !s.notice.heard && s.notice.current.RateLimit == 0 && validRate(known.RateLimit) && known.RateLimit > 0 {
		s.limitRate(known.RateLimit)
	}
}

// limitRate puts a stated rate in force. The caller holds the mutex of the notice.
func (s *serving) limitRate(rate float64) {
	rate = max(rate, minStatedRate)
	s.notice.current.RateLimit = rate
	s.gate.SetRateLimit(rate)
}

// minStatedRate is the least rate that is kept, in requests per second. Only an answer
// tells that the limit has ended, so that some requests must get through.
const minStatedRate = 0.5

// statedRate returns the rate limit that an answer states, in requests per second.
// Anything but a number from 0 is ignored.
func statedRate(h http.Header) (rate float64, ok bool) {
	rate, err := strconv.ParseFloat(h.Get(HeaderRateLimit), 64)
	return rate, err == nil && validRate(rate)
}

func validRate(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 0) }

// maxKnownNotices bounds the backend servers of which an entry node keeps a notice.
const maxKnownNotices = 4096

// knownNotices holds what the backend servers of other hosts have said about themselves.
// It is safe for concurrent use; the zero value is ready for use.
type knownNotices struct {
	mu     sync.Mutex
	byHost map[model.HostID]*callmux.ServerNotice
}

func (k *knownNotices) get(host model.HostID) *callmux.ServerNotice {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.byHost[host]
}

// observe keeps the notice in a response. A refusal by the serving node without a notice
// says nothing: the node may have restarted.
func (k *knownNotices) observe(host model.HostID, resp *callmux.Response) {
	if resp.Notice == nil && resp.Refusal != nil && resp.Refusal.Declined {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if resp.Notice == nil {
		delete(k.byHost, host)
		return
	}
	if k.byHost == nil || len(k.byHost) >= maxKnownNotices {
		k.byHost = map[model.HostID]*callmux.ServerNotice{}
	}
	k.byHost[host] = resp.Notice
}
