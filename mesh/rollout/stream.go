package rollout

import "balsamtrail.org/mesh/model"

// MethodEvidence is the peer method of the stream on which a control host sends a node the
// active moves and the node reports the outcomes of its calls.
const MethodEvidence = "rollout.evidence"

// EvidenceDown sends a node the active moves.
type EvidenceDown struct {
	Moves []Status `cbor:"1,keyasint"`
}

// EvidenceUp carries an encoded Report and the load of the node's own backend server.
type EvidenceUp struct {
	Report []byte `cbor:"1,keyasint"`
	Load   Load   `cbor:"2,keyasint"`
}

// Load is the load and the capacity of backend servers of one version.
type Load struct {
	Service model.ServiceName    `cbor:"1,keyasint"`
	Version model.ServiceVersion `cbor:"2,keyasint"`
	// Servers is the number of backend servers included.
	Servers int `cbor:"3,keyasint"`
	// Limit is the sum of their concurrency limits.
	Limit    int `cbor:"4,keyasint"`
	InFlight int `cbor:"5,keyasint"`
	// CallsPerSecond is the rate of calls that they answered.
	CallsPerSecond float64 `cbor:"6,keyasint"`
}

// Add returns the sum of two loads of the same version.
func (l Load) Add(o Load) Load {
	l.Servers += o.Servers
	l.Limit += o.Limit
	l.InFlight += o.InFlight
	l.CallsPerSecond += o.CallsPerSecond
	return l
}
