package distribute

import (
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Peer methods of this package.
const (
	// MethodWatch is the stream between a parent and its child.
	MethodWatch = "distribute.watch"
	// MethodExchange is the stream on which two peers compare their state.
	MethodExchange = "distribute.exchange"
)

// Limits of the parts of a frame.
const (
	// maxServices is the number of services in a hello.
	maxServices = 2048
	// maxKnown is the number of known hosts in a hello.
	maxKnown = 8192
	// maxEndpoints is the number of announcements in an endpoints frame.
	maxEndpoints = 256
	// maxRefusals is the number of refusals in a report.
	maxRefusals = 16
	// maxReason is the length in bytes of the reason of a refusal.
	maxReason = 256
	// maxAlternatives is the number of alternative parents in a busy frame.
	maxAlternatives = 8
	// maxControlHosts is the number of control hosts in a welcome.
	maxControlHosts = 64
)

// Refusal reports a version, or a route of a version, that is not in force on a
// host.
type Refusal struct {
	Host     model.HostID    `cbor:"1,keyasint"`
	Position model.Position  `cbor:"2,keyasint"`
	Route    model.RouteName `cbor:"3,keyasint,omitempty"`
	Reason   string          `cbor:"4,keyasint"`
}

// SubtreeReport summarises the nodes of a subtree.
type SubtreeReport struct {
	// LowestPosition is the lowest position in force on any of the nodes.
	LowestPosition model.Position `cbor:"1,keyasint"`
	// Nodes is the number of nodes.
	Nodes int `cbor:"2,keyasint"`
	// Held is the number of held routes, added up over the nodes.
	Held int `cbor:"3,keyasint,omitempty"`
	// Refusals is a bounded selection of the refusals of all nodes.
	Refusals []Refusal `cbor:"4,keyasint,omitempty"`
	// SameRefusals says that the refusals equal those of the previous report on
	// the stream and are left out. A full selection takes about a kilobyte and
	// rarely changes.
	SameRefusals bool `cbor:"5,keyasint,omitempty"`
}

// resumeFrame names the snapshot of which the child has the first Offset bytes.
type resumeFrame struct {
	ID     uint64 `cbor:"1,keyasint"`
	Offset int    `cbor:"2,keyasint"`
}

// helloFrame opens a watch stream. Sent again, it requests the versions after
// Position.
type helloFrame struct {
	Position model.Position `cbor:"1,keyasint"`
	// Table and Cursor say up to which change of which endpoint table the child
	// is up to date.
	Table  uint64 `cbor:"2,keyasint,omitempty"`
	Cursor uint64 `cbor:"3,keyasint,omitempty"`
	// Digest summarises the child's endpoint table. The parent compares it with
	// its own if its table is not Table.
	Digest []uint64 `cbor:"4,keyasint,omitempty"`
	// Services limits the endpoints; empty means all.
	Services []model.ServiceName `cbor:"5,keyasint,omitempty"`
	// Known lists the hosts of which a child with Services has records, so that
	// it learns when one of them changes to another service.
	Known []model.HostID `cbor:"6,keyasint,omitempty"`
	// Snapshot requests the rest of an interrupted snapshot transfer.
	Snapshot *resumeFrame `cbor:"7,keyasint,omitempty"`
	// EndpointsOnly requests endpoints without configuration; control hosts set
	// it.
	EndpointsOnly bool `cbor:"8,keyasint,omitempty"`
	// NeedSnapshot requests a snapshot because the result of a delta differed
	// from the parent's version.
	NeedSnapshot bool `cbor:"9,keyasint,omitempty"`
	// SkipEndpoints requests configuration without endpoints; only an exchange
	// sets it.
	SkipEndpoints bool `cbor:"10,keyasint,omitempty"`
	// Join requests a welcome; a node sets it until it knows the minimum position at
	// which it may route. Parents of earlier releases and nodes send none.
	Join bool `cbor:"11,keyasint,omitempty"`
	// Uptime is how long ago the node started, with Join. A position that was confirmed
	// since then is not older than any that the node routed by before.
	Uptime time.Duration `cbor:"12,keyasint,omitempty"`
}

// upFrame is a frame from the child to the parent. An empty one is a heartbeat.
type upFrame struct {
	Hello  *helloFrame    `cbor:"1,keyasint,omitempty"`
	Report *SubtreeReport `cbor:"2,keyasint,omitempty"`
}

// deltaFrame changes any version at a position in [Base, Position) to the one
// at Position.
type deltaFrame struct {
	Base     model.Position `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	// Sum is Version.Sum of the result.
	Sum   uint64     `cbor:"3,keyasint"`
	Delta note.Delta `cbor:"4,keyasint"`
}

// endpointsFrame carries changes of the parent's endpoint table. If Cursor is
// not 0, the child then has all changes up to it.
type endpointsFrame struct {
	Table         uint64                    `cbor:"1,keyasint"`
	Cursor        uint64                    `cbor:"2,keyasint"`
	Announcements []membership.Announcement `cbor:"3,keyasint"`
}

// chunkFrame carries a part of a snapshot.
type chunkFrame struct {
	ID       uint64         `cbor:"1,keyasint"`
	Position model.Position `cbor:"2,keyasint"`
	Offset   int            `cbor:"3,keyasint"`
	Total    int            `cbor:"4,keyasint"`
	Data     []byte         `cbor:"5,keyasint"`
}

// heartbeatFrame tells how long ago the parent last had contact with the
// source, directly or through its own parents.
type heartbeatFrame struct {
	SourceAge time.Duration  `cbor:"1,keyasint"`
	Position  model.Position `cbor:"2,keyasint"`
}

// handoffFrame asks the child to switch to another parent after a delay.
type handoffFrame struct {
	After time.Duration `cbor:"1,keyasint"`
}

// busyFrame ends the stream of a child that the parent cannot serve.
type busyFrame struct {
	RetryAfter time.Duration `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint"`
	// Alternatives are possible parents that the child may not know yet.
	Alternatives []Parent `cbor:"3,keyasint,omitempty"`
}

// welcomeFrame tells a starting node what else it needs to route, so that it need not
// ask for each on a stream of its own.
type welcomeFrame struct {
	// Position and Confirmed are as in compareFrame.
	Position  model.Position `cbor:"1,keyasint"`
	Confirmed bool           `cbor:"2,keyasint,omitempty"`
	// Own is the parent's record of the node.
	Own *membership.Announcement `cbor:"3,keyasint,omitempty"`
	// ControlHosts are the control hosts up to HostsIndex of the log; empty if the
	// parent does not know them.
	ControlHosts []Parent `cbor:"4,keyasint,omitempty"`
	HostsIndex   uint64   `cbor:"5,keyasint,omitempty"`
}

// downFrame is a frame from the parent to the child. Exactly one field is set.
type downFrame struct {
	Heartbeat *heartbeatFrame `cbor:"1,keyasint,omitempty"`
	Delta     *deltaFrame     `cbor:"2,keyasint,omitempty"`
	Endpoints *endpointsFrame `cbor:"3,keyasint,omitempty"`
	Chunk     *chunkFrame     `cbor:"4,keyasint,omitempty"`
	Handoff   *handoffFrame   `cbor:"5,keyasint,omitempty"`
	Busy      *busyFrame      `cbor:"6,keyasint,omitempty"`
	// Done ends the answer to an exchange.
	Done    bool          `cbor:"7,keyasint,omitempty"`
	Welcome *welcomeFrame `cbor:"8,keyasint,omitempty"`
}

// sourceAge returns the source age in a heartbeat, 0 in other frames.
func (f downFrame) sourceAge() time.Duration {
	if f.Heartbeat == nil {
		return 0
	}
	return f.Heartbeat.SourceAge
}

// compareFrame opens an exchange; the reply is a compareFrame too.
type compareFrame struct {
	Position model.Position `cbor:"1,keyasint"`
	// Endpoints is the sum of the digest of the endpoint table.
	Endpoints uint64 `cbor:"2,keyasint"`
	// Confirmed says that Position includes everything accepted before the
	// request. Only a control host sets it, after it has confirmed the leader.
	Confirmed bool `cbor:"3,keyasint,omitempty"`
	// Confirm requests a confirmed position.
	Confirm bool `cbor:"4,keyasint,omitempty"`
	// Own is the answering side's record of the asking host, in answers to Confirm.
	Own *membership.Announcement `cbor:"5,keyasint,omitempty"`
}

// check returns ErrBadFrame for a field that is out of bounds.
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

// check returns ErrBadFrame for a field that is out of bounds.
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
	if w := f.Welcome; w != nil {
		if len(w.ControlHosts) > maxControlHosts {
			return eris.Wrapf(ErrBadFrame, "%d control hosts in a welcome", len(w.ControlHosts))
		}
		if w.Own != nil {
			if err := w.Own.Check(); err != nil {
				return eris.Wrapf(ErrBadFrame, "welcome: %v", err)
			}
		}
	}
	if b := f.Busy; b != nil && (b.RetryAfter < 0 || len(b.Alternatives) > maxAlternatives) {
		return eris.Wrapf(ErrBadFrame, "retry after %s, %d alternatives", b.RetryAfter, len(b.Alternatives))
	}
	return nil
}
