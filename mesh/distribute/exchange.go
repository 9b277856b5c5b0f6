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

// The times and bounds of the exchange between peers.
const (
	// ExchangeInterval is how often a node compares with a peer by default.
	ExchangeInterval = 2 * time.Second
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// freshPartners and stalePartners are the peers in use at a time, while the
	// source is heard and while it is not. Each one costs a kept connection, and
	// a new connection costs a handshake of several kilobytes.
	freshPartners = 1
	stalePartners = 3
	// partnerPeriod is how long the partners stay the same.
	partnerPeriod = 10 * time.Minute
)

// ServeExchange answers one comparison and sends what the peer lacks.
func ServeExchange(ctx context.Context, s *Store, eps *membership.Table, st peer.Stream, o ServeOptions) error {
	defer context.AfterFunc(ctx, st.Abort)()
	var request compareFrame
	if err := recvWithin(st, &request, exchangeTimeout); err != nil {
		return err
	}
	d := eps.Digest()
	reply := compareFrame{Position: s.Position(), Endpoints: d.Sum()}
	if request.Confirm && o.Confirm != nil {
		if pos, err := o.Confirm(ctx); err == nil {
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
	// EndpointsDiffer says that the tables differed, be it by changes in flight.
	EndpointsDiffer bool
	// Pulled says that the peer had something to send.
	Pulled bool
}

// Exchange compares with a peer and takes from it the newer versions, and the
// differing endpoints if withEndpoints is set.
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

// RepairOptions are the settings of Repair.
type RepairOptions struct {
	Self      model.HostID
	Freshness *Freshness
	// Interval is the mean time between two exchanges; 0 stands for
	// ExchangeInterval. A shorter one repairs lost updates sooner and costs bytes.
	Interval time.Duration
	// Nodes returns the live nodes to choose from.
	Nodes func() []Parent
	// Open opens the exchange stream to a peer.
	Open func(context.Context, Parent) (peer.Stream, error)
	Log  *slog.Logger
}

// Repair exchanges with a random partner every o.Interval until ctx ends.
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
			// Tables differ while changes are in flight; only a difference that
			// stays is worth the transfer of a bucket.
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

// Partners returns the n peers that a node compares with; they change every
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
