package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Snapshot returns a picker with a copy of the state that the calls of a route depend on.
// Choices made with it show what this picker would choose and change nothing here: neither
// the state of balancers, splits, random numbers and backend servers, nor counters and log.
func (p *Picker) Snapshot(r note.Route) *Picker {
	c := NewPicker(PickerConfig{DataCentre: p.cfg.DataCentre, Ramp: p.cfg.Ramp})
	p.mu.Lock()
	defer p.mu.Unlock()
	c.table, c.returnedAt = p.table, maps.Clone(p.returnedAt)
	if s := p.splits[r.Name]; s != nil {
		phase := *s
		c.splits[r.Name] = &phase
	}
	for _, service := range append(destinations(r), r.Service) {
		p.copyService(c, service)
	}
	return c
}

// destinations returns the services that the calls of a route go to.
func destinations(r note.Route) []model.ServiceName {
	if len(r.Split) < 2 {
		return []model.ServiceName{r.Service}
	}
	var services []model.ServiceName
	for _, d := range r.Split {
		services = append(services, d.Service)
	}
	return services
}

// copyService copies the state of a service and of its backend servers to c.
func (p *Picker) copyService(c *Picker, name model.ServiceName) {
	if p.table == nil || p.table.services[name] == nil || c.services[name] != nil {
		return
	}
	source := p.table.services[name]
	for _, pool := range source.pools {
		for _, a := range pool {
			c.copyHost(p.hosts[a.Host])
		}
	}
	s := &serviceState{balancer: newVersionBalancer(c.rand), blocked: map[model.ServiceVersion]bool{}, skipped: map[model.ServiceVersion]bool{}}
	if old := p.services[name]; old != nil {
		s.builtFrom, s.blocked = old.builtFrom, maps.Clone(old.blocked)
		s.balancer.entries = slices.Clone(old.balancer.entries)
		s.versions = make(map[model.ServiceVersion]*versionState, len(old.versions))
		for version, state := range old.versions {
			s.versions[version] = c.copyVersion(state)
		}
	}
	for version := range source.shares {
		s.skipped[version] = true // or it would be counted and logged once more
	}
	c.services[name] = s
}

func (p *Picker) copyVersion(old *versionState) *versionState {
	state := *old
	state.all, state.local.hosts, state.remote.hosts = nil, nil, nil
	for _, h := range old.all {
		state.add(p.copyHost(h), h.DataCentre == p.cfg.DataCentre)
	}
	return &state
}

// copyHost returns the copy of the state of a backend server and makes it on the first use.
func (p *Picker) copyHost(h *host) *host {
	if h == nil {
		return nil
	}
	if c := p.hosts[h.Host]; c != nil {
		return c
	}
	c := *h
	p.hosts[h.Host] = &c
	return &c
}

// VersionChoice is what the choice of a version depends on.
type VersionChoice struct {
	Version model.ServiceVersion
	// Share is the share in the configuration. Without any shares there it is in
	// proportion to the backend servers.
	Share model.Share
	// Part is the part of the calls that the version gets at the moment, between 0 and 1.
	Part float64
	// Lag is the number of calls that the version should have got and did not get.
	Lag float64
	// Blocked is set if this node sends the version no calls, after it has seen it fail.
	Blocked bool
	// Load is the average load as a fraction of the concurrency limit.
	Load float64
	// Candidates are the backend servers, those with the greatest probability first.
	Candidates []Candidate
}

// Candidate is what the choice of a backend server depends on.
type Candidate struct {
	membership.Announcement
	// Own is set for a backend server in the data centre of this node.
	Own bool
	// Load is the load as a fraction of the concurrency limit, Limit that limit.
	Load, Limit float64
	// InFlight is the number of requests of this node there.
	InFlight int
	// Expected is the expected time until a call would be done there; 0 if unknown.
	Expected time.Duration
	// Service holds the service times.
	Service ServiceTimes
	// Latency is the average latency that this node has seen; 0 if unknown.
	Latency time.Duration
	// EjectedFor is the time for which the backend server gets no more calls after
	// failures; 0 if it is not ejected.
	EjectedFor time.Duration
	// Cold is set while the backend server counts as cold, ZeroLimit while it has stated
	// that it takes no requests, Excluded if the call has been tried there.
	Cold, ZeroLimit, Excluded bool
	// Ramp is the part of its usual calls that its data centre gets, between 0 and 1.
	Ramp float64
	// Probability is the part of the next calls that would go there if nothing changed,
	// and Reason the most frequent reason of that choice.
	Probability float64
	Reason      string
}

// choiceDraws is the number of choices from which probabilities are estimated: less for
// services with many backend servers, so that an explanation takes some milliseconds.
func choiceDraws(servers int) int { return min(max(100_000/max(servers, 1), 100), 1000) }

// Choices returns the versions of a service and their backend servers with the values that
// choices depend on. The probabilities come from choices on a copy of this picker's state.
func (p *Picker) Choices(now time.Time, service model.ServiceName, exclude []model.HostID) ([]VersionChoice, error) {
	c := p.Snapshot(note.Route{Service: service})
	s, err := c.stateOf(service)
	if err != nil {
		return nil, err
	}
	shares := s.builtFrom.shares
	if shares == nil {
		shares = s.announcedShares()
	}
	versions := slices.Collect(maps.Keys(shares))
	for version := range s.versions {
		if _, ok := shares[version]; !ok {
			versions = append(versions, version)
		}
	}
	var out []VersionChoice
	for _, version := range versions {
		v := VersionChoice{Version: version, Share: shares[version], Blocked: s.blocked[version]}
		for _, e := range s.balancer.entries {
			if e.version == version {
				v.Part, v.Lag = e.share, e.lag
			}
		}
		if state := s.versions[version]; state != nil {
			v.Load, v.Candidates = state.averageLoad, c.candidates(now, state, exclude)
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b VersionChoice) int {
		return cmp.Or(cmp.Compare(b.Part, a.Part), cmp.Compare(a.Version, b.Version))
	})
	return out, nil
}

// candidates returns the backend servers of a version. It is for a snapshot only, because
// pick may end ejections.
func (p *Picker) candidates(now time.Time, v *versionState, exclude []model.HostID) []Candidate {
	mean := v.meanServiceTime()
	index := map[model.HostID]int{}
	var out []Candidate
	for _, h := range v.all {
		c := Candidate{
			Announcement: h.Announcement, Own: h.DataCentre == p.cfg.DataCentre,
			Load: h.load(now, v.averageLoad), Limit: h.capacity(now), InFlight: h.inFlight,
			Service: v.expectedService(now, h), Latency: seconds(h.latency),
			EjectedFor: max(h.ejectedUntil.Sub(now), 0), Cold: h.cold && h.reportedAt.IsZero(),
			ZeroLimit: h.advertisesZeroLimit(now), Excluded: slices.Contains(exclude, h.Host), Ramp: p.rampFraction(now, h.DataCentre),
		}
		if mean > 0 {
			c.Expected = seconds(h.completionTime(now, v, mean))
		}
		index[h.Host] = len(out)
		out = append(out, c)
	}
	draws := choiceDraws(len(v.all))
	reasons := make([]map[string]int, len(out))
	for range draws {
		h, reason := p.pick(now, v, exclude)
		if h == nil {
			break
		}
		i := index[h.Host]
		if reasons[i] == nil {
			reasons[i] = map[string]int{}
		}
		reasons[i][reason]++
	}
	for i := range out {
		most := 0
		for reason, n := range reasons[i] {
			out[i].Probability += float64(n) / float64(draws)
			if n > most || n == most && reason < out[i].Reason {
				most, out[i].Reason = n, reason
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Candidate) int { return cmp.Compare(b.Probability, a.Probability) })
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// SplitStarted reports whether a call of the route has been divided already. The destination
// of the first one is random.
func (p *Picker) SplitStarted(r note.Route) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.splits[r.Name] != nil
}
