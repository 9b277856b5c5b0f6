package routing

import (
	"slices"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of the choice of a backend server.
const (
	// pressureWeight averages the part of refusals over about 20 tries.
	pressureWeight = 0.05
	// pressureFloor is the part of refusals below which no calls leave the own
	// data centre: single refusals are normal.
	pressureFloor = 0.05
	// minStay of the calls stay in the own data centre however many are refused,
	// so that this node learns when the refusals end.
	minStay = 0.05
	// A call leaves the own data centre for a less loaded one only where it would
	// soon have to wait, from leaveLoad, and if it would not there, by leaveMargin:
	// bytes between data centres are billed, and when all are crowded, as after a
	// loss of all power, a move elsewhere only costs connections.
	leaveLoad   = 0.9
	leaveMargin = 0.25
	// usualWeight averages the usual load of a version over about 20 reports.
	usualWeight = 0.05
	// latencyPart is the weight of the relative latency against the used part of
	// the limit. A low one keeps load from concentrating on the fastest backend server.
	latencyPart = 0.1
	// maxLatencyRatio bounds the relative latency.
	maxLatencyRatio = 4.0
	// rampStart is the part of calls that a returning data centre gets at first.
	rampStart = 0.05
	// maxEjectedPart of the backend servers of a version may be ejected: 1/3.
	maxEjectedPart = 3
)

// versionView has the backend servers of one version: those of the own data
// centre and the others.
type versionView struct {
	all []*host
	// oks counts the good answers.
	oks uint64
	// usual is the average load that the backend servers report.
	usual  float64
	own    group
	others group
}

// group is a set of backend servers and the part of refusals among its tries.
type group struct {
	hosts    []*host
	pressure float64
}

func (v *versionView) add(h *host, own bool) {
	v.all = append(v.all, h)
	if own {
		v.own.hosts = append(v.own.hosts, h)
	} else {
		v.others.hosts = append(v.others.hosts, h)
	}
}

func (v *versionView) groupOf(h *host, own model.DataCentre) *group {
	if h.DataCentre == own {
		return &v.own
	}
	return &v.others
}

func (v *versionView) observeLoad(utilization float64) {
	if v.usual == 0 {
		v.usual = utilization
		return
	}
	v.usual += usualWeight * (utilization - v.usual)
}

func (g *group) observe(r Result) {
	switch r {
	case ResultRefused, ResultDeclined:
		g.pressure += pressureWeight * (1 - g.pressure)
	case ResultOK, ResultError:
		g.pressure -= pressureWeight * g.pressure
	}
}

// mayEject reports whether one more ejection keeps to the bound.
func (v *versionView) mayEject(now time.Time) bool {
	ejected := 0
	for _, h := range v.all {
		if h.ejected(now) {
			ejected++
		}
	}
	return (ejected+1)*maxEjectedPart <= len(v.all)
}

// enforceBound ends the ejections that would end first while more than a third
// is ejected, as after backend servers have left.
func (v *versionView) enforceBound(now time.Time) {
	var ejected []*host
	for _, h := range v.all {
		if h.ejected(now) {
			ejected = append(ejected, h)
		}
	}
	excess := len(ejected) - len(v.all)/maxEjectedPart
	if excess <= 0 {
		return
	}
	slices.SortFunc(ejected, func(a, b *host) int { return a.ejectedUntil.Compare(b.ejectedUntil) })
	for _, h := range ejected[:excess] {
		h.ejectedUntil = now
	}
}

// pick chooses among the backend servers of a version and gives the reason.
func (p *Picker) pick(now time.Time, v *versionView, exclude []model.HostID) (*host, string) {
	v.enforceBound(now)
	first, second, reason := &v.own, &v.others, "own data centre"
	if p.leaveOwn(now, v) {
		first, second, reason = second, first, "own data centre lacks room"
	}
	preferred := p.pickFrom(now, v, first, exclude, false)
	other := p.pickFrom(now, v, second, exclude, false)
	switch {
	case preferred != nil && other != nil && crowded(preferred.load(now, v.usual), other.load(now, v.usual)):
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

// crowded reports whether a call had better go to the less loaded alternative.
func crowded(load, other float64) bool {
	return load >= leaveLoad && other < leaveLoad && load > other+leaveMargin
}

// leaveOwn decides whether a call goes to another data centre although the own
// one has backend servers. The part that leaves grows with the refusals in the
// own data centre and shrinks as it returns to service.
func (p *Picker) leaveOwn(now time.Time, v *versionView) bool {
	if len(v.others.hosts) == 0 || len(v.own.hosts) == 0 {
		return false
	}
	stay := p.ramp(now, p.cfg.DataCentre)
	if v.own.pressure > pressureFloor {
		stay *= max(1-v.own.pressure, minStay)
	}
	return stay < 1 && p.rand.Float64() >= stay
}

// ramp is the part of its calls that a data centre gets: 1, or less for some
// time after its return.
func (p *Picker) ramp(now time.Time, dc model.DataCentre) float64 {
	since, ok := p.returned[dc]
	if !ok {
		return 1
	}
	part := float64(now.Sub(since)) / float64(p.cfg.Ramp)
	return min(1, rampStart+(1-rampStart)*max(part, 0))
}

// pickFrom draws two backend servers, each with a probability in proportion to
// its capacity, and takes the one with the lower cost. Drawing by capacity
// spares cold backend servers without starving them.
func (p *Picker) pickFrom(now time.Time, v *versionView, g *group, exclude []model.HostID, ejected bool) *host {
	total := 0.0
	for _, h := range g.hosts {
		total += p.weight(now, h, exclude, ejected)
	}
	if total == 0 {
		return nil
	}
	a := p.draw(now, g, exclude, ejected, nil, total)
	rest := total - p.weight(now, a, exclude, ejected)
	if rest <= total*1e-9 {
		return a
	}
	b := p.draw(now, g, exclude, ejected, a, rest)
	if b == nil || cost(now, v, a, b) <= cost(now, v, b, a) {
		return a
	}
	return b
}

// weight is zero for a backend server that must not be chosen.
func (p *Picker) weight(now time.Time, h *host, exclude []model.HostID, ejected bool) float64 {
	if h.ejected(now) && !ejected || h.closed(now) || slices.Contains(exclude, h.Host) {
		return 0
	}
	return h.capacity(now) * p.ramp(now, h.DataCentre)
}

func (p *Picker) draw(now time.Time, g *group, exclude []model.HostID, ejected bool, skip *host, total float64) *host {
	x := p.rand.Float64() * total
	var last *host
	for _, h := range g.hosts {
		w := p.weight(now, h, exclude, ejected)
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
func cost(now time.Time, v *versionView, h, other *host) float64 {
	ratio := 1.0
	if h.latency > 0 && other.latency > 0 {
		ratio = min(h.latency/other.latency, maxLatencyRatio)
	}
	return h.load(now, v.usual) + latencyPart*ratio
}
