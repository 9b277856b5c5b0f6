package membership

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// Times of a lease.
const (
	// RenewInterval is the default interval at which a node renews its lease.
	RenewInterval = 500 * time.Millisecond
	// LeaseDuration is the default time without a renewal after which a node is
	// declared lapsed. It covers three lost renewals and leaves 2 s of the 4 s
	// failure detection target for the fan-out.
	LeaseDuration = 2 * time.Second
	// SweepInterval is the interval at which the owner of a LeaseKeeper calls
	// Expire.
	SweepInterval = 250 * time.Millisecond
	// PauseThreshold is the time between two calls of Expire from which the control
	// host's own process is taken to have been paused. It is below LeaseDuration
	// minus RenewInterval, so that a shorter pause cannot lapse a node that kept
	// renewing. For shorter leases the threshold is half the lease, since a node
	// renews at least three times in a lease.
	PauseThreshold = time.Second
)

// LeaseKeeper grants leases to nodes on a control host and decides which nodes have
// lapsed. It is the failure detector for nodes. It reads no clock: callers pass the
// time. It is safe for concurrent use.
type LeaseKeeper struct {
	// duration is the duration of a lease; it does not change.
	duration time.Duration
	// mu guards the fields below.
	mu     sync.Mutex
	leases map[model.HostID]lease
	// lastTick is the time of the last call of Expire.
	lastTick time.Time
	// suspended is set while no lease may expire; see Suspend.
	suspended bool
	// pauses counts the detected pauses of this process.
	pauses uint64
}

// lease is the lease of one node.
type lease struct {
	ann    Announcement
	expiry time.Time
	// adopted marks a lease that was taken over from an unresponsive control host
	// and not renewed here since.
	adopted bool
}

// NewLeaseKeeper returns a LeaseKeeper that grants leases of LeaseDuration.
func NewLeaseKeeper() *LeaseKeeper { return NewLeaseKeeperWithDuration(LeaseDuration) }

// NewLeaseKeeperWithDuration returns a LeaseKeeper that grants leases of the given duration.
// A shorter lease detects a crash sooner, but also expires the leases of nodes
// whose host is merely slow.
func NewLeaseKeeperWithDuration(duration time.Duration) *LeaseKeeper {
	return &LeaseKeeper{duration: duration, leases: map[model.HostID]lease{}}
}

// Duration returns the duration of a lease.
func (k *LeaseKeeper) Duration() time.Duration { return k.duration }

// pauseThreshold returns the time between two calls of Expire from which the
// process is taken to have been paused.
func (k *LeaseKeeper) pauseThreshold() time.Duration { return min(PauseThreshold, k.duration/2) }

// Renew grants the announced host a lease from now. An announcement older than the
// leased one changes nothing; one in state left or lapsed ends the lease.
func (k *LeaseKeeper) Renew(now time.Time, ann Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l, ok := k.leases[ann.Host]; ok && newer(l.ann, ann) {
		return
	}
	if !ann.Alive() {
		delete(k.leases, ann.Host)
		return
	}
	k.leases[ann.Host] = lease{ann: ann, expiry: now.Add(k.duration)}
}

// Adopt grants a lease to hosts whose control host became unresponsive, so that
// they have time to renew with any control host. Hosts that already have a lease
// here keep it unchanged.
func (k *LeaseKeeper) Adopt(now time.Time, hosts []Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range hosts {
		if _, held := k.leases[a.Host]; !held && a.Alive() {
			k.leases[a.Host] = lease{ann: a, expiry: now.Add(k.duration), adopted: true}
		}
	}
}

// releaseAdopted drops the adopted leases of hosts that renew with another control
// host.
func (k *LeaseKeeper) releaseAdopted(renewedElsewhere map[model.HostID]struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for h, l := range k.leases {
		if _, ok := renewedElsewhere[h]; ok && l.adopted {
			delete(k.leases, h)
		}
	}
}

// dropAdopted drops all adopted leases.
func (k *LeaseKeeper) dropAdopted() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for h, l := range k.leases {
		if l.adopted {
			delete(k.leases, h)
		}
	}
}

// Release drops the lease of a host that renews with another control host.
func (k *LeaseKeeper) Release(h model.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.leases, h)
}

// Expire removes the leases that ran out and returns a lapsed record for each of
// their hosts, which the caller merges into its table. If the last call was at
// least the pause threshold ago, this process was paused and could not receive
// renewals; all leases are extended then instead of expiring.
func (k *LeaseKeeper) Expire(now time.Time) []Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	paused := !k.lastTick.IsZero() && now.Sub(k.lastTick) >= k.pauseThreshold()
	k.lastTick = now
	if paused {
		k.pauses++
		k.extend(now)
	}
	if k.suspended {
		return nil
	}
	var out []Announcement
	for h, l := range k.leases {
		if now.Before(l.expiry) {
			continue
		}
		delete(k.leases, h)
		a := l.ann
		a.Sequence++
		a.State = StateLapsed
		out = append(out, a)
	}
	slices.SortFunc(out, byHost)
	return out
}

// extend lets every lease run for at least a full lease duration from now. The
// caller holds the mutex.
func (k *LeaseKeeper) extend(now time.Time) {
	for h, l := range k.leases {
		if fullExpiry := now.Add(k.duration); l.expiry.Before(fullExpiry) {
			l.expiry = fullExpiry
			k.leases[h] = l
		}
	}
}

// Suspend stops the expiry of leases. It is called when this control host loses
// contact with the leader's quorum, since missing renewals then say nothing about
// the nodes.
func (k *LeaseKeeper) Suspend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspended = true
}

// Resume starts expiry again; every lease runs for a full lease duration from now.
func (k *LeaseKeeper) Resume(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.suspended {
		return
	}
	k.suspended = false
	k.extend(now)
}

// Held returns the records of the hosts that renew here, ordered by host. Adopted
// leases do not count.
func (k *LeaseKeeper) Held() []Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Announcement, 0, len(k.leases))
	for _, l := range k.leases {
		if !l.adopted {
			out = append(out, l.ann)
		}
	}
	slices.SortFunc(out, byHost)
	return out
}

// Pauses returns how often Expire detected that the process had been paused.
func (k *LeaseKeeper) Pauses() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pauses
}
