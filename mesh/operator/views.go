package operator

import (
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Read says how fresh an answer is.
type Read struct {
	// Host is the control host that answered.
	Host model.HostID `json:"host"`
	// Position is the position of the newest change that the answer includes.
	Position model.Position `json:"position"`
	// Confirmed says that a quorum confirmed the leader after the request
	// began, so that no accepted change is missing.
	Confirmed bool `json:"confirmed"`
}

// MovePhase is the state of a move.
type MovePhase string

// The states of a move.
const (
	// MoveWaiting has not shifted any traffic yet.
	MoveWaiting MovePhase = "waiting"
	// MoveMoving has shifted a part of the traffic.
	MoveMoving MovePhase = "moving"
	// MoveDone has shifted all traffic; the watch may still go on.
	MoveDone MovePhase = "done"
	// MoveReversed was rolled back, since the new version proved bad.
	MoveReversed MovePhase = "reversed"
	// MoveWithdrawn was taken back by an operator.
	MoveWithdrawn MovePhase = "withdrawn"
)

// Final reports whether the move will shift no more traffic by itself. A move
// that is done can still be reversed until its watch ends.
func (p MovePhase) Final() bool {
	return p == MoveDone || p == MoveReversed || p == MoveWithdrawn
}

// MoveView is the status of the newest move of a service.
type MoveView struct {
	Service  model.ServiceName    `json:"service"`
	Note     uint64               `json:"note"`
	Revision uint64               `json:"revision"`
	From     model.ServiceVersion `json:"from,omitempty"`
	To       model.ServiceVersion `json:"to"`
	State    MovePhase            `json:"state"`
	// Sequence grows with each change of this view; a long poll names the one it has seen.
	Sequence uint64 `json:"sequence"`
	// Share is the share of the new version in units of 1/10,000.
	Share model.Share `json:"share"`
	// By is the deadline, Forecast when the move will be complete at this pace.
	By       time.Time `json:"by"`
	Forecast time.Time `json:"forecast,omitempty"`
	// AtRisk says that the forecast is later than the deadline.
	AtRisk     bool      `json:"at_risk"`
	Accepted   time.Time `json:"accepted"`
	Done       time.Time `json:"done,omitempty"`
	Reversed   time.Time `json:"reversed,omitempty"`
	WatchUntil time.Time `json:"watch_until,omitempty"`
	// Reason explains the state; for a reversal it states the evidence.
	Reason string `json:"reason,omitempty"`
	// Route is the route on which the new version proved bad.
	Route model.RouteName `json:"route,omitempty"`
	Kind  string          `json:"kind,omitempty"`
	// Steps lists the steps from the oldest to the newest.
	Steps []StepView `json:"steps,omitempty"`
}

// StepView is one step of a move.
type StepView struct {
	At time.Time `json:"at"`
	// Action is what the step did, such as advance, hold, reverse or complete.
	Action string      `json:"action"`
	Share  model.Share `json:"share"`
	Reason string      `json:"reason,omitempty"`
}

// DataCentreView is the state of a data centre.
type DataCentreView struct {
	Name model.DataCentre `json:"name"`
	// State is in, out or returning.
	State string `json:"state"`
	// Serving and Draining count its backend servers by announced state.
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
}

// ControlHostView is a control host as the answering host sees it.
type ControlHostView struct {
	Host       model.HostID     `json:"host"`
	DataCentre model.DataCentre `json:"data_centre"`
	Peer       string           `json:"peer"`
	// Role is leader, follower or learner in the group of the configuration.
	Role string `json:"role"`
	// LastContact is when the answering host last heard from it.
	LastContact time.Time `json:"last_contact,omitempty"`
	// Behind is the number of log entries that it lacks, as far as known.
	Behind uint64 `json:"behind"`
}

// ControlHostChange asks for a new control host.
type ControlHostChange struct {
	Host       model.HostID     `json:"host"`
	DataCentre model.DataCentre `json:"data_centre"`
	Peer       string           `json:"peer"`
}

// StatusView sums up the mesh.
type StatusView struct {
	Cluster string       `json:"cluster"`
	Leader  model.HostID `json:"leader,omitempty"`
	Term    uint64       `json:"term"`
	// HeadNote is the number of the newest note.
	HeadNote uint64 `json:"head_note"`
	// InForce is the position that every node in contact has reached.
	InForce model.Position `json:"in_force"`
	// Nodes counts the nodes alive, Behind those below the newest position.
	Nodes  int `json:"nodes"`
	Behind int `json:"behind"`
	// Moves counts the moves that are not final, AtRisk those that will miss their deadline.
	Moves  int `json:"moves"`
	AtRisk int `json:"at_risk"`
	// DataCentresOut lists the data centres that take no new work.
	DataCentresOut []model.DataCentre `json:"data_centres_out,omitempty"`
	// Violations counts the violated invariants of the answering process.
	Violations int64 `json:"violations"`
	// Problems lists what needs an operator, in words.
	Problems []string `json:"problems,omitempty"`
}

// NodeView is one node and its backend server.
type NodeView struct {
	Host        model.HostID         `json:"host"`
	DataCentre  model.DataCentre     `json:"data_centre"`
	Service     model.ServiceName    `json:"service"`
	Version     model.ServiceVersion `json:"version"`
	State       string               `json:"state"`
	Incarnation uint64               `json:"incarnation"`
	CallAddress string               `json:"call_address"`
	Slots       int                  `json:"slots"`
}

// ConfigView is the configuration in force, in order of name.
type ConfigView struct {
	Services []note.Service       `json:"services"`
	Routes   []note.Route         `json:"routes"`
	Shares   []note.ServiceShares `json:"shares"`
}

// The answers of the interface.
type (
	// NotesAnswer lists notes from the newest to the oldest.
	NotesAnswer struct {
		Read  Read          `json:"read"`
		Notes []note.Record `json:"notes"`
	}
	// NoteAnswer is one note.
	NoteAnswer struct {
		Read Read        `json:"read"`
		Note note.Record `json:"note"`
	}
	// MovesAnswer lists the newest move of each service.
	MovesAnswer struct {
		Read  Read       `json:"read"`
		Moves []MoveView `json:"moves"`
	}
	// MoveAnswer is the newest move of one service.
	MoveAnswer struct {
		Read Read     `json:"read"`
		Move MoveView `json:"move"`
	}
	// DataCentresAnswer lists the data centres.
	DataCentresAnswer struct {
		Read        Read             `json:"read"`
		DataCentres []DataCentreView `json:"data_centres"`
	}
	// ControlHostsAnswer lists the control hosts.
	ControlHostsAnswer struct {
		Read         Read              `json:"read"`
		ControlHosts []ControlHostView `json:"control_hosts"`
	}
	// AuditAnswer lists audit records from the oldest to the newest.
	AuditAnswer struct {
		Read    Read               `json:"read"`
		Records []note.AuditRecord `json:"records"`
	}
	// StatusAnswer sums up the mesh.
	StatusAnswer struct {
		Read   Read       `json:"read"`
		Status StatusView `json:"status"`
	}
	// NodesAnswer lists nodes.
	NodesAnswer struct {
		Read  Read       `json:"read"`
		Nodes []NodeView `json:"nodes"`
	}
	// ConfigAnswer is the configuration in force.
	ConfigAnswer struct {
		Read   Read       `json:"read"`
		Config ConfigView `json:"config"`
	}
)
