// Package tolerance decides which control hosts should vote, and which losses at the
// same time a group of voters survives. It knows nothing of the replicated log.
package tolerance

import (
	"cmp"
	"fmt"
	"slices"

	"balsamtrail.org/mesh/model"
)

// Losses is a number of losses at the same time that a control group survives without
// an operator: nothing acknowledged is lost and a majority of the voters remains.
type Losses struct {
	// Hosts is the number of control hosts that may be lost together with their
	// disks; default 1. Each takes two voters, and one more is needed.
	Hosts int `json:"hosts" validate:"min=0,max=7"`
	// DataCentres is the number of data centres that may be lost; default 0. With 1 or
	// more, a group that changes its members by itself gives no data centre half of
	// the votes, if there are three data centres or more.
	DataCentres int `json:"data_centres" validate:"min=0,max=7"`
}

// Voters returns the number of voters that survive the loss of Hosts.
func (l Losses) Voters() int { return 2*l.Hosts + 1 }

// Covers reports whether a group that survives l survives what is wanted.
func (l Losses) Covers(want Losses) bool {
	return l.Hosts >= want.Hosts && l.DataCentres >= want.DataCentres
}

// String returns the losses as text for people.
func (l Losses) String() string {
	return fmt.Sprintf("hosts with their disks: %d, or data centres: %d", l.Hosts, l.DataCentres)
}

// Voter is a control host that votes or could vote.
type Voter struct {
	Host       model.HostID
	DataCentre model.DataCentre
	// Votes is set for a host that votes already.
	Votes bool
}

// Survived returns what a group of these voters survives.
func Survived(voters []Voter) Losses {
	if len(voters) == 0 {
		return Losses{}
	}
	spare := (len(voters) - 1) / 2
	survived := Losses{Hosts: spare}
	perDataCentre := map[model.DataCentre]int{}
	for _, v := range voters {
		perDataCentre[v.DataCentre]++
	}
	var counts []int
	for _, n := range perDataCentre {
		counts = append(counts, n)
	}
	slices.SortFunc(counts, func(a, b int) int { return cmp.Compare(b, a) })
	for _, n := range counts {
		if spare -= n; spare < 0 {
			break
		}
		survived.DataCentres++
	}
	return survived
}

// Assign returns the hosts that should vote. If the loss of a data centre must be
// survived and there are three or more, none gets half of the votes; hosts beyond that
// do not vote. Otherwise all vote. A host that votes already comes before others.
func Assign(hosts []Voter, want Losses) []Voter {
	hosts = slices.SortedFunc(slices.Values(hosts), func(a, b Voter) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Host, b.Host))
	})
	if want.DataCentres == 0 {
		return hosts
	}
	for n := len(hosts); n >= 3; n-- {
		if out := atMost(hosts, (n-1)/2); len(out) >= n {
			return out[:n]
		}
	}
	return hosts
}

func rank(v Voter) int {
	if v.Votes {
		return 0
	}
	return 1
}

// atMost returns the first hosts of each data centre, up to limit.
func atMost(hosts []Voter, limit int) []Voter {
	var out []Voter
	perDataCentre := map[model.DataCentre]int{}
	for _, h := range hosts {
		if perDataCentre[h.DataCentre]++; perDataCentre[h.DataCentre] <= limit {
			out = append(out, h)
		}
	}
	return out
}
