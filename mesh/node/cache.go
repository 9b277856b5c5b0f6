package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

const (
	// cachedPeers bounds the peers in the cache file. The own data centre comes
	// first; peers elsewhere help when that one has fewer than a floor needs.
	cachedPeers = 32
	// firstCacheGap and cacheGap bound how often the file is written.
	firstCacheGap = time.Second
	cacheGap      = 10 * time.Second
	maxCacheBytes = 64 << 10
)

// cachedPeer is a node that a restarted node asks while the source is out. It
// is kept apart from the endpoint table, since it may have left meanwhile.
type cachedPeer struct {
	Host       model.HostID     `cbor:"1,keyasint"`
	DataCentre model.DataCentre `cbor:"2,keyasint"`
	Address    string           `cbor:"3,keyasint"`
}

func (p cachedPeer) parent() distribute.Parent {
	return distribute.Parent{Host: p.Host, Role: peer.RoleNode, DataCentre: p.DataCentre, Address: p.Address}
}

// choosePeers returns the live nodes to keep, those of the own data centre first.
func choosePeers(self model.HostID, dc model.DataCentre, known []membership.Announcement) []cachedPeer {
	var own, others []cachedPeer
	for _, a := range known {
		p := cachedPeer{Host: a.Host, DataCentre: a.DataCentre, Address: a.PeerAddress}
		switch {
		case !a.Alive() || a.Host == self:
		case a.DataCentre == dc:
			own = append(own, p)
		default:
			others = append(others, p)
		}
	}
	all := append(own, others...)
	return all[:min(len(all), cachedPeers)]
}

// keepPeers writes the known peers to the cache file whenever they change.
func (n *Node) keepPeers(ctx context.Context) error {
	if n.cfg.CacheFile == "" {
		return nil
	}
	var kept []cachedPeer
	gap := firstCacheGap
	for ctx.Err() == nil {
		seq := n.endpoints.Sequence()
		peers := choosePeers(n.cfg.Host, n.cfg.DataCentre, n.endpoints.All())
		if len(peers) > 0 && !slices.Equal(peers, kept) {
			if err := writePeers(n.cfg.CacheFile, peers); err != nil {
				n.log.Warn("peers not kept", "file", n.cfg.CacheFile, "reason", err.Error())
			}
			kept, gap = peers, cacheGap
		}
		select {
		case <-n.endpoints.Changed(seq):
			wait(ctx, gap)
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func writePeers(file string, peers []cachedPeer) error {
	b, err := cbor.Marshal(peers)
	if err != nil {
		return eris.Wrap(err, "peers")
	}
	return renameio.WriteFile(file, b, 0o600)
}

// readPeers returns the peers of a cache file; none if there is no file.
func readPeers(file string) ([]cachedPeer, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "cache file")
	}
	var peers []cachedPeer
	if len(b) > maxCacheBytes {
		return nil, eris.Errorf("cache file has %d bytes", len(b))
	}
	if err := cbor.Unmarshal(b, &peers); err != nil {
		return nil, eris.Wrap(err, "cache file")
	}
	return peers[:min(len(peers), cachedPeers)], nil
}

// floorSample returns peers to ask for a floor: known ones, or those of the
// cache file while too few are known.
func (n *Node) floorSample(cached []cachedPeer) []distribute.Parent {
	peers := choosePeers(n.cfg.Host, n.cfg.DataCentre, n.endpoints.All())
	if len(peers) < len(cached) {
		peers = cached
	}
	var out []distribute.Parent
	for _, p := range peers {
		out = append(out, p.parent())
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), floorPeers)]
}

// pullFrom takes versions and endpoints from the peer with the greatest position.
func (n *Node) pullFrom(ctx context.Context, answers []distribute.FloorAnswer, peers []distribute.Parent) {
	slices.SortFunc(answers, func(a, b distribute.FloorAnswer) int { return b.Position.Compare(a.Position) })
	for _, a := range answers {
		i := slices.IndexFunc(peers, func(p distribute.Parent) bool { return p.Host == a.From.Host })
		if i < 0 {
			continue
		}
		err := n.exchangeWith(ctx, peers[i])
		if err == nil {
			return
		}
		n.log.Info("nothing taken from peer", "peer", string(a.From.Host), "reason", err.Error())
	}
}

func (n *Node) exchangeWith(ctx context.Context, p distribute.Parent) error {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	st, err := n.open(ctx, p, distribute.MethodExchange)
	if err != nil {
		return err
	}
	_, err = distribute.Exchange(ctx, n.acceptor, n.endpoints, st, true, n.log)
	return err
}
