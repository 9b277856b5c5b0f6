package routing

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"balsamtrail.org/mesh/model"
)

// versionBalancer distributes the calls of one service over its versions in
// proportion to their shares. For each version it keeps the lag, as in Pfair
// scheduling: the number of calls that the version should have got according to its
// shares, minus the number it got. Every lag stays above -1 and below 1. With four or
// more versions this holds only while the shares do not change.
//
// Proof sketch: call a state safe if the sum of its negative lags is above -1. The
// lags add up to 0, so every lag of a safe state is within the bounds. From a safe
// state, earliest-deadline-first keeps every lag within the bounds for any fixed
// shares, where the deadline of a version is the call at which its lag would reach 1
// (this is EDF for unit jobs with windows on one processor at utilisation 1). next
// departs from EDF only if that leads to a safe state. With up to three versions a
// safe state always has a safe successor, so the bounds also hold across changes of
// the shares. With more versions the shares may change while the state is not safe.
// No algorithm can then stay within one call; EDF reduces the greatest lag again.
type versionBalancer struct {
	entries []entry
	rand    *rand.Rand
}

// entry is the scheduling state of one version.
type entry struct {
	version model.ServiceVersion
	share   float64 // fraction of the calls, between 0 and 1
	lag     float64 // calls
	// phase is the lag at which the version is due. It is random, or many nodes that
	// start together would send their first calls to a version with a small share at
	// the same time.
	phase float64
}

// lagMargin is the tolerance for rounding errors when lags are compared, in calls.
const lagMargin = 1e-9

func newVersionBalancer(r *rand.Rand) *versionBalancer { return &versionBalancer{rand: r} }

// setShares replaces the shares and keeps the lags. The lags of versions that are not
// in shares are added to that of the version with the greatest share, so that the
// sum stays 0.
func (b *versionBalancer) setShares(shares map[model.ServiceVersion]model.Share) {
	total := 0.0
	for _, s := range shares {
		total += float64(s)
	}
	var removedLag float64
	b.entries = slices.DeleteFunc(b.entries, func(e entry) bool {
		if _, ok := shares[e.version]; ok {
			return false
		}
		removedLag += e.lag
		return true
	})
	// In order of name, since map order is random: the phases of new versions must be
	// reproducible.
	for _, v := range slices.Sorted(maps.Keys(shares)) {
		s := shares[v]
		i := slices.IndexFunc(b.entries, func(e entry) bool { return e.version == v })
		if i < 0 {
			i = len(b.entries)
			b.entries = append(b.entries, entry{version: v, phase: 1 - b.rand.Float64()})
		}
		b.entries[i].share = 0
		if total > 0 {
			b.entries[i].share = float64(s) / total
		}
	}
	// The version with the greatest share comes first, because it takes the calls for
	// which no other version is due. Ties are ordered by name, since map order is random.
	slices.SortFunc(b.entries, func(x, y entry) int {
		if x.share != y.share {
			return -int(math.Copysign(1, x.share-y.share))
		}
		return strings.Compare(string(x.version), string(y.version))
	})
	if len(b.entries) > 0 {
		b.entries[0].lag += removedLag
	}
}

// negativeLag returns the absolute value of the sum of the negative lags.
func (b *versionBalancer) negativeLag() float64 {
	n := 0.0
	for _, e := range b.entries {
		n += max(0, -e.lag)
	}
	return n
}

// next chooses the version of the next call and returns its entry; false if no
// version has a share.
func (b *versionBalancer) next() (entry, bool) {
	if len(b.entries) == 0 || b.entries[0].share == 0 {
		return entry{}, false
	}
	for i := range b.entries {
		b.entries[i].lag += b.entries[i].share
	}
	i := b.choose()
	b.entries[i].lag--
	return b.entries[i], true
}

// choose returns the index of the version to serve: the most overdue one, else the
// one with the greatest share, else the one with the greatest lag, if serving it leads
// to a safe state. Otherwise it is the one with the earliest deadline among those with
// a positive lag, or the one with the greatest lag if there is none.
func (b *versionBalancer) choose() int {
	n := b.negativeLag()
	due, greatest, first := -1, 0, -1
	for i, e := range b.entries {
		if e.share == 0 {
			continue
		}
		if i > 0 && e.lag >= e.phase && (due < 0 || overdue(e) > overdue(b.entries[due])) {
			due = i
		}
		if e.lag > b.entries[greatest].lag {
			greatest = i
		}
		if e.lag > lagMargin && (first < 0 || deadline(e) < deadline(b.entries[first])) {
			first = i
		}
	}
	for _, i := range []int{due, 0, greatest} {
		if i >= 0 && b.entries[i].lag > n+lagMargin {
			return i // the resulting state is safe
		}
	}
	if first >= 0 {
		return first
	}
	return greatest
}

// overdue returns the number of calls since the version was due.
func overdue(e entry) float64 { return (e.lag - e.phase) / e.share }

// deadline returns the number of further calls after which the lag would reach 1.
func deadline(e entry) float64 { return math.Ceil((1 - e.lag) / e.share) }
