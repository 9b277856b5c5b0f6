package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// The times of the exchange of holdings.
const (
	// HoldingsInterval is how often a control host asks another one which
	// leases it holds.
	HoldingsInterval = 500 * time.Millisecond
	// HolderSilence is the silence after which a control host counts as lost
	// and its leases as orphaned. With the adopted lease and two ticks a node that
	// died with its lease holder lapses after 3.7 s, within the target of 4 s. A host
	// that was only slow gets its leases back at its next answer.
	HolderSilence = 1200 * time.Millisecond
)

// Holdings knows which nodes the other control hosts hold leases of, so that
// a node that dies together with its lease holder is still declared lapsed.
// One mutex guards it.
type Holdings struct {
	mu sync.Mutex
	by map[model.HostID]holding
}

type holding struct {
	sum   uint64
	hosts []model.HostID
	heard time.Time
}

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings { return &Holdings{by: map[model.HostID]holding{}} }

// Update notes the leases of a control host.
func (h *Holdings) Update(now time.Time, holder model.HostID, hosts []model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.by[holder] = holding{sum: sumOfHosts(hosts), hosts: hosts, heard: now}
}

// confirm notes that the leases are the same as before.
func (h *Holdings) confirm(now time.Time, holder model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k, ok := h.by[holder]; ok {
		k.heard = now
		h.by[holder] = k
	}
}

func (h *Holdings) sum(holder model.HostID) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.by[holder].sum
}

// Orphans returns the nodes of the control hosts that have been silent for
// HolderSilence, and forgets these control hosts.
func (h *Holdings) Orphans(now time.Time) []model.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []model.HostID
	for holder, k := range h.by {
		if now.Sub(k.heard) >= HolderSilence {
			out = append(out, k.hosts...)
			delete(h.by, holder)
		}
	}
	return out
}

// held returns the nodes that some other control host holds.
func (h *Holdings) held() map[model.HostID]struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[model.HostID]struct{}{}
	for _, k := range h.by {
		for _, host := range k.hosts {
			out[host] = struct{}{}
		}
	}
	return out
}

func sumOfHosts(hosts []model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, h := range hosts {
		_, _ = d.WriteString(string(h))
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ServeHoldings answers another control host's questions until the stream ends.
func ServeHoldings(ctx context.Context, k *LeaseKeeper, st peer.Stream) error {
	defer context.AfterFunc(ctx, st.Abort)()
	for {
		var q holdingsQuery
		if err := recvWithin(st, &q, 2*HolderSilence); err != nil {
			return err
		}
		held := k.Held()
		hosts := make([]model.HostID, len(held))
		for i, a := range held {
			hosts[i] = a.Host
		}
		reply := holdingsReply{Sum: sumOfHosts(hosts)}
		if !q.Known || reply.Sum != q.Sum {
			reply.Changed, reply.Hosts = true, hosts
		}
		if err := st.Send(reply); err != nil {
			return eris.Wrapf(ErrClosed, "holdings: %v", err)
		}
	}
}

// WatchHoldings asks another control host every HoldingsInterval which leases
// it holds, until the stream or ctx ends.
func WatchHoldings(ctx context.Context, h *Holdings, st peer.Stream) error {
	defer context.AfterFunc(ctx, st.Abort)()
	holder := st.Peer().Host
	tick := time.NewTicker(HoldingsInterval)
	defer tick.Stop()
	for known := false; ; known = true {
		if err := st.Send(holdingsQuery{Sum: h.sum(holder), Known: known}); err != nil {
			return eris.Wrapf(ErrClosed, "holdings: %v", err)
		}
		var r holdingsReply
		if err := recvWithin(st, &r, replyTimeout); err != nil {
			return err
		}
		if r.Changed {
			h.Update(time.Now(), holder, r.Hosts)
		} else {
			h.confirm(time.Now(), holder)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return eris.Wrapf(ErrClosed, "%v", ctx.Err())
		}
	}
}

// Sweep declares the lapses that are due and merges them into the table; call
// it every TickInterval. With holdings, as on the leader, it also takes over
// the leases of lost control hosts. A node whose record is newer than its lease
// here renews with another control host and does not lapse.
func (h Holder) Sweep(now time.Time, others *Holdings) []Announcement {
	if others != nil {
		h.adopt(now, others)
	}
	due := slices.DeleteFunc(h.Keeper.Expire(now), func(lapse Announcement) bool {
		current, ok := h.Table.Get(lapse.Host)
		return ok && current.Compare(lapse) >= 0
	})
	h.Table.MergeAll(due)
	for _, a := range due {
		h.Log.Warn("lease lapsed", "host", a.Host, "service", a.Service, "incarnation", a.Incarnation)
	}
	return due
}

// adopt takes the leases of lost control hosts and gives back the ones that
// another control host holds.
func (h Holder) adopt(now time.Time, others *Holdings) {
	var orphans []Announcement
	for _, host := range others.Orphans(now) {
		if a, ok := h.Table.Get(host); ok {
			orphans = append(orphans, a)
		}
	}
	if len(orphans) > 0 {
		h.Keeper.Adopt(now, orphans)
		h.Log.Warn("leases of a lost control host adopted", "hosts", len(orphans))
	}
	h.Keeper.returnAdopted(others.held())
}
