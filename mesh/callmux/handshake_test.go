package callmux

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/peer"
)

// startServer starts a server that answers every call with status 200.
func startServer(t *testing.T, ca *peer.DevCA, cfg Config) (addr string, id peer.Identity) {
	t.Helper()
	id = peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n2"}
	cfg.Credentials = credentialsFor(t, ca, id)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = NewServer(cfg).Serve(ctx, ln, func(context.Context, peer.Identity, *Request) (*Response, error) {
			return &Response{Status: http.StatusOK, Body: http.NoBody}, nil
		})
	}()
	t.Cleanup(func() { cancel(); <-done })
	return ln.Addr().String(), id
}

func credentialsFor(t *testing.T, ca *peer.DevCA, id peer.Identity) *peer.Credentials {
	t.Helper()
	files, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	c, err := peer.LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func devCA(t *testing.T) *peer.DevCA {
	t.Helper()
	ca, err := peer.OpenDevCA(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func newTestClient(t *testing.T, ca *peer.DevCA, cfg Config) *Client {
	t.Helper()
	cfg.Credentials = credentialsFor(t, ca, peer.Identity{Role: peer.RoleNode, DataCentre: "thun", Host: "n1"})
	c := NewClient(cfg)
	t.Cleanup(c.Close)
	return c
}

// Guards against a storm of connections that keeps itself up: a handshake with a busy
// node that takes longer than a call waits must go on, and not be begun again by the next
// call.
func TestSlowHandshakeServesLaterCalls(t *testing.T) {
	ca := devCA(t)
	addr, id := startServer(t, ca, Config{})
	c := newTestClient(t, ca, Config{DialTimeout: 50 * time.Millisecond})
	var dials atomic.Int64
	dial := c.dial
	c.dial = func(ctx context.Context, addr string, expected peer.Identity) (net.Conn, net.Conn, peer.Identity, error) {
		dials.Add(1)
		time.Sleep(400 * time.Millisecond) // a busy node
		return dial(ctx, addr, expected)
	}
	for began := time.Now(); ; {
		before := time.Now()
		resp, err := c.Do(t.Context(), addr, id, &Request{Body: nil})
		if err == nil {
			_ = resp.Body.Close()
			break
		}
		if !errors.Is(err, ErrNotSent) || time.Since(before) > 300*time.Millisecond || time.Since(began) > 5*time.Second {
			t.Fatalf("%v after %s, %s in all", err, time.Since(before), time.Since(began))
		}
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d handshakes for one connection", n)
	}
}

// Guards against a node that begins all handshakes of a returning fleet at once and ends
// none in time, and against clients that never finish theirs and keep out the others.
func TestHandshakesAreServedFewAtATime(t *testing.T) {
	ca := devCA(t)
	addr, id := startServer(t, ca, Config{Handshakes: 1, HandshakeTimeout: 4 * time.Second})
	stuck, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer stuck.Close()
	time.Sleep(20 * time.Millisecond) // the silent client is the first
	var wg sync.WaitGroup
	for range 20 {
		c := newTestClient(t, ca, Config{DialTimeout: 4 * time.Second, HandshakeTimeout: 4 * time.Second})
		wg.Go(func() {
			resp, err := c.Do(t.Context(), addr, id, &Request{Body: nil})
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		})
	}
	wg.Wait()
}
