package directory_test

import (
	"slices"
	"testing"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
)

func host(name, peer string) directory.Host {
	return directory.Host{Host: model.HostID(name), DataCentre: "thun", Peer: peer}
}

// Guards against a node that goes back to replaced control hosts because a host
// behind a partition still names them, or that loses all hosts by an empty list.
func TestUpdateKeepsTheNewestList(t *testing.T) {
	old := []directory.Host{host("c1", "a:1"), host("c2", "a:2")}
	d := directory.New(old)
	if !d.Update(directory.List{Index: 7, Hosts: []directory.Host{host("c4", "a:4"), host("c1", "a:1")}}) {
		t.Fatal("newer list not taken")
	}
	for _, l := range []directory.List{{Index: 6, Hosts: old}, {Index: 9}} {
		if d.Update(l) {
			t.Fatalf("%+v taken", l)
		}
	}
	if want := []directory.Host{host("c1", "a:1"), host("c4", "a:4")}; !slices.Equal(d.Hosts(), want) {
		t.Fatalf("hosts %+v", d.Hosts())
	}
}

// Guards against replacing an address by which only other control hosts reach a host.
func TestUpdateKeepsAddressOfSettings(t *testing.T) {
	d := directory.New([]directory.Host{host("c1", "front:1")})
	if d.Update(directory.List{Index: 1, Hosts: []directory.Host{host("c1", "inside:1")}}) {
		t.Fatal("same hosts reported as a change")
	}
	d.Update(directory.List{Index: 2, Hosts: []directory.Host{host("c1", "inside:1"), host("c2", "inside:2")}})
	if want := []directory.Host{host("c1", "front:1"), host("c2", "inside:2")}; !slices.Equal(d.Hosts(), want) {
		t.Fatalf("hosts %+v", d.Hosts())
	}
}

// Guards against a node that waits for a list which it has, or takes an empty one
// for the word of a control host.
func TestLearnedWithTheFirstList(t *testing.T) {
	d := directory.New([]directory.Host{host("c1", "a:1")})
	learned := func() bool {
		select {
		case <-d.Learned():
			return true
		default:
			return false
		}
	}
	d.Update(directory.List{Index: 3})
	if learned() {
		t.Error("an empty list is no list")
	}
	d.Update(directory.List{Index: 4, Hosts: []directory.Host{host("c1", "a:1")}})
	d.Update(directory.List{Index: 5, Hosts: []directory.Host{host("c2", "a:2")}})
	if !learned() {
		t.Error("the first list is not noticed")
	}
}
