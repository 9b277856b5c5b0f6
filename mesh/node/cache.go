package node

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// loadCache restores the configuration version from the cache file. A damaged file is
// logged and ignored; the node then starts as without one.
func (n *Node) loadCache() error {
	path := n.cfg.CacheFile
	if path == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return eris.Wrapf(ErrStart, "cache_file: %v", err)
	}
	c, err := distribute.ReadCache(path)
	if err == nil && c.Version != nil {
		err = n.acceptor.Restore(c.Version)
	}
	switch {
	case err != nil:
		telemetry.Counter("node.cache-ignored").Inc(1)
		n.log.Warn("cache file ignored", "file", path, "reason", err.Error())
	case c.Version != nil:
		n.cachedPeers = c.Peers
		n.log.Info("cache file loaded", "file", path, "position", c.Version.Position.String(), "peers", len(c.Peers))
	}
	return nil
}

// keepCache writes each accepted version, and the peers to ask after a restart, to the
// cache file until ctx ends.
func (n *Node) keepCache(ctx context.Context) error {
	if n.cfg.CacheFile == "" {
		return nil
	}
	return distribute.KeepCache(ctx, n.cfg.CacheFile, n.acceptor.Store(), n.endpoints, n.restartPeers, n.log)
}

// maxCachedPeers bounds the number of peers in the cache file. Peers in the local data
// centre come first; others help when there are too few of those to determine the
// floor.
const maxCachedPeers = 32

// restartPeers returns the live nodes to ask after a restart. While it knows fewer of
// them than the cache file holds, such as after a start without control hosts, it
// returns those of the cache file.
func (n *Node) restartPeers() []distribute.Parent {
	known := n.endpoints.AliveInDataCentre(n.cfg.DataCentre)
	if len(known) <= maxCachedPeers {
		known = n.endpoints.All()
	}
	peers := selectCachePeers(n.cfg.Host, n.cfg.DataCentre, known)
	if len(peers) < len(n.cachedPeers) {
		return slices.Clone(n.cachedPeers)
	}
	return peers
}

// knownNodes returns the live nodes in the local data centre. While none is known,
// such as after a start without control hosts, it returns those of the cache file.
func (n *Node) knownNodes() []distribute.Parent {
	nodes := distribute.NodesOf(n.cfg.DataCentre, n.endpoints.AliveInDataCentre(n.cfg.DataCentre))
	if len(nodes) > 0 {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(n.cachedPeers), func(p distribute.Parent) bool {
		return p.DataCentre != n.cfg.DataCentre
	})
}

// selectCachePeers returns the live nodes to write to the cache file, those in the
// local data centre first.
func selectCachePeers(self model.HostID, dc model.DataCentre, known []membership.Announcement) []distribute.Parent {
	var own, others []distribute.Parent
	for _, a := range known {
		p := distribute.Parent{Host: a.Host, Role: peer.RoleNode, DataCentre: a.DataCentre, Address: a.PeerAddress}
		switch {
		case !a.Alive() || a.Host == self:
		case a.DataCentre == dc:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	all := append(own, others...)
	return all[:min(len(all), maxCachedPeers)]
}
