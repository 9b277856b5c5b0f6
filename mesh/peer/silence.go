package peer

import (
	"context"
	"time"
)

const (
	// silenceTimeout is how long a connection may receive no packet after one of its streams
	// has timed out. It covers a keep-alive interval and a round trip of half a second.
	silenceTimeout = 800 * time.Millisecond
	// silenceChecks is the number of checks in that time. A check that comes late shows that
	// this process was paused, so that packets may be waiting unread.
	silenceChecks = 4
)

// streamTimedOut closes a connection that receives no packets. QUIC keeps it for three probe
// timeouts, whatever IdleTimeout says, and these follow from the measured round trips: an
// acknowledgement that waited while this process was paused counts as one of many seconds.
func (e *Endpoint) streamTimedOut(o *outbound) {
	if !o.checking.CompareAndSwap(false, true) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.wg.Go(func() {
		defer o.checking.Store(false)
		stats := o.conn.ConnectionStats()
		if !e.isSilent(o, stats.PacketsReceived) {
			return
		}
		e.givenUp.Inc(1)
		e.cfg.Log.Info("peer connection given up: a stream timed out and no packet has arrived since", "address", o.addr, "peer", o.peer.String(),
			"round_trip_ms", stats.SmoothedRTT.Milliseconds(), "deviation_ms", stats.MeanDeviation.Milliseconds(), "packets_received", stats.PacketsReceived)
		_ = o.conn.CloseWithError(connClosed, "no packets")
	})
}

// isSilent waits for silenceTimeout and reports whether the connection is open and has
// received no further packets.
func (e *Endpoint) isSilent(o *outbound, received uint64) bool {
	const interval = silenceTimeout / silenceChecks
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for checks := 0; checks < silenceChecks; {
		began := time.Now()
		select {
		case <-timer.C:
		case <-o.conn.Context().Done():
			return false
		case <-e.closing:
			return false
		}
		if o.conn.ConnectionStats().PacketsReceived != received {
			return false
		}
		if checks++; time.Since(began) > 2*interval {
			checks = 0
		}
		timer.Reset(interval)
	}
	return true
}

// timedOut tells the endpoint that the peer has not answered in time.
func (s *quicStream) timedOut() {
	if s.onTimeout != nil {
		s.onTimeout()
	}
}

// noteTimeout calls timedOut if the deadline of a call on the stream has passed.
func noteTimeout(ctx context.Context, st Stream) {
	if s, ok := st.(*quicStream); ok && context.Cause(ctx) == context.DeadlineExceeded { //nolint:errorlint // the value that context returns
		s.timedOut()
	}
}
