package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

// Guards against a node that keeps running without one of its listeners: if an address
// is in use, Run must return an error.
func TestNodeEndsIfAnAddressIsInUse(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	files, err := ca.Issue(peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"})
	if err != nil {
		t.Fatal(err)
	}
	cfg := settings.DefaultNode()
	cfg.Process = settings.Process{Host: "n1", DataCentre: "thun", Cluster: "test", Credentials: files,
		ControlHosts: []settings.ControlHost{{Host: "c1", DataCentre: "thun", Peer: "127.0.0.1:9", Voter: true}}}
	free := "127.0.0.1:0"
	cfg.Listen = settings.NodeListen{Caller: taken.Addr().String(), Outgoing: free, Peer: free, Call: free, Admin: free}
	cfg.Backend = settings.Backend{Service: "ledger", Version: "v1", URL: "http://127.0.0.1:1", Slots: 1, Connections: 1, HealthPath: "/"}
	n, err := New(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	select {
	case err := <-done:
		if !errors.Is(err, ErrStart) {
			t.Fatalf("got %v, want ErrStart", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the node is still running")
	}
}
