package settings

import (
	"net/url"
	"strings"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/routing"
)

// Node holds the settings of a node.
type Node struct {
	Process
	// Listen holds the addresses that the process listens on.
	Listen NodeListen `json:"listen"`
	// Advertise holds the addresses that other processes use.
	Advertise Advertise `json:"advertise"`
	// Backend is the backend server beside this node.
	Backend Backend `json:"backend"`
	// CacheFile keeps the newest configuration and live peers for a restart while the source
	// is out; empty, the default, keeps none. A restarted node then routes only
	// once it has learned the position from control hosts or peers.
	CacheFile string `json:"cache_file"`
	// ClaimGroups is the number of replicated groups that hold idempotency
	// claims; default 4. It must equal claim_groups of the control hosts.
	ClaimGroups int `json:"claim_groups" validate:"min=0,max=64"`
	// Timeouts holds the time limits.
	Timeouts NodeTimeouts `json:"timeouts"`
	// FanOut bounds the node's part in the distribution tree.
	FanOut FanOut `json:"fan_out"`
	// Limits holds the size limits.
	Limits NodeLimits `json:"limits"`
	// Retries bounds the tries beyond the first of all calls of this node.
	Retries Retries `json:"retries"`
	// Queue is for requests that wait for a slot of the backend server, if their
	// service states no queue of its own.
	Queue Queue `json:"queue"`
}

// Retries bounds the further tries of a node, so that all nodes together add no
// more than a part to the load of a service.
type Retries struct {
	// Part is the further tries for each call; default 0.1. Calls of requests that
	// are themselves tried again add to it, so that it must be well below the part
	// that a service bears.
	Part float64 `json:"part" validate:"min=0,max=1"`
	// Burst is the further tries that a node may make at once; default 10. All nodes
	// may do so together.
	Burst float64 `json:"burst" validate:"min=1,max=1000"`
}

// Queue bounds the requests that wait for a slot of a backend server.
type Queue struct {
	// Limit is the number of waiting requests; default 0. A greater one refuses
	// less in a burst, and answers later.
	Limit int `json:"limit" validate:"min=0,max=100000"`
	// Timeout is the longest wait for a slot; default 0.
	Timeout time.Duration `json:"timeout" validate:"min=0s,max=10m"`
}

// NodeListen holds the listen addresses of a node.
type NodeListen struct {
	// Caller is the TCP address for callers' HTTP requests.
	Caller string `json:"caller" validate:"required,listen"`
	// Outgoing is the TCP address for HTTP requests that the own backend server
	// sends to other services. It should be a loopback address. Empty, the
	// default, serves them on Caller.
	Outgoing string `json:"outgoing" validate:"omitempty,listen"`
	// Peer is the UDP address for control streams.
	Peer string `json:"peer" validate:"required,listen"`
	// Call is the TCP address for calls of other nodes.
	Call string `json:"call" validate:"required,listen"`
	// Admin is the TCP address for metrics and health. It should be a loopback
	// address, since it asks for no token.
	Admin string `json:"admin" validate:"required,listen"`
	// Ready is the TCP address for readiness probes; empty, the default, serves
	// none besides Admin.
	Ready string `json:"ready" validate:"omitempty,listen"`
	// Registration is the TCP address at which the own backend server registers
	// itself and renews that by heartbeats. Empty, the default, announces the
	// backend server that the settings describe.
	Registration string `json:"registration" validate:"omitempty,listen"`
}

// Advertise holds the addresses by which other processes reach a node. Empty
// ones stand for the listen addresses; they are needed if those name no host.
type Advertise struct {
	// Peer is the UDP address for control streams.
	Peer string `json:"peer" validate:"omitempty,address"`
	// Call is the TCP address for calls of other nodes.
	Call string `json:"call" validate:"omitempty,address"`
}

// Backend is the backend server beside a node.
type Backend struct {
	// Service is the service that it answers for.
	Service model.ServiceName `json:"service" validate:"required,name"`
	// Version is its version.
	Version model.ServiceVersion `json:"version" validate:"required,name"`
	// URL is where it answers, such as http://127.0.0.1:8080; it has no path.
	URL string `json:"url" validate:"required,http_url"`
	// Slots is the number of requests that it runs at a time. A number above the
	// true one overloads it, a lower one wastes capacity.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// Connections bounds the connections to it, at least Slots. Spare ones
	// replace silent connections without delay.
	Connections int `json:"connections" validate:"min=1,max=10000,gtefield=Slots"`
	// ColdLoad is the part of the stated rate of a cold backend server that it is
	// given; default 1. More shortens the recovery of a whole data centre, and a
	// backend server that states its rate without a margin may fall over.
	ColdLoad float64 `json:"cold_load" validate:"min=0.1,max=3"`
	// HealthPath is asked before the first request is sent; default /healthz.
	HealthPath string `json:"health_path" validate:"startswith=/,max=1024"`
}

// NodeTimeouts holds the time limits of a node.
type NodeTimeouts struct {
	// LeaseRenew is the interval of renewals with a control host; default
	// 500ms. A shorter one tolerates more lost renewals and costs bytes; it must
	// be at most a third of EndpointLease.
	LeaseRenew time.Duration `json:"lease_renew" validate:"min=50ms,max=20s"`
	// EndpointLease is the lease that control hosts grant; default 2s. It must
	// equal timeouts.endpoint_lease of the control hosts. A control host that does
	// not answer a renewal within half of it is replaced.
	EndpointLease time.Duration `json:"endpoint_lease" validate:"min=1s,max=1m"`
	// ParentSilence is the silence after which a tree parent is replaced;
	// default 900ms. It covers at least two heartbeats of 300ms. A shorter one
	// converges sooner after a crash and replaces parents whose host is merely
	// slow. A connection that is silent as a whole is given up after 1s in any case.
	ParentSilence time.Duration `json:"parent_silence" validate:"min=700ms,max=30s"`
	// Repair is the interval of comparing positions with a random peer; default
	// 2s. A shorter one repairs lost updates sooner and costs bytes.
	Repair time.Duration `json:"repair" validate:"min=200ms,max=1m"`
	// Connect bounds making a connection to a backend server or node, TLS
	// included; default 250ms. One call to a control host for a claim may take
	// twice as long. A shorter one fails over sooner, but not across a slow link.
	Connect time.Duration `json:"connect" validate:"min=5ms,max=10s"`
	// Health is the interval of health requests to the backend server; default
	// 1s. A shorter one costs the backend server requests.
	Health time.Duration `json:"health" validate:"min=50ms,max=1m"`
	// Drain is how long running requests may go on at a planned stop; default
	// 15s. A longer one interrupts no slow request, a shorter one stops sooner.
	Drain time.Duration `json:"drain" validate:"min=0s,max=10m"`
	// Leave is how long a stopping node goes on taking requests: within it every
	// caller has learned of the departure, and other nodes within its last 1.5 s;
	// default 1500ms. A longer one suits callers that learn of it late; it counts
	// towards Drain.
	Leave time.Duration `json:"leave" validate:"min=0s,max=1m"`
	// ReturnRamp is how long a returning data centre takes to get its full part of
	// calls; default 30s. A longer one is gentler to cold backend servers and
	// leaves the other data centres with more load for longer.
	ReturnRamp time.Duration `json:"return_ramp" validate:"min=10ms,max=10m"`
	// HeaderRead bounds reading a caller's request header; default 5s. A
	// shorter one frees connections of slow callers sooner.
	HeaderRead time.Duration `json:"header_read" validate:"min=100ms,max=1m"`
}

// FanOut bounds a node's part in the distribution tree.
type FanOut struct {
	// Children bounds the nodes that this node serves; default 8. More make
	// the tree flatter and cost this node bytes.
	Children int `json:"children" validate:"min=1,max=64"`
	// FirstLevel is the number of nodes of a data centre that the control hosts
	// serve; default 4. It must equal limits.first_level of the control hosts.
	FirstLevel int `json:"first_level" validate:"min=1,max=256"`
	// Candidates is the number of preferred parents one level up the tree;
	// default 3. More find a parent sooner after failures and spread the children
	// less evenly.
	Candidates int `json:"candidates" validate:"min=1,max=16"`
	// Snapshots bounds the snapshots sent together; default 2. More end a storm
	// of restarts sooner and cost this node processor time.
	Snapshots int `json:"snapshots" validate:"min=1,max=16"`
}

// NodeLimits holds the size limits of a node.
type NodeLimits struct {
	// BodyBytes bounds a request body; default 4194304 bytes. A greater one
	// admits greater uploads and costs memory for each call.
	BodyBytes int64 `json:"body_bytes" validate:"min=1024,max=1073741824"`
	// HeaderBytes bounds a request header; default 65536 bytes.
	HeaderBytes int `json:"header_bytes" validate:"min=1024,max=1048576"`
	// Calls bounds the calls of this entry side in flight; default 4096. Beyond
	// it calls are refused as not run, which protects the node's memory.
	Calls int `json:"calls" validate:"min=1,max=1000000"`
}

// DefaultNode returns the defaults of the fields that have one.
func DefaultNode() Node {
	return Node{
		Backend:     Backend{HealthPath: "/healthz", ColdLoad: 1},
		ClaimGroups: 4,
		Timeouts: NodeTimeouts{
			LeaseRenew: 500 * time.Millisecond, EndpointLease: 2 * time.Second, ParentSilence: 900 * time.Millisecond,
			Repair: 2 * time.Second, Connect: 250 * time.Millisecond, Health: time.Second,
			Drain: 15 * time.Second, HeaderRead: 5 * time.Second,
			Leave: 1500 * time.Millisecond, ReturnRamp: 30 * time.Second,
		},
		FanOut:  FanOut{Children: 8, FirstLevel: distribute.DefaultFirstLevel, Candidates: 3, Snapshots: 2},
		Retries: Retries{Part: routing.RetryPart, Burst: routing.RetryBurst},
		Limits:  NodeLimits{BodyBytes: 4 << 20, HeaderBytes: 64 << 10, Calls: 4096},
	}
}

// check checks what concerns several fields.
func (n *Node) check() error {
	if err := n.Process.check(); err != nil {
		return err
	}
	if n.Timeouts.LeaseRenew*3 > n.Timeouts.EndpointLease {
		return invalid("timeouts.lease_renew", "%s is more than a third of endpoint_lease %s",
			n.Timeouts.LeaseRenew, n.Timeouts.EndpointLease)
	}
	if u, err := url.Parse(n.Backend.URL); err != nil || u.Scheme != "http" || u.User != nil || u.RawQuery != "" || strings.Trim(u.Path, "/") != "" {
		return invalid("backend.url", "%q is not http:// and a host alone", n.Backend.URL)
	}
	for i, h := range n.ControlHosts {
		if h.Host == n.Host {
			return invalid(controlHostField(i, "host"), "%q is this node", h.Host)
		}
	}
	if n.Advertise.Peer == "" && !isDialable(n.Listen.Peer) {
		return invalid("advertise.peer", "is needed since listen.peer names no host")
	}
	if n.Advertise.Call == "" && !isDialable(n.Listen.Call) {
		return invalid("advertise.call", "is needed since listen.call names no host")
	}
	return nil
}

// setDerivedDefaults sets the fields that default to others.
func (n *Node) setDerivedDefaults() {
	if n.Advertise.Peer == "" {
		n.Advertise.Peer = n.Listen.Peer
	}
	if n.Advertise.Call == "" {
		n.Advertise.Call = n.Listen.Call
	}
}

// filePaths lists the file names that may be relative to the settings file.
func (n *Node) filePaths() []*string { return append(n.Process.filePaths(), &n.CacheFile) }
