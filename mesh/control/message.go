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

// command is one entry of group 0; exactly one part is set.
type command struct {
	Note    []byte `cbor:"1,keyasint,omitempty"`
	Rollout []byte `cbor:"2,keyasint,omitempty"`
	// Host adds a control host to the list of addresses, or replaces its address.
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

// configSnapshot is the whole state of group 0.
type configSnapshot struct {
	Notes    []byte        `cbor:"1,keyasint"`
	Rollouts []byte        `cbor:"2,keyasint"`
	Hosts    []HostAddress `cbor:"3,keyasint"`
}

// The peer methods between control hosts.
const (
	// methodSubmit hands a command of an operator to the leader.
	methodSubmit = "control.submit"
	// methodStatus gathers what the leader needs to know of another control host.
	methodStatus = "control.status"
	// methodConfirm asks the leader for an index that includes everything
	// accepted before the call.
	methodConfirm = "control.confirm"
	// methodDisk asks a new control host for its disk identities.
	methodDisk = "control.disk"
	// methodMember asks the leader of a group to change its members.
	methodMember = "control.member"
	// methodJoin asks the leader to add a control host to every group.
	methodJoin = "control.join"
)

// submitRequest carries an operator's command, with the operator whom the
// receiving host has authenticated.
type submitRequest struct {
	Note []byte `cbor:"1,keyasint"`
}

// submitReply carries the result, or says that the host does not lead.
type submitReply struct {
	Result    []byte       `cbor:"1,keyasint,omitempty"`
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	// Error is set if the command was not accepted, or with Unknown if it may be.
	Error   string `cbor:"4,keyasint,omitempty"`
	Unknown bool   `cbor:"5,keyasint,omitempty"`
}

// statusRequest asks for the state of another control host.
type statusRequest struct{}

// statusReply is what the leader learns of a control host.
type statusReply struct {
	// Nodes describes the nodes that the host serves, directly or through others.
	Nodes distribute.SubtreeReport `cbor:"1,keyasint"`
	// Evidence is the encoded report of what its nodes saw since the last question.
	Evidence []byte         `cbor:"2,keyasint,omitempty"`
	Loads    []rollout.Load `cbor:"3,keyasint,omitempty"`
}

// confirmRequest asks the leader to confirm its leadership.
type confirmRequest struct{}

type confirmReply struct {
	Index uint64 `cbor:"1,keyasint"`
}

// diskRequest asks for the disk identity of one group.
type diskRequest struct {
	Group uint32 `cbor:"1,keyasint"`
}

type diskReply struct {
	Disk replog.DiskID `cbor:"1,keyasint"`
}

// memberRequest adds or removes a host of one group.
type memberRequest struct {
	Group  uint32        `cbor:"1,keyasint"`
	Host   model.HostID  `cbor:"2,keyasint"`
	Disk   replog.DiskID `cbor:"3,keyasint,omitempty"`
	Remove bool          `cbor:"4,keyasint,omitempty"`
	// Address, if set, is recorded in group 0 in place of a change of members.
	Address *HostAddress `cbor:"5,keyasint,omitempty"`
}

// joinRequest is sent by a control host that is not a member, or hears no leader.
type joinRequest struct {
	Address HostAddress `cbor:"1,keyasint"`
	// Disks are the disk identities of the host by group.
	Disks map[uint32]replog.DiskID `cbor:"2,keyasint"`
}

type memberReply struct {
	Done      bool         `cbor:"1,keyasint,omitempty"`
	NotLeader bool         `cbor:"2,keyasint,omitempty"`
	Leader    model.HostID `cbor:"3,keyasint,omitempty"`
	Error     string       `cbor:"4,keyasint,omitempty"`
	// LeaderAddress is set if the answering host knows where the leader is.
	LeaderAddress *HostAddress `cbor:"5,keyasint,omitempty"`
	// Hosts are the addresses that the answering host knows. Without them a host
	// that joins could not answer a leader that its settings do not name.
	Hosts []HostAddress `cbor:"6,keyasint,omitempty"`
}
