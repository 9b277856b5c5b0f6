package capacity

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// dataCentres are the data centres of the measured fleets, with a control host each.
var dataCentres = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}

const (
	// startTimeout bounds the wait for a leader and for the nodes to route.
	startTimeout = 90 * time.Second
	// requestTimeout bounds one request for metrics or status.
	requestTimeout = 3 * time.Second
	// maxLogTailBytes bounds the part of a log that an error quotes.
	maxLogTailBytes = 1500
)

// fleet is a set of real processes: control hosts, and nodes that share one stand-in
// backend server in this process.
type fleet struct {
	*demo.Fleet
	// dir holds the settings, data and logs of the processes.
	dir string
	// backend is the URL of the shared stand-in, empty before it is started.
	backend     string
	claimGroups int
	// pids holds the PID of each process by its settings file.
	pids        map[string]int
	httpsClient *http.Client
}

// newFleet starts three control hosts with the given number of claim groups. The
// caller must close the fleet, also after an error.
func newFleet(bin string, claims int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "balsamtrail-capacity-")
	if err != nil {
		return nil, err
	}
	d, err := demo.NewFleet(dir, bin, dataCentres)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: d, dir: dir, claimGroups: claims}
	for _, c := range f.Controls {
		if err := f.editSettings(string(c.Host), func(s map[string]any) { s["claim_groups"] = claims }); err != nil {
			return f, err
		}
		if err := c.Start(); err != nil {
			return f, err
		}
	}
	ca, err := os.ReadFile(filepath.Join(dir, "ca", "ca.pem"))
	if err != nil {
		return f, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	f.httpsClient = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}
	return f, demo.Eventually(startTimeout, func() error { _, err := f.Leader(); return err })
}

// close kills the processes and removes their files.
func (f *fleet) close() {
	if f != nil {
		f.KillAll()
		_ = os.RemoveAll(f.dir)
	}
}

// editSettings changes a settings file that demo.Fleet has written.
func (f *fleet) editSettings(name string, edit func(map[string]any)) error {
	file := filepath.Join(f.dir, name+".json")
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var s map[string]any
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if err := d.Decode(&s); err != nil {
		return err
	}
	edit(s)
	if b, err = json.Marshal(s); err != nil {
		return err
	}
	return os.WriteFile(file, b, 0o600)
}

// startBackend starts the stand-in that all nodes share.
func (f *fleet) startBackend(ctx context.Context, address string) {
	cfg := standin.DefaultConfig()
	cfg.Listen, cfg.Service, cfg.Version, cfg.Host = address, string(serviceName(0)), "v1", "shared"
	cfg.Slots, cfg.Latency, cfg.WarmAfter = 1000, 5*time.Millisecond, 0
	f.backend = "http://" + address
	go func() { _ = standin.New(cfg).Run(ctx) }()
}

// addNode writes the settings of a node that uses the shared stand-in as its backend
// server.
func (f *fleet) addNode(ctx context.Context, s demo.BackendServerSpec) (*demo.BackendServer, error) {
	b, err := f.Add(s)
	if err != nil {
		return nil, err
	}
	if f.backend == "" {
		f.startBackend(ctx, b.BackendAddress)
	}
	err = f.editSettings(string(b.Host), func(s map[string]any) {
		s["claim_groups"] = f.claimGroups
		s["backend"].(map[string]any)["url"] = f.backend
	})
	return b, err
}

// startNodes starts n nodes, spread evenly over the given number of services, and waits
// until all of them route. Every second node of the first service has version v2, the
// others have v1.
func (f *fleet) startNodes(ctx context.Context, n, services int) error {
	if err := f.publishServices(services); err != nil {
		return err
	}
	for i := range n {
		s := demo.BackendServerSpec{Service: serviceName(i % services), Version: "v1", DataCentre: dataCentres[i%len(dataCentres)]}
		if i%services == 0 && i/services%2 == 1 {
			s.Version = "v2"
		}
		b, err := f.addNode(ctx, s)
		if err != nil {
			return err
		}
		if err := b.Node.Start(); err != nil {
			return err
		}
	}
	err := demo.Eventually(startTimeout, func() error {
		if err := f.replaceExited(ctx); err != nil {
			return err
		}
		for _, b := range f.Servers {
			if s, err := b.Status(); err != nil || !s.Routable {
				return fmt.Errorf("%s does not route: %+v, %w, end of its log: %s", b.Host, s, err, f.logEnd(b.Host))
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	f.pids, err = childPIDs()
	return err
}

// replaceExited starts another node for each one that has exited. A port that was free
// when the settings were written can be taken by an outgoing connection before the node
// binds it.
func (f *fleet) replaceExited(ctx context.Context) error {
	for _, b := range slices.Clone(f.Servers) {
		if b.Node.Running() {
			continue
		}
		again, err := f.addNode(ctx, demo.BackendServerSpec{Service: b.Service, Version: b.Version, DataCentre: b.DataCentre})
		if err != nil {
			return err
		}
		f.Servers = slices.DeleteFunc(f.Servers, func(s *demo.BackendServer) bool { return s == b })
		if err := again.Node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// logEnd returns the last maxLogTailBytes of the log of a process.
func (f *fleet) logEnd(host model.HostID) string {
	b, _ := os.ReadFile(filepath.Join(f.dir, string(host)+".log"))
	return string(b[max(0, len(b)-maxLogTailBytes):])
}

// publishServices publishes a release note that adds n services with two routes each.
func (f *fleet) publishServices(n int) error {
	x := note.Note{Number: 1, Title: "services"}
	for i := range n {
		x.Services.Added = append(x.Services.Added, service(i))
		x.Routes.Added = append(x.Routes.Added, routesOf(i, 0)...)
		x.Shares = append(x.Shares, note.ServiceShares{Service: serviceName(i), Shares: note.Shares{"v1": model.ShareAll}})
	}
	return f.publishNote(x)
}

func (f *fleet) publishNote(n note.Note) error {
	b, err := json.Marshal(n)
	if err != nil {
		return err
	}
	return f.Publish(string(b))
}

// usageOf returns the usage of the process on a host.
func (f *fleet) usageOf(host model.HostID) (Usage, error) {
	pid, ok := f.pids[filepath.Join(f.dir, string(host)+".json")]
	if !ok {
		return Usage{}, fmt.Errorf("no process found for host %s", host)
	}
	return readUsage(pid)
}

// traffic holds the bytes that a process sent and received on peer connections, by
// method.
type traffic map[string]int64

func (t traffic) total() (sum int64) {
	for _, n := range t {
		sum += n
	}
	return sum
}

// trafficOf reads the traffic from the metrics of the process at the base URL.
func (f *fleet) trafficOf(base string) (traffic, error) {
	resp, err := f.httpsClient.Get(base + "/metrics") //nolint:noctx // the client has a timeout
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var m map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&m); err != nil {
		return nil, err
	}
	t := traffic{}
	for name, c := range m {
		for _, prefix := range []string{"peer.sent.", "peer.received."} {
			if method, ok := strings.CutPrefix(name, prefix); ok {
				t[method] += c.Count
			}
		}
	}
	return t, nil
}
