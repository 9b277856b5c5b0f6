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

// TestUpdateKeepsTheNewestList guards against a node that returns to replaced
// control hosts because a partitioned host still lists them, or that loses all
// hosts because of an empty list.
func TestUpdateKeepsTheNewestList(t *testing.T) {
	old := []directory.Host{host("c1", "a:1"), host("c2", "a:2")}
	d := directory.New(old)
	if !d.Update(directory.List{Index: 7, Hosts: []directory.Host{host("c4", "a:4"), host("c1", "a:1")}}) {
		t.Fatal("newer list not adopted")
	}
	for _, l := range []directory.List{{Index: 6, Hosts: old}, {Index: 9}} {
		if d.Update(l) {
			t.Fatalf("%+v adopted", l)
		}
	}
	if want := []directory.Host{host("c1", "a:1"), host("c4", "a:4")}; !slices.Equal(d.Hosts(), want) {
		t.Fatalf("hosts %+v", d.Hosts())
	}
}

// TestUpdateKeepsAddressOfSettings guards against replacing the address of a
// host in the settings by one that only other control hosts can reach.
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

// TestLearnedWithTheFirstList guards against a node that keeps waiting although
// it has a list, or that counts an empty list as one.
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
		t.Error("an empty list counts as the first list")
	}
	d.Update(directory.List{Index: 4, Hosts: []directory.Host{host("c1", "a:1")}})
	d.Update(directory.List{Index: 5, Hosts: []directory.Host{host("c2", "a:2")}})
	if !learned() {
		t.Error("Learned is not closed after the first list")
	}
}
