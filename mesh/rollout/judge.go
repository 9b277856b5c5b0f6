package rollout

import (
	"fmt"
	"math"
	"time"

	"balsamtrail.org/mesh/model"
)

// TestName identifies a statistical test.
type TestName uint8

// The tests of a version.
const (
	// TestErrors compares the error rates on warm backend servers.
	TestErrors TestName = iota + 1
	// TestColdErrors compares the error rate on cold backend servers with the old version's, with a wider margin.
	TestColdErrors
	// TestSlow compares the fractions of calls slower than the old version's p95.
	TestSlow
	// TestUnavailable finds a version that answers hardly any attempt while the old one answers most.
	TestUnavailable
)

var testNames = map[TestName]string{TestErrors: "errors", TestColdErrors: "errors-cold", TestSlow: "slow", TestUnavailable: "unavailable"}

// String returns the name used in step reasons.
func (t TestName) String() string { return testNames[t] }

// Parameters of the verdicts.
const (
	// BadThreshold is the value of a test statistic from which a version may be judged bad.
	// With T informative windows and K tests, a version whose rates are at most toleratedRatio
	// times the old one's is judged bad with a probability of at most T*K/BadThreshold: 0.07%
	// for an hour and 20 tests.
	BadThreshold = 1e8
	// suspiciousThreshold is the value of a test statistic from which a version is suspicious.
	suspiciousThreshold = 100
	// toleratedRatio is the ratio of the new version's rate to the old one's up to which the
	// versions count as equal.
	toleratedRatio = 1.5
	// minErrorExcess is the least difference of the error rates on warm backend servers for a finding.
	minErrorExcess = 0.01
	// minColdErrorExcess is the least difference of the error rates for a finding on cold backend servers.
	minColdErrorExcess = 0.25
	// minSlowExcess is the least difference of the fractions of slow calls for a finding.
	// Backend servers of one service differ in speed, so a version on slower hosts has some
	// more calls above the other one's p95; a bad version has most of its calls above it.
	minSlowExcess = 0.25
	// minBadWindows is the number of kept windows that must show the excess for a bad verdict.
	// A move completes only after this number of windows at full share.
	minBadWindows = 2
	// minUnpairedBadWindows replaces minBadWindows where the versions mostly get calls in
	// different data centres. The loss of a data centre then looks like errors of one version,
	// but those errors end within a few seconds.
	minUnpairedBadWindows = 6
	// unavailableMaxAnswered is the fraction of answered attempts up to which the new version
	// counts as unavailable.
	unavailableMaxAnswered = 0.10
	// availableMinAnswered is the fraction of its attempts that the old version must answer in the same window.
	availableMinAnswered = 0.80
	// unavailableDuration is how long the new version must be unavailable for a bad verdict.
	unavailableDuration = 30 * time.Second
	// unavailableMinAttempts is the least number of attempts to call the new version in that time
	// for a bad verdict.
	unavailableMinAttempts = 50
)

// errorRatios and slowRatios are the alternative hypotheses of the tests: the ratio of a
// bad version's rate to the old version's.
var (
	errorRatios = [alternativeCount]float64{3, 8, 30, 120}
	slowRatios  = [alternativeCount]float64{2.5, 4, 8, 20}
)

// alternativeCount is the number of alternative hypotheses of each test.
const alternativeCount = 4

// logLikelihoodRatios holds the log-likelihood ratio of each alternative hypothesis.
type logLikelihoodRatios [alternativeCount]float64

func (l *logLikelihoodRatios) add(o logLikelihoodRatios) {
	for i, v := range o {
		l[i] += v
	}
}

// conditionalTest compares k0 events in n0 calls of the old version with k1 events in n1
// calls of the new one. Given the total number of events, the fraction that falls to the
// new version depends only on the ratio of the rates, so a failure common to both versions
// cancels out. For events that are not rare the true distribution (hypergeometric) is
// narrower, which makes the test conservative.
func conditionalTest(k0, n0, k1, n1 uint64, alternatives [alternativeCount]float64) (lr logLikelihoodRatios, informative bool) {
	if n0 == 0 || n1 == 0 || k0+k1 == 0 {
		return lr, false
	}
	newFraction := func(r float64) float64 { return r * float64(n1) / (r*float64(n1) + float64(n0)) }
	q0 := newFraction(toleratedRatio)
	for i, r := range alternatives {
		q := newFraction(r)
		lr[i] = float64(k1)*math.Log(q/q0) + float64(k0)*math.Log((1-q)/(1-q0))
	}
	return lr, true
}

// detector holds a Shiryaev-Roberts statistic for each alternative hypothesis. Each window
// adds a possible change point, so that a version that turns bad after a long good time is
// detected soon.
type detector struct{ statistics [alternativeCount]float64 }

func (d *detector) update(lr logLikelihoodRatios) {
	for i, l := range lr {
		d.statistics[i] = math.Min((1+d.statistics[i])*math.Exp(math.Min(l, 600)), 1e300)
	}
}

// value is the mean of the statistics over the alternatives. The probability stated at
// BadThreshold holds for this mean.
func (d *detector) value() (sum float64) {
	for _, r := range d.statistics {
		sum += r / alternativeCount
	}
	return sum
}

// Verdict is the result of the tests on one move's evidence.
type Verdict struct {
	// Bad says that the version must be reversed.
	Bad bool `cbor:"1,keyasint"`
	// Suspicious says that the evidence suffices to hold or reduce the share, but not for Bad.
	Suspicious bool `cbor:"2,keyasint,omitempty"`
	// Test, Route and Kind identify the most severe finding; an empty route stands for all routes.
	Test  TestName        `cbor:"3,keyasint,omitempty"`
	Route model.RouteName `cbor:"4,keyasint,omitempty"`
	Kind  model.Kind      `cbor:"5,keyasint,omitempty"`
	// Old and New are the call statistics that the test compares, over the windows of the finding.
	Old CallStats `cbor:"6,keyasint"`
	New CallStats `cbor:"7,keyasint"`
	// Statistic is the value of the test, to be compared with BadThreshold.
	Statistic float64 `cbor:"8,keyasint,omitempty"`
}

// String returns the verdict as the reason of a step.
func (v Verdict) String() string {
	where := "all routes"
	if v.Route != "" {
		where = fmt.Sprintf("route %s (%s)", v.Route, v.Kind)
	}
	switch v.Test {
	case TestSlow:
		return fmt.Sprintf("slow on %s: %.1f%% of %d calls above the old version's p95, %.1f%% of %d of the old version",
			where, 100*v.New.SlowRate(), v.New.Timed, 100*v.Old.SlowRate(), v.Old.Timed)
	case TestUnavailable:
		return fmt.Sprintf("unavailable: %d calls answered, %d not run", v.New.Calls, v.New.Refused)
	case 0:
		return "no finding"
	default:
		return fmt.Sprintf("%s on %s: %.1f%% of %d calls, %.1f%% of %d of the old version",
			v.Test, where, 100*v.New.ErrorRate(), v.New.Calls, 100*v.Old.ErrorRate(), v.Old.Calls)
	}
}

// Judge returns the most severe finding of all tests.
func Judge(e *Evidence) Verdict {
	if v, bad := e.judgeAvailability(); bad {
		return v
	}
	var worst Verdict
	for k, d := range e.tests {
		value := d.value()
		if value < suspiciousThreshold {
			continue
		}
		v := e.finding(k, value)
		if v.moreSevere(worst) {
			worst = v
		}
	}
	return worst
}

// moreSevere orders findings. Ties are broken by route, kind and test, so that the result does
// not depend on map order.
func (v Verdict) moreSevere(o Verdict) bool {
	switch {
	case v.Bad != o.Bad:
		return v.Bad
	case v.Suspicious != o.Suspicious:
		return v.Suspicious
	case v.Statistic != o.Statistic:
		return v.Statistic > o.Statistic
	case v.Route != o.Route:
		return v.Route > o.Route
	case v.Kind != o.Kind:
		return v.Kind < o.Kind
	}
	return v.Test < o.Test
}

// finding turns a test statistic above suspiciousThreshold into a verdict. The version is
// suspicious only if its rate exceeds the old version's by minExcess in recent windows, and
// bad only if several windows show that excess.
func (e *Evidence) finding(k testKey, value float64) Verdict {
	rk := routeKey{k.Route, k.Kind}
	v := Verdict{Test: k.Test, Route: k.Route, Kind: k.Kind, Statistic: value}
	minimum := minExcess(k.Test)
	for _, span := range []int{3, 10, keptWindows} {
		oldStats, newStats := comparedStats(e.recentStats(span, rk), k.Test)
		if excessOf(k.Test, oldStats, newStats) < minimum {
			continue
		}
		v.Old, v.New, v.Suspicious = oldStats, newStats, true
		badCount, needed := 0, minBadWindows
		if !e.mostlyPaired {
			needed = minUnpairedBadWindows
		}
		for _, w := range e.windows {
			oldStats, newStats := comparedStats(w.statsOf(rk), k.Test)
			if excessOf(k.Test, oldStats, newStats) >= minimum {
				badCount++
			}
		}
		v.Bad = value >= BadThreshold && badCount >= needed
		return v
	}
	return v
}

// statsOf returns the call statistics of one route, or of all routes for an empty key.
func (w window) statsOf(k routeKey) versionStats {
	if k == (routeKey{}) {
		return w.total
	}
	return w.routes[k]
}

// minExcess is the least difference of the rates for a finding of the test.
func minExcess(t TestName) float64 {
	switch t {
	case TestSlow:
		return minSlowExcess
	case TestColdErrors:
		return minColdErrorExcess
	default:
		return minErrorExcess
	}
}

// comparedStats returns the call statistics of the old and the new version that the test compares.
func comparedStats(v versionStats, t TestName) (oldStats, newStats CallStats) {
	if t == TestColdErrors {
		return v.old, v.newCold
	}
	return v.old, v.new
}

// excessOf is the difference of the versions' rates that the test compares.
func excessOf(t TestName, oldStats, newStats CallStats) float64 {
	if t == TestSlow {
		return newStats.SlowRate() - oldStats.SlowRate()
	}
	return newStats.ErrorRate() - oldStats.ErrorRate()
}

// judgeAvailability returns a bad verdict if the new version was unavailable for unavailableDuration.
func (e *Evidence) judgeAvailability() (Verdict, bool) {
	if e.unavailableSince == 0 || e.unavailableAttempts < unavailableMinAttempts || len(e.windows) == 0 {
		return Verdict{}, false
	}
	if e.windows[len(e.windows)-1].closed.Time().Sub(e.unavailableSince.Time()) < unavailableDuration {
		return Verdict{}, false
	}
	v := e.recentStats(keptWindows, routeKey{})
	v.new.add(v.newCold)
	return Verdict{Bad: true, Test: TestUnavailable, Old: v.old, New: v.new}, true
}
