package control

import (
	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// HostAddress is a control host and how to reach it.
type HostAddress struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	DataCentre model.DataCentre `cbor:"2,keyasint"`
	// Peer is the UDP address of its peer connections.
	Peer string `cbor:"3,keyasint"`
}

// Identity returns the identity that the host's certificate must carry.
func (h HostAddress) Identity() peer.Identity {
	return peer.Identity{Role: peer.RoleControl, DataCentre: h.DataCentre, Host: h.Host}
}

func addressOf(h settings.ControlHost) HostAddress {
	return HostAddress{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Peer}
}

// findHost looks a control host up in the replicated list, then in the settings.
func (c *Control) findHost(id model.HostID) (HostAddress, bool) {
	if h, ok := c.machine.Host(id); ok {
		return h, true
	}
	for _, h := range c.cfg.ControlHosts {
		if h.Host == id {
			return addressOf(h), true
		}
	}
	return HostAddress{}, false
}

// otherHosts returns every other control host that is a member of group 0, or
// of the settings while the group has no members yet.
func (c *Control) otherHosts() []HostAddress {
	var out []HostAddress
	members := c.config.Status().Members
	for _, m := range members {
		if h, ok := c.findHost(m.Host); ok && m.Host != c.cfg.Host {
			out = append(out, h)
		}
	}
	if len(members) > 0 {
		return out
	}
	for _, h := range c.cfg.ControlHosts {
		if h.Host != c.cfg.Host {
			out = append(out, addressOf(h))
		}
	}
	return out
}

// directory lists the accepted members of group 0 for the nodes.
func (c *Control) directory() (directory.List, <-chan struct{}) {
	st, changed := c.config.Watch()
	if !st.MembersCommitted {
		return directory.List{}, changed
	}
	l := directory.List{Index: st.Commit}
	for _, m := range st.Members {
		if h, ok := c.findHost(m.Host); ok {
			l.Hosts = append(l.Hosts, directory.Host(h))
		}
	}
	return l, changed
}
