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

// token is the operator token that demo.Fleet puts into the settings.
const token = "demo-operator-token"

// env is the fleet, the load and the findings of one scenario.
type env struct {
	*demo.Fleet
	ctx      context.Context
	dir, bin string
	out      io.Writer
	start    time.Time
	figures  []string

	report *load.Report
	// reportStart is where the seconds of the report count from.
	reportStart time.Time
	stopLoad    func()
	// loadFactor multiplies the rates of the load; 0 stands for 1.
	loadFactor float64
	// endedRuns counts the runs by key of stand-ins that were ended.
	endedRuns map[string]int
	clients   []*operator.Client
}

// runAndCheck starts a fleet, runs a scenario, and checks the invariants behind it.
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

// logProgress writes one line of progress with the time since the start.
func (e *env) logProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(e.out, "  %5.1f s  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// addFigure adds to the line of figures.
func (e *env) addFigure(format string, args ...any) {
	e.figures = append(e.figures, fmt.Sprintf(format, args...))
}

// seconds rounds a duration for a line of figures.
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

// operatorHTTPClient returns a plain client of the operator interface.
func (e *env) operatorHTTPClient() (*http.Client, error) {
	pool, err := e.Authority()
	if err != nil {
		return nil, err
	}
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, DisableKeepAlives: true}
	return &http.Client{Transport: tr, Timeout: requestTimeout}, nil
}

// publish publishes a note that is stated in JSON.
func (e *env) publish(c *operator.Client, op model.OperationID, text string) (note.Result, error) {
	n, err := note.ParseNote([]byte(text))
	if err != nil {
		return note.Result{}, err
	}
	return c.Publish(e.ctx, op, n)
}

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

// startMesh starts the control hosts and the first versions of both services and
// publishes the first note.
func (e *env) startMesh(ledger, roster []model.DataCentre) error {
	specs := append(backendSpecs("ledger", "v1", ledger), backendSpecs("roster", "v1", roster)...)
	for _, s := range specs {
		if _, err := e.Add(s); err != nil {
			return err
		}
	}
	return e.startAll()
}

// startAll starts the prepared processes and publishes the first note.
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
	if err := demo.Eventually(startTimeout, e.checkAllKnown); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, e.checkNoProblems); err != nil {
		return err
	}
	e.logProgress("%d control hosts and %d nodes run", len(e.Controls), len(e.Servers))
	return nil
}

// checkAllKnown returns an error while a node does not know every backend server. A
// scenario that stops one before the others are known would test the start instead.
func (e *env) checkAllKnown() error {
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
// group without a leader.
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

// insert lists backend servers of one version.
func backendSpecs(service model.ServiceName, version model.ServiceVersion, dcs []model.DataCentre) []demo.Spec {
	var out []demo.Spec
	for _, dc := range dcs {
		out = append(out, demo.Spec{Service: service, Version: version, DataCentre: dc})
	}
	return out
}

// checkAllServe returns an error unless each entry node answers a lookup of each service.
func (e *env) checkAllServe() error {
	for _, s := range e.Servers {
		for _, path := range []string{"/cabinets/7", "/rosters/3"} {
			if code, err := statusCode(s.Caller + path); err != nil || code != http.StatusOK {
				return fmt.Errorf("%s%s: status %d, %w", s.Host, path, code, err)
			}
		}
	}
	return nil
}

// checkAllRoute returns an error unless every node routes by at least the index.
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

// timeUntil calls f every 20 ms until it returns nil and returns the time it took.
func timeUntil(limit time.Duration, f func() error) (time.Duration, error) {
	began := time.Now()
	err := demo.Eventually(limit, f)
	return time.Since(began), err
}

// startLoad sends light load through the entry nodes until endLoad.
func (e *env) startLoad(entries []*demo.BackendServer) {
	if e.report == nil {
		e.reportStart = time.Now()
		e.report = load.NewReport(e.reportStart)
	}
	var targets []string
	for _, s := range entries {
		targets = append(targets, s.Caller)
	}
	flow := func(name string, kind model.Kind, service, method, path string, rate float64) load.Flow {
		return load.Flow{Name: name, Kind: kind, Service: service, Method: method, Path: path, Rate: rate * max(e.loadFactor, 1),
			BodyBytes: 256, Timeout: time.Second, Targets: targets, Resends: 5}
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

// The flows that scenarios look at.
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
