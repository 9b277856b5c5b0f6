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

// samples are the latencies of one measurement; the mutex guards all fields.
type samples struct {
	mu     sync.Mutex
	pooled *hdrhistogram.Histogram
	round  *hdrhistogram.Histogram
	failed int64
	// p50s and p99s are those of the finished rounds, in milliseconds.
	p50s, p99s []float64
}

const (
	maxSampleMicros   = 60_000_000
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

// endRound closes a round and adds it to the pooled figures.
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

// lookup is one kind of request of a latency measurement.
type lookup struct{ service, path string }

// driver sends lookups and checks the answers.
type driver struct{ client *http.Client }

const (
	driverConnections = 64
	driverTimeout     = 3 * time.Second
)

func newDriver() *driver {
	return &driver{client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: driverConnections},
		Timeout:   driverTimeout,
	}}
}

// call sends one lookup; an answer that is not whole or belongs to another request is an error.
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

// openLoop sends lookups at a fixed rate to each target. Latency counts from
// the scheduled start.
func (d *driver) openLoop(targets []string, l lookup, rate float64, duration time.Duration, s *samples) {
	interval := time.Duration(float64(time.Second) / rate)
	var wg sync.WaitGroup
	start := time.Now()
	for i, target := range targets {
		// The targets are offset against each other, so that calls do not come in bursts.
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

// closedLoop lets callers send one lookup after the other to the targets in turn.
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
