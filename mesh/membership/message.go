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

// maxText bounds each text field of an announcement.
const maxText = 128

// maxCount bounds incarnation and sequence, so that the next greater one exists.
const maxCount = 1 << 62

// renewal is sent by a node every RenewInterval and on each change.
type renewal struct {
	Announcement Announcement `cbor:"1,keyasint"`
}

// Reply answers a renewal.
type Reply struct {
	// Position is the configuration in force on the lease holder.
	Position model.Position `cbor:"1,keyasint"`
	// InContact says that the lease holder hears the leader.
	InContact bool `cbor:"2,keyasint"`
	// Seen is the record that the lease holder has of the node if it replaces the sent one.
	Seen *Announcement `cbor:"3,keyasint,omitempty"`
}

// holdingsQuery asks a control host for its leases.
type holdingsQuery struct {
	// Sum identifies the answer that is known already.
	Sum   uint64 `cbor:"1,keyasint"`
	Known bool   `cbor:"2,keyasint,omitempty"`
}

// holdingsReply names the leased nodes if they differ from the known answer.
type holdingsReply struct {
	Sum     uint64         `cbor:"1,keyasint"`
	Changed bool           `cbor:"2,keyasint,omitempty"`
	Hosts   []model.HostID `cbor:"3,keyasint,omitempty"`
}

// Check reports the first bad field of an announcement that a node may send.
func (a Announcement) Check() error {
	texts := []struct{ field, value string }{
		{"host", string(a.Host)}, {"service", string(a.Service)}, {"version", string(a.Version)},
		{"data_centre", string(a.DataCentre)}, {"call_address", a.CallAddress}, {"peer_address", a.PeerAddress},
	}
	for _, t := range texts {
		if t.value == "" || len(t.value) > maxText {
			return eris.Wrapf(ErrInvalid, "%s has %d bytes, want 1 to %d", t.field, len(t.value), maxText)
		}
	}
	switch {
	case a.Incarnation == 0 || a.Incarnation > maxCount:
		return eris.Wrapf(ErrInvalid, "incarnation is %d, want 1 to %d", a.Incarnation, uint64(maxCount))
	case a.Sequence > maxCount:
		return eris.Wrapf(ErrInvalid, "sequence is %d, want at most %d", a.Sequence, uint64(maxCount))
	case a.Slots < 1:
		return eris.Wrapf(ErrInvalid, "slots is %d, want at least 1", a.Slots)
	case a.State < StateServing || a.State > StateLapsed:
		return eris.Wrapf(ErrInvalid, "unknown state %d", a.State)
	}
	return nil
}
