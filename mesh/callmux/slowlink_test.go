package callmux

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"balsamtrail.org/mesh/peer"
)

// linkRate is the rate of a link of 12 Mbit/s, in bytes per second.
const linkRate = 1_500_000

// slowConn is a connection whose writes take the time of a slow link.
type slowConn struct{ net.Conn }

// Write implements io.Writer.
func (c slowConn) Write(p []byte) (int, error) {
	const segment = 1460
	for written := 0; written < len(p); {
		part := p[written:min(len(p), written+segment)]
		time.Sleep(time.Duration(len(part)) * time.Second / linkRate)
		n, err := c.Conn.Write(part)
		if written += n; err != nil {
			return written, err
		}
	}
	return len(p), nil
}

// Guards against small calls that wait behind the large bodies of other calls on the same
// connection (head-of-line blocking), in both directions.
func TestSmallCallsDoNotWaitForLargeBodies(t *testing.T) {
	const large, downloads, uploads = 540_000, 3, 3
	// A call waits for the frame that is being written in each direction.
	const most = 2 * (maxData + 2*1460) * time.Second / linkRate
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(Config{})
		c := NewClient(Config{})
		defer c.Close()
		body := bytes.Repeat([]byte("x"), large)
		handle := func(_ context.Context, _ peer.Identity, req *Request) (*Response, error) {
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return nil, err
			}
			if req.Path == "/download" {
				return &Response{Status: 200, Body: io.NopCloser(bytes.NewReader(body))}, nil
			}
			return &Response{Status: 200, Body: io.NopCloser(bytes.NewReader(body[:500])), BodyLength: 500}, nil
		}
		c.dial = func(ctx context.Context, _ string, _ peer.Identity) (net.Conn, net.Conn, peer.Identity, error) {
			clientEnd, serverEnd := net.Pipe()
			go server.serve(ctx, slowConn{serverEnd}, slowConn{serverEnd}, peer.Identity{}, handle)
			return slowConn{clientEnd}, slowConn{clientEnd}, peer.Identity{}, nil
		}
		call := func(req *Request) {
			resp, err := c.Do(t.Context(), "n2", peer.Identity{}, req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || req.Path == "/download" && n != large {
				t.Errorf("%s: %d bytes, %v", req.Path, n, err)
			}
		}
		call(&Request{Timeout: time.Minute}) // connects
		began, done := time.Now(), make(chan struct{}, downloads+uploads)
		for i := range downloads + uploads {
			go func() {
				req := &Request{Path: "/download", Timeout: time.Minute}
				if i >= downloads {
					req.Path, req.Body, req.BodyLength = "/upload", bytes.NewReader(body), large
				}
				call(req)
				done <- struct{}{}
			}()
		}
		var slowest time.Duration
		for len(done) < downloads+uploads {
			time.Sleep(7 * time.Millisecond)
			sent := time.Now()
			call(&Request{Path: "/lookup", Timeout: time.Minute})
			slowest = max(slowest, time.Since(sent))
		}
		t.Logf("slowest lookup %s, large bodies %s", slowest, time.Since(began))
		if slowest > most {
			t.Errorf("a lookup took %s, want at most %s", slowest, most)
		}
		if took, least := time.Since(began), downloads*large*time.Second/linkRate; took > least*5/4 {
			t.Errorf("the large bodies took %s, %s on a free link", took, least)
		}
	})
}
