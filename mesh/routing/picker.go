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
	// Ramp is how long a returning data centre takes to get its full part of
	// calls. A longer one is gentler to cold backend servers and leaves the other
	// data centres with more load for longer.
	Ramp time.Duration
	// Seed makes random choices repeatable; zero takes a random seed.
	Seed uint64
	// Log receives ejections and skipped versions. The caller logs each choice.
	Log *slog.Logger
}

// DefaultRamp is the default of PickerConfig.Ramp.
const DefaultRamp = 30 * time.Second

// Names of metrics; both are counters.
const (
	// MetricEjections counts ejections of backend servers.
	MetricEjections = "routing.ejections"
	// MetricSkipped counts versions that lost their last backend server while they had a share.
	MetricSkipped = "routing.versions_skipped"
)

const (
	// hostEvictionThreshold is the number of backend servers above which those not used
	// for idleHostTTL are forgotten at a change of table.
	hostEvictionThreshold = 1024
	idleHostTTL           = 10 * time.Minute
)

// Picker chooses version and backend server for the calls of one node.
type Picker struct {
	cfg PickerConfig

	// mu guards the fields below and all they refer to, but for the immutable table.
	mu       sync.Mutex
	rand     *rand.Rand
	table    *Table
	services map[model.ServiceName]*serviceState
	hosts    map[model.HostID]*host
	// splits distributes the calls of routes with a split; an entry is made anew
	// when the parts of its route change.
	splits map[model.RouteName]*split
	// returnedAt is when a data centre came back into service.
	returnedAt map[model.DataCentre]time.Time
}

// serviceState is the mutable side of one service; it is brought up to date when
// the service is used.
type serviceState struct {
	builtFrom *serviceTable
	balancer  *versionBalancer
	versions  map[model.ServiceVersion]*versionState
	blocked   map[model.ServiceVersion]bool
	// skipped has the versions that were reported as skipped.
	skipped map[model.ServiceVersion]bool
}

// NewPicker returns a picker; SetTable must come before the first choice.
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
		splits:     map[model.RouteName]*split{},
		returnedAt: map[model.DataCentre]time.Time{},
	}
}

// SetTable puts a table in force for all later choices.
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
			p.cfg.Log.Info("data centre returns", "data_centre", string(dc), "ramp", p.cfg.Ramp.String())
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

// removeIdleHosts drops the backend servers that are gone or not used any more.
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

// stateOf returns the service's stateOf, brought up to date with the table.
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

func (p *Picker) refresh(name model.ServiceName, v *serviceState, source *serviceTable) {
	first := v.builtFrom == nil
	old := v.versions
	v.builtFrom = source
	v.versions = make(map[model.ServiceVersion]*versionState, len(source.pools))
	for version, pool := range source.pools {
		state := &versionState{}
		if o := old[version]; o != nil {
			state.local.refusalRate, state.remote.refusalRate, state.successes, state.averageLoad = o.local.refusalRate, o.remote.refusalRate, o.successes, o.averageLoad
		}
		for _, a := range pool {
			state.add(p.host(a, !first), a.DataCentre == p.cfg.DataCentre)
		}
		v.versions[version] = state
	}
	p.updateShares(name, v)
}

// host returns the state of an announced backend server. A new incarnation is
// a fresh start; one that appears later than the first table is cold.
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

// updateShares sets the shares of the versions that can get calls. A version without
// a backend server is skipped; so is a blocked one, unless none would be left.
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

// announcedShares gives each version the part of calls that its backend servers
// are of all. It serves a service whose first version is not stated yet.
func (v *serviceState) announcedShares() map[model.ServiceVersion]model.Share {
	shares := make(map[model.ServiceVersion]model.Share, len(v.versions))
	for version, view := range v.versions {
		shares[version] = model.Share(len(view.all))
	}
	return shares
}

// Block keeps calls away from a version on this node, or ends that. It is for
// strong evidence found here; a version stays in use if no other one has a share.
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

// Version chooses the version of the next call of a service. The number of
// calls each version gets differs from its share by less than one call.
func (p *Picker) Version(service model.ServiceName) (model.ServiceVersion, error) {
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

// Choice is a chosen backend server and why it was chosen.
type Choice struct {
	membership.Announcement
	Reason string
	// ColdTime is how long backend servers of the service are cold; 0 if not stated.
	ColdTime time.Duration
}

// BackendServer chooses the backend server of a try and counts it as in
// flight until Observe, which must follow exactly once. exclude lists the hosts
// that earlier tries of the call used.
func (p *Picker) BackendServer(now time.Time, service model.ServiceName, version model.ServiceVersion, exclude []model.HostID) (Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, err := p.stateOf(service)
	if err != nil {
		return Choice{}, err
	}
	state := v.versions[version]
	if state == nil {
		return Choice{}, eris.Wrapf(ErrNoBackendServer, "%s %s", service, version)
	}
	h, reason := p.pick(now, state, exclude)
	if h == nil {
		return Choice{}, eris.Wrapf(ErrNoBackendServer, "%s %s: %d tried", service, version, len(exclude))
	}
	p.checkInvariants(h, service)
	h.inFlight++
	return Choice{Announcement: h.Announcement, Reason: reason, ColdTime: v.builtFrom.coldTime}, nil
}

func (p *Picker) checkInvariants(h *host, service model.ServiceName) {
	invariant.Check(h.State == membership.StateServing, invariant.LeavingServer, "call for a backend server that is not serving",
		"service", service, "host", h.Host, "state", h.State)
	invariant.Check(p.table.dataCentres[h.DataCentre] != note.DataCentreOut, invariant.DataCentreOut,
		"call for a data centre that is out", "service", service, "host", h.Host, "data_centre", h.DataCentre)
}

// Observe learns from a try that BackendServer chose.
func (p *Picker) Observe(now time.Time, id model.HostID, o Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil {
		return
	}
	h.inFlight = max(h.inFlight-1, 0)
	due := h.observe(now, o)
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
	if !isOverloadRefusal(o) {
		state.groupOf(h, p.cfg.DataCentre).observe(spillResult(h, o.Result))
	}
	due = due || !h.ejected(now) && h.isOutlier(state)
	if due && state.mayEject(now) {
		length := h.eject(now)
		telemetry.Counter(MetricEjections).Inc(1)
		p.cfg.Log.Warn("backend server ejected", "service", string(h.Service), "version", string(h.Version),
			"host", string(h.Host), "for", length.String(), "reason", "failures or refusals in a row")
	}
}

// isOverloadRefusal reports a refusal that the reported load explains. The choice among data
// centres compares loads already; only refusals in spite of room say more.
func isOverloadRefusal(o Outcome) bool {
	return (o.Result == ResultRefused || o.Result == ResultDeclined) && o.Utilization >= spillLoad
}

// spillResult returns the result as it counts for leaving the data centre. A server
// that keeps failing counts as one that refuses: some calls must go elsewhere to
// learn whether the others fail too.
func spillResult(h *host, r Result) Result {
	if r == ResultError && h.consecutiveErrors >= ejectionThreshold {
		return ResultRefused
	}
	return r
}

// Ejected returns the hosts of a service version that are ejected at present.
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
