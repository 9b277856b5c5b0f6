package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// replyTimeout bounds the wait for a reply, so that a node whose renewal gets none
// has half of its lease left to renew with another control host.
const replyTimeout = LeaseDuration / 2

// AnnounceOptions are the options of Announce; zero values stand for the defaults.
type AnnounceOptions struct {
	// RenewInterval is the interval of renewals; default RenewInterval. A shorter interval
	// tolerates more lost renewals, but sends more bytes.
	RenewInterval time.Duration
	// LeaseDuration is the duration of the leases that control hosts grant; default
	// LeaseDuration. The wait for a reply is limited to half of it, so that time
	// remains to renew with another control host.
	LeaseDuration time.Duration
	// OnReply, if set, is called with each reply.
	OnReply func(RenewalReply)
}

func (o AnnounceOptions) withDefaults() AnnounceOptions {
	if o.RenewInterval == 0 {
		o.RenewInterval = RenewInterval
	}
	if o.LeaseDuration == 0 {
		o.LeaseDuration = LeaseDuration
	}
	return o
}

// LeaseServer is the state that all announce streams of a control host share.
type LeaseServer struct {
	// Table receives the accepted announcements.
	Table *Table
	// Keeper grants the leases.
	Keeper *LeaseKeeper
	// Status returns the configuration position in force and whether the leader is
	// reachable.
	Status func() (model.Position, bool)
	// Log receives refused announcements, accepted changes and lapses.
	Log *slog.Logger
}

// ServeAnnounce answers the renewals of one node until the node leaves, sends
// nothing for the duration of a lease, or ctx ends. The announced host and data
// centre must be those in the node's certificate.
func ServeAnnounce(ctx context.Context, h LeaseServer, st peer.Stream) error {
	defer context.AfterFunc(ctx, st.Abort)()
	for {
		var r renewal
		if err := recvWithTimeout(st, &r, h.Keeper.Duration()); err != nil {
			return err
		}
		a := r.Announcement
		if err := checkAnnouncement(st.Peer(), a); err != nil {
			h.Log.Warn("announcement refused", "peer", st.Peer().String(), "host", a.Host, "reason", err.Error())
			return err
		}
		if err := st.Send(h.renew(time.Now(), a)); err != nil {
			return eris.Wrapf(ErrClosed, "reply: %v", err)
		}
		if a.State == StateLeft {
			return nil
		}
	}
}

// checkAnnouncement checks that the peer may send the announcement and that its
// fields are valid.
func checkAnnouncement(id peer.Identity, a Announcement) error {
	if id.Role != peer.RoleNode || id.Host != a.Host || id.DataCentre != a.DataCentre {
		return eris.Wrapf(ErrIdentity, "%s announced host %q in data centre %q", id, a.Host, a.DataCentre)
	}
	if a.State == StateLapsed {
		return eris.Wrap(ErrInvalid, "a node cannot announce itself lapsed")
	}
	return a.Check()
}

// renew merges the announcement and renews the lease, unless the table has a newer
// record of the host.
func (h LeaseServer) renew(now time.Time, a Announcement) RenewalReply {
	var reply RenewalReply
	reply.Position, reply.LeaderReachable = h.Status()
	if h.Table.Merge(a) {
		h.Log.Info("announcement accepted", "host", a.Host, "service", a.Service, "version", a.Version,
			"state", a.State.String(), "incarnation", a.Incarnation, "sequence", a.Sequence)
	}
	current, ok := h.Table.Get(a.Host)
	if ok && newer(current, a) {
		reply.NewerRecord = &current
		return reply
	}
	h.Keeper.Renew(now, a)
	return reply
}

// Contact holds the last reply that a node received to its renewals. It is safe for
// concurrent use.
type Contact struct {
	mu    sync.Mutex
	reply RenewalReply
	at    time.Time
}

// Get returns the last reply and when it arrived; the zero time means that there
// was none.
func (c *Contact) Get() (RenewalReply, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reply, c.at
}

func (c *Contact) store(now time.Time, r RenewalReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reply, c.at = r, now
}

// Announce renews the node's lease over one stream, every o.RenewInterval and immediately
// on each change. It returns nil when the node has left and an error when the
// caller should try another control host. A node must run only one Announce at a
// time: a previous control host that also received the newest record would declare
// the node lapsed once the renewals to it stop.
func Announce(ctx context.Context, p *Publisher, c *Contact, st peer.Stream, o AnnounceOptions) error {
	o = o.withDefaults()
	defer context.AfterFunc(ctx, st.Abort)()
	p.reannounce()
	tick := time.NewTicker(o.RenewInterval)
	defer tick.Stop()
	for {
		if ctx.Err() != nil {
			// The next Announce raises the sequence; that change must not be
			// renewed on this stream.
			return eris.Wrapf(ErrClosed, "%v", ctx.Err())
		}
		a := p.Current()
		if err := st.Send(renewal{Announcement: a}); err != nil {
			return eris.Wrapf(ErrClosed, "renewal: %v", err)
		}
		var r RenewalReply
		if err := recvWithTimeout(st, &r, o.LeaseDuration/2); err != nil {
			return err
		}
		c.store(time.Now(), r)
		if o.OnReply != nil {
			o.OnReply(r)
		}
		if r.NewerRecord != nil {
			p.Observe(*r.NewerRecord)
		} else {
			p.confirm(a)
			if a.State == StateLeft {
				_ = st.Close()
				return nil
			}
		}
		select {
		case <-p.Changed(a):
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// recvWithTimeout reads one frame and aborts the stream if none arrives in time.
func recvWithTimeout(st peer.Stream, v any, timeout time.Duration) error {
	err := peer.RecvWithTimeout(st, v, timeout)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, peer.ErrTimeout):
		return eris.Wrap(ErrTimeout, err.Error())
	default:
		return eris.Wrap(ErrClosed, err.Error())
	}
}
