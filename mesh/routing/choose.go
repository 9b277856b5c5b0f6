package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of backend server selection. Fractions are between 0 and 1.
const (
	// refusalRateWeight is the weight of the newest attempt in the moving average of
	// the refusal rate, which covers about 20 attempts.
	refusalRateWeight = 0.05
	// refusalRateThreshold is the refusal rate of the local data centre up to which
	// no calls move to remote ones, and that by which it must exceed theirs. A few
	// refusals are normal.
	refusalRateThreshold = 0.05
	// remoteProbeFraction is the fraction of calls that go to remote data centres while
	// these refuse about as much as the local one, so that this node notices when they
	// refuse less.
	remoteProbeFraction = 0.03
	// minLocalFraction is the fraction of calls that stay in the local data centre
	// even if all are refused, so that this node notices when the refusals end.
	minLocalFraction = 0.05
	// spillLoad is the load, as a fraction of the concurrency limit, from which a
	// backend server counts as nearly full. A call spills over to another data centre
	// only from a server at or above it to one below it. Traffic between data centres
	// is billed, and when all of them are full, as after a total power loss, spilling
	// over costs connections and gains nothing.
	spillLoad = 0.9
	// spillMargin is how far the load must exceed that of the alternative for a call
	// to spill over, as a fraction of the concurrency limit.
	spillMargin = 0.25
	// averageLoadWeight is the weight of the newest report in the moving average of
	// the load of a version, which covers about 20 reports.
	averageLoadWeight = 0.05
	// latencyWeight is the weight of the latency ratio relative to the load in the
	// cost of a backend server. A low weight keeps calls from concentrating on the
	// fastest backend server.
	latencyWeight = 0.1
	// maxLatencyRatio caps the latency ratio of two candidates.
	maxLatencyRatio = 4.0
	// rampStart is the fraction of its usual calls that a data centre gets at the
	// start of its ramp-up.
	rampStart = 0.05
	// maxEjectedDivisor limits ejections: at most 1/3 of the backend servers of a
	// version are ejected at a time.
	maxEjectedDivisor = 3
)

// versionState holds the backend servers of one version, grouped into those in
// the local data centre and those in remote ones.
type versionState struct {
	all []*host
	// successes counts the attempts with ResultOK.
	successes uint64
	// averageLoad is the moving average of the utilization that the backend servers
	// report; zero before the first report.
	averageLoad float64
	// declineLoad is the moving average of the utilization with which servers decline
	// attempts; zero before the first.
	declineLoad float64
	local       group
	remote      group
}

// group is a set of backend servers and the refusal rate of recent attempts there.
type group struct {
	hosts       []*host
	refusalRate float64
}

// add adds a backend server to the group that local selects.
func (v *versionState) add(h *host, local bool) {
	v.all = append(v.all, h)
	if local {
		v.local.hosts = append(v.local.hosts, h)
	} else {
		v.remote.hosts = append(v.remote.hosts, h)
	}
}

// groupOf returns the group that contains h.
func (v *versionState) groupOf(h *host, localDataCentre model.DataCentre) *group {
	if h.DataCentre == localDataCentre {
		return &v.local
	}
	return &v.remote
}

// observeLoad adds a reported utilization to the average load.
func (v *versionState) observeLoad(utilization float64) {
	if v.averageLoad == 0 {
		v.averageLoad = utilization
		return
	}
	v.averageLoad += averageLoadWeight * (utilization - v.averageLoad)
}

// observe updates the refusal rate; ResultFailed and ResultCancelled leave it unchanged.
func (g *group) observe(r Result) {
	switch r {
	case ResultRefused, ResultDeclined:
		g.refusalRate += refusalRateWeight * (1 - g.refusalRate)
	case ResultOK, ResultError:
		g.refusalRate -= refusalRateWeight * g.refusalRate
	}
}

// mayEject reports whether one more ejection stays within the ejection limit.
func (v *versionState) mayEject(now time.Time) bool {
	ejected := 0
	for _, h := range v.all {
		if h.ejected(now) {
			ejected++
		}
	}
	return (ejected+1)*maxEjectedDivisor <= len(v.all)
}

// enforceEjectionLimit ends the ejections that expire soonest while more than a
// third of the backend servers is ejected. That happens when other servers leave.
func (v *versionState) enforceEjectionLimit(now time.Time) {
	var ejected []*host
	for _, h := range v.all {
		if h.ejected(now) {
			ejected = append(ejected, h)
		}
	}
	excess := len(ejected) - len(v.all)/maxEjectedDivisor
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(a, b *host) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	for _, h := range ejected[:excess] {
		h.ejectedUntil = now
	}
}

// pick chooses a backend server of a version and returns the reason for the choice.
// It returns nil if none may be chosen.
func (p *Picker) pick(now time.Time, v *versionState, exclude []model.HostID) (*host, string) {
	v.enforceEjectionLimit(now)
	first, second, reason := &v.local, &v.remote, "own data centre"
	if p.prefersRemote(now, v) {
		first, second, reason = second, first, "own data centre lacks room"
	}
	preferred := p.pickFrom(now, v, first, exclude, false)
	other := p.pickFrom(now, v, second, exclude, false)
	switch {
	case preferred != nil && other != nil && spillsOver(preferred.load(now, v.averageLoad), other.load(now, v.averageLoad)):
		return other, "preferred data centre is more loaded"
	case preferred != nil:
		return preferred, reason
	case other != nil:
		return other, "no backend server left in the preferred data centre"
	}
	// Calling an ejected backend server is better than failing the call.
	if h := p.pickFrom(now, v, first, exclude, true); h != nil {
		return h, "only ejected backend servers left"
	}
	return p.pickFrom(now, v, second, exclude, true), "only ejected backend servers left"
}

// spillsOver reports whether a call moves from a nearly full backend server to a
// less loaded one in the other group.
func spillsOver(load, other float64) bool {
	return load >= spillLoad && other < spillLoad && load > other+spillMargin
}

// prefersRemote decides whether a call goes to a remote data centre although the
// local one has backend servers. The fraction of such calls grows with the refusal
// rate that the local data centre has above the remote ones, and shrinks while a local
// data centre that has returned to service ramps up.
func (p *Picker) prefersRemote(now time.Time, v *versionState) bool {
	if len(v.remote.hosts) == 0 || len(v.local.hosts) == 0 {
		return false
	}
	localFraction := p.rampFraction(now, p.cfg.DataCentre)
	if v.local.refusalRate > refusalRateThreshold {
		localFraction *= max(1-v.refusedLocallyOnly(), minLocalFraction)
	}
	return localFraction < 1 && p.rand.Float64() >= localFraction
}

// refusedLocallyOnly returns the fraction of calls that the local data centre refuses
// and remote ones would not, at least remoteProbeFraction.
func (v *versionState) refusedLocallyOnly() float64 {
	if v.local.refusalRate-v.remote.refusalRate <= refusalRateThreshold {
		return remoteProbeFraction
	}
	if v.remote.refusalRate <= refusalRateThreshold {
		return v.local.refusalRate
	}
	return v.local.refusalRate - v.remote.refusalRate
}

// rampFraction returns the fraction of its usual calls that a data centre gets: 1, or
// less while it ramps up after its return to service.
func (p *Picker) rampFraction(now time.Time, dc model.DataCentre) float64 {
	since, ok := p.returnedAt[dc]
	if !ok {
		return 1
	}
	elapsed := float64(now.Sub(since)) / float64(p.cfg.Ramp)
	return min(1, rampStart+(1-rampStart)*max(elapsed, 0))
}

// pickFrom draws two backend servers, with probability proportional to capacity and usual
// speed, and returns the one that is expected to be done first, or another one with a new
// report if that is done before both. Without known service times it returns the one with
// the lower cost. Weighting by capacity keeps load off cold backend servers without
// starving them. It returns nil if no server of the group may be chosen.
func (p *Picker) pickFrom(now time.Time, v *versionState, g *group, exclude []model.HostID, allowEjected bool) *host {
	mean := v.meanServiceTime()
	weights, total := make([]float64, len(g.hosts)), 0.0
	for i, h := range g.hosts {
		if weights[i] = p.weight(now, h, exclude, allowEjected); weights[i] > 0 {
			weights[i] *= h.speed(now, mean)
		}
		total += weights[i]
	}
	if total == 0 {
		return nil
	}
	first := p.draw(weights, -1, total)
	a, remaining := g.hosts[first], total-weights[first]
	if remaining <= total*1e-9 {
		return a
	}
	b := g.hosts[p.draw(weights, first, remaining)]
	if mean > 0 && p.rand.Float64() < probeFraction {
		return a
	}
	if mean > 0 {
		return p.earliest(now, v, g, mean, weights, a, b)
	}
	if cost(now, v, a, b) <= cost(now, v, b, a) {
		return a
	}
	return b
}

// weight returns the selection weight of a backend server; zero if it must not be
// chosen.
func (p *Picker) weight(now time.Time, h *host, exclude []model.HostID, allowEjected bool) float64 {
	if h.ejected(now) && !allowEjected || h.advertisesZeroLimit(now) || slices.Contains(exclude, h.Host) {
		return 0
	}
	return h.capacity(now) * p.rampFraction(now, h.DataCentre)
}

// draw returns a random index other than skip, with the given weights, of which at least one
// is not 0. total is their sum without that of skip.
func (p *Picker) draw(weights []float64, skip int, total float64) int {
	x := p.rand.Float64() * total
	last := 0
	for i, w := range weights {
		if i == skip || w == 0 {
			continue
		}
		last = i
		if x -= w; x < 0 {
			return i
		}
	}
	return last // reached only through rounding errors in total
}

// cost returns the load of a candidate plus, with a lower weight, its latency relative
// to the other candidate.
func cost(now time.Time, v *versionState, h, other *host) float64 {
	ratio := 1.0
	if h.latency > 0 && other.latency > 0 {
		ratio = min(h.latency/other.latency, maxLatencyRatio)
	}
	return h.load(now, v.averageLoad) + latencyWeight*ratio
}
