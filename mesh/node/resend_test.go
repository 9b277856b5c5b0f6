package node

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

// Guards against retries that no budget counts: a node must not send a request of another
// node again by itself when its backend server closes a kept connection.
func TestRequestOfAnotherNodeIsSentOnce(t *testing.T) {
	var arrived atomic.Int64
	n := startTwoNodes(t, func(c net.Conn, r *bufio.Reader) {
		// Answers the first request of a connection and closes it at the second.
		for first := true; ; first = false {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			arrived.Add(1)
			if !first {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	})
	for from, want := range map[peer.Identity]int64{{Role: peer.RoleNode, Host: "other"}: 2, n.serving.self: 3} {
		n.serving.backend.conns.Reset()
		arrived.Store(0)
		for range 2 {
			resp, err := n.serving.handle(t.Context(), from, &callmux.Request{Service: "ledger", Version: "v1", Method: http.MethodGet, Path: "/",
				Kind: model.KindLookup, Header: http.Header{}, Body: http.NoBody})
			if err != nil {
				t.Fatal(err)
			}
			if resp.Body != nil {
				_ = resp.Body.Close()
			}
		}
		if got := arrived.Load(); got != want {
			t.Errorf("from %s: 2 requests arrived %d times, want %d", from, got, want)
		}
	}
}
