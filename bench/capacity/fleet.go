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

var dataCentres = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}

const (
	startTimeout    = 90 * time.Second
	requestTimeout  = 3 * time.Second
	maxLogTailBytes = 1500
)

// fleet is a set of real processes: three control hosts and nodes that share
// one stand-in in this process.
type fleet struct {
	*demo.Fleet
	dir         string
	backend     string
	claimGroups int
	pids        map[string]int
	httpsClient *http.Client
}

// newFleet starts the control hosts with the given number of claim groups.
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

// close ends the processes and removes their files.
func (f *fleet) close() {
	if f != nil {
		f.KillAll()
		_ = os.RemoveAll(f.dir)
	}
}

// change edits a settings file that demo.Fleet has written.
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

// addNode prepares a node; the stand-in beside it is the shared one.
func (f *fleet) addNode(ctx context.Context, s demo.Spec) (*demo.BackendServer, error) {
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

// startNodes starts n nodes of as many services as given, half of the nodes of the
// first service with version v2, and waits until all of them route.
func (f *fleet) startNodes(ctx context.Context, n, services int) error {
	if err := f.publishServices(services); err != nil {
		return err
	}
	for i := range n {
		s := demo.Spec{Service: serviceName(i % services), Version: "v1", DataCentre: dataCentres[i%len(dataCentres)]}
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
				return fmt.Errorf("%s does not route: %+v, %w, last lines of its log: %s", b.Host, s, err, f.logEnd(b.Host))
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

// replaceEnded starts another node for each that has ended: a port that was free
// when the settings were written may be taken by an outgoing connection since.
func (f *fleet) replaceExited(ctx context.Context) error {
	for _, b := range slices.Clone(f.Servers) {
		if b.Node.Running() {
			continue
		}
		again, err := f.addNode(ctx, demo.Spec{Service: b.Service, Version: b.Version, DataCentre: b.DataCentre})
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

// logEnd returns the end of the log of a process.
func (f *fleet) logEnd(host model.HostID) string {
	b, _ := os.ReadFile(filepath.Join(f.dir, string(host)+".log"))
	return string(b[max(0, len(b)-maxLogTailBytes):])
}

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

func (f *fleet) usageOf(host model.HostID) (Usage, error) {
	pid, ok := f.pids[filepath.Join(f.dir, string(host)+".json")]
	if !ok {
		return Usage{}, fmt.Errorf("no process of %s", host)
	}
	return readUsage(pid)
}

// traffic is the control bytes of a process by method, both directions.
type traffic map[string]int64

func (t traffic) total() (sum int64) {
	for _, n := range t {
		sum += n
	}
	return sum
}

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
