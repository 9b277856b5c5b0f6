package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// PickHost chooses the backend server of a given host, like PickBackendServer; false if it
// may not get a call. It is used for calls for which the place matters more than the load.
func (p *Picker) PickHost(now time.Time, service model.ServiceName, version model.ServiceVersion, id model.HostID, exclude []model.HostID) (Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.stateOf(service)
	if err != nil || v.versions[version] == nil {
		return Choice{}, false
	}
	all := v.versions[version].all
	i := slices.IndexFunc(all, func(h *host) bool { return h.Host == id })
	if i < 0 || p.weight(now, all[i], exclude, false) == 0 {
		return Choice{}, false
	}
	p.checkInvariants(all[i], service)
	all[i].inFlight++
	return Choice{Announcement: all[i].Announcement, Reason: "backend server of this host", ColdTime: v.builtFrom.coldTime}, true
}
