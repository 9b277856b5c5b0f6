package routing

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/telemetry"
)

// Constants of the refusal of calls that no backend server has room for.
const (
	// freshReport is the age up to which a report says whether a server has room.
	freshReport = 100 * time.Millisecond
	// minFreshReports is the number of fresh reports of other servers, all full, from which
	// a declined call is not tried again. Whatever the share of servers with room, at most
	// one call in ten is refused that the next attempt would have served.
	minFreshReports = 3
	// declineLoadWeight is the weight of the newest declined attempt in the moving average
	// of the load at which servers decline.
	declineLoadWeight = 0.1
)

// observeDecline adds the load that a server reported with a declined attempt.
func (v *versionState) observeDecline(utilization float64) {
	if v.declineLoad == 0 {
		v.declineLoad = utilization
	}
	v.declineLoad += declineLoadWeight * (utilization - v.declineLoad)
}

// isFull reports whether a fresh report says that the server has no room for a call. A
// server that has declined a call may have room for a shorter wait or a higher priority,
// so that this is asked only for a call that has been declined itself.
func (h *host) isFull(v *versionState) bool {
	return h.utilization >= 1 && (h.declined || h.utilization >= v.declineLoad)
}

// refusesAll reports whether a call that servers have just declined for lack of room would
// find none elsewhere: the fresh reports of the other servers, at least minFreshReports, all
// say that they are as full. tried lists the servers of the call.
func (v *versionState) refusesAll(now time.Time, tried []model.HostID) bool {
	declined, full := false, 0
	for _, h := range v.all {
		if h.reportedAt.IsZero() || now.Sub(h.reportedAt) > freshReport {
			continue
		}
		switch {
		case slices.Contains(tried, h.Host):
			declined = declined || h.declined && h.isFull(v)
		case !h.isFull(v):
			return false
		default:
			full++
		}
	}
	return declined && full >= minFreshReports
}

// CheckRoom returns ErrNoRoom if one of the servers that a call has tried has just declined it
// and no other one has room. It is not asked for calls of the highest priority: a full server
// serves those next, and the run that makes a nested call would fail with it.
func (p *Picker) CheckRoom(now time.Time, service model.ServiceName, version model.ServiceVersion, tried []model.HostID) error {
	if len(tried) == 0 {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.stateOf(service)
	if err != nil || v.versions[version] == nil || !v.versions[version].refusesAll(now, tried) {
		return nil //nolint:nilerr // an unknown service or version is reported by the choice that follows
	}
	telemetry.Counter(MetricNoRoom).Inc(1)
	return eris.Wrapf(ErrNoRoom, "%s %s: %d tried", service, version, len(tried))
}
