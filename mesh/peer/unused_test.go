package peer

import (
	"context"
	"testing"
	"time"
)

// startEndpoint starts an Endpoint with the given UnusedTimeout.
func startEndpoint(t *testing.T, ca *DevCA, id Identity, unused time.Duration) *Endpoint {
	t.Helper()
	files, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	creds, err := LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Listen(Config{Listen: "127.0.0.1:0", Credentials: creds, UnusedTimeout: unused})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

// connections returns the number of addresses with an outbound connection.
func (e *Endpoint) connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// TestOnlyUnusedConnectionsAreClosed guards against a connection to a previous
// parent that sends keep-alive packets forever, and against closing a connection
// with an open but inactive stream.
func TestOnlyUnusedConnectionsAreClosed(t *testing.T) {
	ca, err := OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	control := Identity{Role: RoleControl, DataCentre: "thun", Host: "c1"}
	server := startEndpoint(t, ca, control, time.Minute)
	client := startEndpoint(t, ca, Identity{Role: RoleNode, DataCentre: "thun", Host: "n1"}, 200*time.Millisecond)
	server.Handle("wait", []Role{RoleNode}, func(ctx context.Context, st Stream) error {
		var h streamHeader
		return st.Recv(&h)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	st, err := client.Open(ctx, server.Addr().String(), control, "wait")
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(600 * time.Millisecond)
	if n := client.connections(); n != 1 {
		t.Fatalf("%d connections while a stream is open", n)
	}
	st.Abort()
	for client.connections() != 0 {
		if ctx.Err() != nil {
			t.Fatal("the unused connection was not closed")
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := client.Open(ctx, server.Addr().String(), control, "wait"); err != nil {
		t.Errorf("no new connection after the close: %v", err)
	}
}
