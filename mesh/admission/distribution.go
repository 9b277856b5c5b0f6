package admission

import (
	"math"
	"time"

	"balsamtrail.org/mesh/model"
)

// Constants of the distributions of service times.
const (
	// bucketRatio is the ratio of the bounds of neighbouring buckets, and firstBucket the
	// upper bound of the first one; the last one starts at about a minute.
	bucketRatio = 1.25
	firstBucket = time.Millisecond
	numBuckets  = 50
	// maxDistributionCount is the number of requests at which all counts are halved, so
	// that old ones lose weight.
	maxDistributionCount = 400
	// minDistributionCount is the number of requests from which a distribution is used.
	minDistributionCount = 20
	// maxRoutes is the maximum number of routes with a distribution of their own; further
	// routes share one.
	maxRoutes = 256
	// priorTargetPart is the part of the latency target that is assumed as the median
	// service time while a route has too few requests. Known services have 0.17 to 0.42.
	priorTargetPart = 0.3
)

// distribution is the distribution of the service time of a route on this backend server,
// by logarithm, without requests of the cold time.
type distribution struct {
	counts [numBuckets]float32
	total  float32
	// seconds is the sum of the service times.
	seconds float64
	// target is the greatest time to the latency target that a request of the route had
	// at its arrival; 0 if none had one.
	target time.Duration
}

func bucketOf(d time.Duration) int {
	if d <= firstBucket {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(d)/float64(firstBucket))/math.Log(bucketRatio))), numBuckets-1)
}

// add adds the service time of a request.
func (d *distribution) add(t time.Duration) {
	d.counts[bucketOf(t)]++
	d.seconds += t.Seconds()
	if d.total++; d.total < maxDistributionCount {
		return
	}
	d.total, d.seconds = 0, d.seconds/2
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

// quantile returns the quantile q, interpolated in its bucket; 0 while there are too few
// requests.
func (d *distribution) quantile(q float64) time.Duration {
	if d.total < minDistributionCount {
		return 0
	}
	left := q * float64(d.total)
	for i, n := range d.counts {
		if n := float64(n); left > n {
			left -= n
			continue
		} else if n > 0 {
			return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i-1)+left/n))
		}
	}
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, numBuckets-1))
}

// mean returns the mean; 0 while there are too few requests.
func (d *distribution) mean() time.Duration {
	if d.total < minDistributionCount {
		return 0
	}
	return time.Duration(d.seconds / float64(d.total) * float64(time.Second))
}

func (d *distribution) median() time.Duration { return d.quantile(0.5) }

// distributions holds the distribution of each route. The empty name holds the one shared
// by the routes above maxRoutes.
type distributions map[model.RouteName]*distribution

// of returns the distribution of a route and creates it if there is none.
func (ds distributions) of(route model.RouteName) *distribution {
	if d := ds[route]; d != nil {
		return d
	}
	if len(ds) >= maxRoutes {
		route = ""
		if d := ds[route]; d != nil {
			return d
		}
	}
	d := &distribution{}
	ds[route] = d
	return d
}

// observe adds a finished request that started outside the cold time. A request that timed
// out took at least as long as it was given; that counts if it was longer than usual.
func (ds distributions) observe(s Sample) {
	d := ds.of(s.Route)
	if s.Result == ResultOK || s.Result == ResultTimeout && s.Latency > d.median() {
		d.add(s.Latency)
	}
}

// medianOrPrior returns the median service time of a route, or what is assumed from its latency
// target if too few requests are known. It is 0 if nothing is.
func (d *distribution) medianOrPrior() time.Duration {
	if m := d.median(); m > 0 {
		return m
	}
	return time.Duration(priorTargetPart * float64(d.target))
}
