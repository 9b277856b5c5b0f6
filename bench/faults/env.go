package faults

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/operator"
)

// token is the operator token that demo.Fleet writes to the settings.
const token = "demo-operator-token"

// env holds the fleet, the load and the measured figures of one scenario.
type env struct {
	*demo.Fleet
	ctx      context.Context
	dir, bin string
	out      io.Writer
	start    time.Time
	figures  []string

	report *load.Report
	// reportStart is the start of second 0 of the report.
	reportStart time.Time
	stopLoad    func()
	// loadFactor multiplies the request rates of the load; values below 1 count as 1.
	loadFactor float64
	// endedRuns is the number of runs of each idempotency key on stand-ins that a
	// scenario has killed.
	endedRuns map[string]int
	clients   []*operator.Client
}

// runAndCheck prepares a fleet, runs a scenario and checks the results that must hold
// after every scenario.
func (e *env) runAndCheck(run func(*env) error) error {
	f, err := demo.NewFleet(e.dir, e.bin, []model.DataCentre{"thun", "bern-altstadt", "burgdorf"})
	if err != nil {
		return err
	}
	e.Fleet = f
	defer f.KillAll()
	err = run(e)
	e.endLoad()
	for _, c := range e.clients {
		c.Close()
	}
	return errors.Join(err, e.checkResults())
}

// logProgress writes a progress line with the time since the start of the scenario.
func (e *env) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, "  %5.1f s  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// addFigure appends a measurement to the line of figures.
func (e *env) addFigure(format string, args ...any) {
	e.figures = append(e.figures, fmt.Sprintf(format, args...))
}

// seconds formats a duration for the line of figures.
func seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }

// client returns an operator client that uses only the given control hosts; all
// of them if none is given.
func (e *env) client(hosts ...*demo.ControlHost) (*operator.Client, error) {
	if len(hosts) == 0 {
		hosts = e.Controls
	}
	c, err := e.Client(hosts...)
	if err == nil {
		e.clients = append(e.clients, c)
	}
	return c, err
}

// operatorHTTPClient returns an HTTP client for the operator interface that trusts the
// fleet's certificate authority.
func (e *env) operatorHTTPClient() (*http.Client, error) {
	pool, err := e.CAPool()
	if err != nil {
		return nil, err
	}
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, DisableKeepAlives: true}
	return &http.Client{Transport: tr, Timeout: requestTimeout}, nil
}

// publish publishes a note given as JSON.
func (e *env) publish(c *operator.Client, op model.OperationID, text string) (note.Result, error) {
	n, err := note.ParseNote([]byte(text))
	if err != nil {
		return note.Result{}, err
	}
	return c.Publish(e.ctx, op, n)
}

// startTimeout bounds the start of processes and other steps that take a few seconds.
const startTimeout = 15 * time.Second

// startControls starts the control hosts and waits for a leader.
func (e *env) startControls() error {
	for _, c := range e.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	return demo.Eventually(startTimeout, func() error { _, err := e.Leader(); return err })
}

// startMesh adds v1 backend servers of both services in the given data centres, starts
// all processes and publishes the first note.
func (e *env) startMesh(ledger, roster []model.DataCentre) error {
	specs := append(backendSpecs("ledger", "v1", ledger), backendSpecs("roster", "v1", roster)...)
	for _, s := range specs {
		if _, err := e.Add(s); err != nil {
			return err
		}
	}
	return e.startAll()
}

// startAll starts the prepared processes, publishes the first note and waits until all
// nodes serve and no control host reports a problem.
func (e *env) startAll() error {
	if err := e.startControls(); err != nil {
		return err
	}
	for _, s := range e.Servers {
		if err := s.Start(); err != nil {
			return err
		}
	}
	if err := e.Publish(firstNote); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, func() error { return e.checkAllRoute(1) }); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, e.checkAllServe); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, e.checkAllEndpointsKnown); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, e.checkNoProblems); err != nil {
		return err
	}
	e.logProgress("%d control hosts and %d nodes run", len(e.Controls), len(e.Servers))
	return nil
}

// checkAllEndpointsKnown returns an error unless every node knows every backend server. A
// scenario that stopped a node earlier would test the start of the mesh instead.
func (e *env) checkAllEndpointsKnown() error {
	for _, s := range e.Servers {
		st, err := s.Status()
		if err != nil {
			return err
		}
		if st.Endpoints < len(e.Servers) {
			return fmt.Errorf("node %s knows %d of %d backend servers", s.Host, st.Endpoints, len(e.Servers))
		}
	}
	return nil
}

// checkNoProblems returns an error if a control host reports a problem, such as a
// control group without a leader.
func (e *env) checkNoProblems() error {
	for _, h := range e.Controls {
		c, err := e.client(h)
		if err != nil {
			return err
		}
		st, err := c.Status(e.ctx)
		if err != nil {
			return err
		}
		if len(st.Status.Problems) > 0 {
			return fmt.Errorf("%s reports: %s", h.Host, strings.Join(st.Status.Problems, "; "))
		}
	}
	return nil
}

// backendSpecs returns the specs of backend servers of one version, one for each
// element of dcs.
func backendSpecs(service model.ServiceName, version model.ServiceVersion, dcs []model.DataCentre) []demo.BackendServerSpec {
	var out []demo.BackendServerSpec
	for _, dc := range dcs {
		out = append(out, demo.BackendServerSpec{Service: service, Version: version, DataCentre: dc})
	}
	return out
}

// checkAllServe returns an error unless every node answers a lookup of each service.
func (e *env) checkAllServe() error {
	for _, s := range e.Servers {
		for _, path := range []string{"/cabinets/7", "/rosters/3"} {
			if code, err := statusCode(s.CallerURL + path); err != nil || code != http.StatusOK {
				return fmt.Errorf("%s%s: status %d, %w", s.Host, path, code, err)
			}
		}
	}
	return nil
}

// checkAllRoute returns an error unless every node can route and has a configuration
// in force whose log index is at least index.
func (e *env) checkAllRoute(index uint64) error {
	for _, s := range e.Servers {
		st, err := s.Status()
		if err != nil {
			return err
		}
		if !st.Routable || st.Position.Index < index {
			return fmt.Errorf("node %s: routable %t, index %d of %d", s.Host, st.Routable, st.Position.Index, index)
		}
	}
	return nil
}

// timeUntil calls f every 20 ms until it returns nil or limit has passed, and returns
// the elapsed time.
func timeUntil(limit time.Duration, f func() error) (time.Duration, error) {
	began := time.Now()
	err := demo.Eventually(limit, f)
	return time.Since(began), err
}

// startLoad sends light load through the entry nodes until endLoad is called.
func (e *env) startLoad(entries []*demo.BackendServer) {
	if e.report == nil {
		e.reportStart = time.Now()
		e.report = load.NewReport(e.reportStart)
	}
	var targets []string
	for _, s := range entries {
		targets = append(targets, s.CallerURL)
	}
	flow := func(name string, kind model.Kind, service, method, path string, rate float64) load.Flow {
		return load.Flow{Name: name, Kind: kind, Service: service, Method: method, Path: path, Rate: rate * max(e.loadFactor, 1),
			BodyBytes: 256, Timeout: time.Second, Targets: targets, MaxResends: 5}
	}
	flows := []load.Flow{
		flow(lookupFlow, model.KindLookup, "ledger", http.MethodGet, "/cabinets/7", 100),
		flow("rosters", model.KindLookup, "roster", http.MethodGet, "/rosters/3", 40),
		flow(writeFlow, model.KindWrite, "ledger", http.MethodPost, "/restocks", 20),
		flow("urgent", model.KindUrgent, "ledger", http.MethodGet, "/urgent/1", 10),
	}
	ctx, cancel := context.WithCancel(e.ctx)
	var wg sync.WaitGroup
	wg.Go(func() { load.New(e.report).Run(ctx, flows) })
	e.stopLoad = func() { cancel(); wg.Wait() }
}

// Names of the request flows whose reports scenarios read.
const (
	lookupFlow = "lookups"
	writeFlow  = "writes"
)

func (e *env) endLoad() {
	if e.stopLoad != nil {
		e.stopLoad()
		e.stopLoad = nil
	}
}

// scanLog calls f with each line of a process's log.
func (e *env) scanLog(name string, f func(line string)) {
	fh, err := os.Open(filepath.Join(e.dir, name+".log"))
	if err != nil {
		return
	}
	defer fh.Close()
	sc := bufio.NewScanner(fh)
	sc.Buffer(make([]byte, 64<<10), 4<<20)
	for sc.Scan() {
		f(sc.Text())
	}
}

// countLog counts the lines of a process's log that contain the text.
func (e *env) countLog(name, text string) int {
	n := 0
	e.scanLog(name, func(line string) {
		if strings.Contains(line, text) {
			n++
		}
	})
	return n
}
