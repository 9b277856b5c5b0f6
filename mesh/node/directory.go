package node

import (
	"context"
	"slices"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// beginWith returns the control hosts of the settings.
func hostsFromSettings(hosts []settings.ControlHost) []directory.Host {
	var out []directory.Host
	for _, h := range hosts {
		out = append(out, directory.Host{Host: h.Host, DataCentre: h.DataCentre, Peer: h.Peer})
	}
	return out
}

// SetControlHosts takes over the control hosts of changed settings. The node goes
// to them when it reaches none of those it has learned.
func (n *Node) SetControlHosts(hosts []settings.ControlHost) {
	n.directory.SetSettings(hostsFromSettings(hosts))
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

// directoryWait bounds the wait for the data centres of the control hosts. A longer
// one delays a start at which the control hosts of the settings are gone.
const directoryWait = 600 * time.Millisecond

// awaitDirectory waits until the node knows where the control hosts are, if its
// settings do not say: what it then takes from one of its own data centre, such as
// a copy of the configuration, need not cross data centres.
func (n *Node) awaitDirectory(ctx context.Context) {
	stated := slices.ContainsFunc(n.directory.Hosts(), func(h directory.Host) bool { return h.DataCentre != "" })
	if stated {
		return
	}
	timer := time.NewTimer(directoryWait)
	defer timer.Stop()
	select {
	case <-n.directory.Learned():
	case <-timer.C:
	case <-ctx.Done():
	}
}
