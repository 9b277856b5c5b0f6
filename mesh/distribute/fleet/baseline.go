package fleet

import (
	"context"
	"fmt"
	"time"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
)

// Peer methods of the baselines.
const (
	methodPoll = "fleet.poll"
	methodPush = "fleet.push"
)

// pollInterval is the interval at which a node of the polling baseline asks the
// source for a new version.
const pollInterval = time.Second

// Size of the measured configuration.
const (
	// services is the number of services.
	services = 200
	// servedServices is the number of services that have endpoints. The routes
	// of the others are held.
	servedServices = 20
	// routesPerService is the number of routes to each service.
	routesPerService = 2
)

// fullState is what the baselines send each time: the whole configuration and
// all endpoints.
type fullState struct {
	Position  model.Position            `cbor:"1,keyasint"`
	Config    note.Config               `cbor:"2,keyasint"`
	Endpoints []membership.Announcement `cbor:"3,keyasint"`
}

func (f *Fleet) currentState() fullState {
	v := f.source.store.Current()
	return fullState{Position: v.Position, Config: v.Config, Endpoints: f.source.eps.All()}
}

func (f *Fleet) servePoll(st peer.Stream) error {
	for {
		var have model.Position
		if err := st.Recv(&have); err != nil {
			return err
		}
		var reply fullState
		if have.Less(f.source.store.Position()) {
			reply = f.currentState()
		}
		if err := st.Send(reply); err != nil {
			return err
		}
	}
}

func (f *Fleet) servePush(ctx context.Context, st peer.Stream) error {
	var sent model.Position
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.source.store.Changed(sent):
		}
		s := f.currentState()
		sent = s.Position
		if err := st.Send(s); err != nil {
			return err
		}
	}
}

// runBaseline keeps one stream to the source open and receives full states on
// it.
func (f *Fleet) runBaseline(ctx context.Context, ep *peer.Endpoint, n *Node) {
	method := methodPush
	if f.mode == ModePoll {
		method = methodPoll
	}
	for sleep(ctx, 0) {
		st, err := ep.Open(ctx, f.root.Address, f.root.Identity(), method)
		for err == nil {
			err = f.receiveState(ctx, st, n)
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// receiveState receives one state. A polling node requests it first.
func (f *Fleet) receiveState(ctx context.Context, st peer.Stream, n *Node) error {
	if f.mode == ModePoll {
		if err := st.Send(n.store.Position()); err != nil {
			return err
		}
	}
	var s fullState
	if err := st.Recv(&s); err != nil {
		return err
	}
	if !s.Position.IsZero() {
		n.eps.MergeAll(s.Endpoints)
		if err := n.store.Publish(s.Position, s.Config.Clone()); err != nil {
			return err
		}
	}
	if f.mode == ModePoll {
		sleep(ctx, pollInterval)
	}
	return nil
}

func serviceName(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("s%d", i)) }

// Config returns the measured configuration. Configurations of different
// changes differ in one route.
func Config(change int) note.Config {
	c := note.NewConfig()
	for s := range services {
		name := serviceName(s)
		c.Services[name] = note.Service{Name: name, Slots: 20, Connections: 100, QueueLimit: 10, QueueTimeout: time.Second}
		for r := range routesPerService {
			route := note.Route{Name: model.RouteName(fmt.Sprintf("r%d-%d", s, r)), PathPrefix: fmt.Sprintf("/r%d-%d", s, r),
				Methods: []string{"GET"}, Service: name, Kind: model.KindLookup, Timeout: time.Second}
			if s == 0 && r == 0 {
				route.PathPrefix = fmt.Sprintf("/changed-%d", change)
			}
			c.Routes[route.Name] = route
		}
	}
	return c
}
