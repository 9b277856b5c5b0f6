package membership

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/peer"
)

// FuzzRenewal guards against a renewal that crashes a control host or is accepted
// although it exceeds a limit.
func FuzzRenewal(f *testing.F) {
	for _, s := range []State{StateServing, StateLeft, StateLapsed} {
		b, err := cbor.Marshal(renewal{Announcement: announcement("n1", 1, 1, s)})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r renewal
		if cbor.Unmarshal(b, &r) != nil {
			return
		}
		a, h := r.Announcement, newHolder()
		if checkAnnouncement(peer.Identity{Role: peer.RoleNode, Host: a.Host, DataCentre: a.DataCentre}, a) != nil {
			return
		}
		if h.renew(time.Unix(0, 0), a); len(h.Table.All()) != 1 || len(a.Host) > maxTextBytes {
			t.Fatalf("%+v", a)
		}
	})
}

// FuzzReply guards against a reply that crashes a node or makes it announce an
// older record.
func FuzzReply(f *testing.F) {
	seen := announcement("n1", 7, 2, StateLapsed)
	b, err := cbor.Marshal(RenewalReply{LeaderReachable: true, NewerRecord: &seen})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	seen.Incarnation = 1<<64 - 1
	if b, err = cbor.Marshal(RenewalReply{NewerRecord: &seen}); err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var r RenewalReply
		if cbor.Unmarshal(b, &r) != nil || r.NewerRecord == nil {
			return
		}
		p := NewPublisher(announcement("n1", 0, 0, StateServing), time.UnixMilli(5))
		before := p.Current()
		if p.Observe(*r.NewerRecord) && !newer(p.Current(), *r.NewerRecord) {
			t.Fatalf("%+v after %+v", p.Current(), *r.NewerRecord)
		}
		if newer(before, p.Current()) {
			t.Fatal("the announcement became older")
		}
	})
}
