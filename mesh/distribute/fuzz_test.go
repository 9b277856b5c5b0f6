package distribute

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

func seed(f *testing.F, frames ...any) {
	for _, v := range frames {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
}

// FuzzDownFrame guards against a frame from a parent that crashes a child,
// breaks an invariant or brings an invalid version into force.
func FuzzDownFrame(f *testing.F) {
	s := NewStore()
	cfg := configOf(route("r", "ledger", 0))
	if err := s.Publish(positionAt(2), cfg); err != nil {
		f.Fatal(err)
	}
	u, _ := s.deltaSince(model.Position{})
	snap, err := s.Snapshot(model.Position{})
	if err != nil {
		f.Fatal(err)
	}
	c := snap.chunk(0)
	seed(f, downFrame{Delta: &u}, downFrame{Chunk: &c}, downFrame{Heartbeat: &heartbeatFrame{SourceAge: time.Second}},
		downFrame{Endpoints: &endpointsFrame{Table: 1, Cursor: 2, Announcements: []membership.Announcement{servingAnnouncement("n2", "ledger", 1)}}},
		downFrame{Handoff: &handoffFrame{After: time.Second}}, downFrame{Busy: &busyFrame{RetryAfter: time.Second, Reason: "full"}})
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame downFrame
		if cbor.Unmarshal(b, &frame) != nil || frame.check() != nil {
			return
		}
		p := newProcess(nodeIdentity("n1"))
		st, _ := peer.Pipe(p.id, sourceIdentity)
		r := &childReader{a: p.a, eps: p.eps, st: st, o: p.follow(), requests: make(chan helloFrame, 1)}
		_ = r.handle(time.Now(), frame)
		if in := p.a.InForce(); in != nil {
			if err := note.Validate(in.Config); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzUpFrame guards against a frame from a child that crashes its parent.
func FuzzUpFrame(f *testing.F) {
	d := membership.NewTable().Digest()
	seed(f, upFrame{Hello: &helloFrame{Position: positionAt(1), Digest: d[:], Services: []model.ServiceName{"ledger"}}},
		upFrame{Hello: &helloFrame{Snapshot: &resumeFrame{ID: 1, Offset: 65536}, NeedSnapshot: true}},
		upFrame{Report: &SubtreeReport{LowestPosition: positionAt(1), Nodes: 3, Refusals: []Refusal{{Host: "n1", Reason: "bad"}}}})
	p := newProcess(sourceIdentity)
	if err := p.store.Publish(positionAt(2), configOf(route("r", "ledger", 0))); err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var frame upFrame
		if cbor.Unmarshal(b, &frame) != nil || frame.check() != nil {
			return
		}
		st, _ := peer.Pipe(sourceIdentity, nodeIdentity("n1"))
		if frame.Report != nil {
			p.serve.Subtree.setReport(st, *frame.Report)
			_ = p.serve.Subtree.Report()
		}
		if frame.Hello != nil {
			w := newChildWriter(st, p.store, p.eps, p.serve)
			w.applyHello(*frame.Hello)
			if err := w.push(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzSnapshot guards against snapshot bytes that crash the decoder or use
// unbounded memory. The checksum is set to match, so that the bytes reach the
// decoder.
func FuzzSnapshot(f *testing.F) {
	for _, c := range []note.Config{note.NewConfig(), configOf(route("r", "ledger", 0))} {
		s, err := EncodeSnapshot(&Version{Position: positionAt(1), Config: c})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(s.Data)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := DecodeSnapshot(&Snapshot{ID: xxhash.Sum64(b), Position: positionAt(1), Data: b})
		if err == nil && note.Validate(v.Config) == nil && v.Sum != sumOf(v.Config) {
			t.Fatal("sum differs")
		}
	})
}
