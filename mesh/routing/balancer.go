package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"balsamtrail.org/mesh/model"
)

// versionBalancer distributes the calls of one service over its versions. For each
// version it keeps the lag: the sum of its shares over all calls so far, less
// the calls it got. Each lag stays above -1 and below 1 (from four versions up:
// only while the shares stay).
//
// Proof in short: call a state safe if the sum of its negative lags is above -1.
// The lags add up to 0, so every lag of a safe state is within the bound, and
// from a safe state the schedule that always serves the version whose lag would
// reach 1 first keeps every lag within the bound, whatever the shares are
// (windows of unit jobs at utilisation 1 on one processor). next makes other
// choices only if they lead to a safe state. With up to three versions a safe
// state always has a safe successor, so this holds across changes of shares too.
// With more, a change of shares can find a state that is not safe; no method
// keeps to one call then, and the schedule above reduces the greatest lag again.
type versionBalancer struct {
	entries []entry
	rand    *rand.Rand
}

type entry struct {
	version model.ServiceVersion
	share   float64 // parts of 1; 0 for a version that gets no calls
	lag     float64
	// phase is the lag at which the version is due. It is random, so that many
	// nodes that start together do not send their first calls to a version of a
	// small share at the same time.
	phase float64
}

// lagMargin keeps rounding errors away from the bounds.
const lagMargin = 1e-9

func newVersionBalancer(r *rand.Rand) *versionBalancer { return &versionBalancer{rand: r} }

// setShares changes the shares; the lags stay. A version that is not in shares
// hands its lag to the others.
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
	for v, s := range shares {
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
	// The version of the greatest share takes the calls when no other is due, so
	// it stands first; the order must not depend on the order of the map.
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

// negativeLag returns the absolute sum of the negative lags.
func (b *versionBalancer) negativeLag() float64 {
	n := 0.0
	for _, e := range b.entries {
		n += max(0, -e.lag)
	}
	return n
}

// next returns the version of the next call; false if none has a share.
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
			return i // serving it leads to a safe state
		}
	}
	if first >= 0 {
		return first
	}
	return greatest
}

// overdue is the number of calls since the entry was due.
func overdue(e entry) float64 { return (e.lag - e.phase) / e.share }

// deadline is the number of further calls after which the lag would reach 1.
func deadline(e entry) float64 { return math.Ceil((1 - e.lag) / e.share) }
