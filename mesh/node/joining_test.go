package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/routing"
	"balsamtrail.org/mesh/settings"
)

// joinableHost runs a control host of a remote data centre that serves the distribution tree.
func joinableHost(t *testing.T, ca *peer.DevCA, host model.HostID, streams *atomic.Int64, confirm func(context.Context, time.Time) (model.Position, error)) directory.Host {
	t.Helper()
	store := distribute.NewStore()
	if err := store.Publish(model.Position{Epoch: 1, Index: 7}, note.Config{}); err != nil {
		t.Fatal(err)
	}
	all := []directory.Host{{Host: "c1", DataCentre: "bern"}, {Host: "c2", DataCentre: "thun"}}
	ep := listenPeer(t, ca, peer.Identity{Role: peer.RoleControl, DataCentre: "bern", Host: host}, func(e *peer.Endpoint) {
		o := distribute.ServeOptions{Subtree: distribute.NewSubtree(nil), Freshness: &distribute.Freshness{Contact: time.Now}, Confirm: confirm,
			Admission: distribute.NewAdmission(distribute.SourceAdmission()), Log: slog.New(slog.DiscardHandler),
			ControlHosts: func() (ps []distribute.Parent, index uint64) {
				for _, h := range all {
					ps = append(ps, distribute.Parent{Host: h.Host, Role: peer.RoleControl, DataCentre: h.DataCentre, Address: h.Peer})
				}
				return ps, 9
			}}
		e.Handle(distribute.MethodWatch, []peer.Role{peer.RoleNode}, func(ctx context.Context, st peer.Stream) error {
			streams.Add(1)
			return distribute.Serve(ctx, store, membership.NewTable(), st, o)
		})
	})
	all[0].Peer = ep.Addr().String()
	return directory.Host{Host: host, Peer: ep.Addr().String()}
}

// newJoiningNode returns a node without state whose settings name the control hosts only.
func newJoiningNode(t *testing.T, ca *peer.DevCA, hosts ...directory.Host) *Node {
	t.Helper()
	n := &Node{cfg: settings.DefaultNode(), log: slog.New(slog.DiscardHandler), directory: directory.New(hosts), started: time.Now(),
		endpoints: membership.NewTable(), freshness: &distribute.Freshness{}}
	n.cfg.Host, n.cfg.DataCentre = "n1", "thun"
	n.acceptor = distribute.NewAcceptor("n1", distribute.NewStore(), n.endpoints, n.log)
	n.subtree = distribute.NewSubtree(n.acceptor.Report)
	n.ep = listenPeer(t, ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}, func(*peer.Endpoint) {})
	return n
}

// Guards against a starting node that needs more than one connection and one stream before
// it routes, or that changes to a control host of its own data centre while the fleet
// starts: at a start of the whole fleet each handshake delays all others. It must not route
// before the leader has confirmed a position, however new its configuration is.
func TestNodeRoutesAfterOneExchange(t *testing.T) {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var streams atomic.Int64
	confirmed := make(chan struct{})
	host := joinableHost(t, ca, "c1", &streams, func(ctx context.Context, before time.Time) (model.Position, error) {
		if uptime := time.Since(before); uptime < 0 || uptime > time.Minute {
			t.Errorf("the node states an uptime of %s", uptime)
		}
		select {
		case <-confirmed:
			return model.Position{Epoch: 1, Index: 7}, nil
		case <-ctx.Done():
			return model.Position{}, ctx.Err()
		}
	})
	n := newJoiningNode(t, ca, host)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- n.attach(ctx) }()
	go func() { done <- n.learnFloor(ctx) }()
	defer func() { cancel(); <-done; <-done }()
	until := func(what string, reached func() bool) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); !reached(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal(what)
			}
		}
	}
	until("no configuration", func() bool { return !n.acceptor.Position().IsZero() })
	if n.routable() {
		t.Error("routes before the position is confirmed")
	}
	close(confirmed)
	until("the node does not route", n.routable)
	until("the directory is not learned", func() bool { return len(n.directory.Hosts()) == 2 })
	if got := n.controlHosts()[0].Host; got != "c1" {
		t.Errorf("prefers %s, which takes another handshake", got)
	}
	if got := streams.Load(); got != 1 {
		t.Errorf("%d watch streams", got)
	}
	n.joining.release("c1")
	if got := n.controlHosts()[0].Host; got != "c2" {
		t.Errorf("prefers %s, which is in another data centre, after the first one was lost", got)
	}
}

// Guards against callers that are sent away for a second or more although the node is about
// to route, against callers that come back before a starting mesh can serve, and against a
// fixed time for all of them.
func TestRetryAfterOfAStartingNode(t *testing.T) {
	for _, c := range []struct {
		elapsed    time.Duration
		connected  bool
		least, max time.Duration
	}{
		{100 * time.Millisecond, false, 900 * time.Millisecond, 1800 * time.Millisecond},
		{900 * time.Millisecond, false, 400 * time.Millisecond, 800 * time.Millisecond},
		{500 * time.Millisecond, true, 150 * time.Millisecond, 300 * time.Millisecond},
		{1200 * time.Millisecond, true, 600 * time.Millisecond, 1200 * time.Millisecond},
		{time.Minute, false, time.Second, 2 * time.Second},
	} {
		n := &Node{started: time.Now().Add(-c.elapsed)}
		if c.connected {
			n.joining.connect(time.Now(), "c1")
		}
		e := newTestEntry(t, nil, nil)
		e.table, e.startRetryAfter = func() *routing.Table { return nil }, n.startRetryAfter
		times := map[string]bool{}
		for range 20 {
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/cabinets", nil))
			times[w.Header().Get(HeaderRetryAfter)] = true
			ms, err := strconv.Atoi(w.Header().Get(HeaderRetryAfter))
			const tolerance = 50 * time.Millisecond // of the time that the test itself takes
			if got := time.Duration(ms) * time.Millisecond; err != nil || got < c.least-tolerance || got > c.max+tolerance || w.Header().Get(HeaderNotRun) != reasonNoConfig {
				t.Errorf("%s after the start, connected %v: retry after %s (%v), want %s to %s", c.elapsed, c.connected, got, err, c.least, c.max)
			}
		}
		if len(times) < 5 {
			t.Errorf("20 callers were sent %d times to retry after", len(times))
		}
	}
}

// Guards against a node that routes by a part of an exchange whose control host was killed
// in the middle of it, or that does not go on to another control host.
func TestControlHostLostDuringTheExchange(t *testing.T) {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var first, second atomic.Int64
	lost := joinableHost(t, ca, "c1", &first, func(ctx context.Context, _ time.Time) (model.Position, error) {
		<-ctx.Done()
		return model.Position{}, ctx.Err()
	})
	other := joinableHost(t, ca, "c2", &second, func(context.Context, time.Time) (model.Position, error) {
		return model.Position{Epoch: 1, Index: 8}, nil // newer than the configuration that c1 sent
	})
	n := newJoiningNode(t, ca, lost)
	watch, stop := context.WithCancel(t.Context())
	attached := make(chan error, 1)
	go func() { attached <- n.attach(watch) }()
	for n.acceptor.Position().IsZero() {
		time.Sleep(5 * time.Millisecond)
	}
	stop() // as if c1 was killed: its stream ends before the welcome
	<-attached
	if n.floor.Load() != nil || n.routable() {
		t.Fatal("routes by a part of the exchange")
	}
	n.directory.SetSettings([]directory.Host{other})
	n.directory.Update(directory.List{Index: 9, Hosts: []directory.Host{other}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 2)
	go func() { done <- n.attach(ctx) }()
	go func() { done <- n.learnFloor(ctx) }()
	defer func() { cancel(); <-done; <-done }()
	for deadline := time.Now().Add(5 * time.Second); n.floor.Load() == nil; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other control host is not asked")
		}
	}
	if got := *n.floor.Load(); got.Index != 8 || n.routable() {
		t.Errorf("floor %s, routable %v with a configuration at %s", got, n.routable(), n.acceptor.Position())
	}
}
