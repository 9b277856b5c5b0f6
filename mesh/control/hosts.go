package control

import (
	"sync"

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

// findHost looks a control host up in the replicated list, among the members of
// the group, among those learned from others and in the settings. After a restart
// the replicated list is empty until a leader is heard, which the members with
// their addresses are needed for.
func (c *Control) findHost(id model.HostID) (HostAddress, bool) {
	if h, ok := c.machine.Host(id); ok {
		return h, true
	}
	if m, ok := c.configLog.Status().Members.Find(id); ok && m.Address != "" {
		return HostAddress{Host: id, Peer: m.Address}, true
	}
	if h, ok := c.learned.find(id); ok {
		return h, true
	}
	for _, h := range c.cfg.ControlHosts {
		if h.Host == id {
			return addressOf(h), true
		}
	}
	return HostAddress{}, false
}

// SetControlHosts takes over the control hosts of changed settings.
func (c *Control) SetControlHosts(hosts []settings.ControlHost) {
	var out []HostAddress
	for _, h := range hosts {
		out = append(out, addressOf(h))
	}
	c.learned.add(out)
	c.log.Info("control hosts of the settings taken over", "hosts", len(hosts))
}

// learnedHosts are the addresses that other control hosts told this one while it
// was joining. One mutex guards them.
type learnedHosts struct {
	mu    sync.Mutex
	hosts map[model.HostID]HostAddress
}

func (l *learnedHosts) find(id model.HostID) (HostAddress, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.hosts[id]
	return h, ok
}

func (l *learnedHosts) add(hosts []HostAddress) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = map[model.HostID]HostAddress{}
	}
	for _, h := range hosts {
		l.hosts[h.Host] = h
	}
}

// otherHosts returns every other control host that is a member of group 0, or
// of the settings while the group has no members yet.
func (c *Control) otherHosts() []HostAddress {
	var out []HostAddress
	members := c.configLog.Status().Members
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
	st, changed := c.configLog.Watch()
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
