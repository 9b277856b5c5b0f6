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
	// LeasesQueryInterval is how often a control host asks another one which
	// leases it holds.
	LeasesQueryInterval = 500 * time.Millisecond
	// ControlHostTimeout is the silence after which a control host counts as lost
	// and its leases as orphaned. With the adopted lease and two ticks a node that
	// died with its lease holder lapses after 3.7 s, within the target of 4 s. A host
	// that was only slow gets its leases back at its next answer.
	ControlHostTimeout = 1200 * time.Millisecond
)

// Holdings knows which nodes the other control hosts hold leases of, so that
// a node that dies together with its lease holder is still declared lapsed.
// One mutex guards it.
type Holdings struct {
	mu            sync.Mutex
	byControlHost map[model.HostID]controlHostLeases
}

type controlHostLeases struct {
	checksum    uint64
	hosts       []model.HostID
	lastContact time.Time
}

// NewHoldings returns empty holdings.
func NewHoldings() *Holdings { return &Holdings{byControlHost: map[model.HostID]controlHostLeases{}} }

// Update notes the leases of a control host.
func (h *Holdings) Update(now time.Time, controlHost model.HostID, hosts []model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byControlHost[controlHost] = controlHostLeases{checksum: hostsChecksum(hosts), hosts: hosts, lastContact: now}
}

// confirm notes that the leases are the same as before.
func (h *Holdings) confirm(now time.Time, controlHost model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k, ok := h.byControlHost[controlHost]; ok {
		k.lastContact = now
		h.byControlHost[controlHost] = k
	}
}

func (h *Holdings) checksum(controlHost model.HostID) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byControlHost[controlHost].checksum
}

// TakeOrphans returns the nodes of the control hosts that have been silent for
// HolderSilence, and forgets these control hosts.
func (h *Holdings) TakeOrphans(now time.Time) []model.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []model.HostID
	for controlHost, k := range h.byControlHost {
		if now.Sub(k.lastContact) >= ControlHostTimeout {
			out = append(out, k.hosts...)
			delete(h.byControlHost, controlHost)
		}
	}
	return out
}

// leasedHosts returns the nodes that some other control host holds.
func (h *Holdings) leasedHosts() map[model.HostID]struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[model.HostID]struct{}{}
	for _, k := range h.byControlHost {
		for _, host := range k.hosts {
			out[host] = struct{}{}
		}
	}
	return out
}

func hostsChecksum(hosts []model.HostID) uint64 {
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
		var q leasesQuery
		if err := recvWithTimeout(st, &q, 2*ControlHostTimeout); err != nil {
			return err
		}
		held := k.Held()
		hosts := make([]model.HostID, len(held))
		for i, a := range held {
			hosts[i] = a.Host
		}
		reply := leasesReply{Checksum: hostsChecksum(hosts)}
		if !q.ChecksumKnown || reply.Checksum != q.Checksum {
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
	controlHost := st.Peer().Host
	tick := time.NewTicker(LeasesQueryInterval)
	defer tick.Stop()
	for known := false; ; known = true {
		if err := st.Send(leasesQuery{Checksum: h.checksum(controlHost), ChecksumKnown: known}); err != nil {
			return eris.Wrapf(ErrClosed, "holdings: %v", err)
		}
		var r leasesReply
		if err := recvWithTimeout(st, &r, replyTimeout); err != nil {
			return err
		}
		if r.Changed {
			h.Update(time.Now(), controlHost, r.Hosts)
		} else {
			h.confirm(time.Now(), controlHost)
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
func (h Holder) Sweep(now time.Time, remote *Holdings) []Announcement {
	if remote != nil {
		h.adoptOrphans(now, remote)
	}
	due := slices.DeleteFunc(h.Keeper.Expire(now), func(lapsed Announcement) bool {
		current, ok := h.Table.Get(lapsed.Host)
		return ok && current.Compare(lapsed) >= 0
	})
	h.Table.MergeAll(due)
	for _, a := range due {
		h.Log.Warn("lease lapsed", "host", a.Host, "service", a.Service, "incarnation", a.Incarnation)
	}
	return due
}

// adoptOrphans takes the leases of lost control hosts and gives back the ones that
// another control host holds.
func (h Holder) adoptOrphans(now time.Time, remote *Holdings) {
	var orphans []Announcement
	for _, host := range remote.TakeOrphans(now) {
		if a, ok := h.Table.Get(host); ok {
			orphans = append(orphans, a)
		}
	}
	if len(orphans) > 0 {
		h.Keeper.Adopt(now, orphans)
		h.Log.Warn("leases of a lost control host adopted", "hosts", len(orphans))
	}
	h.Keeper.releaseAdopted(remote.leasedHosts())
}
