package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
)

const (
	// largeBodyBytes is the size of the large bodies, which the release note allows.
	largeBodyBytes = 64 << 20
	// bodyTransfers is the number of requests with large bodies, and of large answers, at a
	// time. A quarter of each is slow at the caller, a quarter slow at the stand-in, a
	// quarter stopped by the caller, and the rest unlimited.
	bodyTransfers = 8
	// slowBodyRate is the rate of a slow end, in bytes per second.
	slowBodyRate = 1 << 20
	// stoppedAfterBytes is where the caller of a stopped transfer stops.
	stoppedAfterBytes = 1 << 20
	// bodiesDuration is how long small requests are measured with and without large ones.
	bodiesDuration = 15 * time.Second
	// bodiesWarmUp is how long the concurrency limit may grow before that.
	bodiesWarmUp = 3 * time.Second
	// smallRate is the rate of the small requests, in calls per second.
	smallRate = 200.0
	// targetBodyMemoryMB is the target for the growth of a node's peak memory.
	targetBodyMemoryMB = 48
	// targetSmallRatio is the target for the ratio of the 99th percentiles.
	targetSmallRatio = 2
)

// TransferRow is the transfer of one body through two nodes and without the mesh.
type TransferRow struct {
	Direction string  `json:"direction"`
	Framing   string  `json:"framing"`
	Bytes     int64   `json:"bytes"`
	Seconds   float64 `json:"seconds"`
	Direct    float64 `json:"direct_seconds"`
	Whole     bool    `json:"whole"`
}

// BodiesResult holds the figures of the bodies experiment.
type BodiesResult struct {
	Transfers []TransferRow `json:"transfers"`
	// MemoryMB is the greatest growth of a node's peak memory.
	MemoryMB float64 `json:"memory_growth_mb"`
	// SmallAlone and SmallBeside are the 99th percentiles of small requests, in milliseconds.
	SmallAlone  float64 `json:"small_p99_alone_ms"`
	SmallBeside float64 `json:"small_p99_beside_ms"`
	// Finished and Broken count the large transfers that were not stopped.
	Finished int64 `json:"finished"`
	Broken   int64 `json:"broken"`
}

// WriteTable writes the figures as tables for reading.
func (r *BodiesResult) WriteTable(w io.Writer) error {
	t := newTable(w, "direction\tframing\tbytes\tseconds\tdirect\tratio\twhole")
	for _, x := range r.Transfers {
		t.row("%s\t%s\t%d\t%.3f\t%.3f\t%.1f\t%v", x.Direction, x.Framing, x.Bytes, x.Seconds, x.Direct, x.Seconds/x.Direct, x.Whole)
	}
	if err := t.flush(); err != nil {
		return err
	}
	t = newTable(w, "measure\tvalue\ttarget")
	t.row("growth of a node's peak memory, MB\t%.1f\t%d", r.MemoryMB, targetBodyMemoryMB)
	t.row("p99 of small requests alone, ms\t%.2f\t", r.SmallAlone)
	t.row("p99 beside large bodies, ms\t%.2f\t", r.SmallBeside)
	t.row("ratio\t%.2f\t%d", r.SmallBeside/r.SmallAlone, targetSmallRatio)
	t.row("large transfers finished, broken\t%d, %d\t0 broken", r.Finished, r.Broken)
	return t.flush()
}

// bodiesNote allows large bodies and adds a route that is neither retried nor hedged.
func bodiesNote(service string) string {
	return fmt.Sprintf(`{"number": 2, "title": "large bodies", "limits": {"body_bytes": %d}, "routes": {"added": [{"name": "bodies",
		"path_prefix": %q, "methods": ["GET", "POST"], "service": %q, "kind": "lookup", "timeout": "2m", "max_retries": 0, "hedge": false}]}}`,
		largeBodyBytes, strings.TrimSuffix(standin.BodiesPrefix, "/"), service)
}

// bodiesService is the service whose stand-in transfers bodies.
const bodiesService = "cabinet-ledger"

// bodiesSize is a fleet of two nodes: callers enter at the first, and all their requests run
// beside the second.
func bodiesSize() Size {
	dcs := Aare().DataCentres
	return Size{
		Name: "bodies", DataCentres: dcs,
		Services: []ServiceSize{{"entry-desk", dcs[:1]}, {bodiesService, dcs[:1]}},
		Routes: []RouteSize{{Name: "cabinet-status", Kind: model.KindLookup, Service: bodiesService, Method: http.MethodGet, Prefix: "/cabinets", Fraction: 1},
			{Name: "entry", Kind: model.KindLookup, Service: "entry-desk", Method: http.MethodGet, Prefix: "/entry", Fraction: 1}},
	}
}

// Bodies measures large bodies through two nodes: time, memory, and small requests beside them.
func Bodies(o Options) (Result, error) {
	o.Size = bodiesSize()
	s, err := startSystem(o, setup{
		latency: latencyServiceTime, timeouts: Timeouts{Lookup: time.Second, Write: time.Second, Urgent: time.Second},
		queueTimeout: time.Second, warm: true,
	})
	if err != nil {
		return nil, err
	}
	defer s.kill()
	if err := s.fleet.Publish(bodiesNote(bodiesService)); err != nil {
		return nil, err
	}
	b := &bodies{s: s, res: &BodiesResult{}}
	if err := demo.Eventually(routesTimeout, b.checkRoute); err != nil {
		return nil, err
	}
	for _, size := range []int64{1 << 10, 300_000, 5 << 20, largeBodyBytes} {
		if err := b.transfers(size); err != nil {
			return b.res, err
		}
	}
	if err := b.manyAtOnce(); err != nil {
		return b.res, err
	}
	if b.res.MemoryMB > targetBodyMemoryMB || b.res.Broken > 0 || b.res.SmallBeside > targetSmallRatio*b.res.SmallAlone {
		return b.res, errors.New("a target was missed")
	}
	return b.res, nil
}

// bodies runs the transfers; its callers use one entry node.
type bodies struct {
	s   *system
	res *BodiesResult
}

func (b *bodies) entryURL() string { return b.s.fleet.Servers[0].CallerURL }

func (b *bodies) checkRoute() error {
	n, err := download(b.entryURL(), 1, standin.FramingLength, 0, 0)
	if err == nil && n != 1 {
		err = fmt.Errorf("%d bytes in place of 1", n)
	}
	return err
}

func bodiesURL(base string, answer int64, framing string, rate int64) string {
	return base + standin.BodiesPrefix + "x?" + standin.ParamAnswer + "=" + strconv.FormatInt(answer, 10) + "&" +
		standin.ParamFraming + "=" + framing + "&" + standin.ParamRate + "=" + strconv.FormatInt(rate, 10)
}

// download reads an answer, at callerRate, and returns the number of right bytes.
func download(base string, size int64, framing string, serverRate, callerRate int64) (int64, error) {
	resp, err := http.Get(bodiesURL(base, size, framing, serverRate)) //nolint:noctx // bounded by the route's timeout
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return comparePattern(standin.Paced(resp.Body, callerRate), size)
}

// comparePattern reads r up to its end and returns how many bytes are those of the pattern.
func comparePattern(r io.Reader, size int64) (int64, error) {
	got, want := make([]byte, 64<<10), make([]byte, 64<<10)
	expected, total := standin.Pattern(size+1), int64(0)
	for {
		n, err := r.Read(got)
		if _, wantErr := io.ReadFull(expected, want[:n]); wantErr != nil || !bytes.Equal(got[:n], want[:n]) {
			return total, errors.New("other bytes than were sent")
		}
		total += int64(n)
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// upload sends a body, at callerRate, and returns the number of bytes that arrived.
func upload(base string, size int64, framing string, serverRate, callerRate int64) (int64, error) {
	req, err := http.NewRequest(http.MethodPost, bodiesURL(base, 0, standin.FramingLength, serverRate), standin.Paced(standin.Pattern(size), callerRate)) //nolint:noctx // bounded by the route's timeout
	if err != nil {
		return 0, err
	}
	if req.ContentLength = -1; framing == standin.FramingLength {
		req.ContentLength = size
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return strconv.ParseInt(resp.Header.Get("X-Received"), 10, 64)
}

// transfers measures one body in each direction and framing, through the mesh and directly.
func (b *bodies) transfers(size int64) error {
	direct := "http://" + b.s.fleet.Servers[1].BackendAddress
	type transfer = func(string, int64, string, int64, int64) (int64, error)
	for _, x := range []struct {
		direction, framing string
		run                transfer
	}{
		{"request", standin.FramingLength, upload}, {"request", standin.FramingChunked, upload},
		{"answer", standin.FramingLength, download}, {"answer", standin.FramingChunked, download}, {"answer", standin.FramingClose, download},
	} {
		row := TransferRow{Direction: x.direction, Framing: x.framing, Bytes: size}
		began := time.Now()
		n, err := x.run(b.entryURL(), size, x.framing, 0, 0)
		row.Seconds, row.Whole = time.Since(began).Seconds(), err == nil && n == size
		began = time.Now()
		if _, directErr := x.run(direct, size, x.framing, 0, 0); directErr != nil {
			return fmt.Errorf("%s without the mesh: %w", x.direction, directErr)
		}
		row.Direct = time.Since(began).Seconds()
		b.res.Transfers = append(b.res.Transfers, row)
		if !row.Whole {
			return fmt.Errorf("%s of %d bytes, %s: %d bytes arrived: %w", x.direction, size, x.framing, n, err)
		}
	}
	return nil
}

// manyAtOnce runs the large transfers beside small requests through the same nodes.
func (b *bodies) manyAtOnce() error {
	l := lookup{bodiesService, b.s.Size.Routes[0].Prefix + "/7"}
	d, alone, beside := newDriver(), newSamples(), newSamples()
	entry := []string{b.entryURL()}
	// The node raises its concurrency limit only with the load, and refuses what it has no room for.
	d.closedLoop(entry, l, closedCallers, bodiesWarmUp, newSamples())
	d.openLoop(entry, l, smallRate, bodiesDuration, alone)
	alone.endRound()
	before, err := b.peakMemory()
	if err != nil {
		return err
	}
	b.s.logf("small requests alone: p99 %.2f ms; %d requests and %d answers of %d bytes begin", alone.p99s[0], bodyTransfers, bodyTransfers, int64(largeBodyBytes))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var transfers, stopped sync.WaitGroup
	var finished, broken atomic.Int64
	for i := range bodyTransfers {
		for _, run := range []func(string, int64, string, int64, int64) (int64, error){upload, download} {
			serverRate, callerRate := int64(0), int64(0)
			switch i % 4 {
			case 0:
				callerRate = slowBodyRate
			case 1:
				serverRate = slowBodyRate
			case 2:
				stopped.Go(func() { b.stop(ctx, i%8 == 2) })
				continue
			}
			transfers.Go(func() {
				if n, err := run(b.entryURL(), largeBodyBytes, standin.FramingChunked, serverRate, callerRate); err != nil || n != largeBodyBytes {
					b.s.logf("transfer broken after %d bytes: %v", n, err)
					broken.Add(1)
					return
				}
				finished.Add(1)
			})
		}
	}
	d.openLoop(entry, l, smallRate, bodiesDuration, beside)
	beside.endRound()
	transfers.Wait()
	after, err := b.peakMemory()
	if err != nil {
		return err
	}
	cancel()
	stopped.Wait()
	for i := range after {
		b.res.MemoryMB = max(b.res.MemoryMB, after[i]-before[i])
	}
	b.res.SmallAlone, b.res.SmallBeside = alone.p99s[0], beside.p99s[0]
	b.res.Finished, b.res.Broken = finished.Load(), broken.Load()
	return nil
}

// stop begins a transfer, of a request or of an answer, and leaves it at rest until ctx ends.
func (b *bodies) stop(ctx context.Context, request bool) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", strings.TrimPrefix(b.entryURL(), "http://"))
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	head := "GET " + bodiesURL("", largeBodyBytes, standin.FramingLength, 0) + " HTTP/1.1\r\nHost: a\r\n\r\n"
	if request {
		head = fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodiesURL("", 0, standin.FramingLength, 0), largeBodyBytes)
	}
	_, _ = io.WriteString(conn, head)
	if request {
		_, _ = io.CopyN(conn, standin.Pattern(largeBodyBytes), stoppedAfterBytes)
	} else {
		_, _ = io.CopyN(io.Discard, conn, stoppedAfterBytes)
	}
	<-ctx.Done()
}

// peakMemory returns the peak of the resident memory of each node so far, in MB.
func (b *bodies) peakMemory() ([]float64, error) {
	var out []float64
	for _, server := range b.s.fleet.Servers {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", server.Node.PID()))
		if err != nil {
			return nil, err
		}
		_, rest, _ := strings.Cut(string(status), "VmHWM:")
		kB, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err != nil {
			return nil, err
		}
		out = append(out, kB/1024)
	}
	return out, nil
}
