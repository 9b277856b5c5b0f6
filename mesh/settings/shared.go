// Package settings holds the JSON settings of the control role and the node
// role. They are read strictly: an unknown key, a wrong unit or a value out of
// range is an error that names the field's path.
package settings

import (
	"log/slog"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Process holds the settings that both roles have.
type Process struct {
	// Host is the identity of this process. It is unique for the life of the
	// mesh and equals the host in the certificate.
	Host model.HostID `json:"host" validate:"required,name"`
	// DataCentre is the data centre that the host stands in.
	DataCentre model.DataCentre `json:"data_centre" validate:"required,name"`
	// Region groups data centres that lose contact with the others together. It
	// stands in each log line and in a node's status, so that operators can tell
	// the loss of a region from that of its parts; it decides nothing.
	Region string `json:"region" validate:"required,name"`
	// Cluster is the id of the mesh, for the log and status. What keeps two meshes
	// apart is that each has its own certificate authority.
	Cluster string `json:"cluster" validate:"required,name"`
	// Credentials names the PEM files of the process; relative paths start at
	// the folder of the settings file.
	Credentials peer.CredentialFiles `json:"credentials"`
	// ClosedNetwork lets processes connect without credentials: each signs its
	// own certificate and nobody proves an identity. It is for networks that only
	// processes of the mesh can reach. Default false.
	ClosedNetwork bool `json:"closed_network"`
	// ControlHosts lists the control hosts to begin with. Naming all of them
	// helps while some are down.
	ControlHosts []ControlHost `json:"control_hosts" validate:"required,min=1,max=42,unique=Host,dive"`
	// LogLevel is debug, info, warn or error; default info. A lower level
	// shows each decision and costs disk and processor time.
	LogLevel slog.Level `json:"log_level"`
	// InvariantsFatal stops the process at a violated invariant; default false.
	// Tests and the demo set it; in production a violation is logged and counted.
	InvariantsFatal bool `json:"invariants_fatal"`
}

// ControlHost is one host that runs the control role.
type ControlHost struct {
	// Host is the identity of the control host.
	Host model.HostID `json:"host" validate:"required,name"`
	// DataCentre is the data centre of the control host. It may be left out on a
	// closed network.
	DataCentre model.DataCentre `json:"data_centre" validate:"omitempty,name"`
	// Peer is the UDP address of its peer connections.
	Peer string `json:"peer" validate:"required,address"`
	// Voter says that the host votes in the first configuration of the control
	// group. Three voters survive the loss of one, five the loss of two; each
	// further one costs a synced write for each change. Default false.
	Voter bool `json:"voter"`
}

// check checks what concerns several fields of both roles.
func (p *Process) check() error {
	if p.ClosedNetwork {
		return nil
	}
	files := []struct{ field, value string }{
		{"ca", p.Credentials.CA}, {"certificate", p.Credentials.Certificate}, {"key", p.Credentials.Key},
	}
	for _, f := range files {
		if f.value == "" {
			return invalid("credentials."+f.field, "is required")
		}
	}
	for i, h := range p.ControlHosts {
		if h.DataCentre == "" {
			return invalid(controlHostField(i, "data_centre"), "is required")
		}
	}
	return nil
}
