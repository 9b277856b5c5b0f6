package peer

import (
	"context"
	"errors"
	"testing"
)

func benchEndpoint(b *testing.B, id Identity, cfg Config) *Endpoint {
	creds, err := SelfSigned(id)
	if err != nil {
		b.Fatal(err)
	}
	cfg.Listen, cfg.Credentials = "127.0.0.1:0", creds
	e, err := Listen(cfg)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Serve(ctx) }()
	b.Cleanup(func() { cancel(); <-done })
	return e
}

// BenchmarkHandshake measures making and closing a connection, both sides in one
// process.
func BenchmarkHandshake(b *testing.B) {
	node, control := Identity{Role: RoleNode, DataCentre: "d", Host: "n"}, Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	server, client := benchEndpoint(b, control, Config{}), benchEndpoint(b, node, Config{})
	b.ReportAllocs()
	for b.Loop() {
		o, err := client.acquire(b.Context(), server.Addr().String(), control)
		if err != nil {
			b.Fatal(err)
		}
		client.release(o)
		_ = o.conn.CloseWithError(connClosed, "")
		client.mu.Lock()
		delete(client.conns, o.addr)
		client.mu.Unlock()
	}
}

// BenchmarkRefusedHandshake measures a handshake that is refused before the key
// exchange, both sides in one process.
func BenchmarkRefusedHandshake(b *testing.B) {
	node, control := Identity{Role: RoleNode, DataCentre: "d", Host: "n"}, Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	server, client := benchEndpoint(b, control, Config{AcceptNodes: func() bool { return false }}), benchEndpoint(b, node, Config{})
	b.ReportAllocs()
	for b.Loop() {
		_, _, err := client.dial(client.transport, &outbound{addr: server.Addr().String(), want: control})
		if !errors.Is(err, ErrBusy) {
			b.Fatal(err)
		}
	}
}
