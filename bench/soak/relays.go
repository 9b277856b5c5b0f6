package soak

import (
	"context"
	"sync"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/relay"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/settings"
)

// relays holds a TCP relay in front of each node's call listener and a UDP relay
// between the nodes and each control host. The QUIC streams of nodes pass the latter.
type relays struct {
	calls   map[model.HostID]*relay.TCP
	streams map[model.HostID]*relay.UDP
}

// insertRelays edits the settings of all processes so that nodes call each other
// and connect to the control hosts through relays, which run until ctx ends.
func insertRelays(ctx context.Context, f *demo.Fleet, background *sync.WaitGroup) (*relays, error) {
	r := &relays{calls: map[model.HostID]*relay.TCP{}, streams: map[model.HostID]*relay.UDP{}}
	relayAddresses := map[model.HostID]string{}
	for _, c := range f.Controls {
		err := f.EditControl(c.Host, func(s *settings.Control) error {
			s.AutoJoin = true
			u, err := relay.ListenUDP(s.Listen.Peer)
			if err != nil {
				return err
			}
			context.AfterFunc(ctx, u.Close)
			background.Go(u.Run)
			r.streams[c.Host], relayAddresses[c.Host] = u, u.Addr()
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	for _, s := range f.Servers {
		err := f.EditNode(s.Host, func(n *settings.Node) error {
			for i, h := range n.ControlHosts {
				n.ControlHosts[i].Peer = relayAddresses[h.Host]
			}
			t, err := relay.ListenTCP(ctx, "127.0.0.1:0", n.Listen.Call)
			if err != nil {
				return err
			}
			background.Go(func() { t.Run(ctx) })
			r.calls[s.Host], n.Advertise.Call = t, t.Addr()
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return r, nil
}
