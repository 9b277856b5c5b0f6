package operator

import (
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// Read describes how fresh an answer is.
type Read struct {
	// Host is the control host that answered.
	Host model.HostID `json:"host"`
	// Position is the configuration version of the newest change that the answer
	// includes.
	Position model.Position `json:"position"`
	// Confirmed reports whether a quorum confirmed the leader after the request
	// arrived, so that the answer includes every change accepted before.
	Confirmed bool `json:"confirmed"`
}

// MovePhase is the state of a move.
type MovePhase string

// The states of a move.
const (
	// MoveWaiting means that no traffic has been shifted yet.
	MoveWaiting MovePhase = "waiting"
	// MoveMoving means that a part of the traffic has been shifted.
	MoveMoving MovePhase = "moving"
	// MoveDone means that all traffic has been shifted. The new version may still be
	// under observation, see MoveView.WatchUntil.
	MoveDone MovePhase = "done"
	// MoveReversed means that the move was rolled back, because the new version was
	// found to be bad.
	MoveReversed MovePhase = "reversed"
	// MoveWithdrawn means that an operator withdrew the move.
	MoveWithdrawn MovePhase = "withdrawn"
)

// Final reports whether the move shifts no more traffic to the new version. A
// move that is done can still be reversed until MoveView.WatchUntil.
func (p MovePhase) Final() bool {
	return p == MoveDone || p == MoveReversed || p == MoveWithdrawn
}

// MoveView is the status of the newest move of a service.
type MoveView struct {
	Service model.ServiceName `json:"service"`
	// Note and Revision identify the release note that contains the move.
	Note     uint64 `json:"note"`
	Revision uint64 `json:"revision"`
	// From is the old version of the service and To the new one.
	From  model.ServiceVersion `json:"from,omitempty"`
	To    model.ServiceVersion `json:"to"`
	State MovePhase            `json:"state"`
	// Sequence increases with each change of this view. A long poll passes the
	// sequence that it has seen.
	Sequence uint64 `json:"sequence"`
	// Share is the share of the service's calls that go to the new version, in units
	// of 1/10,000.
	Share model.Share `json:"share"`
	// By is the deadline of the move, and Forecast is when all traffic will have been
	// shifted at the present pace.
	By       time.Time `json:"by"`
	Forecast time.Time `json:"forecast,omitempty"`
	// AtRisk reports whether the move may miss its deadline: the forecast is later
	// than the deadline, or there is still no forecast after half of the time.
	AtRisk bool `json:"at_risk"`
	// Accepted, Done and Reversed are when the move was accepted, completed and
	// rolled back. The new version is observed until WatchUntil, and a move may be
	// rolled back until then.
	Accepted   time.Time `json:"accepted"`
	Done       time.Time `json:"done,omitempty"`
	Reversed   time.Time `json:"reversed,omitempty"`
	WatchUntil time.Time `json:"watch_until,omitempty"`
	// Reason explains the state. For a reversal it describes the evidence against
	// the new version.
	Reason string `json:"reason,omitempty"`
	// Route and Kind are the route and the kind of its requests for which the new
	// version was found to be bad.
	Route model.RouteName `json:"route,omitempty"`
	Kind  string          `json:"kind,omitempty"`
	// Steps lists the steps of the move, oldest first.
	Steps []StepView `json:"steps,omitempty"`
}

// StepView is one step of a move.
type StepView struct {
	At time.Time `json:"at"`
	// Action is the kind of step, such as advance, hold, reverse or complete.
	Action string      `json:"action"`
	Share  model.Share `json:"share"`
	Reason string      `json:"reason,omitempty"`
}

// DataCentreView is the state of a data centre.
type DataCentreView struct {
	Name model.DataCentre `json:"name"`
	// State is "in", "out" or "returning".
	State string `json:"state"`
	// Serving and Draining are the numbers of backend servers that announce these
	// states.
	Serving  int `json:"serving"`
	Draining int `json:"draining"`
}

// ControlHostView is the state of a control host, as known to the host that
// answers the request.
type ControlHostView struct {
	Host       model.HostID     `json:"host"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Peer is the UDP address of its peer connections.
	Peer string `json:"peer"`
	// Role is "leader", "follower" or "learner" in the replication group that holds
	// the configuration.
	Role string `json:"role"`
	// LastContact is when the answering host last received a message from it; zero
	// if the answering host is not the leader.
	LastContact time.Time `json:"last_contact,omitempty"`
	// Behind is the number of log entries that the control host lacks, as far as
	// the answering host knows.
	Behind uint64 `json:"behind"`
}

// ControlHostChange names a control host to add or remove. Only its host is set
// for a removal.
type ControlHostChange struct {
	Host       model.HostID     `json:"host"`
	DataCentre model.DataCentre `json:"data_centre"`
	Peer       string           `json:"peer"`
}

// StatusView is a summary of the mesh.
type StatusView struct {
	Cluster string `json:"cluster"`
	// Leader is the leader of the control group, empty if none is known, and Term is
	// its election term.
	Leader model.HostID `json:"leader,omitempty"`
	Term   uint64       `json:"term"`
	// HeadNote is the number of the newest note.
	HeadNote uint64 `json:"head_note"`
	// InForce is the configuration version that every connected node has reached.
	InForce model.Position `json:"in_force"`
	// Nodes is the number of live nodes, and Behind the number of those that have
	// not reached the newest configuration version.
	Nodes  int `json:"nodes"`
	Behind int `json:"behind"`
	// Moves is the number of moves that are not final, and AtRisk the number of moves
	// that may miss their deadline.
	Moves  int `json:"moves"`
	AtRisk int `json:"at_risk"`
	// DataCentresOut lists the data centres that are out of service and get no new
	// calls.
	DataCentresOut []model.DataCentre `json:"data_centres_out,omitempty"`
	// Violations is the number of invariant violations in the answering process.
	Violations int64 `json:"violations"`
	// Problems lists conditions that need an operator, as text for people.
	Problems []string `json:"problems,omitempty"`
}

// NodeView is the announced state of a node and its backend server.
type NodeView struct {
	Host       model.HostID         `json:"host"`
	DataCentre model.DataCentre     `json:"data_centre"`
	Service    model.ServiceName    `json:"service"`
	Version    model.ServiceVersion `json:"version"`
	State      string               `json:"state"`
	// Incarnation identifies one run of the node and its backend server; it increases
	// with each restart of either.
	Incarnation uint64 `json:"incarnation"`
	// CallAddress is the TCP address for calls of other nodes.
	CallAddress string `json:"call_address"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`
}

// ConfigView is the configuration in force; each list is sorted by name.
type ConfigView struct {
	Services []note.Service       `json:"services"`
	Routes   []note.Route         `json:"routes"`
	Shares   []note.ServiceShares `json:"shares"`
}

// The answers of the interface.
type (
	// NotesAnswer lists notes, newest first.
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
	// AuditAnswer lists audit records, oldest first.
	AuditAnswer struct {
		Read    Read               `json:"read"`
		Records []note.AuditRecord `json:"records"`
	}
	// StatusAnswer is a summary of the mesh.
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
