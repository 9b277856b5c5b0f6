package node

import (
	"context"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// beginWith returns the control hosts of the settings.
func beginWith(hosts []settings.ControlHost) []directory.Host {
	var out []directory.Host
	for _, h := range hosts {
		out = append(out, directory.Host{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Peer})
	}
	return out
}

// SetControlHosts takes over the control hosts of changed settings. The node goes
// to them when it reaches none of those it has learned.
func (n *Node) SetControlHosts(hosts []settings.ControlHost) {
	n.directory.SetSettings(beginWith(hosts))
	n.log.Info("control hosts of the settings taken over", "hosts", len(hosts))
}

// followDirectory learns of control hosts that were added or removed.
func (n *Node) followDirectory(ctx context.Context) error {
	return n.keepStream(ctx, directory.Method, func(ctx context.Context, st peer.Stream) error {
		return directory.Follow(ctx, n.directory, st, func(hosts []model.HostID) {
			n.log.Info("control hosts changed", "hosts", hosts)
		})
	})
}
