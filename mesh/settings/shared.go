// Package settings reads and validates the JSON settings files of control hosts
// and nodes. Parsing is strict: an unknown key, a missing or wrong unit or a value
// out of range is an error that names the path of the field.
package settings

import (
	"log/slog"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Process holds the settings that control hosts and nodes have in common.
type Process struct {
	// Host is the id of this process; required. It must be unique for the lifetime of
	// the mesh and equal the host in the certificate.
	Host model.HostID `json:"host" validate:"required,name"`
	// DataCentre is the data centre of the host; required.
	DataCentre model.DataCentre `json:"data_centre" validate:"required,name"`
	// Region is a group of data centres that can lose the connection to all others
	// together; required. It is written to each log line and to a node's status, so
	// that operators can tell the loss of a region from the loss of a single data
	// centre. It has no effect on routing.
	Region string `json:"region" validate:"required,name"`
	// Cluster is the id of the mesh in logs and status; required. It does not isolate
	// two meshes from each other: that takes a certificate authority for each mesh.
	Cluster string `json:"cluster" validate:"required,name"`
	// Credentials names the PEM files of the process; required unless ClosedNetwork is
	// set. Relative paths are relative to the folder of the settings file.
	Credentials peer.CredentialFiles `json:"credentials"`
	// ClosedNetwork lets processes connect without credentials: each process uses a
	// self-signed certificate, and identities are not verified. It is for networks
	// that only processes of the mesh can reach. Default false.
	ClosedNetwork bool `json:"closed_network"`
	// ControlHosts lists the control hosts that the process knows at its start;
	// required. List all of them, so that the process can start while some are down.
	ControlHosts []ControlHost `json:"control_hosts" validate:"required,min=1,max=42,unique=Host,dive"`
	// LogLevel is debug, info, warn or error; default info. The level debug logs each
	// decision and uses more disk space and processor time.
	LogLevel slog.Level `json:"log_level"`
	// InvariantsFatal makes the process panic when an invariant is violated; default
	// false. Tests and the demo set it. Otherwise a violation is logged and counted.
	InvariantsFatal bool `json:"invariants_fatal"`
}

// ControlHost is a control host as other processes know it.
type ControlHost struct {
	// Host is the id of the control host; required.
	Host model.HostID `json:"host" validate:"required,name"`
	// DataCentre is the data centre of the control host; required unless ClosedNetwork
	// is set.
	DataCentre model.DataCentre `json:"data_centre" validate:"omitempty,name"`
	// Peer is the UDP address for connections to the control host; required.
	Peer string `json:"peer" validate:"required,address"`
	// Voter makes the host a voter when the control group is formed; default false.
	// Three voters tolerate the loss of one, five the loss of two; each further voter
	// adds one synced disk write to each change.
	Voter bool `json:"voter"`
}

// check validates the rules that involve several fields and apply to control hosts
// and nodes.
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
