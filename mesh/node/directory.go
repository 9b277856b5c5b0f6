package node

import (
	"context"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// hostsFromSettings returns the control hosts of the settings in the form that the
// directory takes.
func hostsFromSettings(hosts []settings.ControlHost) []directory.Host {
	var out []directory.Host
	for _, h := range hosts {
		out = append(out, directory.Host{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Peer})
	}
	return out
}

// SetControlHosts applies the control hosts of changed settings. The node uses them
// when it reaches none of the control hosts that it has learned from the directory.
func (n *Node) SetControlHosts(hosts []settings.ControlHost) {
	n.directory.SetSettings(hostsFromSettings(hosts))
	n.log.Info("node applied control hosts from changed settings", "hosts", len(hosts))
}

// followDirectory keeps the directory of control hosts up to date.
// The first list comes with the welcome of a control host.
func (n *Node) followDirectory(ctx context.Context) error {
	n.awaitRoutes(ctx)
	return n.keepStream(ctx, directory.Method, func(ctx context.Context, st peer.Stream) error {
		return directory.Follow(ctx, n.directory, st, func([]model.HostID) { n.logDirectory() })
	})
}

func (n *Node) logDirectory() {
	var names []model.HostID
	for _, h := range n.directory.Hosts() {
		names = append(names, h.Host)
	}
	n.log.Info("directory of control hosts changed", "hosts", names)
}
