package callmux_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/peer"
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// BenchmarkEcho compares small echo calls over callmux with HTTP/1.1 on persistent
// connections and with one QUIC stream for each call, all with mutual TLS on
// loopback.
func BenchmarkEcho(b *testing.B) {
	dir := b.TempDir()
	entry, serving := credentials(dir, entryID), credentials(dir, servingID)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	body := bytes.Repeat([]byte("x"), 200)

	ln := must(net.Listen("tcp", "127.0.0.1:0"))
	wg.Go(func() { _ = callmux.NewServer(callmux.Config{Credentials: serving}).Serve(ctx, ln, benchEcho) })
	client := callmux.NewClient(callmux.Config{Credentials: entry})
	defer client.Close()

	httpServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }))
	httpServer.TLS = serving.ServerTLS("http/1.1")
	httpServer.StartTLS()
	defer httpServer.Close()
	transport := &http.Transport{TLSClientConfig: entry.ClientTLS(servingID, "http/1.1"), MaxIdleConnsPerHost: 20}
	defer transport.CloseIdleConnections()

	quicClient := must(peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: entry}))
	quicServer := must(peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: serving}))
	peer.HandleCall(quicServer, "echo", []peer.Role{peer.RoleNode},
		func(_ context.Context, _ peer.Identity, b []byte) ([]byte, error) { return b, nil })
	wg.Go(func() { _ = quicServer.Serve(ctx) })
	wg.Go(func() { _ = quicClient.Serve(ctx) })

	calls := map[string]func() []byte{
		"callmux": func() []byte {
			req := &callmux.Request{Method: "POST", Path: "/echo", Service: "s", Timeout: time.Second, Body: bytes.NewReader(body), BodyLength: int64(len(body))}
			resp := must(client.Do(ctx, ln.Addr().String(), servingID, req))
			defer resp.Body.Close()
			return must(io.ReadAll(resp.Body))
		},
		"http1": func() []byte {
			req := must(http.NewRequestWithContext(ctx, http.MethodPost, httpServer.URL+"/echo", bytes.NewReader(body)))
			resp := must(transport.RoundTrip(req))
			defer resp.Body.Close()
			return must(io.ReadAll(resp.Body))
		},
		"quic": func() []byte {
			var out []byte
			must(0, quicClient.Call(ctx, quicServer.Addr().String(), servingID, "echo", body, &out))
			return out
		},
	}
	for _, name := range []string{"callmux", "http1", "quic"} {
		for _, callers := range []int{1, 20} {
			b.Run(fmt.Sprintf("%s/callers=%d", name, callers), func(b *testing.B) { runCallers(b, callers, len(body), calls[name]) })
		}
	}
}

func benchEcho(_ context.Context, _ peer.Identity, req *callmux.Request) (*callmux.Response, error) {
	return &callmux.Response{Status: 200, Body: io.NopCloser(req.Body), BodyLength: req.BodyLength}, nil
}

// runCallers makes b.N calls from the given number of concurrent callers.
func runCallers(b *testing.B, callers, length int, call func() []byte) {
	latencies := make([]time.Duration, b.N)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(b.N); i = next.Add(1) - 1 {
				start := time.Now()
				if got := call(); len(got) != length {
					b.Errorf("response body of %d bytes", len(got))
				}
				latencies[i] = time.Since(start)
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[b.N/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[b.N*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}
