package node

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"balsamtrail.org/mesh/admission"
	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/telemetry"
)

// twoNodes is the way of a request through an entry node and the node beside a backend
// server, each with its sockets on loopback.
type twoNodes struct {
	entry   *entry
	serving *serving
	// hosts maps the host of the backend server to its call address.
	hosts map[model.HostID]string
	// address is where the entry node accepts callers.
	address string
}

// startTwoNodes starts the nodes before a backend server that runs serve for each of its
// connections.
func startTwoNodes(tb testing.TB, serve func(net.Conn, *bufio.Reader)) *twoNodes {
	tb.Helper()
	ca, err := peer.OpenDevCA(tb.TempDir())
	if err != nil {
		tb.Fatal(err)
	}
	backendAddress := acceptConnections(tb, serve)
	s := &serving{
		memory: newBodyMemory(16 << 20),
		log:    slog.New(slog.DiscardHandler), self: peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "h1"}, logSampler: telemetry.NewRequestSampler(), service: "ledger",
		backend:  newBackend(backendConfig{base: &url.URL{Scheme: "http", Host: backendAddress}, connections: 100, dialTimeout: time.Second}),
		version:  func() model.ServiceVersion { return "v1" },
		gate:     admission.NewGate(admission.Config{Service: note.Service{Name: "ledger", Slots: 100, QueueLimit: 100, QueueTimeout: time.Second}}),
		position: func() model.Position { return model.Position{} }, onNewerPosition: func(peer.Identity, model.Position) {},
	}
	tb.Cleanup(s.backend.close)
	callAddress := serveCalls(tb, ca, s.handle)
	client := callmux.NewClient(callmux.Config{Credentials: nodeCredentials(tb, ca, "entry")})
	tb.Cleanup(client.Close)
	hosts := map[model.HostID]string{"h1": callAddress}
	e := newTestEntryAt(client, nil, hosts)
	srv := httptest.NewServer(e)
	srv.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	tb.Cleanup(srv.Close)
	return &twoNodes{entry: e, serving: s, hosts: hosts, address: srv.Listener.Addr().String()}
}

// acceptConnections runs serve for each connection to the returned address.
func acceptConnections(tb testing.TB, serve func(net.Conn, *bufio.Reader)) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// serveCalls accepts calls from other nodes as host h1.
func serveCalls(tb testing.TB, ca *peer.DevCA, handle callmux.Handler) (address string) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := callmux.NewServer(callmux.Config{Credentials: nodeCredentials(tb, ca, "h1"), DrainLimit: time.Second})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, l, handle)
	}()
	tb.Cleanup(func() { cancel(); <-done })
	return l.Addr().String()
}

func nodeCredentials(tb testing.TB, ca *peer.DevCA, host model.HostID) *peer.Credentials {
	tb.Helper()
	files, err := ca.Issue(peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: host})
	if err != nil {
		tb.Fatal(err)
	}
	creds, err := peer.LoadCredentials(files)
	if err != nil {
		tb.Fatal(err)
	}
	return creds
}

// exchange sends the bytes of one request to the entry node and reads the answer, whose body
// the caller closes.
func (n *twoNodes) exchange(tb testing.TB, request string) (*http.Response, error) {
	tb.Helper()
	conn, err := net.Dial("tcp", n.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write([]byte(request)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}
