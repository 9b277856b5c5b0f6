package peer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/model"
)

// Guards against a fleet whose handshakes are all begun and none finished in time, and
// against peers that begin handshakes, never finish and keep out all others.
func TestHandshakeGate(t *testing.T) {
	now := time.Unix(1000, 0)
	accept := true
	g := &handshakeGate{limit: 2, acceptNodes: func() bool { return accept }}
	node, control := offeredProtocols(RoleNode), offeredProtocols(RoleControl)
	step := func(name, remote string, after time.Duration, protocols []string, want bool) {
		t.Helper()
		if got := g.admit(now.Add(after), remote, protocols); got != want {
			t.Errorf("%s: admitted %v, want %v", name, got, want)
		}
	}
	step("first", "a", 0, node, true)
	step("second", "b", 0, node, true)
	step("above the limit", "c", 0, node, false)
	step("control host above the limit", "d", 0, control, true)
	g.finish("a")
	step("after one has finished", "c", 0, node, true)
	step("just before an unfinished one stops counting", "e", handshakeHold-1, node, false)
	step("once unfinished ones no longer count", "e", handshakeHold, node, true)
	accept = false
	step("node that must wait", "f", time.Minute, node, false)
	step("control host meanwhile", "f", time.Minute, control, true)
	if len(g.pending) > g.limit {
		t.Errorf("%d handshakes are remembered, the limit is %d", len(g.pending), g.limit)
	}
}

// Guards against a fleet that dials a busy peer in step, and against delays that grow
// until nodes stay away from a peer that is free again.
func TestRedialDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	var r redialDelay
	distinct := map[time.Time]bool{}
	for range 20 {
		r = r.next(now)
		distinct[r.until] = true
		if r.delay < busyMinDelay || r.delay > busyMaxDelay || r.until.Sub(now) < r.delay/2 || r.until.Sub(now) > r.delay*3/2 {
			t.Fatalf("delay %v, next attempt after %v", r.delay, r.until.Sub(now))
		}
	}
	if len(distinct) < 15 {
		t.Errorf("20 delays have %d distinct values", len(distinct))
	}
}

// startLimited starts an Endpoint on a closed network.
func startLimited(t *testing.T, id Identity, cfg Config) *Endpoint {
	t.Helper()
	creds, err := SelfSigned(id)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen, cfg.Credentials = cmp.Or(cfg.Listen, "127.0.0.1:0"), creds
	e, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	HandleCall(e, "echo", []Role{RoleNode, RoleControl}, func(_ context.Context, _ Identity, n int) (int, error) { return n, nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = e.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

func callEcho(ctx context.Context, from, to *Endpoint, want Identity) error {
	var out int
	return from.Call(ctx, to.Addr().String(), want, "echo", 1, &out)
}

// Guards against a node that never connects to a control host that serves few
// handshakes at a time, and against one that dials it again and again meanwhile.
func TestFleetConnectsThroughFewHandshakes(t *testing.T) {
	control := Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	server := startLimited(t, control, Config{Handshakes: 1})
	before := server.accepted.begun.Count()
	const nodes = 24
	var wg sync.WaitGroup
	for i := range nodes {
		client := startLimited(t, Identity{Role: RoleNode, DataCentre: "d", Host: model.HostID(fmt.Sprint("n", i))}, Config{})
		for range 3 { // streams of one node share an attempt
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				err := callEcho(ctx, client, server, control)
				for errors.Is(err, ErrBusy) && ctx.Err() == nil {
					err = callEcho(ctx, client, server, control)
				}
				if err != nil {
					t.Errorf("node %d: %v", i, err)
				}
			})
		}
	}
	wg.Wait()
	if begun := server.accepted.begun.Count() - before; begun > nodes*nodes {
		t.Errorf("%d handshakes for %d nodes", begun, nodes)
	}
}

// Guards against nodes that delay the first election of the control hosts, against
// control hosts that are kept out with them, and against a node that passes for one.
func TestNodesWaitUntilAccepted(t *testing.T) {
	control := Identity{Role: RoleControl, DataCentre: "d", Host: "c"}
	var accept atomic.Bool
	server := startLimited(t, control, Config{Handshakes: 1, AcceptNodes: accept.Load})
	node := startLimited(t, Identity{Role: RoleNode, DataCentre: "d", Host: "n"}, Config{})
	other := startLimited(t, Identity{Role: RoleControl, DataCentre: "d", Host: "c2"}, Config{})
	if err := callEcho(t.Context(), other, server, control); err != nil {
		t.Errorf("control host: %v", err)
	}
	if err := callEcho(t.Context(), node, server, control); !errors.Is(err, ErrBusy) {
		t.Errorf("node: %v, want ErrBusy", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), busyMinDelay/8)
	defer cancel()
	if err := callEcho(ctx, node, server, control); !errors.Is(err, ErrBusy) {
		t.Errorf("node that may not dial again yet: %v, want ErrBusy", err)
	}
	accept.Store(true)
	err := callEcho(t.Context(), node, server, control)
	for errors.Is(err, ErrBusy) {
		err = callEcho(t.Context(), node, server, control)
	}
	if err != nil {
		t.Errorf("node that is accepted: %v", err)
	}
	accept.Store(false)
	impostor := Identity{Role: RoleNode, DataCentre: "d", Host: "n2"}
	if _, err := dialAs(t, server, impostor, offeredProtocols(RoleControl)); err == nil {
		t.Error("a node that offers the protocol of control hosts was served")
	}
}

// dialAs connects to an endpoint with the given protocols and makes one call.
func dialAs(t *testing.T, server *Endpoint, id Identity, protocols []string) (int, error) {
	t.Helper()
	client := startLimited(t, id, Config{})
	udp, err := net.ResolveUDPAddr("udp", server.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn, err := client.transport.Dial(t.Context(), udp, client.cfg.Credentials.ClientTLS(server.cfg.Credentials.Identity(), protocols...), client.quicConfig())
	if err != nil {
		return 0, err
	}
	st, err := conn.OpenStreamSync(t.Context())
	if err != nil {
		return 0, err
	}
	s := &quicStream{st: st, counters: trafficOf("echo", false)}
	if err := s.Send(streamHeader{Method: "echo"}); err != nil {
		return 0, err
	}
	if err := s.Send(request{Body: []byte{1}}); err != nil {
		return 0, err
	}
	var r reply
	return 1, s.Recv(&r)
}
