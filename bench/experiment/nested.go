package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
)

const (
	// nestedDepth is the number of nested calls below the outer one, so that a call has
	// 25 levels. The answer of each level contains the answers of the levels below it.
	nestedDepth = 24
	// nestedServersPerLevel is the number of backend servers of each level.
	nestedServersPerLevel = 2
	// nestedKilledLevel is the level at which a host is killed.
	nestedKilledLevel = 12
	// nestedFailingLevel is the level that gets a host which fails every request.
	nestedFailingLevel = 6
	// nestedCallers is the number of concurrent callers, each at a different node.
	nestedCallers = 2
	// nestedDuration is the length of a measured phase.
	nestedDuration = 8 * time.Second
	// nestedServiceTime is the time that a stand-in takes for one request.
	nestedServiceTime = 2 * time.Millisecond
	// nestedWarmUp is the length of the phase before the first measured one.
	nestedWarmUp = 4 * time.Second
)

// NestedRow holds the figures of one phase of the nested experiment.
type NestedRow struct {
	Phase string  `json:"phase"`
	Calls int     `json:"calls"`
	OK    int     `json:"ok"`
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	// Runs is the number of requests that stand-ins ran for each outer call, on average.
	Runs float64 `json:"runs_per_call"`
}

// NestedResult holds the figures of the nested experiment.
type NestedResult struct {
	Rows []NestedRow `json:"rows"`
}

// WriteTable writes one row for each phase.
func (r *NestedResult) WriteTable(w io.Writer) error {
	t := newTable(w, "phase\tcalls of 25 levels\tok\tp50 ms\tp99 ms\trequests run for each call")
	for _, x := range r.Rows {
		t.row("%s\t%d\t%d\t%.1f\t%.1f\t%.1f", x.Phase, x.Calls, x.OK, x.P50, x.P99, x.Runs)
	}
	return t.flush()
}

// nestedNote returns the release note, in JSON, that adds a service and a route for
// each level.
func nestedNote() string {
	n := noteJSON{Number: 1, Title: "nested calls"}
	for level := range nestedDepth + 1 {
		service := levelName(level)
		n.Services.Added = append(n.Services.Added, serviceJSON{service, slots, 100, 40, "500ms"})
		n.Shares = append(n.Shares, serviceSharesEntry{service, map[model.ServiceVersion]model.Share{version: model.ShareAll}})
		n.Routes.Added = append(n.Routes.Added, routeJSON{
			Name: string(service), PathPrefix: fmt.Sprintf("/nested/%d", level), Methods: []string{"GET"},
			Service: service, Kind: "lookup", Timeout: "3s", MaxRetries: 2,
		})
	}
	b, err := json.Marshal(n)
	if err != nil {
		panic(err) // cannot happen: all types of the note can be encoded
	}
	return string(b)
}

func levelName(level int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("level-%d", level))
}

// nested is one run of the nested experiment.
type nested struct {
	fleet  *demo.Fleet
	client *http.Client
}

// Nested sends calls of 25 levels in three phases: while all backend servers are
// healthy, just after one backend server and its node were killed, and while an added
// one fails every request. The retries of all levels together must stay within the
// retry budget that a call carries.
func Nested(o Options) (Result, error) {
	f, err := demo.NewFleet(o.Dir, o.Bin, []model.DataCentre{"thun", "bern-altstadt", "burgdorf"})
	if err != nil {
		return nil, err
	}
	defer f.KillAll()
	n := &nested{fleet: f, client: &http.Client{Timeout: 4 * time.Second}}
	if err := n.start(); err != nil {
		return nil, err
	}
	n.runPhase("warming up", nestedWarmUp)
	res := &NestedResult{}
	res.Rows = append(res.Rows, n.runPhase("all well", nestedDuration))
	killed := f.Servers[nestedKilledLevel*nestedServersPerLevel]
	killed.Backend.Kill()
	killed.Node.Kill()
	res.Rows = append(res.Rows, n.runPhase("a host of one level just killed", nestedDuration))
	failing, err := f.Add(n.spec(nestedFailingLevel, "--bad", "at-once"))
	if err != nil {
		return res, err
	}
	if err := failing.Start(); err != nil {
		return res, err
	}
	time.Sleep(2 * time.Second)
	row := n.runPhase("1 of 3 hosts of one level fails every request", nestedDuration)
	res.Rows = append(res.Rows, row)
	// An error answer is not retried, so each level runs at most once for a call.
	if maxRuns := float64(nestedDepth + 1); row.Runs > maxRuns {
		return res, fmt.Errorf("%.1f requests ran for each call, want at most %.0f", row.Runs, maxRuns)
	}
	return res, nil
}

func (n *nested) start() error {
	for _, c := range n.fleet.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for level := range nestedDepth + 1 {
		for range nestedServersPerLevel {
			if _, err := n.fleet.AddAndStart(n.spec(level, "--warm")); err != nil {
				return err
			}
		}
	}
	if err := demo.Eventually(startTimeout, func() error { _, err := n.fleet.Leader(); return err }); err != nil {
		return err
	}
	if err := n.fleet.Publish(nestedNote()); err != nil {
		return err
	}
	return demo.Eventually(routesTimeout, func() error {
		for _, s := range n.fleet.Servers {
			if st, err := s.Status(); err != nil || !st.Routable || st.Position.Index == 0 {
				return fmt.Errorf("node %s does not route yet", s.Host)
			}
		}
		return nil
	})
}

// spec returns the specification of a backend server of one level.
func (n *nested) spec(level int, flags ...string) demo.BackendServerSpec {
	dcs := n.fleet.DataCentres
	return demo.BackendServerSpec{Service: levelName(level), Version: version, DataCentre: dcs[len(n.fleet.Servers)%len(dcs)],
		Flags: append(flags, "--latency", nestedServiceTime.String())}
}

// runPhase sends calls through all levels from nestedCallers callers and counts the
// requests that ran for them.
func (n *nested) runPhase(name string, duration time.Duration) NestedRow {
	before := n.requestsRun()
	var mu sync.Mutex
	var latencies []time.Duration
	row := NestedRow{Phase: name}
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range nestedCallers {
		entry := n.fleet.Servers[i].CallerURL
		wg.Go(func() {
			for time.Now().Before(end) {
				began := time.Now()
				ok := n.call(entry)
				mu.Lock()
				row.Calls++
				if ok {
					row.OK++
					latencies = append(latencies, time.Since(began))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if len(latencies) > 0 {
		slices.Sort(latencies)
		row.P50 = float64(latencies[len(latencies)/2].Microseconds()) / 1000
		row.P99 = float64(latencies[len(latencies)*99/100].Microseconds()) / 1000
	}
	row.Runs = float64(n.requestsRun()-before) / float64(max(row.Calls, 1))
	return row
}

// call sends one call through all levels and reports whether the answer has one line
// for each level.
func (n *nested) call(entry string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/nested/%d", entry, nestedDepth), nil)
	if err != nil {
		return false
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Count(string(b), "\n") == nestedDepth+1
}

// requestsRun returns the number of requests that the live stand-ins have accepted so far.
func (n *nested) requestsRun() (total int64) {
	for _, s := range n.fleet.Servers {
		if st, err := s.Stats(); err == nil {
			total += st.Requests
		}
	}
	return total
}
