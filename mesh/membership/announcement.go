// Package membership holds what is known of backend servers: the announcements
// of their nodes, the leases that keep them alive and the endpoint table. All
// of it is soft state; a lost table is rebuilt from leases and peers.
package membership

import (
	"cmp"

	"balsamtrail.org/mesh/model"
)

// State is the state of an announced backend server.
type State uint8

// The states of an announcement.
const (
	// StateServing takes new work.
	StateServing State = iota + 1
	// StateDraining finishes running work and takes no new work.
	StateDraining
	// StateLeft has left on purpose.
	StateLeft
	// StateLapsed was not renewed within its lease.
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

// Announcement is one node's record of its backend server. The record with the
// greater (Incarnation, Sequence) replaces the other one.
type Announcement struct {
	Host model.HostID `cbor:"1,keyasint"`
	// Incarnation grows with each start of the node and when a node sees itself lapsed.
	Incarnation uint64 `cbor:"2,keyasint"`
	// Sequence grows with each change within an incarnation.
	Sequence   uint64               `cbor:"3,keyasint"`
	Service    model.ServiceName    `cbor:"4,keyasint"`
	Version    model.ServiceVersion `cbor:"5,keyasint"`
	DataCentre model.DataCentre     `cbor:"6,keyasint"`
	// CallAddress is the TCP address for calls between nodes.
	CallAddress string `cbor:"7,keyasint"`
	// PeerAddress is the UDP address for control streams.
	PeerAddress string `cbor:"8,keyasint"`
	// Slots is the true number of slots of the backend server.
	Slots int   `cbor:"9,keyasint"`
	State State `cbor:"10,keyasint"`
}

// Compare orders two announcements of the same host by age.
func (a Announcement) Compare(b Announcement) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	return cmp.Compare(a.Sequence, b.Sequence)
}

// Alive reports whether the backend server is reachable by announcement.
func (a Announcement) Alive() bool { return a.State == StateServing || a.State == StateDraining }
