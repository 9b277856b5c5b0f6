package membership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// serveNode runs ServeAnnounce for a stream of the node id and returns the node's
// end.
func serveNode(ctx context.Context, h LeaseServer, id peer.Identity) (peer.Stream, chan error) {
	node, control := peer.Pipe(id, controlID)
	done := make(chan error, 1)
	go func() { done <- ServeAnnounce(ctx, h, control); control.Abort() }()
	return node, done
}

// TestAnnounceLifecycle guards against a node that lapses while it renews, whose
// drain or leave is announced only at the next interval, or that does not return to
// serving after it was declared lapsed.
func TestAnnounceLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHolder()
		p := NewPublisher(announcement("n1", 0, 0, StateServing), time.Now())
		st, served := serveNode(t.Context(), h, nodeID)
		contact, done := &Contact{}, make(chan error, 1)
		go func() { done <- Announce(t.Context(), p, contact, st, AnnounceOptions{}) }()
		for range 40 {
			time.Sleep(SweepInterval)
			h.Sweep(time.Now(), nil)
		}
		expectState(t, h, StateServing)
		if r, _ := contact.Get(); !r.LeaderReachable || r.Position != (model.Position{Epoch: 1, Index: 7}) {
			t.Fatalf("reply %+v", r)
		}
		lapsed, _ := h.Table.Get("n1")
		lapsed.Sequence, lapsed.State = lapsed.Sequence+1, StateLapsed
		h.Table.Merge(lapsed)
		time.Sleep(RenewInterval + time.Millisecond)
		expectState(t, h, StateServing)
		if got := p.Current().Incarnation; got != lapsed.Incarnation+1 {
			t.Fatalf("incarnation %d after lapse of %d", got, lapsed.Incarnation)
		}
		p.Drain()
		synctest.Wait()
		expectState(t, h, StateDraining)
		p.Leave()
		p.Drain()
		synctest.Wait()
		expectState(t, h, StateLeft)
		if err := errors.Join(<-done, <-served); err != nil {
			t.Fatal(err)
		}
	})
}

func expectState(t *testing.T, h LeaseServer, want State) {
	t.Helper()
	if a, _ := h.Table.Get("n1"); a.State != want {
		t.Fatalf("state %s, want %s", a.State, want)
	}
}

// TestAnnounceRefusals guards against accepting a node that announces another host
// or data centre, a control host that announces itself, a node that announces
// itself as lapsed, and an announcement without an address or slots.
func TestAnnounceRefusals(t *testing.T) {
	valid := announcement("n1", 1, 1, StateServing)
	modified := func(change func(*Announcement)) Announcement { a := valid; change(&a); return a }
	cases := map[string]struct {
		id   peer.Identity
		ann  Announcement
		want error
	}{
		"other host":        {nodeID, modified(func(a *Announcement) { a.Host = "n2" }), ErrIdentity},
		"other data centre": {nodeID, modified(func(a *Announcement) { a.DataCentre = "burgdorf" }), ErrIdentity},
		"control role":      {peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: "n1"}, valid, ErrIdentity},
		"lapsed":            {nodeID, modified(func(a *Announcement) { a.State = StateLapsed }), ErrInvalid},
		"no address":        {nodeID, modified(func(a *Announcement) { a.CallAddress = "" }), ErrInvalid},
		"no slots":          {nodeID, modified(func(a *Announcement) { a.Slots = 0 }), ErrInvalid},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHolder()
			st, done := serveNode(t.Context(), h, c.id)
			if err := st.Send(renewal{Announcement: c.ann}); err != nil {
				t.Fatal(err)
			}
			if err := <-done; !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if len(h.Table.All())+len(h.Keeper.Held()) != 0 {
				t.Fatal("a refused announcement left a record or lease")
			}
		})
	}
}

// TestAnnounceTimeouts guards against a node that waits forever for an unresponsive
// control host, and a stream that stays open after its node became unresponsive.
func TestAnnounceTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		node, _ := peer.Pipe(nodeID, controlID)
		start := time.Now()
		err := Announce(t.Context(), NewPublisher(announcement("n1", 0, 0, 0), start), &Contact{}, node, AnnounceOptions{})
		if !errors.Is(err, ErrTimeout) || time.Since(start) > replyTimeout {
			t.Fatalf("node: %v after %s", err, time.Since(start))
		}
		node, _ = peer.Pipe(nodeID, controlID)
		start = time.Now()
		err = Announce(t.Context(), NewPublisher(announcement("n1", 0, 0, 0), start), &Contact{}, node, AnnounceOptions{LeaseDuration: time.Minute})
		if !errors.Is(err, ErrTimeout) || time.Since(start) != time.Minute/2 {
			t.Fatalf("node with a lease of one minute: %v after %s", err, time.Since(start))
		}
		_, done := serveNode(t.Context(), newHolder(), nodeID)
		if err := <-done; !errors.Is(err, ErrTimeout) {
			t.Fatalf("control host: %v", err)
		}
	})
}

// TestRestartedNodeLearnsOfAClosedLifetime guards against a node that announces a lifetime
// of its backend server as serving although it has confirmed, before its own restart, that
// the lifetime drains; and against a confirmation that no control host has recorded.
func TestRestartedNodeLearnsOfAClosedLifetime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, life := newHolder(), Lifetime{Instance: "i-1", Started: 7}
		run := func(p *Publisher, onReply func(RenewalReply)) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			st, _ := serveNode(ctx, h, nodeID)
			go func() { _ = Announce(ctx, p, &Contact{}, st, AnnounceOptions{OnReply: onReply}) }()
			return cancel
		}
		confirmed := func(p *Publisher) bool {
			ctx, cancel := context.WithTimeout(t.Context(), RenewInterval)
			defer cancel()
			return p.AwaitConfirmed(ctx) == nil
		}
		p := NewPublisher(announcement("n1", 0, 0, 0), time.Now())
		p.Restart(life, "v1", 4, time.Now())
		p.CloseLifetime(life)
		if confirmed(p) {
			t.Fatal("confirmed without a control host")
		}
		p.Serve() // the server is reachable again
		stop := run(p, nil)
		if !confirmed(p) {
			t.Fatal("not confirmed")
		}
		expectState(t, h, StateDraining)
		stop()
		synctest.Wait()
		time.Sleep(time.Second)
		p = NewPublisher(announcement("n1", 0, 0, 0), time.Now())
		p.Restart(life, "v1", 4, time.Now()) // by a late heartbeat
		var told []Announcement
		defer run(p, func(r RenewalReply) {
			if r.NewerRecord != nil {
				told = append(told, *r.NewerRecord)
				p.CloseLifetime(life)
			}
		})()
		if !confirmed(p) {
			t.Fatal("not confirmed after the restart")
		}
		expectState(t, h, StateDraining)
		if len(told) != 1 || !told[0].Closed || told[0].Started != life.Started {
			t.Fatalf("told %+v", told)
		}
		p.Restart(Lifetime{Instance: "i-1", Started: 8}, "v1", 4, time.Now())
		if !confirmed(p) {
			t.Fatal("the next lifetime is not confirmed")
		}
		expectState(t, h, StateServing)
	})
}

// TestPublisherClockBackwards guards against a restarted node whose clock was set
// back and whose announcements therefore count as older than its previous ones.
func TestPublisherClockBackwards(t *testing.T) {
	p := NewPublisher(announcement("n1", 0, 0, StateServing), baseTime)
	former := announcement("n1", uint64(baseTime.Add(time.Hour).UnixMilli()), 4, StateServing)
	if !p.Observe(former) || !newer(p.Current(), former) {
		t.Fatalf("current %+v, former %+v", p.Current(), former)
	}
	if p.Observe(former) {
		t.Fatal("raised again by an older record")
	}
}

// TestControlHostChange guards against a node that is declared lapsed by the
// control host that granted its previous lease after it moved to another one.
func TestControlHostChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newHolder(), newHolder()
		second.Table = first.Table // a shared table stands for the anti-entropy between control hosts, which takes milliseconds
		p := NewPublisher(announcement("n1", 0, 0, StateServing), time.Now())
		for _, h := range []LeaseServer{first, second} {
			ctx, cancel := context.WithCancel(t.Context())
			st, _ := serveNode(ctx, h, nodeID)
			ended := make(chan struct{})
			go func() { defer close(ended); _ = Announce(ctx, p, &Contact{}, st, AnnounceOptions{}) }()
			for range 40 {
				time.Sleep(SweepInterval)
				if n := len(first.Sweep(time.Now(), nil)) + len(second.Sweep(time.Now(), nil)); n != 0 {
					t.Fatal("a node lapsed although it kept renewing")
				}
			}
			cancel()
			<-ended // a node has one announce stream at a time
		}
	})
}

// TestControlHostLost guards against a node that crashes together with the control
// host that granted its lease and is declared lapsed too late or never, and a node
// that is declared lapsed although it moved to another control host.
func TestControlHostLost(t *testing.T) {
	const detectionTarget = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		lost, other, leader := newHolder(), newHolder(), newHolder()
		other.Table, leader.Table = lost.Table, lost.Table
		for _, a := range []Announcement{announcement("dead", 1, 1, StateServing), announcement("moved", 1, 1, StateServing)} {
			lost.renew(time.Now(), a)
		}
		other.renew(time.Now(), announcement("third", 1, 1, StateServing))
		holdings := NewRemoteLeases()
		watchLeases := func(name model.HostID, h LeaseServer) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			client, server := peer.Pipe(controlID, peer.Identity{Role: peer.RoleControl, Host: name})
			go func() { _ = ServeLeases(ctx, h.Keeper, server) }()
			go func() { _ = WatchRemoteLeases(ctx, holdings, client) }()
			return cancel
		}
		crash := watchLeases("lost", lost)
		watchLeases("other", other)
		time.Sleep(2 * LeasesQueryInterval)
		crash()
		start := time.Now()
		other.renew(time.Now(), announcement("moved", 1, 2, StateServing))
		for time.Since(start) < time.Minute {
			time.Sleep(SweepInterval)
			for _, a := range leader.Sweep(time.Now(), holdings) {
				if a.Host != "dead" || time.Since(start) > detectionTarget {
					t.Fatalf("%s lapsed after %s", a.Host, time.Since(start))
				}
			}
		}
		if a, _ := leader.Table.Get("dead"); a.State != StateLapsed {
			t.Fatal("the dead node is not lapsed")
		}
	})
}

// TestFormerLeaderKeepsNoAdoptedLeases guards against live nodes that are declared
// lapsed by a former leader, which had adopted their leases while it was cut off.
func TestFormerLeaderKeepsNoAdoptedLeases(t *testing.T) {
	leader := newHolder()
	now := time.Unix(1000, 0)
	a := announcement("n1", 1, 1, StateServing)
	leader.Table.Merge(a)
	holdings := NewRemoteLeases()
	holdings.Update(now, "other", []model.HostID{"n1"})
	now = now.Add(ControlHostTimeout)
	leader.Sweep(now, holdings)
	for range 40 {
		now = now.Add(SweepInterval)
		if lapsed := leader.Sweep(now, nil); len(lapsed) != 0 {
			t.Fatalf("%s declared lapsed", lapsed[0].Host)
		}
	}
}
