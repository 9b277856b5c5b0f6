package distribute

import (
	"context"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/peer"
)

// confirmRetryInterval is the wait before a control host that could not confirm its
// position for a starting node tries again.
const confirmRetryInterval = 100 * time.Millisecond

// Welcome is what a control host tells a starting node on the watch stream.
type Welcome struct {
	// Answer holds the position, as AskPosition returns it.
	Answer FloorAnswer
	// ControlHosts are the control hosts up to HostsIndex of the log; empty if the
	// control host does not know them.
	ControlHosts []Parent
	HostsIndex   uint64
}

// welcome sends a welcome to out, and a second one if the position could be confirmed
// only later. It returns once the position is confirmed or ctx ends. out must have room
// for one value. The child started at the given time or before.
func (o ServeOptions) welcome(ctx context.Context, s *Store, eps *membership.Table, child peer.Identity, started time.Time, out chan<- welcomeFrame) {
	for first := true; ; first = false {
		w := welcomeFrame{Position: s.Position()}
		pos, err := o.Confirm(ctx, started)
		if err == nil {
			w.Position, w.Confirmed = pos, true
		}
		if own, ok := eps.Get(child.Host); ok {
			w.Own = &own
		}
		if o.ControlHosts != nil {
			w.ControlHosts, w.HostsIndex = o.ControlHosts()
		}
		if first || w.Confirmed {
			select {
			case out <- w:
			case <-ctx.Done():
				return
			}
		}
		if w.Confirmed || !sleep(ctx, confirmRetryInterval) {
			return
		}
	}
}

// welcome passes a control host's welcome on. Nodes cannot confirm a position.
func (r *childReader) welcome(w welcomeFrame) {
	if r.o.OnWelcome == nil || r.st.Peer().Role != peer.RoleControl {
		return
	}
	r.o.OnWelcome(Welcome{
		Answer:       FloorAnswer{From: r.st.Peer(), Position: w.Position, Confirmed: w.Confirmed, Own: w.Own},
		ControlHosts: w.ControlHosts, HostsIndex: w.HostsIndex,
	})
}
