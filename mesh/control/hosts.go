package control

import (
	"sync"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// HostAddress is the identity and address of a control host.
type HostAddress struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	DataCentre model.DataCentre `cbor:"2,keyasint"`
	// Peer is the UDP address for peer connections to the host.
	Peer string `cbor:"3,keyasint"`
}

// Identity returns the identity that the host's certificate must carry.
func (h HostAddress) Identity() peer.Identity {
	return peer.Identity{Role: peer.RoleControl, DataCentre: h.DataCentre, Host: h.Host}
}

func addressOf(h settings.ControlHost) HostAddress {
	return HostAddress{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Peer}
}

// findHost looks up a control host in the replicated addresses, the members of
// group 0, the addresses learned from other hosts and the settings, in this
// order. After a restart the replicated addresses are empty until a leader
// contacts this host; until then the other hosts are reached at the addresses
// of the members.
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

// SetControlHosts adds the control hosts of reloaded settings to the known
// addresses.
func (c *Control) SetControlHosts(hosts []settings.ControlHost) {
	var out []HostAddress
	for _, h := range hosts {
		out = append(out, addressOf(h))
	}
	c.learned.add(out)
	c.log.Info("control hosts reloaded from the settings", "hosts", len(hosts))
}

// learnedHosts holds the addresses from join replies and reloaded settings. One
// mutex guards them.
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

// otherHosts returns the other control hosts: the members of group 0, or those
// of the settings while the group has no members.
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

// directory returns the committed members of group 0, which are sent to the
// nodes, and a channel that is closed when they may have changed.
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

// hostsForNodes returns the list of directory in the form that a welcome carries.
func (c *Control) hostsForNodes() ([]distribute.Parent, uint64) {
	l, _ := c.directory()
	var out []distribute.Parent
	for _, h := range l.Hosts {
		out = append(out, distribute.Parent{Host: h.Host, Role: peer.RoleControl, DataCentre: h.DataCentre, Address: h.Peer})
	}
	return out, l.Index
}

// answerEnquiry returns the answer to a node that is about to connect. It is final once
// this host accepts nodes.
func (c *Control) answerEnquiry() ([]byte, bool) {
	l, _ := c.directory()
	accepting := c.startOrder.acceptNodes()
	b, err := directory.EncodeAnswer(directory.Answer{Accepting: accepting, List: l})
	if err != nil {
		c.log.Error("answer to an enquiry could not be encoded", "reason", err.Error())
	}
	return b, accepting
}
