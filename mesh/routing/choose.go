package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of the choice of a backend server.
const (
	// refusalRateWeight averages the part of refusals over about 20 tries.
	refusalRateWeight = 0.05
	// refusalRateThreshold is the part of refusals below which no calls leave the own
	// data centre: single refusals are normal.
	refusalRateThreshold = 0.05
	// minLocalFraction of the calls stay in the own data centre however many are refused,
	// so that this node learns when the refusals end.
	minLocalFraction = 0.05
	// A call leaves the own data centre for a less loaded one only where it would
	// soon have to wait, from spillLoad, and if it would not there, by spillMargin:
	// bytes between data centres are billed, and when all are crowded, as after a
	// loss of all power, a move elsewhere only costs connections.
	spillLoad   = 0.9
	spillMargin = 0.25
	// averageLoadWeight averages the usual load of a version over about 20 reports.
	averageLoadWeight = 0.05
	// latencyWeight is the weight of the relative latency against the used part of
	// the limit. A low one keeps load from concentrating on the fastest backend server.
	latencyWeight = 0.1
	// maxLatencyRatio bounds the relative latency.
	maxLatencyRatio = 4.0
	// rampStart is the part of calls that a returning data centre gets at first.
	rampStart = 0.05
	// maxEjectedDivisor of the backend servers of a version may be ejected: 1/3.
	maxEjectedDivisor = 3
)

// versionState has the backend servers of one version: those of the own data
// centre and the others.
type versionState struct {
	all []*host
	// successes counts the good answers.
	successes uint64
	// averageLoad is the average load that the backend servers report.
	averageLoad float64
	local       group
	remote      group
}

// group is a set of backend servers and the part of refusals among its tries.
type group struct {
	hosts       []*host
	refusalRate float64
}

func (v *versionState) add(h *host, local bool) {
	v.all = append(v.all, h)
	if local {
		v.local.hosts = append(v.local.hosts, h)
	} else {
		v.remote.hosts = append(v.remote.hosts, h)
	}
}

func (v *versionState) groupOf(h *host, localDataCentre model.DataCentre) *group {
	if h.DataCentre == localDataCentre {
		return &v.local
	}
	return &v.remote
}

func (v *versionState) observeLoad(utilization float64) {
	if v.averageLoad == 0 {
		v.averageLoad = utilization
		return
	}
	v.averageLoad += averageLoadWeight * (utilization - v.averageLoad)
}

func (g *group) observe(r Result) {
	switch r {
	case ResultRefused, ResultDeclined:
		g.refusalRate += refusalRateWeight * (1 - g.refusalRate)
	case ResultOK, ResultError:
		g.refusalRate -= refusalRateWeight * g.refusalRate
	}
}

// mayEject reports whether one more ejection keeps to the bound.
func (v *versionState) mayEject(now time.Time) bool {
	ejected := 0
	for _, h := range v.all {
		if h.ejected(now) {
			ejected++
		}
	}
	return (ejected+1)*maxEjectedDivisor <= len(v.all)
}

// enforceEjectionLimit ends the ejections that would end first while more than a third
// is ejected, as after backend servers have left.
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

// pick chooses among the backend servers of a version and gives the reason.
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
	// An ejected backend server is still better than a failed call.
	if h := p.pickFrom(now, v, first, exclude, true); h != nil {
		return h, "only ejected backend servers left"
	}
	return p.pickFrom(now, v, second, exclude, true), "only ejected backend servers left"
}

// spillsOver reports whether a call had better go to the less loaded alternative.
func spillsOver(load, other float64) bool {
	return load >= spillLoad && other < spillLoad && load > other+spillMargin
}

// prefersRemote decides whether a call goes to another data centre although the own
// one has backend servers. The part that leaves grows with the refusals in the
// own data centre and shrinks as it returns to service.
func (p *Picker) prefersRemote(now time.Time, v *versionState) bool {
	if len(v.remote.hosts) == 0 || len(v.local.hosts) == 0 {
		return false
	}
	localFraction := p.rampFraction(now, p.cfg.DataCentre)
	if v.local.refusalRate > refusalRateThreshold {
		localFraction *= max(1-v.local.refusalRate, minLocalFraction)
	}
	return localFraction < 1 && p.rand.Float64() >= localFraction
}

// rampFraction is the part of its calls that a data centre gets: 1, or less for some
// time after its return.
func (p *Picker) rampFraction(now time.Time, dc model.DataCentre) float64 {
	since, ok := p.returnedAt[dc]
	if !ok {
		return 1
	}
	elapsed := float64(now.Sub(since)) / float64(p.cfg.Ramp)
	return min(1, rampStart+(1-rampStart)*max(elapsed, 0))
}

// pickFrom draws two backend servers, each with a probability in proportion to
// its capacity, and takes the one with the lower cost. Drawing by capacity
// spares cold backend servers without starving them.
func (p *Picker) pickFrom(now time.Time, v *versionState, g *group, exclude []model.HostID, allowEjected bool) *host {
	total := 0.0
	for _, h := range g.hosts {
		total += p.weight(now, h, exclude, allowEjected)
	}
	if total == 0 {
		return nil
	}
	a := p.draw(now, g, exclude, allowEjected, nil, total)
	remaining := total - p.weight(now, a, exclude, allowEjected)
	if remaining <= total*1e-9 {
		return a
	}
	b := p.draw(now, g, exclude, allowEjected, a, remaining)
	if b == nil || cost(now, v, a, b) <= cost(now, v, b, a) {
		return a
	}
	return b
}

// weight is zero for a backend server that must not be chosen.
func (p *Picker) weight(now time.Time, h *host, exclude []model.HostID, allowEjected bool) float64 {
	if h.ejected(now) && !allowEjected || h.advertisesZeroLimit(now) || slices.Contains(exclude, h.Host) {
		return 0
	}
	return h.capacity(now) * p.rampFraction(now, h.DataCentre)
}

func (p *Picker) draw(now time.Time, g *group, exclude []model.HostID, allowEjected bool, skip *host, total float64) *host {
	x := p.rand.Float64() * total
	var last *host
	for _, h := range g.hosts {
		w := p.weight(now, h, exclude, allowEjected)
		if h == skip || w == 0 {
			continue
		}
		last = h
		if x -= w; x < 0 {
			return h
		}
	}
	return last // rounding
}

// cost is the load and, with less weight, the latency relative to the other candidate.
func cost(now time.Time, v *versionState, h, other *host) float64 {
	ratio := 1.0
	if h.latency > 0 && other.latency > 0 {
		ratio = min(h.latency/other.latency, maxLatencyRatio)
	}
	return h.load(now, v.averageLoad) + latencyWeight*ratio
}
