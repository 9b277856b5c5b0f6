package experiment

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
)

// Options configures an experiment.
type Options struct {
	// Bin is the folder with the program files. Dir holds settings, data and logs.
	Bin, Dir string
	// Out receives the progress lines.
	Out  io.Writer
	Size Size
	// Seed seeds the sequence of random faults; only Faults uses it.
	Seed uint64
}

// setup configures the processes of an experiment.
type setup struct {
	// latency is the time that a stand-in backend server takes for one request.
	latency      time.Duration
	timeouts     Timeouts
	queueTimeout time.Duration
	// warm starts the stand-ins with full capacity, without a cold-start phase.
	warm bool
	// proxies is the number of baseline proxies; 0 starts no baseline.
	proxies int
}

// system holds the processes of the product and of the baseline. Each side has its
// own stand-ins, with the same settings.
type system struct {
	Options
	setup
	fleet *demo.Fleet
	start time.Time
	// baselineServers are the stand-ins of the baseline. proxies forward to them.
	baselineServers []*demo.BackendServer
	proxies         []*proxyProcess
}

// proxyProcess is one running baseline proxy.
type proxyProcess struct {
	*demo.Process
	baseURL string
}

const (
	// startTimeout bounds the wait for a leader among the control hosts, and for
	// the baseline proxies to accept their routes.
	startTimeout = 20 * time.Second
	// routesTimeout bounds the wait, after the release note is published, until
	// every node routes.
	routesTimeout = 15 * time.Second
)

// logf writes a progress line with the seconds since the start.
func (s *system) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.Out, "%5.1f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// maxStartAttempts bounds how often the start of a fleet is tried. Addresses are
// chosen before the processes bind them, so another program can take one in between.
const maxStartAttempts = 3

// startSystem starts all processes. The caller must end them with kill.
func startSystem(o Options, st setup) (*system, error) {
	began := time.Now()
	dir := o.Dir
	for attempt := 1; ; attempt++ {
		o.Dir = filepath.Join(dir, fmt.Sprintf("try-%d", attempt))
		s, err := startOnce(o, st)
		if err == nil {
			s.start = began
			s.logf("%s: %d control hosts, %d nodes, %d baseline proxies", o.Size.Name, len(s.fleet.Controls),
				len(s.fleet.Servers), len(s.proxies))
			return s, nil
		}
		if attempt == maxStartAttempts {
			return nil, err
		}
		_, _ = fmt.Fprintf(o.Out, "start attempt %d failed: %v\n", attempt, err)
	}
}

func startOnce(o Options, st setup) (*system, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, err
	}
	f, err := demo.NewFleet(o.Dir, o.Bin, o.Size.DataCentres)
	if err != nil {
		return nil, err
	}
	s := &system{Options: o, setup: st, fleet: f}
	if err := s.startAll(); err != nil {
		s.kill()
		return nil, err
	}
	return s, nil
}

func (s *system) startAll() error {
	for _, c := range s.fleet.Controls {
		if err := c.Start(); err != nil {
			return err
		}
	}
	for i, spec := range s.Size.specs(nil) {
		spec.Flags = s.standinFlags("product", i)
		if _, err := s.fleet.AddAndStart(spec); err != nil {
			return err
		}
	}
	if err := s.startBaseline(); err != nil {
		return err
	}
	if err := demo.Eventually(startTimeout, func() error { _, err := s.fleet.Leader(); return err }); err != nil {
		return err
	}
	note, err := s.Size.note(s.timeouts, s.queueTimeout)
	if err != nil {
		return err
	}
	if err := s.fleet.Publish(note); err != nil {
		return err
	}
	return demo.Eventually(routesTimeout, s.checkRoutes)
}

// standinFlags returns the flags of stand-in i of a side, "product" or "baseline".
func (s *system) standinFlags(side string, i int) []string {
	out := []string{"--latency", s.latency.String(), "--runs", s.runsFile(side, i)}
	if s.warm {
		out = append(out, "--warm")
	}
	return out
}

func (s *system) runsFile(side string, i int) string {
	return filepath.Join(s.Dir, fmt.Sprintf("%s-%d.runs", side, i))
}

// startBaseline starts the stand-ins and proxies of the baseline. Fleet.Add chooses
// their addresses; the nodes that it prepares are never started, and each proxy
// listens on the caller address of one of them.
func (s *system) startBaseline() error {
	if s.setup.proxies == 0 {
		return nil
	}
	product := s.fleet.Servers
	defer func() { s.fleet.Servers = product }()
	for i, spec := range s.Size.specs(nil) {
		spec.Flags = s.standinFlags("baseline", i)
		b, err := s.fleet.Add(spec)
		if err != nil {
			return err
		}
		s.baselineServers = append(s.baselineServers, b)
		if err := b.Backend.Start(); err != nil {
			return err
		}
	}
	for i := range s.setup.proxies {
		b := s.baselineServers[i]
		p := &proxyProcess{baseURL: b.CallerURL}
		p.Process = demo.NewProcess(s.Dir, fmt.Sprintf("proxy-%d", i+1), filepath.Join(s.Bin, "bench"), "proxy",
			"--listen", b.CallerURL[len("http://"):])
		s.proxies = append(s.proxies, p)
		if err := p.Start(); err != nil {
			return err
		}
	}
	return demo.Eventually(startTimeout, func() error { return s.setProxyServers("") })
}

// setProxyServers sends every proxy the list of the baseline's backend servers,
// without those in the excluded data centre; "" excludes none.
func (s *system) setProxyServers(excluded model.DataCentre) error {
	var routes []ProxyRoute
	for _, r := range s.Size.Routes {
		pr := ProxyRoute{Prefix: r.Prefix}
		for _, b := range s.baselineServers {
			if b.Service == r.Service && b.DataCentre != excluded {
				pr.Servers = append(pr.Servers, b.BackendAddress)
			}
		}
		routes = append(routes, pr)
	}
	for _, p := range s.proxies {
		if err := setProxyRoutes(p.baseURL, routes); err != nil {
			return err
		}
	}
	return nil
}

// checkRoutes returns an error unless every node answers a request on each lookup
// and urgent route.
func (s *system) checkRoutes() error {
	for _, b := range s.fleet.Servers {
		for _, r := range s.Size.Routes {
			if !r.Kind.Idempotent() {
				continue
			}
			resp, err := http.Get(b.CallerURL + r.Prefix + "/7") //nolint:noctx // bounded by the route's timeout
			if err != nil {
				return err
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("node %s answered %s with status %d", b.Host, r.Prefix, resp.StatusCode)
			}
		}
	}
	return nil
}

// entryURLs returns the caller URLs of the nodes inside or outside a data centre.
func (s *system) entryURLs(dc model.DataCentre, inside bool) []string {
	var out []string
	for _, b := range s.fleet.Servers {
		if (b.DataCentre == dc) == inside {
			out = append(out, b.CallerURL)
		}
	}
	return out
}

// allEntryURLs returns the caller URLs of all nodes.
func (s *system) allEntryURLs() []string { return s.entryURLs("", false) }

// proxyURLs returns the URLs of the baseline proxies.
func (s *system) proxyURLs() []string {
	var out []string
	for _, p := range s.proxies {
		out = append(out, p.baseURL)
	}
	return out
}

// runsByKey returns how often the stand-ins of a side ran the write of each
// idempotency key.
func (s *system) runsByKey(side string) (map[string]int, error) {
	out := map[string]int{}
	for i := range s.fleet.Servers {
		if err := ReadRuns(s.runsFile(side, i), out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// duplicates counts the keys whose write ran more than once.
func duplicates(runs map[string]int) int {
	n := 0
	for _, k := range runs {
		if k > 1 {
			n++
		}
	}
	return n
}

// kill kills all processes of both sides.
func (s *system) kill() {
	s.fleet.KillAll()
	for _, p := range s.proxies {
		p.Kill()
	}
	for _, b := range s.baselineServers {
		b.Backend.Kill()
	}
}
