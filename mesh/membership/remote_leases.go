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

// Times of the queries between control hosts about their leases.
const (
	// LeasesQueryInterval is the interval at which a control host asks each other
	// one which nodes renew with it.
	LeasesQueryInterval = 500 * time.Millisecond
	// ControlHostTimeout is the time without a reply after which a control host
	// counts as unresponsive and its leases as orphaned. Together with the adopted
	// lease and two ticks, a node that crashed with the control host that granted
	// its lease lapses after 3.7 s, within the target of 4 s. If a control host was
	// only slow, its leases are handed back at its next reply.
	ControlHostTimeout = 1200 * time.Millisecond
)

// RemoteLeases tracks which nodes renew with each of the other control hosts, so that a
// node that crashes together with the control host that granted its lease is still
// declared lapsed. It is safe for concurrent use.
type RemoteLeases struct {
	mu sync.Mutex
	// byControlHost holds the last known leases of each control host.
	byControlHost map[model.HostID]controlHostLeases
}

// controlHostLeases is the last reply of one control host about its leases.
type controlHostLeases struct {
	checksum    uint64
	hosts       []model.HostID
	lastContact time.Time
}

// NewRemoteLeases returns an empty RemoteLeases.
func NewRemoteLeases() *RemoteLeases {
	return &RemoteLeases{byControlHost: map[model.HostID]controlHostLeases{}}
}

// Update records the nodes that renew with a control host.
func (h *RemoteLeases) Update(now time.Time, controlHost model.HostID, hosts []model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byControlHost[controlHost] = controlHostLeases{checksum: hostsChecksum(hosts), hosts: hosts, lastContact: now}
}

// confirm records that the leases of a control host have not changed.
func (h *RemoteLeases) confirm(now time.Time, controlHost model.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k, ok := h.byControlHost[controlHost]; ok {
		k.lastContact = now
		h.byControlHost[controlHost] = k
	}
}

// checksum returns the checksum of the last known leases of a control host, 0 if
// none are known.
func (h *RemoteLeases) checksum(controlHost model.HostID) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byControlHost[controlHost].checksum
}

// TakeOrphans returns the nodes that renewed with the control hosts that have not
// replied for ControlHostTimeout, and removes these control hosts.
func (h *RemoteLeases) TakeOrphans(now time.Time) []model.HostID {
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

// leasedHosts returns the nodes that renew with some other control host.
func (h *RemoteLeases) leasedHosts() map[model.HostID]struct{} {
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

// hostsChecksum returns the checksum by which both sides of a query compare lists
// of leased nodes.
func hostsChecksum(hosts []model.HostID) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, h := range hosts {
		_, _ = d.WriteString(string(h))
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// ServeLeases answers the lease queries of another control host until the stream
// ends.
func ServeLeases(ctx context.Context, k *LeaseKeeper, st peer.Stream) error {
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

// WatchRemoteLeases asks another control host every LeasesQueryInterval which nodes
// renew with it, until the stream or ctx ends.
func WatchRemoteLeases(ctx context.Context, h *RemoteLeases, st peer.Stream) error {
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

// Sweep expires the leases that are due, merges the lapsed records into the table
// and returns them. Call it every SweepInterval. If remote is not nil, as on the
// leader, Sweep also adopts the leases of unresponsive control hosts. On other hosts
// it drops adopted leases: a former leader may have been the one that was cut off, and
// no longer learns of renewals elsewhere. A node whose
// record in the table is newer than the one leased here renews with another control
// host and is not declared lapsed.
func (h LeaseServer) Sweep(now time.Time, remote *RemoteLeases) []Announcement {
	if remote != nil {
		h.adoptOrphans(now, remote)
	} else {
		h.Keeper.dropAdopted()
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

// adoptOrphans adopts the leases of unresponsive control hosts and drops the
// adopted leases of nodes that renew with another control host.
func (h LeaseServer) adoptOrphans(now time.Time, remote *RemoteLeases) {
	var orphans []Announcement
	for _, host := range remote.TakeOrphans(now) {
		if a, ok := h.Table.Get(host); ok {
			orphans = append(orphans, a)
		}
	}
	if len(orphans) > 0 {
		h.Keeper.Adopt(now, orphans)
		h.Log.Warn("leases of an unresponsive control host adopted", "hosts", len(orphans))
	}
	h.Keeper.releaseAdopted(remote.leasedHosts())
}
