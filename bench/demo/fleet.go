package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note/strictjson"
	"balsamtrail.org/mesh/peer"
	"balsamtrail.org/mesh/settings"
)

const (
	// cluster is the cluster name of all processes.
	cluster = "demo"
	// token is the operator token that all control hosts accept.
	token = "demo-operator-token"
)

// Fleet holds the processes of one system on loopback, with their addresses and
// settings files.
type Fleet struct {
	dir, bin string
	ports    *portAllocator
	ca       *peer.DevCA

	DataCentres []model.DataCentre
	Controls    []*ControlHost
	Servers     []*BackendServer

	addresses []settings.ControlHost
	// standalone are processes outside the mesh, such as a stand-in that is called directly.
	standalone []*Process
}

// ControlHost is one control process. OperatorAddress is the address of its operator API.
type ControlHost struct {
	*Process
	Host            model.HostID
	OperatorAddress string
}

// BackendServer is a stand-in backend server with its node.
type BackendServer struct {
	Host       model.HostID
	DataCentre model.DataCentre
	Service    model.ServiceName
	Version    model.ServiceVersion
	Backend    *Process
	Node       *Process
	// BackendAddress is the stand-in's host and port. CallerURL and AdminURL are base URLs
	// of the node: for requests of callers and for its admin interface.
	BackendAddress, CallerURL, AdminURL string
}

// NewFleet opens or creates the development CA in dir and writes the settings of one
// control host for each data centre. It starts no process. bin is the folder of the
// programs.
func NewFleet(dir, bin string, dcs []model.DataCentre) (*Fleet, error) {
	ca, err := peer.OpenDevCA(filepath.Join(dir, "ca"))
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, bin: bin, ports: newPortAllocator(), ca: ca, DataCentres: dcs}
	for i, dc := range dcs {
		addr, err := f.ports.next()
		if err != nil {
			return nil, err
		}
		host := model.HostID(fmt.Sprintf("c%d", i+1))
		f.addresses = append(f.addresses, settings.ControlHost{Host: host, DataCentre: dc, Peer: addr, Voter: i < maxVoters})
	}
	for _, a := range f.addresses {
		if err := f.addControlHost(a); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// maxVoters is the largest number of control hosts that are voters at the start;
// further ones are not.
const maxVoters = 5

func (f *Fleet) processSettings(host model.HostID, dc model.DataCentre, role peer.Role) (settings.Process, error) {
	files, err := f.ca.Issue(peer.Identity{Role: role, DataCentre: dc, Host: host})
	if err != nil {
		return settings.Process{}, err
	}
	return settings.Process{
		Host: host, DataCentre: dc, Region: "demo", Cluster: cluster, Credentials: files,
		ControlHosts: f.addresses, LogLevel: slog.LevelInfo, InvariantsFatal: true,
	}, nil
}

func (f *Fleet) addControlHost(a settings.ControlHost) error {
	p, err := f.processSettings(a.Host, a.DataCentre, peer.RoleControl)
	if err != nil {
		return err
	}
	op, err := f.ports.next()
	if err != nil {
		return err
	}
	c := settings.DefaultControl()
	c.Process = p
	c.DataDir = f.DataDir(a.Host)
	c.Listen = settings.ControlListen{Peer: a.Peer, Operator: op}
	c.DataCentres = f.DataCentres
	c.OperatorTLS = settings.OperatorTLS{Certificate: p.Credentials.Certificate, Key: p.Credentials.Key}
	sum := sha256.Sum256([]byte(token))
	c.Operators = []settings.Operator{{Name: "demo", TokenSHA256: hex.EncodeToString(sum[:])}}
	file, err := f.writeSettings(string(a.Host), c)
	if err != nil {
		return err
	}
	f.Controls = append(f.Controls, &ControlHost{
		Process:         NewProcess(f.dir, string(a.Host), filepath.Join(f.bin, "balsamtraild"), "control", "--settings", file),
		Host:            a.Host,
		OperatorAddress: op,
	})
	return nil
}

func (f *Fleet) writeSettings(name string, v any) (string, error) {
	b, err := strictjson.MarshalIndent(v)
	if err != nil {
		return "", err
	}
	file := filepath.Join(f.dir, name+".json")
	return file, os.WriteFile(file, b, 0o600)
}

// BackendServerSpec describes a backend server to start.
type BackendServerSpec struct {
	Service    model.ServiceName
	Version    model.ServiceVersion
	DataCentre model.DataCentre
	// Flags are additional command-line flags of the stand-in.
	Flags []string
}

// Add writes the settings of a backend server's node and adds both to the fleet
// without starting them.
func (f *Fleet) Add(s BackendServerSpec) (*BackendServer, error) {
	host := model.HostID(fmt.Sprintf("%s-%s-%d", s.Service, s.Version, len(f.Servers)+1))
	p, err := f.processSettings(host, s.DataCentre, peer.RoleNode)
	if err != nil {
		return nil, err
	}
	var addr [6]string
	for i := range addr {
		if addr[i], err = f.ports.next(); err != nil {
			return nil, err
		}
	}
	n := settings.DefaultNode()
	n.Process = p
	n.Listen = settings.NodeListen{Caller: addr[0], Outgoing: addr[1], Peer: addr[2], Call: addr[3], Admin: addr[4]}
	n.Backend = settings.Backend{
		Service: s.Service, Version: s.Version, URL: "http://" + addr[5], Slots: 20, Connections: 100, ColdLoad: 1, HealthPath: "/healthz",
	}
	file, err := f.writeSettings(string(host), n)
	if err != nil {
		return nil, err
	}
	args := append([]string{filepath.Join(f.bin, "bench"), "backend", "--listen", addr[5], "--service", string(s.Service),
		"--version", string(s.Version), "--host", string(host), "--outgoing", "http://" + addr[1]}, s.Flags...)
	b := &BackendServer{
		Host: host, DataCentre: s.DataCentre, Service: s.Service, Version: s.Version,
		Backend:        NewProcess(f.dir, string(host)+"-backend", args...),
		Node:           NewProcess(f.dir, string(host), filepath.Join(f.bin, "balsamtraild"), "node", "--settings", file),
		BackendAddress: addr[5], CallerURL: "http://" + addr[0], AdminURL: "http://" + addr[4],
	}
	f.Servers = append(f.Servers, b)
	return b, nil
}

// Start starts the stand-in and its node.
func (b *BackendServer) Start() error {
	if err := b.Backend.Start(); err != nil {
		return err
	}
	return b.Node.Start()
}

// AddAndStart adds backend servers to the fleet and starts them.
func (f *Fleet) AddAndStart(specs ...BackendServerSpec) ([]*BackendServer, error) {
	var out []*BackendServer
	for _, s := range specs {
		b, err := f.Add(s)
		if err != nil {
			return nil, err
		}
		if err := b.Start(); err != nil {
			return nil, err
		}
		out = append(out, b)
	}
	return out, nil
}

// KillAll kills all processes of the fleet.
func (f *Fleet) KillAll() {
	for _, s := range f.Servers {
		s.Node.Kill()
		s.Backend.Kill()
	}
	for _, c := range f.Controls {
		c.Kill()
	}
	for _, p := range f.standalone {
		p.Kill()
	}
}

// Eventually calls f every 20 ms until it returns nil or limit has passed, and
// returns its last error.
func Eventually(limit time.Duration, f func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// EditNode changes the settings file of a node; the node reads it at its next start.
func (f *Fleet) EditNode(host model.HostID, edit func(*settings.Node) error) error {
	n, err := settings.LoadNode(f.settingsFile(host))
	if err != nil {
		return err
	}
	if err := edit(&n); err != nil {
		return err
	}
	_, err = f.writeSettings(string(host), n)
	return err
}

// EditControl changes the settings file of a control host, which reads it at its next start.
func (f *Fleet) EditControl(host model.HostID, edit func(*settings.Control) error) error {
	c, err := settings.LoadControl(f.settingsFile(host))
	if err != nil {
		return err
	}
	if err := edit(&c); err != nil {
		return err
	}
	_, err = f.writeSettings(string(host), c)
	return err
}

func (f *Fleet) settingsFile(host model.HostID) string {
	return filepath.Join(f.dir, string(host)+".json")
}

// DataDir returns the data folder of a control host.
func (f *Fleet) DataDir(host model.HostID) string { return filepath.Join(f.dir, string(host)+"-data") }
