package demo

import (
	"bytes"
	"context"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"balsamtrail.org/bench/standin"
	"balsamtrail.org/mesh/operator"
)

const (
	commandTimeout = 20 * time.Second
	requestTimeout = 2 * time.Second
)

// CLI runs the balsamtrail command-line tool against all control hosts and returns
// its standard output.
func (f *Fleet) CLI(args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var servers []string
	for _, c := range f.Controls {
		servers = append(servers, "https://"+c.OperatorAddress)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, "balsamtrail"), args...)
	cmd.Env = append(os.Environ(), "BALSAMTRAIL_SERVERS="+strings.Join(servers, ","), "BALSAMTRAIL_TOKEN="+token,
		"BALSAMTRAIL_CA="+filepath.Join(f.dir, "ca", "ca.pem"))
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return out.String(), fmt.Errorf("balsamtrail %s: %w: %s", strings.Join(args, " "), err, errs.String())
	}
	return out.String(), nil
}

// CLIJSON runs the command-line tool with JSON output and decodes it into v.
func (f *Fleet) CLIJSON(v any, args ...string) error {
	out, err := f.CLI(append([]string{"--output", "json"}, args...)...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), v)
}

// Publish writes a release note to a file and publishes it with the command-line tool.
func (f *Fleet) Publish(note string) error {
	file := filepath.Join(f.dir, fmt.Sprintf("note-%d.json", time.Now().UnixNano()))
	if err := os.WriteFile(file, []byte(note), 0o600); err != nil {
		return err
	}
	_, err := f.CLI("publish", file)
	return err
}

// Leader returns the control host that is the leader now.
func (f *Fleet) Leader() (*ControlHost, error) {
	var a operator.StatusAnswer
	if err := f.CLIJSON(&a, "status"); err != nil {
		return nil, err
	}
	for _, c := range f.Controls {
		if c.Host == a.Status.Leader {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no control host of the fleet is the leader")
}

// getJSON sends a GET request over plain HTTP and decodes the JSON answer into v.
func getJSON(url string, v any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, b)
	}
	return json.Unmarshal(b, v)
}

// NodeStatus holds the fields of a node's status that the demo and the experiments read.
type NodeStatus struct {
	// Routable reports whether the node has a version to route by.
	Routable      bool  `json:"routable"`
	Violations    int64 `json:"invariant_violations"`
	BytesSent     int64 `json:"control_bytes_sent"`
	BytesReceived int64 `json:"control_bytes_received"`
	UptimeMs      int64 `json:"uptime_ms"`
	// Limit is the node's limit of concurrent requests to its backend server, and
	// InFlight the number of those in progress.
	Limit    int `json:"limit"`
	InFlight int `json:"in_flight"`
	// Endpoints is the number of live backend servers that the node knows.
	Endpoints int `json:"endpoints"`
	// Position is the log position of the version in force.
	Position struct {
		Epoch uint64 `json:"epoch"`
		Index uint64 `json:"index"`
	} `json:"position"`
}

// Status returns the status of the backend server's node.
func (b *BackendServer) Status() (NodeStatus, error) {
	var s NodeStatus
	return s, getJSON(b.AdminURL+"/status", &s)
}

// Metrics returns the metrics of the backend server's node by name, with their counts.
func (b *BackendServer) Metrics() (map[string]struct {
	Count int64 `json:"count"`
}, error) {
	var m map[string]struct {
		Count int64 `json:"count"`
	}
	return m, getJSON(b.AdminURL+"/metrics", &m)
}

// Stats returns the counters of the stand-in.
func (b *BackendServer) Stats() (standin.Stats, error) {
	var s standin.Stats
	return s, getJSON("http://"+b.BackendAddress+"/_standin/stats", &s)
}

// Keys returns how many times the stand-in ran each idempotency key.
func (b *BackendServer) Keys() (map[string]int, error) {
	var k map[string]int
	return k, getJSON("http://"+b.BackendAddress+"/_standin/keys", &k)
}

// Client returns an operator client for the given control hosts, or for all of
// them if none is given.
func (f *Fleet) Client(hosts ...*ControlHost) (*operator.Client, error) {
	if len(hosts) == 0 {
		hosts = f.Controls
	}
	pool, err := f.CAPool()
	if err != nil {
		return nil, err
	}
	var servers []string
	for _, h := range hosts {
		servers = append(servers, "https://"+h.OperatorAddress)
	}
	return operator.NewClient(operator.ClientConfig{Servers: servers, Token: token, CA: pool})
}

// CAPool returns a pool with the development CA, which signs the certificates
// of all processes.
func (f *Fleet) CAPool() (*x509.CertPool, error) {
	pem, err := os.ReadFile(filepath.Join(f.dir, "ca", "ca.pem"))
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return pool, nil
}
