package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"balsamtrail.org/mesh/settings"
)

// Guards against a node that keeps running after one of its parts failed to start, for
// example because a port is in use. Its HTTP servers must end with the context, so
// that the process exits with the error.
func TestHTTPServerEndsWithContext(t *testing.T) {
	n := &Node{cfg: settings.DefaultNode()}
	s := n.newHTTPServer("caller", "127.0.0.1:0", http.NotFoundHandler())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.serve(ctx) }()
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("server still runs")
	}
}
