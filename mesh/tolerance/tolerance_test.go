package tolerance

import (
	"fmt"
	"testing"

	"balsamtrail.org/mesh/model"
)

// hosts returns hosts in data centres "0", "1", ..., as many in each as counts states.
func hosts(counts ...int) []Voter {
	var out []Voter
	for dc, n := range counts {
		for i := range n {
			out = append(out, Voter{Host: model.HostID(fmt.Sprint(i, "-", dc)), DataCentre: model.DataCentre(fmt.Sprint(dc))})
		}
	}
	return out
}

// Guards against a group that claims to survive more than it does: half of the votes
// in the lost data centre, or as many wiped disks as acknowledged a change.
func TestSurvived(t *testing.T) {
	for _, c := range []struct {
		voters []Voter
		want   Losses
	}{
		{nil, Losses{}},
		{hosts(1), Losses{}},
		{hosts(1, 1), Losses{}},
		{hosts(1, 1, 1), Losses{1, 1}},
		{hosts(3), Losses{1, 0}},
		{hosts(2, 1, 1), Losses{1, 0}},
		{hosts(2, 2, 1), Losses{2, 1}},
		{hosts(3, 1, 1), Losses{2, 0}},
		{hosts(2, 2, 2, 2, 1), Losses{4, 2}},
	} {
		if got := Survived(c.voters); got != c.want {
			t.Errorf("%v survives %v, want %v", c.voters, got, c.want)
		}
	}
}

// Guards against a data centre that holds half of the votes although the loss of one
// must be survived, and against idle hosts where that cannot be helped.
func TestAssign(t *testing.T) {
	for _, c := range []struct {
		hosts []Voter
		want  Losses
		votes int
	}{
		{hosts(2, 1, 1), Losses{1, 1}, 3},
		{hosts(2, 1, 1), Losses{1, 0}, 4},
		{hosts(3, 1, 1), Losses{1, 1}, 3},
		{hosts(2, 2, 1), Losses{2, 1}, 5},
		{hosts(2, 2), Losses{1, 1}, 4},
		{hosts(2, 1), Losses{1, 1}, 3},
		{hosts(1), Losses{1, 1}, 1},
		{hosts(2, 2, 2, 2, 2), Losses{2, 1}, 10},
	} {
		got := Assign(c.hosts, c.want)
		if len(got) != c.votes {
			t.Errorf("%v, %v: %d hosts vote, want %d", c.hosts, c.want, len(got), c.votes)
		}
	}
}

// Guards against votes that move between hosts of a data centre without need, and
// against two data centres that wait for each other's second vote.
func TestAssignKeepsVoters(t *testing.T) {
	voting := hosts(2, 1, 1)
	voting[1].Votes, voting[2].Votes, voting[3].Votes = true, true, true
	for _, v := range Assign(voting, Losses{1, 1}) {
		if !v.Votes {
			t.Errorf("%v is to vote in place of the host of its data centre that does already", v)
		}
	}
	founding := hosts(2, 2, 1)
	for i := range founding {
		founding[i].Votes = founding[i].Host[0] == '0'
	}
	if got := Assign(founding, Losses{2, 1}); len(got) != 5 {
		t.Errorf("%d of 5 hosts are to vote once all have joined", len(got))
	}
}
