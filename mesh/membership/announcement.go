// Package membership tracks backend servers: the announcements of their nodes, the
// leases that keep them alive, and the endpoint table. A node announces itself to
// one control host, which grants it a lease and receives its renewals. All of this
// is soft state; a lost table is rebuilt from renewals and from peers.
package membership

import (
	"cmp"

	"balsamtrail.org/mesh/model"
)

// State is the state of an announced backend server. The values are sent to peers;
// of two records of the same age the one with the greater state replaces the other.
type State uint8

// The states of an announcement.
const (
	// StateServing means that the backend server accepts new work.
	StateServing State = iota + 1
	// StateDraining means that it finishes running work and accepts no new work.
	StateDraining
	// StateLeft means that it was shut down as planned.
	StateLeft
	// StateLapsed means that the node did not renew its lease in time.
	StateLapsed
)

// String returns the name used in logs.
func (s State) String() string {
	switch s {
	case StateServing:
		return "serving"
	case StateDraining:
		return "draining"
	case StateLeft:
		return "left"
	case StateLapsed:
		return "lapsed"
	default:
		return "unknown"
	}
}

// Announcement is a node's record of its backend server. Of two records of a host,
// the one with the greater (Incarnation, Sequence) replaces the other.
type Announcement struct {
	Host model.HostID `cbor:"1,keyasint"`
	// Incarnation increases with each start of the node and when the node learns of
	// its own lapse.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence increases with each change within an incarnation.
	Sequence   uint64               `cbor:"3,keyasint"`
	Service    model.ServiceName    `cbor:"4,keyasint"`
	Version    model.ServiceVersion `cbor:"5,keyasint"`
	DataCentre model.DataCentre     `cbor:"6,keyasint"`
	// CallAddress is the TCP address for calls between nodes.
	CallAddress string `cbor:"7,keyasint"`
	// PeerAddress is the UDP address for control streams.
	PeerAddress string `cbor:"8,keyasint"`
	// Slots is the number of requests that the backend server itself can run at a
	// time; the configured number may be greater or smaller.
	Slots int   `cbor:"9,keyasint"`
	State State `cbor:"10,keyasint"`
	// Instance and Started identify the lifetime of a backend server that registers
	// itself: one run of it. Started is in Unix milliseconds by its own clock; 0 if it does
	// not register itself.
	Instance string `cbor:"11,keyasint,omitempty"`
	Started  int64  `cbor:"12,keyasint,omitempty"`
	// Closed says that the lifetime drains or has ended. It takes no new work for good,
	// whatever later records of the host say.
	Closed bool `cbor:"13,keyasint,omitempty"`
}

// sameLifetime reports whether both records are of one lifetime of a backend server.
func (a Announcement) sameLifetime(b Announcement) bool {
	return a.Started != 0 && a.Started == b.Started && a.Instance == b.Instance
}

// join returns the newer of two records of a host. If one of them says that their
// lifetime is closed, so does the result: a node that was restarted may not know it.
func join(a, b Announcement) Announcement {
	if newer(b, a) {
		a, b = b, a
	}
	if b.Closed && a.sameLifetime(b) {
		a.Closed, a.State = true, max(a.State, StateDraining)
	}
	return a
}

// Compare orders two announcements of the same host by incarnation, then by
// sequence.
func (a Announcement) Compare(b Announcement) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// Alive reports whether the announced state is serving or draining.
func (a Announcement) Alive() bool { return a.State == StateServing || a.State == StateDraining }
