package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minLatencyMicros is the lowest latency that the histogram records, in microseconds.
	minLatencyMicros = 1
	// maxLatencyMicros is the highest latency that the histogram records, in microseconds.
	maxLatencyMicros = 60_000_000
	// histogramDigits is the number of significant digits of recorded latencies.
	histogramDigits = 3
	// maxDetails is the maximum number of distinct texts of requests that were not ok.
	maxDetails = 20
)

// FlowReport holds the results of one flow. Latencies and versions are those of
// requests that were ok.
type FlowReport struct {
	Name     string            `json:"name"`
	Kind     string            `json:"kind"`
	Sent     int64             `json:"sent"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	Versions map[string]int64  `json:"versions"`
	P50      float64           `json:"p50_ms"`
	P99      float64           `json:"p99_ms"`
	Max      float64           `json:"max_ms"`
	Seconds  []SecondReport    `json:"seconds"`
	hist     *hdrhistogram.Histogram
	seconds  map[int64]*SecondReport
}

// SecondReport counts the requests of a flow whose scheduled start was in one second.
type SecondReport struct {
	Second   int64             `json:"second"`
	Versions map[string]int64  `json:"versions"`
	Outcomes map[Outcome]int64 `json:"outcomes"`
	// Services counts the requests that were ok by the service that answered.
	Services map[string]int64 `json:"services"`
}

// Report collects the results of all flows. The mutex guards the fields below it.
type Report struct {
	mu    sync.Mutex
	start time.Time
	flows map[string]*FlowReport
	// details counts the requests that were not ok by their description.
	details map[string]int
	keys    map[string]KeyReport
}

// KeyReport holds the outcomes that the caller of one write received.
type KeyReport struct {
	// OK is set once an attempt got the expected answer of the backend server.
	OK bool
	// NotRun is set if every attempt was refused as not run.
	NotRun bool
}

// recordWrite records the outcome of one attempt of a write; attempts count from 0.
func (r *Report) recordWrite(key string, o Outcome, attempt int) {
	if key == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.keys[key]
	k.OK = k.OK || o == OutcomeOK
	k.NotRun = o == OutcomeNotRun && (attempt == 0 || k.NotRun)
	r.keys[key] = k
}

// Keys returns the outcomes of each write by idempotency key.
func (r *Report) Keys() map[string]KeyReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.keys)
}

// NewReport returns an empty report that counts its seconds from start.
func NewReport(start time.Time) *Report {
	return &Report{start: start, flows: map[string]*FlowReport{}, keys: map[string]KeyReport{}, details: map[string]int{}}
}

// add records the result of one request with its scheduled start.
func (r *Report) add(f Flow, res result, due time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fr, ok := r.flows[f.Name]
	if !ok {
		fr = &FlowReport{
			Name: f.Name, Kind: f.Kind.String(),
			Outcomes: map[Outcome]int64{}, Versions: map[string]int64{},
			hist:    hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits),
			seconds: map[int64]*SecondReport{},
		}
		r.flows[f.Name] = fr
	}
	fr.Sent++
	fr.Outcomes[res.outcome]++
	second := fr.second(int64(due.Sub(r.start) / time.Second))
	second.Outcomes[res.outcome]++
	if res.outcome == OutcomeOK {
		fr.Versions[res.version]++
		second.Versions[res.version]++
		second.Services[res.service]++
		_ = fr.hist.RecordValue(max(res.latency.Microseconds(), minLatencyMicros))
	}
	if res.outcome != OutcomeOK {
		r.countDetail(fmt.Sprintf("%s %s status %d: %s", f.Name, res.outcome, res.status, strings.TrimSpace(res.detail)))
	}
}

// second returns the report of the n-th second and creates it if it is missing.
func (f *FlowReport) second(n int64) *SecondReport {
	s, ok := f.seconds[n]
	if !ok {
		s = &SecondReport{Second: n, Versions: map[string]int64{}, Outcomes: map[Outcome]int64{}, Services: map[string]int64{}}
		f.seconds[n] = s
	}
	return s
}

// ServicesSince returns how many requests of a flow each service answered in the full
// seconds of the report since a time.
func (r *Report) ServicesSince(flow string, since time.Time) map[string]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int64{}
	if r.flows[flow] == nil {
		return out
	}
	for n, second := range r.flows[flow].seconds {
		if time.Duration(n)*time.Second < since.Sub(r.start) {
			continue
		}
		for service, count := range second.Services {
			out[service] += count
		}
	}
	return out
}

// Flows returns the reports of all flows in order of name, with their latencies and
// seconds filled in.
func (r *Report) Flows() []FlowReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []FlowReport
	for _, name := range slices.Sorted(maps.Keys(r.flows)) {
		f := *r.flows[name]
		f.P50 = float64(f.hist.ValueAtQuantile(50)) / 1000
		f.P99 = float64(f.hist.ValueAtQuantile(99)) / 1000
		f.Max = float64(f.hist.Max()) / 1000
		f.Seconds = nil
		for _, n := range slices.Sorted(maps.Keys(f.seconds)) {
			f.Seconds = append(f.Seconds, *f.seconds[n])
		}
		out = append(out, f)
	}
	return out
}

// countDetail counts a request that was not ok by its description. Once there are
// maxDetails descriptions, new ones are dropped.
func (r *Report) countDetail(text string) {
	if _, known := r.details[text]; known || len(r.details) < maxDetails {
		r.details[text]++
	}
}

// Details returns the descriptions of requests that were not ok, each with its count.
func (r *Report) Details() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, text := range slices.Sorted(maps.Keys(r.details)) {
		out = append(out, fmt.Sprintf("%d x %s", r.details[text], text))
	}
	return out
}

// Count returns the number of requests of all flows with an outcome.
func (r *Report) Count(o Outcome) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var n int64
	for _, f := range r.flows {
		n += f.Outcomes[o]
	}
	return n
}

// WriteTable writes a table with one row for each flow.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "flow\tkind\tsent\tok\tnot-run\tunknown\tfailed\tlate\twrong\tlost\tp50 ms\tp99 ms\tmax ms")
	for _, f := range r.Flows() {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\n", f.Name, f.Kind, f.Sent,
			f.Outcomes[OutcomeOK], f.Outcomes[OutcomeNotRun], f.Outcomes[OutcomeUnknown], f.Outcomes[OutcomeFailed],
			f.Outcomes[OutcomeLate], f.Outcomes[OutcomeWrong], f.Outcomes[OutcomeNoConnection], f.P50, f.P99, f.Max)
	}
	return tw.Flush()
}

// WriteJSON writes the reports of all flows with their seconds as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r.Flows())
}
