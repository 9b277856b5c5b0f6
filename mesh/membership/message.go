package membership

import (
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// The peer methods of this package.
const (
	// MethodAnnounce is the announce stream from a node to its lease holder.
	MethodAnnounce = "membership.announce"
	// MethodHoldings is the stream between control hosts about held leases.
	MethodHoldings = "membership.holdings"
)

// maxTextBytes bounds each text field of an announcement.
const maxTextBytes = 128

// maxCounter bounds incarnation and sequence, so that the next greater one exists.
const maxCounter = 1 << 62

// renewal is sent by a node every RenewInterval and on each change.
type renewal struct {
	Announcement Announcement `cbor:"1,keyasint"`
}

// RenewalReply answers a renewal.
type RenewalReply struct {
	// Position is the configuration in force on the lease holder.
	Position model.Position `cbor:"1,keyasint"`
	// LeaderReachable says that the lease holder hears the leader.
	LeaderReachable bool `cbor:"2,keyasint"`
	// NewerRecord is the record that the lease holder has of the node if it replaces the sent one.
	NewerRecord *Announcement `cbor:"3,keyasint,omitempty"`
}

// leasesQuery asks a control host for its leases.
type leasesQuery struct {
	// Checksum identifies the answer that is known already.
	Checksum      uint64 `cbor:"1,keyasint"`
	ChecksumKnown bool   `cbor:"2,keyasint,omitempty"`
}

// leasesReply names the leased nodes if they differ from the known answer.
type leasesReply struct {
	Checksum uint64         `cbor:"1,keyasint"`
	Changed  bool           `cbor:"2,keyasint,omitempty"`
	Hosts    []model.HostID `cbor:"3,keyasint,omitempty"`
}

// Check reports the first bad field of an announcement that a node may send.
func (a Announcement) Check() error {
	texts := []struct{ field, value string }{
		{"host", string(a.Host)}, {"service", string(a.Service)}, {"version", string(a.Version)},
		{"data_centre", string(a.DataCentre)}, {"call_address", a.CallAddress}, {"peer_address", a.PeerAddress},
	}
	for _, t := range texts {
		if t.value == "" || len(t.value) > maxTextBytes {
			return eris.Wrapf(ErrInvalid, "%s has %d bytes, want 1 to %d", t.field, len(t.value), maxTextBytes)
		}
	}
	switch {
	case a.Incarnation == 0 || a.Incarnation > maxCounter:
		return eris.Wrapf(ErrInvalid, "incarnation is %d, want 1 to %d", a.Incarnation, uint64(maxCounter))
	case a.Sequence > maxCounter:
		return eris.Wrapf(ErrInvalid, "sequence is %d, want at most %d", a.Sequence, uint64(maxCounter))
	case a.Slots < 1:
		return eris.Wrapf(ErrInvalid, "slots is %d, want at least 1", a.Slots)
	case a.State < StateServing || a.State > StateLapsed:
		return eris.Wrapf(ErrInvalid, "unknown state %d", a.State)
	}
	return nil
}
