package distribute

import (
	"slices"
	"testing"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// TestParentInOwnDataCentreIsBetter guards against a node that stays with a
// control host in another data centre, to which it attached before it knew the
// data centres of the control hosts.
func TestParentInOwnDataCentreIsBetter(t *testing.T) {
	root := func(h model.HostID, dc model.DataCentre) Parent {
		return Parent{Host: h, Role: peer.RoleControl, DataCentre: dc}
	}
	near, far := root("c1", "thun"), root("c2", "bern")
	at := &attacher{o: AttachOptions{Self: "n1", DataCentre: "thun", Preferred: func() []Parent { return []Parent{near, far} }}}
	for name, c := range map[string]struct {
		currentParent Parent
		want          []Parent
	}{
		"another data centre":                      {far, []Parent{near}},
		"other data centre, unknown when attached": {root("c2", ""), []Parent{near}},
		"own data centre":                          {near, nil},
		"own data centre, unknown when attached":   {root("c1", ""), nil},
		"not preferred any more":                   {root("c9", "thun"), []Parent{near, far}},
	} {
		if got := at.betterParents(c.currentParent); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	at.o.DataCentre = "burgdorf"
	if got := at.betterParents(far); len(got) > 0 {
		t.Errorf("no control host in the node's data centre: %v", got)
	}
}
