package membership

import (
	"slices"
	"sync"
	"time"

	"balsamtrail.org/mesh/model"
)

// The times of a lease.
const (
	// RenewInterval is how often a node renews its lease.
	RenewInterval = 500 * time.Millisecond
	// LeaseDuration is the silence after which a node is declared lapsed, if the
	// keeper is not given another one. It covers three lost renewals and leaves
	// 2 s of the 4 s target for the fan-out.
	LeaseDuration = 2 * time.Second
	// TickInterval is how often the owner of a LeaseKeeper calls Expire.
	TickInterval = 250 * time.Millisecond
	// PauseThreshold is the gap between two ticks from which the own process counts
	// as paused. It is below LeaseTime minus RenewInterval, so that a shorter
	// pause cannot lapse a node that kept renewing. For a shorter lease the limit
	// is half of it, since renewals come at least three times in a lease.
	PauseThreshold = time.Second
)

// LeaseKeeper decides on a control host which nodes have lapsed. It reads no
// clock. One mutex guards it.
type LeaseKeeper struct {
	// duration is the duration of a lease; it does not change.
	duration  time.Duration
	mu        sync.Mutex
	leases    map[model.HostID]lease
	lastTick  time.Time
	suspended bool
	pauses    uint64
}

type lease struct {
	ann    Announcement
	expiry time.Time
	// adopted marks the lease of a lost control host's node.
	adopted bool
}

// NewLeaseKeeper returns a keeper that grants leases of LeaseTime.
func NewLeaseKeeper() *LeaseKeeper { return NewLeaseKeeperOf(LeaseDuration) }

// NewLeaseKeeperOf returns a keeper that grants leases of the given length. A
// shorter one finds a crash sooner and drops nodes whose host is merely slow.
func NewLeaseKeeperOf(duration time.Duration) *LeaseKeeper {
	return &LeaseKeeper{duration: duration, leases: map[model.HostID]lease{}}
}

// Duration returns the length of a lease.
func (k *LeaseKeeper) Duration() time.Duration { return k.duration }

// pauseThreshold returns the gap between two ticks that counts as a pause.
func (k *LeaseKeeper) pauseThreshold() time.Duration { return min(PauseThreshold, k.duration/2) }

// Renew grants the announced host a lease from now. A record that is older
// than the leased one changes nothing; a host that left has no lease.
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

// Adopt gives hosts whose keeper was lost a lease of time to renew with any
// keeper. Hosts that hold a lease here keep it.
func (k *LeaseKeeper) Adopt(now time.Time, hosts []Announcement) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range hosts {
		if _, held := k.leases[a.Host]; !held && a.Alive() {
			k.leases[a.Host] = lease{ann: a, expiry: now.Add(k.duration), adopted: true}
		}
	}
}

// releaseAdopted drops the adopted leases of hosts that another keeper holds.
func (k *LeaseKeeper) releaseAdopted(renewedElsewhere map[model.HostID]struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for h, l := range k.leases {
		if _, ok := renewedElsewhere[h]; ok && l.adopted {
			delete(k.leases, h)
		}
	}
}

// Release drops the lease of a host that renews with another keeper.
func (k *LeaseKeeper) Release(h model.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.leases, h)
}

// Expire returns the lapsed records of the hosts whose lease ran out, for the
// owner to merge into its table. A gap of the pause limit since the last call means
// that this process was paused and could not hear renewals: every lease is
// then extended instead.
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

func (k *LeaseKeeper) extend(now time.Time) {
	for h, l := range k.leases {
		if fullExpiry := now.Add(k.duration); l.expiry.Before(fullExpiry) {
			l.expiry = fullExpiry
			k.leases[h] = l
		}
	}
}

// Suspend stops expiry: contact with the leader's quorum is lost, and silence
// no longer tells anything about the nodes.
func (k *LeaseKeeper) Suspend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.suspended = true
}

// Resume starts expiry again; every held lease runs anew from now.
func (k *LeaseKeeper) Resume(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.suspended {
		return
	}
	k.suspended = false
	k.extend(now)
}

// Held returns the records of the hosts that renew here, by host.
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

// Pauses returns how often Expire found that the process had been paused.
func (k *LeaseKeeper) Pauses() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pauses
}
