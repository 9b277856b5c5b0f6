package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"balsamtrail.org/bench/standin"
)

// samples collects the latencies of one measurement; mu guards all other fields.
type samples struct {
	mu sync.Mutex
	// pooled holds the latencies of all finished rounds in microseconds, round those
	// of the current one.
	pooled *hdrhistogram.Histogram
	round  *hdrhistogram.Histogram
	failed int64
	// p50s and p99s are the quantiles of each finished round, in milliseconds.
	p50s, p99s []float64
}

const (
	// maxSampleMicros is the greatest latency of a histogram, in microseconds.
	maxSampleMicros = 60_000_000
	// significantDigits is the precision of a histogram, in decimal digits.
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxSampleMicros, significantDigits)
}

func newSamples() *samples { return &samples{pooled: newHistogram(), round: newHistogram()} }

func (s *samples) add(d time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.failed++
		return
	}
	_ = s.round.RecordValue(max(d.Microseconds(), 1))
}

// endRound records the quantiles of the current round, adds it to the pooled
// histogram and starts the next round.
func (s *samples) endRound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.p50s = append(s.p50s, quantileMs(s.round, 50))
	s.p99s = append(s.p99s, quantileMs(s.round, 99))
	s.pooled.Merge(s.round)
	s.round = newHistogram()
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// lookup identifies the request that a latency measurement sends.
type lookup struct{ service, path string }

// driver is an HTTP client that sends lookups and checks the answers.
type driver struct{ client *http.Client }

const (
	// driverConnections is the number of idle connections kept for each target.
	driverConnections = 64
	// driverTimeout bounds one lookup.
	driverTimeout = 3 * time.Second
)

func newDriver() *driver {
	return &driver{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: driverConnections},
		Timeout:   driverTimeout,
	}}
}

// call sends one lookup. An answer that is incomplete or belongs to another request
// is an error.
func (d *driver) call(target string, l lookup) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, target+l.path, nil)
	if err != nil {
		return err
	}
	nonce := strconv.FormatUint(rand.Uint64(), 36)
	req.Header.Set(standin.HeaderNonce, nonce)
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if want := standin.Answer(l.service, http.MethodGet, l.path, nonce, nil); string(b) != want {
		return fmt.Errorf("status %d: got %q, want %q", resp.StatusCode, b, want)
	}
	return nil
}

// openLoop sends lookups to each target at a fixed rate per second. Latency is
// measured from the scheduled start of a lookup.
func (d *driver) openLoop(targets []string, l lookup, rate float64, duration time.Duration, s *samples) {
	interval := time.Duration(float64(time.Second) / rate)
	var wg sync.WaitGroup
	start := time.Now()
	for i, target := range targets {
		// Targets start at staggered times, so that calls do not come in bursts.
		first := start.Add(interval * time.Duration(i) / time.Duration(len(targets)))
		wg.Go(func() {
			for due := first; due.Sub(start) < duration; due = due.Add(interval) {
				time.Sleep(time.Until(due))
				wg.Go(func() {
					err := d.call(target, l)
					s.add(time.Since(due), err)
				})
			}
		})
	}
	wg.Wait()
}

// closedLoop runs concurrent callers. Each sends one lookup after the other to a
// single target; the callers are spread over the targets in turn.
func (d *driver) closedLoop(targets []string, l lookup, callers int, duration time.Duration, s *samples) {
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range callers {
		wg.Go(func() {
			for started := time.Now(); started.Before(end); started = time.Now() {
				err := d.call(targets[i%len(targets)], l)
				s.add(time.Since(started), err)
			}
		})
	}
	wg.Wait()
}
