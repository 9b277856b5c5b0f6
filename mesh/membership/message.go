package membership

import (
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
)

// The peer methods of this package.
const (
	// MethodAnnounce is the stream on which a node renews its lease with a control
	// host.
	MethodAnnounce = "membership.announce"
	// MethodHoldings is the stream on which a control host asks another one which
	// nodes renew with it.
	MethodHoldings = "membership.holdings"
)

// maxTextBytes bounds each text field of an announcement, in bytes.
const maxTextBytes = 128

// MaxInstanceBytes bounds the instance of an announcement, in bytes.
const MaxInstanceBytes = 128

// maxCounter bounds incarnation and sequence, so that incrementing them cannot
// overflow.
const maxCounter = 1 << 62

// renewal is sent by a node every RenewInterval and on each change.
type renewal struct {
	Announcement Announcement `cbor:"1,keyasint"`
}

// RenewalReply answers a renewal.
type RenewalReply struct {
	// Position is the configuration position in force on the control host.
	Position model.Position `cbor:"1,keyasint"`
	// LeaderReachable reports whether the control host is in contact with the
	// leader.
	LeaderReachable bool `cbor:"2,keyasint"`
	// NewerRecord is the control host's record of the node if it replaces the
	// announced one.
	NewerRecord *Announcement `cbor:"3,keyasint,omitempty"`
}

// leasesQuery asks a control host which nodes renew with it.
type leasesQuery struct {
	// Checksum is the checksum of the last reply that the asking side knows.
	Checksum uint64 `cbor:"1,keyasint"`
	// ChecksumKnown is false in the first query of a stream, which is always
	// answered in full.
	ChecksumKnown bool `cbor:"2,keyasint,omitempty"`
}

// leasesReply lists the leased nodes if they differ from those of the query's
// checksum.
type leasesReply struct {
	Checksum uint64         `cbor:"1,keyasint"`
	Changed  bool           `cbor:"2,keyasint,omitempty"`
	Hosts    []model.HostID `cbor:"3,keyasint,omitempty"`
}

// Check returns an error for the first invalid field of the announcement.
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
	case len(a.Instance) > MaxInstanceBytes:
		return eris.Wrapf(ErrInvalid, "instance has %d bytes, at most %d", len(a.Instance), MaxInstanceBytes)
	case a.Started < 0:
		return eris.Wrapf(ErrInvalid, "started is %d, want at least 0", a.Started)
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
