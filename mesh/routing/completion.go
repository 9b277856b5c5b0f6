package routing

import (
	"math"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of the expected completion time.
const (
	// reportTimeConstant is the time constant with which a reported service time and load
	// lose weight towards the usual ones. Phases of slowness take about 600 ms; values of
	// 250 ms to 1 s made no difference in the play of mesh/admission.
	reportTimeConstant = 500 * time.Millisecond
	// usualTimeConstant is the time constant with which the usual service time and load of a
	// server without reports lose weight towards the means of its service. A server that has
	// been slow gets hardly any requests that would tell when it no longer is.
	usualTimeConstant = 2 * time.Second
	// usualLoadWeight is the least weight of the newest report in the usual load of a server.
	usualLoadWeight = 0.2
	// queueWeight and queueExponent give the expected queue from the load: small while
	// slots are free, so that the fastest server is chosen, and growing beyond. Weights
	// from 1 to 4 and exponents from 4 to 8 differ by at most 0.3% of the requests in target.
	queueWeight   = 2.0
	queueExponent = 4.0
	// declinedLoad is the least load that is assumed of a server whose last response was a
	// declined attempt. A slow server declines with a short queue; without this bound many
	// nodes sent it what the others had declined, 254 requests in 100 ms in the play.
	declinedLoad = 2.0
	// maxServiceTimeRatio caps by how much the usual service time changes the weight of a
	// server in the draw.
	maxServiceTimeRatio = 4.0
	// probeFraction is the fraction of calls that go to a server drawn by capacity and usual
	// speed alone. In the play of mesh/admission a server that had been slow got 1% of the
	// mean of the others for 20 s without them, since no report told that it no longer was.
	probeFraction = 0.02
	// recentReports is the number of candidates taken from the newest reports, beside those
	// drawn. An entry node hears of one of many servers every few seconds, but always has
	// some reports of the last 100 ms.
	recentReports = 2
)

// observeReport takes the service times and the load of a response. A server of an older
// release, or one that has just started, states no service times.
func (h *host) observeReport(now time.Time, o Outcome) {
	h.recentServiceTime, h.usualServiceTime = o.RecentServiceTime.Seconds(), o.UsualServiceTime.Seconds()
	h.declined = o.Result == ResultDeclined
	_, usualWeight := h.weights(now)
	h.usualLoad += max(usualLoadWeight, 1-usualWeight) * (o.Utilization - h.usualLoad)
}

// meanServiceTime returns the mean usual service time of the servers in seconds, as far as
// it is known; 0 if none is.
func (v *versionState) meanServiceTime() float64 {
	sum, known := 0.0, 0.0
	for _, h := range v.all {
		if h.usualServiceTime > 0 {
			sum += h.usualServiceTime
			known++
		}
	}
	return sum / max(known, 1)
}

// weights returns the weight of the last report against the usual values of the server, and
// that of the usual values against the means of the service.
func (h *host) weights(now time.Time) (report, usual float64) {
	if h.reportedAt.IsZero() {
		return 0, 0
	}
	age := now.Sub(h.reportedAt).Seconds()
	return math.Exp(-age / reportTimeConstant.Seconds()), math.Exp(-age / usualTimeConstant.Seconds())
}

// serviceTimes returns the expected and the usual service time in seconds; mean is that of
// the service.
func (h *host) serviceTimes(now time.Time, mean float64) (expected, usual float64) {
	reportWeight, usualWeight := h.weights(now)
	usual = mean
	if h.usualServiceTime > 0 {
		usual = usualWeight*h.usualServiceTime + (1-usualWeight)*mean
	}
	if h.recentServiceTime == 0 {
		return usual, usual
	}
	return reportWeight*h.recentServiceTime + (1-reportWeight)*usual, usual
}

// completionTime returns the expected time until a request would be done there, in seconds:
// the expected service time, longer by the expected queue.
func (h *host) completionTime(now time.Time, v *versionState, mean float64) float64 {
	reportWeight, usualWeight := h.weights(now)
	expected, _ := h.serviceTimes(now, mean)
	reportedLoad := max(h.utilization+float64(h.inFlight-h.inFlightAtReport)/h.capacity(now), 0)
	if h.declined {
		reportedLoad = max(reportedLoad, declinedLoad)
	}
	usualLoad := usualWeight*h.usualLoad + (1-usualWeight)*v.averageLoad
	queue := reportWeight*math.Pow(reportedLoad, queueExponent) + (1-reportWeight)*math.Pow(usualLoad, queueExponent)
	return expected * (1 + queueWeight*queue)
}

// speed returns how fast the server usually is relative to the mean of its service.
func (h *host) speed(now time.Time, mean float64) float64 {
	if mean == 0 {
		return 1
	}
	_, usual := h.serviceTimes(now, mean)
	return min(max(mean/usual, 1/maxServiceTimeRatio), maxServiceTimeRatio)
}

// earliest returns the candidate that is expected to be done first, among those given and
// the servers of the group with the newest reports. A server whose last answer was an error or
// that has declined a call is taken only if it was drawn: one that fails at once would look free.
// weights are those of the group in the draw, 0 for servers that must not be chosen.
func (p *Picker) earliest(now time.Time, v *versionState, g *group, mean float64, weights []float64, candidates ...*host) *host {
	var newest [recentReports]*host
	for i, h := range g.hosts {
		if weights[i] == 0 || h.reportedAt.IsZero() || h.declined || h.consecutiveErrors+h.consecutiveFailures > 0 {
			continue
		}
		for i, n := range newest {
			if n == nil || h.reportedAt.After(n.reportedAt) {
				newest[i], h = h, n
			}
			if h == nil {
				break
			}
		}
	}
	var best *host
	least := math.Inf(1)
	for _, h := range append(candidates, newest[:]...) {
		if h == nil {
			continue
		}
		if c := h.completionTime(now, v, mean); c < least {
			best, least = h, c
		}
	}
	return best
}

// ServiceTimes are what is known of the service time of a backend server; 0 if unknown.
type ServiceTimes struct {
	// Recent is its mean over about the last 0.5 s, decayed with the age of the report
	// towards the usual one.
	Recent time.Duration
	// Usual is its mean over some seconds.
	Usual time.Duration
	// Mean is the mean of the usual ones of all servers of the version.
	Mean time.Duration
}

// ExpectedService returns the service times of a backend server of a version as this node
// knows them. It changes no state.
func (p *Picker) ExpectedService(now time.Time, service model.ServiceName, version model.ServiceVersion, id model.HostID) ServiceTimes {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, s := p.hosts[id], p.services[service]
	if h == nil || s == nil || s.versions[version] == nil {
		return ServiceTimes{}
	}
	return s.versions[version].expectedService(now, h)
}

// expectedService returns the service times of a backend server of the version.
func (v *versionState) expectedService(now time.Time, h *host) ServiceTimes {
	mean := v.meanServiceTime()
	expected, usual := h.serviceTimes(now, mean)
	return ServiceTimes{Recent: seconds(expected), Usual: seconds(usual), Mean: seconds(mean)}
}
