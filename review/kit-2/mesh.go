package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployment, as the pages state them for it.
const (
	drain         = 2 * time.Second
	contactWindow = 3 * time.Second
	heartbeat     = 1500 * time.Millisecond
)

// site is what the settings of a deployment's machines say of it.
type site struct {
	region string
	zones  []string
	// machines and lostZones are what may be lost at the same time.
	machines, lostZones int
	contracts           []string
	memoryMb, linkMbps  float64
	bounds              map[string]any
}

var stewards = site{
	region: "bern-mittelland", zones: []string{"thun", "bern-altstadt", "burgdorf"}, machines: 1, lostZones: 1,
	contracts: []string{"base", "drain", "config", "cost", "retry", "recover", "rollout", "places"}, memoryMb: 284, linkMbps: 1000,
	bounds: map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
		"graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "stretchMaxMs": 5000, "retryBudgetRatio": 0.2,
		"budgetWindowS": 10, "retryBudgetSlack": 60, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000,
		"coldFactor": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 15},
}

// machine is one machine of the deployment with its only process.
type machine struct {
	name, class, zone, ip, service, dir string
	mesh                                *mesh
	mu                                  sync.Mutex
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	firstStart                          bool
}

// mesh is a deployment on loopback addresses.
type mesh struct {
	dir, program string
	rec          *record
	ports        ports
	core, side   []*machine
	site         site
	closed       atomic.Bool
}

// ports are the same on all machines.
type ports struct{ inbound, outbound, ready, control, app, internal int }

const metricsPort = 9464

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	return &record{f: f, start: time.Now()}, err
}

func (r *record) at() float64 { return time.Since(r.start).Seconds() }

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", r.at(), fmt.Sprintf(format, args...))
}

// newMesh lays out a deployment: cores and sides hold the number of machines of each zone.
func newMesh(rec *record, st site, cores, sides []int, service string) (*mesh, error) {
	program, err := filepath.Abs("target/platform")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	m := &mesh{dir: dir, program: program, rec: rec, site: st}
	for range 50 {
		net16 := fmt.Sprintf("127.%d", 20+rand.IntN(200))
		base := 20000 + rand.IntN(20000)
		m.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10}
		m.core, m.side = nil, nil
		for z, n := range cores {
			for i := range n {
				m.core = append(m.core, m.machine("core", z, fmt.Sprintf("%s.%d.%d", net16, z+1, 30+i), i, ""))
			}
		}
		for z, n := range sides {
			for i := range n {
				m.side = append(m.side, m.machine("side", z, fmt.Sprintf("%s.%d.%d", net16, z+1, 100+i), i, service))
			}
		}
		if m.free() {
			m.closeOnSignal()
			return m, nil
		}
	}
	return nil, errors.New("no free addresses")
}

func (m *mesh) machine(class string, zone int, ip string, i int, service string) *machine {
	z := m.site.zones[zone]
	name := fmt.Sprintf("%s-%s-%d", class, z, i+1)
	return &machine{name: name, class: class, zone: z, ip: ip, service: service, mesh: m,
		dir: filepath.Join(m.dir, name), firstStart: true}
}

// free reports whether all ports of all machines are free.
func (m *mesh) free() bool {
	for _, h := range append(append([]*machine{}, m.core...), m.side...) {
		for _, p := range []int{m.ports.inbound, m.ports.outbound, m.ports.ready, m.ports.control, m.ports.app, m.ports.internal, metricsPort} {
			l, err := net.Listen("tcp", h.addr(p))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (h *machine) addr(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

// settings are the fields of the platform's settings file.
func (h *machine) settings() map[string]any {
	m, p := h.mesh, h.mesh.ports
	var seeds []string
	zones := map[string]string{}
	for _, z := range m.site.zones {
		zones[z] = m.site.region
		for _, c := range m.core {
			if c.zone == z && len(seeds) < 3 {
				seeds = append(seeds, c.addr(p.control))
				break
			}
		}
	}
	s := map[string]any{
		"nodeName": h.name, "role": "node", "machineClass": "sidecar", "serves": []string{"sidecar"}, "ip": h.ip, "zone": h.zone,
		"region": m.site.region, "internalPorts": []int{p.internal, p.internal + 15}, "seeds": seeds, "firstStart": h.firstStart,
		"lossCounts": h.class == "core", "discovery": "static", "entry": "static", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts": m.site.contracts, "zones": zones, "bounds": m.site.bounds,
		"faultTolerance": map[string]any{"machines": m.site.machines, "zones": m.site.lostZones, "regions": 0},
		"limits":         map[string]any{"cpuShare": 0.32, "cores": 1, "memoryMb": m.site.memoryMb, "maxFds": 4100, "linkMbps": m.site.linkMbps, "diskMb": 0},
	}
	if h.class == "core" {
		s["role"], s["machineClass"], s["serves"], s["dataDir"] = "control", "core", []string{"control_plane"}, filepath.Join(h.dir, "data")
		s["listen"] = map[string]any{"control": h.addr(p.control)}
		s["limits"] = map[string]any{"cpuShare": 0.12, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 170.0, "diskMb": 256}
		return s
	}
	s["appAddress"], s["service"] = h.addr(p.app), h.service
	s["listen"] = map[string]any{"inbound": h.addr(p.inbound), "outbound": h.addr(p.outbound), "ready": h.addr(p.ready), "control": h.addr(p.control)}
	return s
}

// closeOnSignal ends all processes if this one is told to end.
func (m *mesh) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		m.close()
		os.Exit(impossible)
	}()
}

// start starts the process of the machine with the command of the deploy file.
func (h *machine) start() error {
	if err := os.MkdirAll(filepath.Join(h.dir, "data"), 0o750); err != nil {
		return err
	}
	b, err := json.Marshal(h.settings())
	if err != nil {
		return err
	}
	boot := filepath.Join(h.dir, "boot.json")
	if err := os.WriteFile(boot, b, 0o640); err != nil {
		return err
	}
	args := []string{"node", "--hedge-limit", "0.05"}
	if h.class == "core" {
		args = []string{"control"}
	}
	out, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.mesh.program, args...)
	cmd.Env = []string{"BALSAMTRAIL_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.mesh.closed.Load() {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the machine.
func (h *machine) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *machine) kill() {
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

func (m *mesh) all() []*machine { return append(append([]*machine{}, m.core...), m.side...) }

// startAll starts all machines within 0.3 s.
func (m *mesh) startAll() error {
	for _, h := range m.all() {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes at the same moment.
func (m *mesh) killAll() {
	for _, h := range m.all() {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range m.all() {
		h.kill()
	}
	for _, h := range m.all() {
		h.firstStart = false
	}
}

// close ends all processes and removes the folder, which is kept if KEEP is set.
func (m *mesh) close() {
	m.closed.Store(true)
	m.killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	}
}

var httpClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady reports whether the node answers the readiness probe with 200.
func (h *machine) isReady() bool {
	resp, err := httpClient.Get("http://" + h.addr(h.mesh.ports.ready) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// order sends a call of the operator until it is confirmed, to one control host after the
// other, and returns the body of the answer.
func (m *mesh) order(call, of, base string, body any, limit time.Duration) (string, error) {
	var last string
	for started, i := time.Now(), 0; time.Since(started) < limit; i++ {
		h := m.core[i%len(m.core)]
		u := "http://" + h.addr(m.ports.control) + "/-/rpc?call=" + call
		if of != "" {
			u += "&of=" + of
		}
		payload := ""
		if body != nil {
			b, err := json.Marshal(body)
			if err != nil {
				return "", err
			}
			payload = string(b)
		}
		status, answer, err := post(u, payload, base)
		last = fmt.Sprintf("%s: %d %s %v", h.name, status, answer, err)
		if err == nil && status == http.StatusOK {
			m.rec.log("operator: %s %s confirmed by %s", call, of, h.name)
			return answer, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", fmt.Errorf("%s %s not confirmed: %s", call, of, last)
}

func post(u, body, base string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, u, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Content-Type", "application/json")
	if base != "" {
		req.Header.Set("If-Match", base)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return resp.StatusCode, b.String(), nil
}

// configuration returns a configuration with a route of each kind.
func configuration(version int, service string, timeoutMs int) map[string]any {
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"host": "ficu95.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 200,
			"priority": 1, "service": service, "maxAttempts": 2}
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version),
		"routes": map[string]any{"r-look": route("/look/", "idempotent"), "r-write": route("/write/", "non_idempotent"),
			"r-upload": route("/upload/", "upload")},
		"services": map[string]any{service: map[string]any{"healthPath": "/health", "maxConnections": 120, "protocol": "h1", "tls": false,
			"coldStartS": 3.0, "coldPerS": 52.0}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// awaitReady waits until all nodes are ready.
func (m *mesh) awaitReady(limit time.Duration) error {
	for started := time.Now(); time.Since(started) < limit; time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, h := range m.side {
			if h.isReady() {
				n++
			}
		}
		if n == len(m.side) {
			return nil
		}
	}
	return errors.New("nodes are not ready")
}
