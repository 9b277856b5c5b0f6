package distribute

import (
	"slices"
	"testing"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Guards against a node that stays with a control host of another data centre,
// to which it attached before it knew where the control hosts are.
func TestParentInOwnDataCentreIsBetter(t *testing.T) {
	root := func(h model.HostID, dc model.DataCentre) Parent {
		return Parent{Host: h, Role: peer.RoleControl, DataCentre: dc}
	}
	near, far := root("c1", "thun"), root("c2", "bern")
	at := &attacher{o: AttachOptions{Self: "n1", DataCentre: "thun", Preferred: func() []Parent { return []Parent{near, far} }}}
	for name, c := range map[string]struct {
		present Parent
		want    []Parent
	}{
		"another data centre":                   {far, []Parent{near}},
		"data centre unknown at the connection": {root("c2", ""), []Parent{near}},
		"own data centre":                       {near, nil},
		"own data centre, unknown then":         {root("c1", ""), nil},
		"not preferred any more":                {root("c9", "thun"), []Parent{near, far}},
	} {
		if got := at.betterParents(c.present); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	at.o.DataCentre = "burgdorf"
	if got := at.betterParents(far); len(got) > 0 {
		t.Errorf("no control host in the own data centre: %v", got)
	}
}
