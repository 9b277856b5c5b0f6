package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errCannotRun marks a failure of the environment and not of the system under test.
var errCannotRun = errors.New("the case could not run")

// errNoAnswer is returned together with errCannotRun for an order without a clear answer.
var errNoAnswer = errors.New("no clear answer")

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{f: f, start: time.Now()}, err
}

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portReady    = 8140
	portOutbound = 8141
	portInbound  = 8145
	portControl  = 8146
	portApp      = 8147
	portInternal = 7660
)

// machine is one machine with one process of the system.
type machine struct {
	name, role, zone, ip, service string
	settings                      string
	dataDir                       string
	cmd                           *exec.Cmd
	exited                        chan struct{}
	startedAt                     time.Time
}

// mesh is a small deployment on loopback addresses.
type mesh struct {
	rec      *recorder
	dir      string
	program  string
	prefix   string
	zones    []string
	controls []*machine
	nodes    []*machine
	client   *http.Client

	// mu guards stopped and the start of processes.
	mu sync.Mutex
	// stopped is set once all processes are being ended; no other is started then.
	stopped bool
}

// newMesh lays out control hosts and nodes; nothing is started yet. Its loopback prefix is
// random, so that the ports of a machine are free.
func newMesh(rec *recorder, zones []string) (*mesh, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/platform")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %w", errCannotRun, err)
	}
	m := &mesh{
		rec: rec, dir: dir, program: program, zones: zones,
		prefix: fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), rand.IntN(256)),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	go m.endOnSignal()
	return m, nil
}

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// endOnSignal ends all processes and the case when the case is stopped or takes too long.
func (m *mesh) endOnSignal() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	select {
	case <-ctx.Done():
	case <-time.After(maxDuration):
	}
	m.rec.log("stopped early")
	m.stopAll()
	os.Exit(2)
}

func (m *mesh) addControl(zone string) *machine {
	n := len(m.controls) + 1
	c := &machine{name: fmt.Sprintf("core-%s-%d", zone, n), role: "control", zone: zone, ip: fmt.Sprintf("%s.%d", m.prefix, n)}
	c.dataDir = filepath.Join(m.dir, c.name)
	m.controls = append(m.controls, c)
	return c
}

func (m *mesh) addNode(zone, service string) *machine {
	n := len(m.nodes) + 1
	c := &machine{name: fmt.Sprintf("sidecar-%s-%d", zone, n), role: "node", zone: zone, ip: fmt.Sprintf("%s.%d", m.prefix, 100+n), service: service}
	m.nodes = append(m.nodes, c)
	return c
}

// writeSettings writes the settings file of a machine as the platform fills the template in.
func (m *mesh) writeSettings(c *machine, first bool) error {
	var seeds []string
	for _, s := range m.controls[:min(3, len(m.controls))] {
		seeds = append(seeds, addr(s.ip, portControl))
	}
	zones := map[string]string{}
	for _, z := range m.zones {
		zones[z] = "region"
	}
	listen := map[string]string{"control": addr(c.ip, portControl)}
	s := map[string]any{
		"nodeName": c.name, "role": c.role, "ip": c.ip, "zone": c.zone, "region": "region",
		"internalPorts": []int{portInternal, portInternal + 15}, "seeds": seeds, "firstStart": first, "discovery": "static", "entry": "static",
		"heartbeatMs": heartbeatEvery.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "places"},
		"zones": zones, "listen": listen, "faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"limits": map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": 280, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 256},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "retryBudgetSlack": 60, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000,
			"coldFactor": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 15,
		},
	}
	if c.role == "node" {
		s["machineClass"], s["serves"], s["lossCounts"] = "sidecar", []string{"sidecar"}, false
		s["appAddress"], s["service"] = addr(c.ip, portApp), c.service
		listen["inbound"], listen["outbound"], listen["ready"] = addr(c.ip, portInbound), addr(c.ip, portOutbound), addr(c.ip, portReady)
	} else {
		s["machineClass"], s["serves"], s["lossCounts"] = "core", []string{"control_plane"}, true
		s["dataDir"] = c.dataDir
		if err := os.MkdirAll(c.dataDir, 0o755); err != nil {
			return err
		}
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	c.settings = filepath.Join(m.dir, c.name+".json")
	return os.WriteFile(c.settings, b, 0o644)
}

func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// start starts the process of a machine with the command of deploy/system.toml.
func (m *mesh) start(c *machine, first bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return errCannotRun
	}
	if err := m.writeSettings(c, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.program, c.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BALSAMTRAIL_BOOT=" + c.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	c.cmd, c.exited, c.startedAt = cmd, make(chan struct{}), time.Now()
	go func(done chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}(c.exited)
	m.rec.log("platform: %s (%s) started", c.name, c.ip)
	return nil
}

// signal sends a signal to the process of a machine.
func (m *mesh) signal(c *machine, s syscall.Signal) {
	m.rec.log("platform: %s gets %s", c.name, s)
	_ = c.cmd.Process.Signal(s)
}

// stopAll ends all processes and removes the temporary folder, unless KEEP is set.
func (m *mesh) stopAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	for _, c := range append(append([]*machine{}, m.nodes...), m.controls...) {
		if c.cmd != nil {
			_ = c.cmd.Process.Kill()
			<-c.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	} else {
		fmt.Println("kept:", m.dir)
	}
}

// startAll starts every machine for the first time.
func (m *mesh) startAll() error {
	for _, c := range append(append([]*machine{}, m.controls...), m.nodes...) {
		if err := m.start(c, true); err != nil {
			return err
		}
	}
	return nil
}

// ready reports whether the node of a machine answers its readiness probe with 200.
func (m *mesh) ready(c *machine) bool {
	resp, err := m.client.Get("http://" + addr(c.ip, portReady) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *mesh) awaitReady(timeout time.Duration, machines ...*machine) error {
	for end := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		all := true
		for _, c := range machines {
			all = all && m.ready(c)
		}
		if all {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: nodes not ready within %s", errCannotRun, timeout)
		}
	}
}

// answer is what a caller received. status is 0 if there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// send sends one attempt of a caller to the node of a machine.
func (m *mesh) send(ctx context.Context, at *machine, method, host, path, id, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var b io.Reader
	if body != "" {
		b = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr(at.ip, portOutbound)+path, b)
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	began := time.Now()
	resp, err := m.client.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err, header: resp.Header, took: time.Since(began)}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: string(text), took: time.Since(began)}
}

// ask sends one call of the operator to one control host.
func (m *mesh) ask(c *machine, query, ifMatch string, body []byte) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr(c.ip, portControl)+"/-/rpc?"+query, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// order sends an order of the operator to the control hosts in turn until one gives a clear
// answer.
func (m *mesh) order(timeout time.Duration, query, ifMatch string, body []byte) (int, string, error) {
	end := time.Now().Add(timeout)
	for n := 0; time.Now().Before(end); n++ {
		c := m.controls[n%len(m.controls)]
		status, text, err := m.ask(c, query, ifMatch, body)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			m.rec.log("operator: %s answered with %d by %s", query, status, c.name)
			return status, text, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, "", fmt.Errorf("%w: %w to %s within %s", errCannotRun, errNoAnswer, query, timeout)
}

// route is one route of a configuration.
type route struct {
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	RouteType       string  `json:"routeType"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
}

// replace sends a complete configuration.
func (m *mesh) replace(version, base uint64, routes map[string]route, services []string) (int, error) {
	table := map[string]any{}
	for _, s := range services {
		table[s] = map[string]any{"healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 47.0}
	}
	body, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": table,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return 0, err
	}
	status, _, err := m.order(15*time.Second, "call=config.replace", fmt.Sprintf("%08x", base), body)
	return status, err
}
