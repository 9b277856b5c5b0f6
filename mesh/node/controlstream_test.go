package node

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/directory"
	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// listenPeer opens a peer endpoint on the loopback interface and serves it until the
// test ends.
func listenPeer(t *testing.T, ca *peer.DevCA, id peer.Identity, handle func(*peer.Endpoint)) *peer.Endpoint {
	t.Helper()
	files, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	creds, err := peer.LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	ep, err := peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds})
	if err != nil {
		t.Fatal(err)
	}
	handle(ep)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = ep.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-served
	})
	return ep
}

// Guards against streams that stay connected to a control host in a remote data
// centre, chosen before the node knew the control hosts' data centres. Their
// heartbeats would cross data centres permanently.
func TestStreamFailsBackToTheLocalDataCentre(t *testing.T) {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	const method = "test.stream"
	opened := make(chan model.HostID, 16)
	control := func(host model.HostID, dc model.DataCentre) directory.Host {
		ep := listenPeer(t, ca, peer.Identity{Role: peer.RoleControl, DataCentre: dc, Host: host}, func(e *peer.Endpoint) {
			e.Handle(method, []peer.Role{peer.RoleNode}, func(_ context.Context, st peer.Stream) error {
				opened <- host
				<-st.Context().Done()
				return nil
			})
		})
		return directory.Host{Host: host, DataCentre: dc, Peer: ep.Addr().String()}
	}
	far, near := control("c1", "bern"), control("c2", "thun")
	n := &Node{cfg: settings.DefaultNode(), log: slog.New(slog.DiscardHandler), directory: directory.New([]directory.Host{{Host: far.Host, Peer: far.Peer}})}
	n.cfg.Host, n.cfg.DataCentre = "n1", "thun"
	n.ep = listenPeer(t, ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}, func(*peer.Endpoint) {})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- n.keepStream(ctx, method, func(ctx context.Context, st peer.Stream) error {
			<-ctx.Done()
			return ctx.Err()
		})
	}()
	if got := <-opened; got != far.Host {
		t.Fatalf("first stream to %s", got)
	}
	n.directory.Update(directory.List{Index: 1, Hosts: []directory.Host{far, near}})
	select {
	case got := <-opened:
		if got != near.Host {
			t.Fatalf("moved to %s", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the stream stays in the remote data centre")
	}
	cancel()
	<-done
}

// Guards against every node connecting to every control host before it may route,
// which overloads the control hosts when the whole fleet starts.
func TestOneConfirmedAnswerSettlesTheFloor(t *testing.T) {
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, confirmed := range []bool{true, false} {
		asked := make(chan model.HostID, 16)
		var hosts []directory.Host
		for _, host := range []model.HostID{"c1", "c2", "c3", "c4", "c5"} {
			ep := listenPeer(t, ca, peer.Identity{Role: peer.RoleControl, DataCentre: "thun", Host: host}, func(e *peer.Endpoint) {
				store := distribute.NewStore()
				e.Handle(distribute.MethodExchange, []peer.Role{peer.RoleNode}, func(ctx context.Context, st peer.Stream) error {
					asked <- host
					o := distribute.ServeOptions{Confirm: func(context.Context, time.Time) (model.Position, error) {
						if !confirmed {
							return model.Position{}, errors.New("no leader")
						}
						return model.Position{Epoch: 1, Index: 7}, nil
					}}
					return distribute.ServeExchange(ctx, store, membership.NewTable(), st, o)
				})
			})
			hosts = append(hosts, directory.Host{Host: host, DataCentre: "thun", Peer: ep.Addr().String()})
		}
		n := &Node{cfg: settings.DefaultNode(), log: slog.New(slog.DiscardHandler), directory: directory.New(hosts)}
		n.cfg.Host, n.cfg.DataCentre = "n1", "thun"
		n.ep = listenPeer(t, ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"}, func(*peer.Endpoint) {})
		_, floor, _, ok := n.askControlHosts(t.Context())
		want := 3 // a quorum, because no answer is confirmed
		if confirmed {
			want = 1
		}
		if !ok || confirmed && floor.Index != 7 || len(asked) != want {
			t.Errorf("confirmed %v: floor %v %v, %d control hosts asked, want %d", confirmed, floor, ok, len(asked), want)
		}
	}
}

// Guards against a node that waits although a control host has admitted it, or that waits
// for control hosts that no longer exist; and, while a whole mesh starts, against one that
// does not wait and connects to further control hosts.
func TestStreamsWaitForTheFirstControlHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busyUntil := time.Time{}
		waited := func(after time.Duration) time.Duration {
			j := &joining{}
			if after > 0 {
				time.AfterFunc(after, func() { j.connect(time.Now(), "c9") })
			}
			began := time.Now()
			awaitSignal(t.Context(), j.get(&j.connected).c, func() bool { return time.Now().Before(busyUntil) })
			return time.Since(began)
		}
		if got := waited(100 * time.Millisecond); got != 100*time.Millisecond {
			t.Errorf("waited %s for a control host that answered after 100ms", got)
		}
		if got := waited(0); got != joinWait {
			t.Errorf("waited %s for a control host that never answered", got)
		}
		busyUntil = time.Now().Add(2 * time.Second)
		if got := waited(3 * joinWait); got != 3*joinWait {
			t.Errorf("waited %s for a busy control host that answered after %s", got, 3*joinWait)
		}
		busyUntil = time.Now().Add(time.Hour)
		if got := waited(0); got < busyJoinWait || got > busyJoinWait+joinWait {
			t.Errorf("waited %s for control hosts that stay busy", got)
		}
	})
}
