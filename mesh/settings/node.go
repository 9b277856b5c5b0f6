package settings

import (
	"net/url"
	"strings"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/routing"
)

// Node holds the settings of a node.
type Node struct {
	Process
	// Listen holds the listen addresses.
	Listen NodeListen `json:"listen"`
	// Advertise holds the addresses that other processes connect to.
	Advertise Advertise `json:"advertise"`
	// Backend describes the node's local backend server.
	Backend Backend `json:"backend"`
	// CacheFile is the file that stores the newest configuration and the live peers
	// for a restart while the control hosts are unavailable. If it is empty, the
	// default, nothing is stored, and a restarted node routes only after it has received
	// the configuration from control hosts or peers.
	CacheFile string `json:"cache_file"`
	// ClaimGroups is the number of replication groups that store idempotency claims;
	// default 4. It must equal claim_groups of the control hosts.
	ClaimGroups int `json:"claim_groups" validate:"min=0,max=64"`
	// Timeouts holds the timeouts and intervals.
	Timeouts NodeTimeouts `json:"timeouts"`
	// FanOut holds the settings of the node's place in the distribution tree.
	FanOut FanOut `json:"fan_out"`
	// Limits holds the limits of sizes and counts.
	Limits NodeLimits `json:"limits"`
	// Retries is the node's retry budget for all of its calls together.
	Retries Retries `json:"retries"`
	// Hedging limits the hedged attempts of the node.
	Hedging Hedging `json:"hedging"`
	// Queue holds the limits of the queue of requests that wait for a slot of the
	// backend server. It applies if the service states no queue limits.
	Queue Queue `json:"queue"`
}

// Retries is the retry budget of a node. It limits the load that retries of all
// nodes together add to a service to a ratio of the load of first attempts.
type Retries struct {
	// Part is the ratio of retries to calls; default 0.1. Retries multiply along a
	// chain of calls, so that the ratio must be well below the additional load that a
	// service can handle. A higher value masks more failures.
	Part float64 `json:"part" validate:"min=0,max=1"`
	// Burst is the number of retries that a node may make at once; default 10. All
	// nodes may do so at the same time, so that a higher value adds more load to a
	// failing service. A lower one leaves nodes with few calls without retries.
	Burst float64 `json:"burst" validate:"min=1,max=1000"`
}

// Hedging limits hedged attempts: second attempts of lookups that are not answered in the
// usual time. Which routes are hedged is stated in the configuration.
type Hedging struct {
	// Limit is the greatest ratio of hedged attempts to calls of hedged routes; default
	// 0.05. 0 switches hedging off. A higher value shortens the tail of the latency, but
	// adds as much load. Hedged attempts count against Retries too.
	Limit float64 `json:"limit" validate:"min=0,max=0.25"`
	// Burst is the number of hedged attempts that a node may make at once; default 5. A
	// higher value covers longer phases of slowness, but lets all nodes add more load at
	// the same time.
	Burst float64 `json:"burst" validate:"min=1,max=1000"`
	// MaxLoad is the average load of a version above which its calls are not hedged, as a
	// fraction of its concurrency limit; default 0.8. A higher value hedges nearer to
	// overload, where extra attempts delay other requests.
	MaxLoad float64 `json:"max_load" validate:"min=0,max=1"`
}

// Queue holds the limits of the queue of requests that wait for a slot of a backend
// server.
type Queue struct {
	// Limit is the highest number of waiting requests; default 0. With a higher value
	// fewer requests are refused in a burst, but answers take longer.
	Limit int `json:"limit" validate:"min=0,max=100000"`
	// Timeout is the longest time that a request waits for a slot; default 0s. With a
	// higher value fewer requests are refused, but answers take longer.
	Timeout time.Duration `json:"timeout" validate:"min=0s,max=10m"`
}

// NodeListen holds the listen addresses of a node.
type NodeListen struct {
	// Caller is the TCP address for callers' HTTP requests; required.
	Caller string `json:"caller" validate:"required,listen"`
	// Outgoing is the TCP address for HTTP requests that the local backend server
	// sends to other services. It should be a loopback address. If it is empty, the
	// default, Caller serves these requests.
	Outgoing string `json:"outgoing" validate:"omitempty,listen"`
	// Peer is the UDP address for connections of control hosts and other nodes;
	// required.
	Peer string `json:"peer" validate:"required,listen"`
	// Call is the TCP address for calls from other nodes; required.
	Call string `json:"call" validate:"required,listen"`
	// Admin is the TCP address for metrics and health; required. It should be a
	// loopback address, because it requires no token.
	Admin string `json:"admin" validate:"required,listen"`
	// Ready is the TCP address for readiness probes. If it is empty, the default, only
	// Admin serves health.
	Ready string `json:"ready" validate:"omitempty,listen"`
	// Registration is the TCP address at which the local backend server registers and
	// then sends heartbeats. If it is empty, the default, the node announces the
	// backend server that the settings describe.
	Registration string `json:"registration" validate:"omitempty,listen"`
}

// Advertise holds the addresses at which other processes reach a node. An empty
// address defaults to the listen address. It is required if the listen address
// has no host, an unspecified IP address or port 0.
type Advertise struct {
	// Peer is the UDP address for connections of control hosts and other nodes.
	Peer string `json:"peer" validate:"omitempty,address"`
	// Call is the TCP address for calls from other nodes.
	Call string `json:"call" validate:"omitempty,address"`
}

// Backend describes the local backend server of a node.
type Backend struct {
	// Service is the name of the service that the backend server runs; required.
	Service model.ServiceName `json:"service" validate:"required,name"`
	// Version is the version of the service that the backend server runs; required.
	Version model.ServiceVersion `json:"version" validate:"required,name"`
	// URL is the address of the backend server, such as http://127.0.0.1:8080, without
	// a path; required.
	URL string `json:"url" validate:"required,http_url"`
	// Slots is the number of requests that the backend server can run concurrently;
	// required. A value above its real capacity overloads it, a lower one wastes
	// capacity.
	Slots int `json:"slots" validate:"min=1,max=10000"`
	// Connections is the highest number of connections to the backend server;
	// required, at least Slots. Connections beyond Slots replace unresponsive ones
	// without delay.
	Connections int `json:"connections" validate:"min=1,max=10000,gtefield=Slots"`
	// ColdLoad is the ratio of the request rate that a cold backend server gets to the
	// rate that its service states for it; default 1. A higher value shortens the
	// recovery of a whole data centre, but may overload a backend server whose stated
	// rate has no margin.
	ColdLoad float64 `json:"cold_load" validate:"min=0.1,max=3"`
	// HealthPath is the path of health probes to the backend server; default /healthz.
	// The node sends requests only after a first successful probe.
	HealthPath string `json:"health_path" validate:"startswith=/,max=1024"`
}

// NodeTimeouts holds the timeouts and intervals of a node.
type NodeTimeouts struct {
	// LeaseRenew is the interval at which the node renews its lease with a control
	// host; default 500ms. It must be at most a third of EndpointLease. A lower value
	// tolerates more lost renewals, but uses more bandwidth.
	LeaseRenew time.Duration `json:"lease_renew" validate:"min=50ms,max=20s"`
	// EndpointLease is the duration of the lease that control hosts grant; default 2s.
	// It must equal timeouts.endpoint_lease of the control hosts. If a control host
	// does not answer a renewal within half of it, the node switches to another one.
	EndpointLease time.Duration `json:"endpoint_lease" validate:"min=1s,max=1m"`
	// ParentSilence is the time without messages from the parent in the distribution
	// tree after which the node switches to another parent; default 900ms. It must
	// cover at least two heartbeats of 300ms. A lower value converges sooner after a
	// crash, but also replaces parents whose hosts are only slow. A connection without
	// any traffic is closed after 1s, whatever the value.
	ParentSilence time.Duration `json:"parent_silence" validate:"min=700ms,max=30s"`
	// Repair is the interval at which the node compares configuration versions with a
	// random peer; default 2s. A lower value repairs lost updates sooner, but uses
	// more bandwidth.
	Repair time.Duration `json:"repair" validate:"min=200ms,max=1m"`
	// Connect is the timeout for connecting to a backend server or node, including the
	// TLS handshake; default 250ms. The timeout of a claim call to a control host is
	// twice as long. A lower value fails over sooner, but may be too short for a slow
	// link.
	Connect time.Duration `json:"connect" validate:"min=5ms,max=10s"`
	// Health is the interval and the timeout of health probes to the backend server;
	// default 1s. A lower value detects a failure sooner, but sends more probes.
	Health time.Duration `json:"health" validate:"min=50ms,max=1m"`
	// Drain is how long requests in progress may continue at a graceful shutdown;
	// default 15s. A higher value lets slow requests finish, a lower one stops the
	// process sooner.
	Drain time.Duration `json:"drain" validate:"min=0s,max=10m"`
	// Leave is how long a node that shuts down still accepts requests, so that callers
	// can learn that it is leaving; default 1500ms. Other nodes learn it in the last
	// 1.5 s of that time. A higher value suits callers that learn it late, but leaves
	// less time to requests in progress, because Leave is a part of Drain.
	Leave time.Duration `json:"leave" validate:"min=0s,max=1m"`
	// ReturnRamp is the time over which a returning data centre's share of calls rises
	// to its full value; default 30s. A higher value puts less load on cold backend
	// servers, but keeps more load on the other data centres for longer.
	ReturnRamp time.Duration `json:"return_ramp" validate:"min=10ms,max=10m"`
	// HeaderRead is the timeout for reading the header of a caller's request; default
	// 5s. A lower value frees the connections of slow callers sooner.
	HeaderRead time.Duration `json:"header_read" validate:"min=100ms,max=1m"`
	// BodyProgress is how long a caller may neither send nor take anything while a body
	// is in transfer; default 5s. A lower value frees the memory and the connections of
	// stalled callers sooner, a higher one suits callers on links that fail for a while.
	BodyProgress time.Duration `json:"body_progress" validate:"min=100ms,max=10m"`
}

// FanOut holds the settings of a node's place in the distribution tree.
type FanOut struct {
	// Children is the highest number of nodes that get configuration from this node;
	// default 8. A higher value makes the tree flatter, but uses more bandwidth of
	// this node.
	Children int `json:"children" validate:"min=1,max=64"`
	// FirstLevel is the number of nodes per data centre that the distribution tree
	// assigns to the control hosts; default 4. It must equal limits.first_level of the
	// control hosts.
	FirstLevel int `json:"first_level" validate:"min=1,max=256"`
	// Candidates is the number of preferred parents one level up the distribution
	// tree; default 3. With a higher value the node finds a parent sooner after
	// failures, but children are spread less evenly.
	Candidates int `json:"candidates" validate:"min=1,max=16"`
	// Snapshots is the highest number of configuration snapshots that are sent
	// concurrently; default 2. A higher value serves many restarting nodes sooner,
	// but uses more processor time of this node.
	Snapshots int `json:"snapshots" validate:"min=1,max=16"`
}

// NodeLimits holds the limits of sizes and counts of a node.
type NodeLimits struct {
	// BodyBytes is the largest size of a request body in bytes, if the configuration states
	// none; default 4194304. A higher value allows larger uploads.
	BodyBytes int64 `json:"body_bytes" validate:"min=1024,max=1073741824"`
	// BodyMemory is the number of bytes that the node keeps of request bodies, and of
	// responses that callers have not yet taken, together; default 16777216. Without room
	// requests with a body are refused, and responses take their slot until their callers
	// have them. A higher value frees slots sooner, but uses more memory.
	BodyMemory int64 `json:"body_memory" validate:"min=1048576,max=1099511627776"`
	// Memory is the number of bytes that the node should hold at most; 48 MiB more than
	// BodyMemory if it is 0, the default. Near it the garbage collector takes more
	// processor time; requests are not refused for it. A higher value leaves more garbage
	// uncollected, a lower one costs processor time.
	Memory int64 `json:"memory" validate:"min=0,max=1099511627776"`
	// LinkRate is the rate of the host's link in bytes per second. Large bodies to other
	// nodes are paced below it, and downloads that it could not carry in time are refused;
	// 0, the default, paces nothing. A value above the real rate lets large bodies delay
	// control traffic and short answers, a lower one wastes room.
	LinkRate int64 `json:"link_rate" validate:"min=0,max=1099511627776"`
	// HeaderBytes is the largest size of a request header in bytes; default 65536, which is
	// also the most that nodes pass on to each other. A lower value uses less memory per
	// connection.
	HeaderBytes int `json:"header_bytes" validate:"min=1024,max=65536"`
	// Calls is the highest number of callers' requests in progress on this node;
	// default 4096. Further requests are refused and reported as not run, which limits
	// the node's memory use.
	Calls int `json:"calls" validate:"min=1,max=1000000"`
	// Handshakes is the highest number of handshakes of other nodes that are served
	// concurrently; default 64. A higher value lets other nodes attach sooner, a lower
	// one leaves more processor time to requests.
	Handshakes int `json:"handshakes" validate:"min=1,max=65536"`
}

// memoryBesideBodies is what a node may hold by default beside bodies. With the default of
// limits.body_memory it makes 64 MiB.
const memoryBesideBodies = 48 << 20

// defaultHandshakes is the default of limits.handshakes in both roles.
const defaultHandshakes = 64

// DefaultNode returns settings with the defaults of all fields that have one.
func DefaultNode() Node {
	return Node{
		Backend:     Backend{HealthPath: "/healthz", ColdLoad: 1},
		ClaimGroups: 4,
		Timeouts: NodeTimeouts{
			LeaseRenew: 500 * time.Millisecond, EndpointLease: 2 * time.Second, ParentSilence: 900 * time.Millisecond,
			Repair: 2 * time.Second, Connect: 250 * time.Millisecond, Health: time.Second,
			Drain: 15 * time.Second, HeaderRead: 5 * time.Second, BodyProgress: 5 * time.Second,
			Leave: 1500 * time.Millisecond, ReturnRamp: 30 * time.Second,
		},
		FanOut:  FanOut{Children: 8, FirstLevel: distribute.DefaultFirstLevel, Candidates: 3, Snapshots: 2},
		Retries: Retries{Part: routing.RetryRatio, Burst: routing.RetryBurst},
		Hedging: Hedging{Limit: hedging.DefaultLimit, Burst: hedging.DefaultBurst, MaxLoad: hedging.DefaultMaxLoad},
		Limits:  NodeLimits{BodyBytes: 4 << 20, BodyMemory: 16 << 20, HeaderBytes: 64 << 10, Calls: 4096, Handshakes: defaultHandshakes},
	}
}

// hedgingFields gives errors of ValidateHedging the path that they have in a file.
type hedgingFields struct {
	Hedging Hedging `json:"hedging"`
}

// ValidateHedging checks the fields of Hedging, for front ends that set them without a
// settings file.
func (n *Node) ValidateHedging() error {
	return validate(hedgingFields{n.Hedging})
}

// check validates the rules that involve several fields.
func (n *Node) check() error {
	if err := n.Process.check(); err != nil {
		return err
	}
	if n.Limits.Memory > 0 && n.Limits.Memory < 2*n.Limits.BodyMemory {
		return invalid("limits.memory", "%d is less than twice body_memory %d", n.Limits.Memory, n.Limits.BodyMemory)
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

// setDerivedDefaults sets empty fields that default to the value of another field.
func (n *Node) setDerivedDefaults() {
	if n.Advertise.Peer == "" {
		n.Advertise.Peer = n.Listen.Peer
	}
	if n.Advertise.Call == "" {
		n.Advertise.Call = n.Listen.Call
	}
	if n.Limits.Memory == 0 {
		n.Limits.Memory = memoryBesideBodies + n.Limits.BodyMemory
	}
}

// filePaths returns the settings that hold file names, which may be relative to the
// folder of the settings file.
func (n *Node) filePaths() []*string { return append(n.Process.filePaths(), &n.CacheFile) }
