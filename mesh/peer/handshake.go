package peer

import (
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

// Protocols that TLS negotiates by ALPN. A control host offers both, so that the other
// side can tell its handshake from that of a node before it costs a key exchange.
const (
	alpnNode    = "balsamtrail-control/1"
	alpnControl = "balsamtrail-control-host/1"
)

// offeredProtocols returns the protocols that a process of the role offers.
func offeredProtocols(r Role) []string {
	if r == RoleControl {
		return []string{alpnControl, alpnNode}
	}
	return []string{alpnNode}
}

// handshakeHold bounds the time that an unfinished handshake counts. A longer one lets
// peers that never finish keep out others; a shorter one admits more than Handshakes
// when peers are slow.
const handshakeHold = 300 * time.Millisecond

// errHandshakeRefused ends a handshake that is not admitted.
var errHandshakeRefused = eris.New("too many handshakes")

// handshakeCounters count, by outcome, the handshakes that other processes began with this
// endpoint and those that this endpoint began.
type handshakeCounters struct{ begun, done, refused, failed metrics.Counter }

// handshakeCountersOf returns the counters peer.handshakes.<side>.<outcome>.
func handshakeCountersOf(side string) handshakeCounters {
	counter := func(outcome string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer.handshakes."+side+"."+outcome, metrics.DefaultRegistry)
	}
	return handshakeCounters{begun: counter("begun"), done: counter("done"), refused: counter("refused"), failed: counter("failed")}
}

// handshakeGate decides which handshakes an endpoint serves. A handshake costs some
// milliseconds of processor time. Those of a fleet that returns at once would delay
// everything else, and none would end before its peer gives up. Handshakes of control
// hosts are always admitted. One mutex guards the gate.
type handshakeGate struct {
	// limit is the number of handshakes of nodes at a time; 0 for no limit.
	limit int
	// acceptNodes reports whether nodes may connect; nil if always.
	acceptNodes func() bool

	mu sync.Mutex
	// pending holds, by remote address, when each handshake of a node that is not
	// finished began.
	pending map[string]time.Time
}

// admit reports whether to serve a handshake.
func (g *handshakeGate) admit(now time.Time, remote string, protocols []string) bool {
	if slices.Contains(protocols, alpnControl) {
		return true
	}
	if g.acceptNodes != nil && !g.acceptNodes() {
		return false
	}
	if g.limit == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.pending) >= g.limit {
		for addr, begun := range g.pending {
			if now.Sub(begun) >= handshakeHold {
				delete(g.pending, addr)
			}
		}
	}
	if len(g.pending) >= g.limit {
		return false
	}
	if g.pending == nil {
		g.pending = map[string]time.Time{}
	}
	g.pending[remote] = now
	return true
}

// finish ends the handshake of a remote address.
func (g *handshakeGate) finish(remote string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, remote)
}

// limitHandshakes returns a server configuration that refuses the handshakes that the
// gate does not admit, before the key exchange.
func (g *handshakeGate) limitHandshakes(cfg *tls.Config, count handshakeCounters) *tls.Config {
	perClient := cfg.GetConfigForClient
	cfg.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		count.begun.Inc(1)
		if !g.admit(time.Now(), hello.Conn.RemoteAddr().String(), hello.SupportedProtos) {
			count.refused.Inc(1)
			return nil, errHandshakeRefused
		}
		return perClient(hello)
	}
	return cfg
}

// alertInternalError is the TLS alert that a server sends if GetConfigForClient fails.
const alertInternalError = 80

// isRefusedHandshake reports whether the peer refused a handshake with limitHandshakes.
func isRefusedHandshake(err error) bool {
	var e *quic.TransportError
	return errors.As(err, &e) && e.Remote && e.ErrorCode == 0x100+alertInternalError
}

// Delays after a refused handshake. They grow while the peer stays busy, and each is
// random between half and one and a half times its value, so that a fleet spreads out.
const (
	busyMinDelay    = 150 * time.Millisecond
	busyMaxDelay    = 1500 * time.Millisecond
	busyDelayFactor = 1.6
)

// redialDelay is when a peer that refused a handshake is dialled again.
type redialDelay struct {
	delay time.Duration
	until time.Time
}

// next returns the delay after one more refusal.
func (r redialDelay) next(now time.Time) redialDelay {
	d := max(busyMinDelay, min(time.Duration(float64(r.delay)*busyDelayFactor), busyMaxDelay))
	return redialDelay{delay: d, until: now.Add(d/2 + rand.N(d))}
}
