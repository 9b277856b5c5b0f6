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
func (n *Node) followDirectory(ctx context.Context) error {
	return n.keepStream(ctx, directory.Method, func(ctx context.Context, st peer.Stream) error {
		return directory.Follow(ctx, n.directory, st, func(hosts []model.HostID) {
			n.log.Info("directory of control hosts changed", "hosts", hosts)
		})
	})
}

// directoryWait bounds the wait for the data centres of the control hosts. A longer
// one delays a start when none of the control hosts in the settings exists any more.
const directoryWait = 600 * time.Millisecond

// busyDirectoryWait is the bound while a control host answers that it is busy. It covers
// the start of a whole mesh, in which a node that does not wait would connect to control
// hosts of other data centres and soon again to those of its own.
const busyDirectoryWait = 5 * time.Second

// awaitDirectory waits until the node knows the data centres of the control hosts, if
// its settings omit them. Otherwise it could fetch data such as a copy of the
// configuration from another data centre.
func (n *Node) awaitDirectory(ctx context.Context) {
	awaitLearned(ctx, n.directory, func() bool {
		return slices.ContainsFunc(n.directory.Hosts(), func(h directory.Host) bool { return n.ep.Busy(h.Peer) })
	})
}

// awaitLearned implements awaitDirectory. busy reports whether a control host has just
// refused a connection for now.
func awaitLearned(ctx context.Context, d *directory.Directory, busy func() bool) {
	stated := slices.ContainsFunc(d.Hosts(), func(h directory.Host) bool { return h.DataCentre != "" })
	if stated {
		return
	}
	deadline := time.Now().Add(busyDirectoryWait)
	timer := time.NewTimer(directoryWait)
	defer timer.Stop()
	for {
		select {
		case <-d.Learned():
			return
		case now := <-timer.C:
			if !busy() || !now.Before(deadline) {
				return
			}
			timer.Reset(directoryWait)
		case <-ctx.Done():
			return
		}
	}
}
