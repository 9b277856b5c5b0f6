package control

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/replog"
	"balsamtrail.org/mesh/rollout"
)

// command is the data of one entry of group 0; exactly one field is set.
type command struct {
	Note    []byte `cbor:"1,keyasint,omitempty"`
	Rollout []byte `cbor:"2,keyasint,omitempty"`
	// Host adds a control host to the replicated addresses, or replaces its
	// address.
	Host *HostAddress `cbor:"3,keyasint,omitempty"`
}

func encodeNote(c note.Command) ([]byte, error) {
	b, err := note.EncodeCommand(c)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "note command: %v", err)
	}
	return encodeCommand(command{Note: b})
}

func encodeRollout(c rollout.Command) ([]byte, error) {
	b, err := rollout.EncodeCommand(c)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "rollout command: %v", err)
	}
	return encodeCommand(command{Rollout: b})
}

func encodeCommand(c command) ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "command: %v", err)
	}
	return b, nil
}

// configSnapshot is a snapshot of the state of group 0.
type configSnapshot struct {
	Notes    []byte        `cbor:"1,keyasint"`
	Rollouts []byte        `cbor:"2,keyasint"`
	Hosts    []HostAddress `cbor:"3,keyasint"`
}

// Peer methods between control hosts.
const (
	// methodSubmit forwards a command of an operator to the leader.
	methodSubmit = "control.submit"
	// methodStatus is called by the leader to get the status of another control
	// host.
	methodStatus = "control.status"
	// methodConfirm asks the leader for an index that includes everything
	// accepted before the call.
	methodConfirm = "control.confirm"
	// methodDisk asks a new control host for its disk identity in a group.
	methodDisk = "control.disk"
	// methodMember asks the leader of a group to change its members.
	methodMember = "control.member"
	// methodJoin asks the leader to add a control host to every group.
	methodJoin = "control.join"
)

// submitRequest carries a command of an operator, including the name of the
// operator whom the forwarding host has authenticated.
type submitRequest struct {
	Note []byte `cbor:"1,keyasint"`
}

// submitReply carries the result of the command, or tells that the host does
// not lead.
type submitReply struct {
	Result    []byte       `cbor:"1,keyasint,omitempty"`
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	// Error is set if the command was not accepted, or, together with Unknown,
	// if it may have been accepted.
	Error   string `cbor:"4,keyasint,omitempty"`
	Unknown bool   `cbor:"5,keyasint,omitempty"`
}

// statusRequest asks another control host for its status.
type statusRequest struct{}

// statusReply is the status of a control host.
type statusReply struct {
	// Nodes sums up the nodes that the host serves, directly or through other
	// nodes.
	Nodes distribute.SubtreeReport `cbor:"1,keyasint"`
	// Evidence is the encoded rollout.Report of its nodes since the last status
	// request.
	Evidence []byte         `cbor:"2,keyasint,omitempty"`
	Loads    []rollout.Load `cbor:"3,keyasint,omitempty"`
}

// confirmRequest asks the leader to confirm its leadership.
type confirmRequest struct{}

type confirmReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// diskRequest asks for the disk identity of the host in one group.
type diskRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

type diskReply struct {
	Disk replog.DiskID `cbor:"1,keyasint"`
}

// memberRequest adds a host to one group or removes it.
type memberRequest struct {
	Group  uint32        `cbor:"1,keyasint"`
	Host   model.HostID  `cbor:"2,keyasint"`
	Disk   replog.DiskID `cbor:"3,keyasint,omitempty"`
	Remove bool          `cbor:"4,keyasint,omitempty"`
	// Address, if set, is recorded in group 0 and the members are not changed.
	Address *HostAddress `cbor:"5,keyasint,omitempty"`
}

// joinRequest is sent by a control host that is not a member, knows no leader
// or has a new address.
type joinRequest struct {
	Address HostAddress `cbor:"1,keyasint"`
	// Disks holds the disk identity of the host in each group.
	Disks map[uint32]replog.DiskID `cbor:"2,keyasint"`
	// Founder holds the groups whose founders the host has stored on its disk.
	Founder map[uint32]bool `cbor:"3,keyasint,omitempty"`
}

// memberReply is the reply to a memberRequest or a joinRequest.
type memberReply struct {
	Done      bool         `cbor:"1,keyasint,omitempty"`
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	Error     string       `cbor:"4,keyasint,omitempty"`
	// LeaderAddress is set if the replying host knows the address of the
	// leader.
	LeaderAddress *HostAddress `cbor:"5,keyasint,omitempty"`
	// Hosts are the control hosts that the replying host knows. A joining host
	// needs them to reply to a leader that its own settings do not list.
	Hosts []HostAddress `cbor:"6,keyasint,omitempty"`
}
