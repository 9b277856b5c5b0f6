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
	v, state, err := p.stateOfVersion(service, version)
	if err != nil {
		return Choice{}, false
	}
	all := state.all
	i := slices.IndexFunc(all, func(h *host) bool { return h.Host == id })
	if i < 0 || p.weight(now, all[i], exclude, false) == 0 {
		return Choice{}, false
	}
	return p.choose(v, all[i], service, "backend server of this host"), true
}
