package capacity

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/peer"
)

const (
	// claimDuration is the length of one measured load.
	claimDuration = 5 * time.Second
	// claimRoute is the route of all claimed writes.
	claimRoute = model.RouteName("route-0000-1")
	// claimBodyBytes is the size of the body of a recorded answer.
	claimBodyBytes = 100
	// targetClaimRate is the rate in writes/s, and targetClaimRecords the number of
	// records of a claim group, for which the fitted values are printed.
	targetClaimRate, targetClaimRecords = 1_000, 1_000_000
)

// Claims measures claims and completions of writes on three control processes, for each
// number of claim groups: at fixed rates to get the cost of a write, then with callers
// in a closed loop to get the highest rate.
func Claims(ctx context.Context, w io.Writer, bin string, groups, rates, callers []int) error {
	for _, g := range groups {
		if err := measureClaimGroups(ctx, w, bin, g, rates, callers); err != nil {
			return fmt.Errorf("%d groups: %w", g, err)
		}
	}
	return nil
}

// measureClaimGroups measures one fleet with the given number of claim groups.
func measureClaimGroups(ctx context.Context, w io.Writer, bin string, groups int, rates, callers []int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(bin, groups)
	defer f.close()
	if err != nil {
		return err
	}
	if f.pids, err = childPIDs(); err != nil {
		return err
	}
	client, err := f.claimClient(ctx)
	if err != nil {
		return err
	}
	load := &claimLoad{client: client}
	if err := load.runClosedLoop(ctx, 8, time.Second); err != nil {
		return err
	}
	cpu, memory := newSeriesSet("writes/s"), newSeriesSet("records")
	for _, n := range rates {
		run := func() error { return load.runRate(ctx, n, claimDuration) }
		if err := f.measureClaims(w, cpu, memory, load, fmt.Sprintf("%d groups, %d writes/s", groups, n), run); err != nil {
			return err
		}
	}
	if err := cpu.write(w, targetClaimRate); err != nil {
		return err
	}
	for _, n := range callers {
		run := func() error { return load.runClosedLoop(ctx, n, claimDuration) }
		if err := f.measureClaims(w, newSeriesSet("writes/s"), memory, load, fmt.Sprintf("%d groups, %d callers", groups, n), run); err != nil {
			return err
		}
	}
	return memory.write(w, targetClaimRecords)
}

// measureClaims runs a load, prints its figures and adds them to the series.
func (f *fleet) measureClaims(w io.Writer, cpu, memory *seriesSet, load *claimLoad, name string, run func() error) error {
	before := map[model.HostID]Usage{}
	bytesBefore := map[model.HostID]int64{}
	var err error
	for _, c := range f.Controls {
		if before[c.Host], err = f.usageOf(c.Host); err != nil {
			return err
		}
		t, err := f.trafficOf("https://" + c.OperatorAddress)
		if err != nil {
			return err
		}
		bytesBefore[c.Host] = t.total()
	}
	count, start := load.done, time.Now()
	load.claim, load.complete = newMicrosHistogram(), newMicrosHistogram()
	if err := run(); err != nil {
		return err
	}
	took, writes := time.Since(start), load.done-count
	rate := float64(writes) / took.Seconds()
	var spent time.Duration
	var anonymous, bytes float64
	for _, c := range f.Controls {
		u, err := f.usageOf(c.Host)
		if err != nil {
			return err
		}
		t, err := f.trafficOf("https://" + c.OperatorAddress)
		if err != nil {
			return err
		}
		bytes += float64(t.total() - bytesBefore[c.Host])
		spent += u.Minus(before[c.Host]).CPU
		anonymous += float64(u.Anonymous) / float64(len(f.Controls))
	}
	memory.add("memory of a control host", "B", float64(load.done), anonymous)
	cpu.add("CPU of three control hosts", "% of a core", rate, spent.Seconds()/took.Seconds()*100)
	cpu.add("frames of three control hosts", "B/s", rate, bytes/took.Seconds())
	printf(w, "%s: %.0f writes/s, failed %d; claim p50 %d µs p99 %d µs; complete p50 %d µs; three control hosts %.0f µs CPU and %.0f B of frames a write\n",
		name, rate, load.failed, load.claim.ValueAtQuantile(50), load.claim.ValueAtQuantile(99),
		load.complete.ValueAtQuantile(50), micros(spent, max(1, writes)), bytes/float64(max(1, writes)))
	return nil
}

func newMicrosHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// claimClient returns a claim client that has the certificate of a node.
func (f *fleet) claimClient(ctx context.Context) (*claim.Client, error) {
	ca, err := peer.OpenDevCA(filepath.Join(f.dir, "ca"))
	if err != nil {
		return nil, err
	}
	files, err := ca.Issue(peer.Identity{Role: peer.RoleNode, DataCentre: dataCentres[0], Host: "claimer"})
	if err != nil {
		return nil, err
	}
	creds, err := peer.LoadCredentials(files)
	if err != nil {
		return nil, err
	}
	ep, err := peer.Listen(peer.Config{Listen: "127.0.0.1:0", Credentials: creds, Log: discardLog})
	if err != nil {
		return nil, err
	}
	go func() { _ = ep.Serve(ctx) }()
	addresses, err := f.controlAddresses()
	if err != nil {
		return nil, err
	}
	return claim.NewClient(claim.ClientConfig{
		PeerCaller: ep, Hosts: func() []claim.ControlHost { return addresses }, Groups: uint32(f.claimGroups),
		Incarnation: func() uint64 { return 1 }, AttemptTimeout: 2 * time.Second,
	}), nil
}

func (f *fleet) controlAddresses() ([]claim.ControlHost, error) {
	var out []claim.ControlHost
	for _, c := range f.Controls {
		err := f.editSettings(string(c.Host), func(s map[string]any) {
			out = append(out, claim.ControlHost{Host: c.Host, Address: s["listen"].(map[string]any)["peer"].(string)})
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

// claimLoad generates writes, each of them a claim followed by its completion. mu
// guards the fields below it.
type claimLoad struct {
	client *claim.Client

	mu              sync.Mutex
	done, failed    int
	lastKey         int
	claim, complete *hdrhistogram.Histogram
}

// runClosedLoop runs concurrent callers that each make one write after the other.
func (l *claimLoad) runClosedLoop(ctx context.Context, callers int, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for ctx.Err() == nil {
				l.write(ctx)
			}
		})
	}
	wg.Wait()
	if l.done == 0 {
		return fmt.Errorf("no claim was granted, %d failed", l.failed)
	}
	return nil
}

// runRate starts writes at a fixed rate and waits for all of them.
func (l *claimLoad) runRate(ctx context.Context, rate int, d time.Duration) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := range rate * int(d/time.Second) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wg.Go(func() { l.write(ctx) })
	}
	return nil
}

// write claims a new key and completes it. A write that fails because ctx ended is not
// counted.
func (l *claimLoad) write(ctx context.Context) {
	l.mu.Lock()
	l.lastKey++
	key := fmt.Sprintf("%d-capacity-%020d", time.Now().Unix(), l.lastKey)
	l.mu.Unlock()
	start := time.Now()
	g, err := l.client.Claim(ctx, key, claim.DigestOf([]byte(key)), claimRoute, 5*time.Second)
	granted := time.Now()
	if err == nil {
		err = l.client.Complete(ctx, g, claim.NewAnswer(200, nil, make([]byte, claimBodyBytes)))
	}
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.failed++
		return
	}
	l.done++
	if l.claim != nil {
		_ = l.claim.RecordValue(granted.Sub(start).Microseconds())
		_ = l.complete.RecordValue(time.Since(granted).Microseconds())
	}
}
