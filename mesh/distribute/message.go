package distribute

import (
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// The peer methods of this package.
const (
	// MethodWatch is the stream between a parent and its child.
	MethodWatch = "distribute.watch"
	// MethodExchange is the stream of a comparison between peers.
	MethodExchange = "distribute.exchange"
)

// Bounds of the parts of a frame.
const (
	maxServices     = 2048
	maxKnown        = 8192
	maxEndpoints    = 256
	maxRefusals     = 16
	maxReason       = 256
	maxAlternatives = 8
)

// Refusal is a version, or a route of a version, that is not in force on a host.
type Refusal struct {
	Host     model.HostID    `cbor:"1,keyasint"`
	Position model.Position  `cbor:"2,keyasint"`
	Route    model.RouteName `cbor:"3,keyasint,omitempty"`
	Reason   string          `cbor:"4,keyasint"`
}

// SubtreeReport sums up a subtree.
type SubtreeReport struct {
	// Least is the least position in force.
	Least model.Position `cbor:"1,keyasint"`
	// Nodes is the number of nodes.
	Nodes int `cbor:"2,keyasint"`
	// Held is the number of held-back routes on all nodes.
	Held int `cbor:"3,keyasint,omitempty"`
	// Refusals is a bounded selection.
	Refusals []Refusal `cbor:"4,keyasint,omitempty"`
	// SameRefusals stands for the refusals of the last report on the stream. A
	// full selection takes about a kilobyte and rarely changes.
	SameRefusals bool `cbor:"5,keyasint,omitempty"`
}

// resumeFrame names the part of a snapshot that the child has.
type resumeFrame struct {
	ID     uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// helloFrame opens a watch stream and, sent again, asks for the versions after Position.
type helloFrame struct {
	Position model.Position `cbor:"1,keyasint"`
	// Table and Cursor say which changes of which table the child has.
	Table  uint64 `cbor:"2,keyasint,omitempty"`
	Cursor uint64 `cbor:"3,keyasint,omitempty"`
	// Digest is used when the parent's table is not Table.
	Digest []uint64 `cbor:"4,keyasint,omitempty"`
	// Services limits the endpoints; empty means all.
	Services []model.ServiceName `cbor:"5,keyasint,omitempty"`
	// Known lists the hosts that a child with Services has records of, to hear
	// of the ones that moved to another service.
	Known []model.HostID `cbor:"6,keyasint,omitempty"`
	// Snapshot resumes a transfer.
	Snapshot *resumeFrame `cbor:"7,keyasint,omitempty"`
	// EndpointsOnly asks for no configuration, as control hosts do.
	EndpointsOnly bool `cbor:"8,keyasint,omitempty"`
	// NeedSnapshot says that a delta led to another configuration.
	NeedSnapshot bool `cbor:"9,keyasint,omitempty"`
	// SkipEndpoints asks for no endpoints; only an exchange uses it.
	SkipEndpoints bool `cbor:"10,keyasint,omitempty"`
}

// upFrame is a frame from the child; an empty one is a heartbeat.
type upFrame struct {
	Hello  *helloFrame    `cbor:"1,keyasint,omitempty"`
	Report *SubtreeReport `cbor:"2,keyasint,omitempty"`
}

// deltaFrame leads from any position in [Base, Position) to Position.
type deltaFrame struct {
	Base     model.Position `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	// Sum is Version.Sum of the result.
	Sum   uint64     `cbor:"3,keyasint"`
	Delta note.Delta `cbor:"4,keyasint"`
}

// endpointsFrame carries changes up to Cursor of the parent's table.
type endpointsFrame struct {
	Table         uint64                    `cbor:"1,keyasint"`
	Cursor        uint64                    `cbor:"2,keyasint"`
	Announcements []membership.Announcement `cbor:"3,keyasint"`
}

// chunkFrame is a part of a snapshot.
type chunkFrame struct {
	ID       uint64         `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	Offset   int            `cbor:"3,keyasint"`
	Total    int            `cbor:"4,keyasint"`
	Data     []byte         `cbor:"5,keyasint"`
}

// heartbeatFrame says how old the source's last word is at the parent.
type heartbeatFrame struct {
	SourceAge time.Duration  `cbor:"1,keyasint"`
	Position  model.Position `cbor:"2,keyasint"`
}

// handoffFrame asks the child to move to another parent after a delay.
type handoffFrame struct {
	After time.Duration `cbor:"1,keyasint"`
}

// busyFrame ends a stream that the parent cannot serve.
type busyFrame struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	// Alternatives are parents that the child may not know yet.
	Alternatives []Parent `cbor:"3,keyasint,omitempty"`
}

// downFrame is a frame from the parent; exactly one part is set.
type downFrame struct {
	Heartbeat *heartbeatFrame `cbor:"1,keyasint,omitempty"`
	Delta     *deltaFrame     `cbor:"2,keyasint,omitempty"`
	Endpoints *endpointsFrame `cbor:"3,keyasint,omitempty"`
	Chunk     *chunkFrame     `cbor:"4,keyasint,omitempty"`
	Handoff   *handoffFrame   `cbor:"5,keyasint,omitempty"`
	Busy      *busyFrame      `cbor:"6,keyasint,omitempty"`
	// Done ends the answer to an exchange.
	Done bool `cbor:"7,keyasint,omitempty"`
}

// compareFrame opens an exchange and answers it.
type compareFrame struct {
	Position model.Position `cbor:"1,keyasint"`
	// Endpoints is the sum of the digest of the endpoint table.
	Endpoints uint64 `cbor:"2,keyasint"`
	// Confirmed says that Position includes everything accepted before the
	// question, as a control host with a confirmed leader can tell.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
	// Confirm asks for a confirmed position.
	Confirm bool `cbor:"4,keyasint,omitempty"`
}

// check reports a part that breaks its bound.
func (f upFrame) check() error {
	if h := f.Hello; h != nil {
		if len(h.Services) > maxServices || len(h.Known) > maxKnown {
			return eris.Wrapf(ErrBadFrame, "hello names %d services and %d hosts", len(h.Services), len(h.Known))
		}
		if n := len(h.Digest); n != 0 && n != len(membership.Digest{}) {
			return eris.Wrapf(ErrBadFrame, "digest of %d parts", n)
		}
		if h.Snapshot != nil && h.Snapshot.Offset < 0 {
			return eris.Wrapf(ErrBadFrame, "snapshot offset %d", h.Snapshot.Offset)
		}
	}
	if r := f.Report; r != nil && (r.Nodes < 0 || r.Held < 0 || len(r.Refusals) > maxRefusals) {
		return eris.Wrapf(ErrBadFrame, "report of %d nodes, %d refusals", r.Nodes, len(r.Refusals))
	}
	return nil
}

// check reports a part that breaks its bound.
func (f downFrame) check() error {
	if e := f.Endpoints; e != nil {
		if len(e.Announcements) > maxEndpoints {
			return eris.Wrapf(ErrBadFrame, "%d endpoints in a frame", len(e.Announcements))
		}
		for _, a := range e.Announcements {
			if err := a.Check(); err != nil {
				return eris.Wrapf(ErrBadFrame, "%v", err)
			}
		}
	}
	if d := f.Delta; d != nil && recordCount(d.Delta) > maxDeltaRecords {
		return eris.Wrapf(ErrBadFrame, "%d records in a delta", recordCount(d.Delta))
	}
	if h := f.Heartbeat; h != nil && h.SourceAge < 0 {
		return eris.Wrapf(ErrBadFrame, "source age %s", h.SourceAge)
	}
	if h := f.Handoff; h != nil && h.After < 0 {
		return eris.Wrapf(ErrBadFrame, "handoff after %s", h.After)
	}
	if b := f.Busy; b != nil && (b.RetryAfter < 0 || len(b.Alternatives) > maxAlternatives) {
		return eris.Wrapf(ErrBadFrame, "retry after %s, %d alternatives", b.RetryAfter, len(b.Alternatives))
	}
	return nil
}
