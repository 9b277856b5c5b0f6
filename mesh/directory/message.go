package directory

import "balsamtrail.org/mesh/model"

// Method is the peer method of the stream on which a control host sends a node
// the list of control hosts.
const Method = "directory.hosts"

// Host is a control host and its address.
type Host struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	DataCentre model.DataCentre `cbor:"2,keyasint"`
	// Peer is the UDP address for peer connections.
	Peer string `cbor:"3,keyasint"`
}

// List contains the accepted members of the control group.
type List struct {
	// Index is the log index of group 0 up to which the list is complete.
	Index uint64 `cbor:"1,keyasint"`
	Hosts []Host `cbor:"2,keyasint"`
}
