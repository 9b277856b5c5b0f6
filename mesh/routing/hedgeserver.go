package routing

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// maxHedgeDraws is the number of backend servers that are drawn for a hedged attempt until
// one suits. The attempt is optional, so that no more processor time is spent on it.
const maxHedgeDraws = 4

// HedgeLoad returns the average load of a version, as a fraction of its concurrency limit,
// and the number of versions of the service that get calls.
func (p *Picker) HedgeLoad(service model.ServiceName, version model.ServiceVersion) (load float64, versions int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.services[service]
	if v == nil {
		return 0, 0
	}
	for _, e := range v.balancer.entries {
		if e.share > 0 {
			versions++
		}
	}
	if state := v.versions[version]; state != nil {
		load = state.averageLoad
	}
	return load, versions
}

// PickHedgeServer chooses the backend server for a hedged attempt. It differs from
// PickBackendServer in that it returns an error if every server that it draws is ejected
// or does not suit; suits gets the load of a server as a fraction of its limit
// and its service times.
func (p *Picker) PickHedgeServer(now time.Time, service model.ServiceName, version model.ServiceVersion, exclude []model.HostID, suits func(load float64, times ServiceTimes) bool) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, state, err := p.stateOfVersion(service, version)
	if err != nil {
		return Choice{}, err
	}
	exclude = slices.Clone(exclude)
	for range maxHedgeDraws {
		h, _ := p.pick(now, state, exclude)
		if h == nil || h.ejected(now) {
			break
		}
		if suits(h.load(now, state.averageLoad), state.expectedService(now, h)) {
			return p.choose(v, h, service, "hedged attempt"), nil
		}
		exclude = append(exclude, h.Host)
	}
	return Choice{}, eris.Wrapf(ErrNoBackendServer, "%s %s: none suits a hedged attempt", service, version)
}
