package routing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/telemetry"
)

// PickerConfig is the configuration of a Picker.
type PickerConfig struct {
	// DataCentre is the data centre of this node.
	DataCentre model.DataCentre
	// Ramp is the time over which the calls to a data centre that returns to service
	// grow to their usual number; zero selects DefaultRamp. A longer ramp warms up cold
	// backend servers more gently and leaves more load on the other data centres
	// meanwhile.
	Ramp time.Duration
	// Seed makes random choices reproducible; zero selects a random seed.
	Seed uint64
	// Log receives changes such as ejections, skipped versions and returning data
	// centres; nil discards them. The choice of each call is left to the caller to log.
	Log *slog.Logger
}

// DefaultRamp is the default of PickerConfig.Ramp.
const DefaultRamp = 30 * time.Second

// Names of the counters of this package.
const (
	// MetricEjections counts ejections of backend servers.
	MetricEjections = "routing.ejections"
	// MetricSkipped counts how often a version with a share was found without a live
	// backend server.
	MetricSkipped = "routing.versions_skipped"
	// MetricNoRoom counts declined calls that were refused without another attempt, since
	// no other backend server had room.
	MetricNoRoom = "routing.no_room"
)

const (
	// hostEvictionThreshold is the number of known backend servers above which SetTable
	// removes the idle ones.
	hostEvictionThreshold = 1024
	// idleHostTTL is the time since the last observed attempt after which a backend
	// server without requests in flight counts as idle.
	idleHostTTL = 10 * time.Minute
)

// Picker chooses the service, version and backend server for the calls that enter
// the mesh at one node. It is safe for concurrent use.
type Picker struct {
	cfg PickerConfig

	// mu guards the fields below and everything they refer to, except the contents of
	// the table, which are immutable.
	mu       sync.Mutex
	rand     *rand.Rand
	table    *Table
	services map[model.ServiceName]*serviceState
	hosts    map[model.HostID]*host
	// splits distributes the calls of routes with a split.
	splits map[model.RouteName]*splitPhase
	// returnedAt holds the time of the last return to service of each data centre that
	// has been out.
	returnedAt map[model.DataCentre]time.Time
}

// serviceState is the mutable state of one service. It is updated lazily, on the
// first call of the service after a change of the table.
type serviceState struct {
	// builtFrom is the table entry that versions was built from.
	builtFrom *serviceTable
	balancer  *versionBalancer
	versions  map[model.ServiceVersion]*versionState
	// blocked marks the versions blocked with Picker.Block.
	blocked map[model.ServiceVersion]bool
	// skipped marks the versions already logged and counted as skipped.
	skipped map[model.ServiceVersion]bool
}

// NewPicker returns a picker. Until the first SetTable every service is unknown to it.
func NewPicker(cfg PickerConfig) *Picker {
	if cfg.Ramp == 0 {
		cfg.Ramp = DefaultRamp
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Picker{
		cfg:        cfg,
		rand:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		services:   map[model.ServiceName]*serviceState{},
		hosts:      map[model.HostID]*host{},
		splits:     map[model.RouteName]*splitPhase{},
		returnedAt: map[model.DataCentre]time.Time{},
	}
}

// SetTable makes t the routing table of all later choices.
func (p *Picker) SetTable(now time.Time, t *Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for dc, state := range t.dataCentres {
		wasOut := p.table != nil && p.table.dataCentres[dc] == note.DataCentreOut
		_, known := p.returnedAt[dc]
		switch {
		case state == note.DataCentreOut:
			delete(p.returnedAt, dc)
		case wasOut, state == note.DataCentreReturning && !known:
			p.returnedAt[dc] = now
			p.cfg.Log.Info("data centre returns to service", "data_centre", string(dc), "ramp", p.cfg.Ramp.String())
		}
	}
	for name := range p.services {
		if t.services[name] == nil {
			delete(p.services, name)
		}
	}
	p.table = t
	p.removeStaleSplits(t)
	p.removeIdleHosts(now)
}

// removeIdleHosts drops the state of backend servers that have left or are no longer
// used.
func (p *Picker) removeIdleHosts(now time.Time) {
	if len(p.hosts) <= hostEvictionThreshold {
		return
	}
	for id, h := range p.hosts {
		if h.inFlight == 0 && now.Sub(h.observedAt) > idleHostTTL {
			delete(p.hosts, id)
		}
	}
}

// stateOf returns the state of a service, updated to the current table.
func (p *Picker) stateOf(name model.ServiceName) (*serviceState, error) {
	if p.table == nil || p.table.services[name] == nil {
		return nil, eris.Wrapf(ErrUnknownService, "%q", name)
	}
	source := p.table.services[name]
	v := p.services[name]
	if v == nil {
		v = &serviceState{balancer: newVersionBalancer(p.rand), blocked: map[model.ServiceVersion]bool{}, skipped: map[model.ServiceVersion]bool{}}
		p.services[name] = v
	}
	if v.builtFrom != source {
		p.refresh(name, v, source)
	}
	return v, nil
}

// refresh rebuilds the version states of a service from its new table entry. It keeps
// the averages of versions that remain.
func (p *Picker) refresh(name model.ServiceName, v *serviceState, source *serviceTable) {
	firstBuild := v.builtFrom == nil
	old := v.versions
	v.builtFrom = source
	v.versions = make(map[model.ServiceVersion]*versionState, len(source.pools))
	for version, pool := range source.pools {
		state := &versionState{}
		if o := old[version]; o != nil {
			state.local.refusalRate, state.remote.refusalRate, state.successes, state.averageLoad = o.local.refusalRate, o.remote.refusalRate, o.successes, o.averageLoad
			state.declineLoad = o.declineLoad
		}
		for _, a := range pool {
			state.add(p.host(a, !firstBuild), a.DataCentre == p.cfg.DataCentre)
		}
		v.versions[version] = state
	}
	p.updateShares(name, v)
}

// host returns the state of an announced backend server and creates it if there is
// none; cold says whether a new one starts cold. A new incarnation is treated as a
// restart: the state is reset, except for the requests in flight, and is cold.
func (p *Picker) host(a membership.Announcement, cold bool) *host {
	h := p.hosts[a.Host]
	switch {
	case h == nil:
		h = &host{Announcement: a, cold: cold}
		p.hosts[a.Host] = h
	case h.Incarnation != a.Incarnation:
		*h = host{Announcement: a, cold: true, inFlight: h.inFlight}
	default:
		h.Announcement = a
	}
	return h
}

// updateShares passes the shares of the versions that can get calls to the balancer.
// A version without a live backend server gets none. Neither does a blocked version,
// unless every other version with a share is also blocked or without a live server.
func (p *Picker) updateShares(name model.ServiceName, v *serviceState) {
	if v.builtFrom.shares == nil {
		v.balancer.setShares(v.announcedShares())
		return
	}
	shares := make(map[model.ServiceVersion]model.Share, len(v.builtFrom.shares))
	var sum model.Share
	for version, s := range v.builtFrom.shares {
		skip := s > 0 && v.versions[version] == nil
		if skip && !v.skipped[version] {
			telemetry.Counter(MetricSkipped).Inc(1)
			p.cfg.Log.Warn("version skipped", "service", string(name), "version", string(version),
				"share", int(s), "reason", "no live backend server")
		}
		v.skipped[version] = skip
		if skip {
			s = 0
		}
		if v.blocked[version] {
			s = 0
		}
		shares[version] = s
		sum += s
	}
	if sum == 0 && len(v.blocked) > 0 {
		for version, s := range v.builtFrom.shares {
			if v.versions[version] != nil {
				shares[version] = s
			}
		}
	}
	v.balancer.setShares(shares)
}

// announcedShares gives each version a share proportional to its number of backend
// servers. It is used for a service that has no shares in the configuration yet.
func (v *serviceState) announcedShares() map[model.ServiceVersion]model.Share {
	shares := make(map[model.ServiceVersion]model.Share, len(v.versions))
	for version, state := range v.versions {
		shares[version] = model.Share(len(state.all))
	}
	return shares
}

// Block stops sending calls of this node to a version if on is set, and otherwise
// lifts the block. It is meant for a version that this node itself has seen fail. A
// blocked version still gets calls if every other version with a share is also
// blocked or without a live backend server.
func (p *Picker) Block(service model.ServiceName, version model.ServiceVersion, on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.stateOf(service)
	if err != nil {
		return err
	}
	delete(v.blocked, version)
	if on {
		v.blocked[version] = true
	}
	p.cfg.Log.Info("version blocked", "service", string(service), "version", string(version), "blocked", on)
	p.updateShares(service, v)
	return nil
}

// PickVersion chooses the version for the next call of a service. The number of calls
// that each version gets differs from its exact share by less than one call, with
// the exception described at versionBalancer.
func (p *Picker) PickVersion(service model.ServiceName) (model.ServiceVersion, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.stateOf(service)
	if err != nil {
		return "", err
	}
	e, ok := v.balancer.next()
	if !ok {
		return "", eris.Wrapf(ErrNoVersion, "%q", service)
	}
	invariant.Check(v.builtFrom.shares == nil || v.builtFrom.shares[e.version] > 0, invariant.BadVersionShare, "call for a version without a share",
		"service", service, "version", e.version)
	if p.cfg.Log.Enabled(context.Background(), slog.LevelDebug) {
		p.cfg.Log.Debug("version chosen", "service", string(service), "version", string(e.version), "share", e.share, "lag", e.lag)
	}
	return e.version, nil
}

// Choice is a chosen backend server and the reason for the choice.
type Choice struct {
	membership.Announcement
	Reason string
	// ColdTime is how long a backend server of the service is cold after its start; 0
	// if the service does not state it.
	ColdTime time.Duration
}

// PickBackendServer chooses the backend server for an attempt and counts the attempt as
// in flight there until Observe, which must be called exactly once. exclude lists the
// hosts of earlier attempts of the same call.
func (p *Picker) PickBackendServer(now time.Time, service model.ServiceName, version model.ServiceVersion, exclude []model.HostID) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, state, err := p.stateOfVersion(service, version)
	if err != nil {
		return Choice{}, err
	}
	h, reason := p.pick(now, state, exclude)
	if h == nil {
		return Choice{}, eris.Wrapf(ErrNoBackendServer, "%s %s: %d tried", service, version, len(exclude))
	}
	return p.choose(v, h, service, reason), nil
}

// stateOfVersion returns the states of a service and of one of its versions. The caller holds
// mu.
func (p *Picker) stateOfVersion(service model.ServiceName, version model.ServiceVersion) (*serviceState, *versionState, error) {
	v, err := p.stateOf(service)
	if err != nil {
		return nil, nil, err
	}
	state := v.versions[version]
	if state == nil {
		return nil, nil, eris.Wrapf(ErrNoBackendServer, "%s %s", service, version)
	}
	return v, state, nil
}

// choose counts an attempt as in flight at h and returns the choice. The caller holds mu.
func (p *Picker) choose(v *serviceState, h *host, service model.ServiceName, reason string) Choice {
	p.checkInvariants(h, service)
	h.inFlight++
	return Choice{Announcement: h.Announcement, Reason: reason, ColdTime: v.builtFrom.coldTime}
}

// checkInvariants asserts that the chosen backend server may get calls.
func (p *Picker) checkInvariants(h *host, service model.ServiceName) {
	invariant.Check(h.State == membership.StateServing, invariant.LeavingServer, "call for a backend server that is not serving",
		"service", service, "host", h.Host, "state", h.State)
	invariant.Check(p.table.dataCentres[h.DataCentre] != note.DataCentreOut, invariant.DataCentreOut,
		"call for a data centre that is out", "service", service, "host", h.Host, "data_centre", h.DataCentre)
}

// Observe updates the state of a backend server with the outcome of an attempt for
// which BackendServer chose it, and ejects the server if it fails too often.
func (p *Picker) Observe(now time.Time, id model.HostID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil {
		return
	}
	h.inFlight = max(h.inFlight-1, 0)
	shouldEject := h.observe(now, o)
	v := p.services[h.Service]
	if v == nil || v.versions[h.Version] == nil {
		return
	}
	state := v.versions[h.Version]
	switch {
	case o.Result == ResultOK:
		state.successes++
	case h.consecutiveErrors == 1:
		h.successesAtFirstError = state.successes
	}
	if o.Result != ResultFailed && o.Result != ResultCancelled {
		state.observeLoad(o.Utilization)
	}
	if o.Result == ResultDeclined && o.Utilization >= 1 {
		state.observeDecline(o.Utilization)
	}
	if !isOverloadRefusal(o) {
		state.groupOf(h, p.cfg.DataCentre).observe(spillResult(h, o.Result))
	}
	if o.Result == ResultRefused && h.othersRefuse(state) {
		shouldEject = false
	}
	shouldEject = shouldEject || !h.ejected(now) && h.isOutlier(state)
	if shouldEject && state.mayEject(now) {
		duration := h.eject(now)
		telemetry.Counter(MetricEjections).Inc(1)
		p.cfg.Log.Warn("backend server ejected", "service", string(h.Service), "version", string(h.Version),
			"host", string(h.Host), "for", duration.String(), "reason", "failures or refusals in a row")
	}
}

// isOverloadRefusal reports whether the outcome is a refusal that the reported load
// explains. Such refusals do not count towards the refusal rate: spillsOver already
// takes the load into account.
func isOverloadRefusal(o Outcome) bool {
	return (o.Result == ResultRefused || o.Result == ResultDeclined) && o.Utilization >= spillLoad
}

// spillResult returns the result that counts towards the refusal rate of a group.
// Errors of a server that keeps failing count as refusals, so that some calls go to
// the other group and show whether its servers fail too.
func spillResult(h *host, r Result) Result {
	if r == ResultError && h.consecutiveErrors >= ejectionThreshold {
		return ResultRefused
	}
	return r
}

// Ejected returns the hosts of a service version that are currently ejected, sorted.
func (p *Picker) Ejected(now time.Time, service model.ServiceName, version model.ServiceVersion) []model.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []model.HostID
	if v := p.services[service]; v != nil && v.versions[version] != nil {
		for _, h := range v.versions[version].all {
			if h.ejected(now) {
				ids = append(ids, h.Host)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
