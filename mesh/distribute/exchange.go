package distribute

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Intervals and limits of the exchange between peers.
const (
	// ExchangeInterval is the default mean time between two exchanges of a
	// node.
	ExchangeInterval = 2 * time.Second
	// exchangeTimeout is how long each side of an exchange waits for a frame.
	exchangeTimeout = time.Second
	// freshPartners is the number of partners that a node exchanges with while
	// its contact with the source is recent. Each partner costs an open
	// connection, and a new connection costs a handshake of several kilobytes.
	freshPartners = 1
	// stalePartners is the number of partners while the source age is above
	// staleLimit.
	stalePartners = 3
	// partnerPeriod is how long a node keeps the same partners.
	partnerPeriod = 10 * time.Minute
)

// ServeExchange answers one comparison of a peer and sends what the peer lacks.
func ServeExchange(ctx context.Context, s *Store, eps *membership.Table, st peer.Stream, o ServeOptions) error {
	defer context.AfterFunc(ctx, st.Abort)()
	var request compareFrame
	if err := recvWithin(st, &request, exchangeTimeout); err != nil {
		return err
	}
	d := eps.Digest()
	reply := compareFrame{Position: s.Position(), Endpoints: d.Sum()}
	if own, ok := eps.Get(st.Peer().Host); ok && request.Confirm {
		reply.Own = &own
	}
	if request.Confirm && o.Confirm != nil {
		if pos, err := o.Confirm(ctx, time.Now()); err == nil {
			reply.Position, reply.Confirmed = pos, true
		}
	}
	if err := send(st, reply); err != nil {
		return err
	}
	if request.Confirm {
		return st.Close()
	}
	var f upFrame
	if err := recvWithin(st, &f, exchangeTimeout); err != nil {
		return nil // the peer lacks nothing and ended the stream
	}
	if err := f.check(); err != nil {
		return err
	}
	if f.Hello == nil {
		return eris.Wrap(ErrBadFrame, "no hello after the comparison")
	}
	w := newChildWriter(st, s, eps, o)
	w.applyHello(*f.Hello)
	if err := w.push(); err != nil {
		return err
	}
	if err := send(st, downFrame{Done: true}); err != nil {
		return err
	}
	return st.Close()
}

// Comparison is the result of one exchange.
type Comparison struct {
	Peer     peer.Identity
	Position model.Position
	// EndpointsDiffer says that the endpoint tables differed, possibly only by
	// changes in flight.
	EndpointsDiffer bool
	// Pulled says that this node requested a version or endpoints from the
	// peer.
	Pulled bool
}

// Exchange compares this node's state with that of a peer and pulls a newer
// version. If withEndpoints is set, it also pulls the endpoints that differ.
func Exchange(ctx context.Context, a *Acceptor, eps *membership.Table, st peer.Stream, withEndpoints bool, log *slog.Logger) (Comparison, error) {
	defer context.AfterFunc(ctx, st.Abort)()
	defer st.Abort()
	d := eps.Digest()
	own := compareFrame{Position: a.Store().Position(), Endpoints: d.Sum()}
	reply, err := compare(st, own)
	if err != nil {
		return Comparison{}, err
	}
	c := Comparison{Peer: st.Peer(), Position: reply.Position, EndpointsDiffer: reply.Endpoints != own.Endpoints}
	pullConfig := own.Position.Less(reply.Position)
	pullEndpoints := withEndpoints && c.EndpointsDiffer
	if !pullConfig && !pullEndpoints {
		_ = st.Close()
		return c, nil
	}
	c.Pulled = true
	r := &childReader{a: a, eps: eps, st: st, requests: make(chan helloFrame, 1),
		o: FollowOptions{Freshness: &Freshness{}, Progress: &Progress{}, Log: log}}
	hello := r.hello(false)
	hello.SkipEndpoints = !pullEndpoints
	if err := send(st, upFrame{Hello: hello}); err != nil {
		return c, err
	}
	for {
		var f downFrame
		if err := recvWithin(st, &f, exchangeTimeout); err != nil {
			return c, err
		}
		if err := f.check(); err != nil {
			return c, err
		}
		if f.Done {
			return c, nil
		}
		if err := r.handle(time.Now(), f); err != nil {
			return c, err
		}
	}
}

func compare(st peer.Stream, own compareFrame) (compareFrame, error) {
	var reply compareFrame
	if err := send(st, own); err != nil {
		return reply, err
	}
	return reply, recvWithin(st, &reply, exchangeTimeout)
}

// RepairOptions are the options of Repair.
type RepairOptions struct {
	Self      model.HostID
	Freshness *Freshness
	// Interval is the mean time between two exchanges; 0 stands for
	// ExchangeInterval. A shorter interval repairs lost updates sooner and
	// costs bandwidth.
	Interval time.Duration
	// Nodes returns the live nodes to choose partners from.
	Nodes func() []Parent
	// Open opens the exchange stream to a peer.
	Open func(context.Context, Parent) (peer.Stream, error)
	Log  *slog.Logger
}

// Repair exchanges with a random partner, at a mean interval of o.Interval,
// until ctx ends.
func Repair(ctx context.Context, a *Acceptor, eps *membership.Table, o RepairOptions) error {
	interval := cmp.Or(o.Interval, ExchangeInterval)
	differed := false
	for sleep(ctx, interval/2+rand.N(interval)) {
		now, n := time.Now(), freshPartners
		if o.Freshness.Age(now) > staleLimit {
			n = stalePartners
		}
		partners := Partners(o.Self, o.Nodes(), now, n)
		if len(partners) == 0 {
			continue
		}
		p := partners[rand.IntN(len(partners))]
		exchangeCtx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
		st, err := o.Open(exchangeCtx, p)
		if err == nil {
			var c Comparison
			// Tables differ while changes are in flight. Only a difference that
			// is still there at the next exchange is worth the transfer of a
			// digest bucket.
			c, err = Exchange(exchangeCtx, a, eps, st, differed, o.Log)
			differed = c.EndpointsDiffer && (!differed || !c.Pulled)
			if c.Pulled {
				o.Log.Info("repaired from peer", "peer", p.Host, "position", c.Position.String())
			}
		}
		cancel()
		if err != nil {
			o.Log.Debug("exchange failed", "peer", p.Host, "reason", err.Error())
		}
	}
	return ctx.Err()
}

// Partners returns the n peers that a node exchanges with. They change every
// partnerPeriod.
func Partners(self model.HostID, nodes []Parent, now time.Time, n int) []Parent {
	others := make([]Parent, 0, len(nodes))
	for _, n := range nodes {
		if n.Host != self {
			others = append(others, n)
		}
	}
	period := now.Truncate(partnerPeriod).String()
	return lowestWeight(self+model.HostID(period), others, n)
}
