package settings

import (
	"fmt"
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/tolerance"
)

// Control holds the settings of a control host.
type Control struct {
	Process
	// Epoch is the first number of every configuration version; default 1. Raise it,
	// to the same value on all control hosts, only to rebuild the control group
	// after it has lost its quorum for good.
	Epoch uint64 `json:"epoch" validate:"min=1"`
	// DataDir is the folder for the replicated logs, snapshots and votes; required. No
	// other process may use it.
	DataDir string `json:"data_dir" validate:"required"`
	// Listen holds the listen addresses.
	Listen ControlListen `json:"listen"`
	// DataCentres lists the data centres of the mesh; required. Requests to take out
	// a data centre that is not in the list are refused, which catches misspelt
	// names.
	DataCentres []model.DataCentre `json:"data_centres" validate:"required,min=1,max=1024,unique,dive,name"`
	// OperatorTLS names the certificate files of the operator interface.
	OperatorTLS OperatorTLS `json:"operator_tls"`
	// Operators lists the operators that may use the operator interface. It may be
	// empty on a closed network, where another HTTP handler serves operators.
	Operators []Operator `json:"operators" validate:"max=1000,unique=Name,unique=TokenSHA256,dive"`
	// FirstStart says that no control host of the settings has run before; default false. A
	// majority of the voters then forms the control group if the others do not answer. It
	// must be false when a control host starts again, above all after the loss of its disk.
	FirstStart bool `json:"first_start"`
	// AutoJoin lets the control group change its members by itself: a host that is
	// not a member asks the other control hosts to add it, and the leader removes a
	// voter that does not respond if those that do are enough for Tolerate. Default
	// false: only operators add and remove control hosts.
	AutoJoin bool `json:"auto_join"`
	// Tolerate states the losses that the control group must survive.
	Tolerate tolerance.Losses `json:"tolerate"`
	// ClaimGroups is the number of replication groups that store idempotency claims;
	// default 4. More groups spread the load of writes over more leaders, but each
	// has a log of its own. The number must be the same on all control hosts and must
	// not change while claims are stored. Use 0 if writes have no idempotency keys.
	ClaimGroups int `json:"claim_groups" validate:"min=0,max=64"`
	// Timeouts holds the timeouts and intervals.
	Timeouts ControlTimeouts `json:"timeouts"`
	// Limits holds the limits of sizes and counts.
	Limits ControlLimits `json:"limits"`
}

// ControlListen holds the listen addresses of a control host.
type ControlListen struct {
	// Peer is the UDP address for connections of nodes and other control hosts;
	// required.
	Peer string `json:"peer" validate:"required,listen"`
	// Operator is the TCP address of the operator interface (HTTPS); required.
	Operator string `json:"operator" validate:"required,listen"`
	// Admin is the TCP address that serves metrics without TLS and without a token.
	// If it is empty, the default, only the operator interface serves metrics.
	Admin string `json:"admin" validate:"omitempty,listen"`
}

// OperatorTLS names the PEM files of the operator interface. Both are required
// unless the network is closed and no operators are listed.
type OperatorTLS struct {
	// Certificate is the file of the server certificate that operators verify.
	Certificate string `json:"certificate"`
	// Key is the file of the certificate's private key.
	Key string `json:"key"`
}

// Operator is an operator and the digest of the operator's bearer token.
type Operator struct {
	// Name is written to audit records.
	Name model.OperatorName `json:"name" validate:"required,name"`
	// TokenSHA256 is the SHA-256 digest of the token as 64 hexadecimal digits in
	// lower case. The token itself is not stored.
	TokenSHA256 string `json:"token_sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// ControlTimeouts holds the timeouts and intervals of a control host.
type ControlTimeouts struct {
	// Election is the time without messages from the leader after which a new leader
	// is elected, and the duration of the leader's lease; default 1s. A lower value
	// restores writes sooner after a failure, but causes needless elections when a
	// disk or the network stalls.
	Election time.Duration `json:"election" validate:"min=100ms,max=1m"`
	// Heartbeat is the interval of the leader's heartbeats; default 150ms. It must be
	// at most a third of Election. A lower value sends more messages, a higher one
	// tolerates fewer lost ones.
	Heartbeat time.Duration `json:"heartbeat" validate:"min=10ms,max=20s"`
	// EndpointLease is how long a node counts as live after its last lease renewal;
	// default 2s. A lower value detects crashes sooner, but also removes nodes whose
	// hosts are only slow. It must be the same on all control hosts.
	EndpointLease time.Duration `json:"endpoint_lease" validate:"min=1s,max=1m"`
	// Propose is the timeout of an operator's write that waits for a quorum; default
	// 3s. With a higher value writes outlast an election, with a lower one they fail
	// sooner. It must be at most Request.
	Propose time.Duration `json:"propose" validate:"min=100ms,max=30s"`
	// Watch is the longest duration of a long poll; default 25s. A higher value causes
	// fewer requests, but middleboxes may close a connection that is idle for that
	// long.
	Watch time.Duration `json:"watch" validate:"min=1s,max=5m"`
	// Request is the timeout for reading an operator's request and for answering one
	// that is not a long poll; default 10s. A lower value frees the connections of
	// slow clients sooner.
	Request time.Duration `json:"request" validate:"min=500ms,max=1m"`
	// Shutdown is the timeout of a graceful shutdown; default 10s. A higher value lets
	// slower requests finish, a lower one stops the process sooner.
	Shutdown time.Duration `json:"shutdown" validate:"min=100ms,max=5m"`
}

// ControlLimits holds the limits of sizes and counts of a control host.
type ControlLimits struct {
	// RequestBytes is the largest size of the body of an operator's request in bytes;
	// default 1048576. A higher value allows larger notes and uses more memory per
	// request.
	RequestBytes int64 `json:"request_bytes" validate:"min=4096,max=4194304"`
	// Requests is the highest number of concurrent operator requests; default 512. At
	// most half of them may be long polls. Further requests are refused with status
	// 503. A higher value uses more memory.
	Requests int `json:"requests" validate:"min=8,max=65536"`
	// Children is the highest number of nodes per data centre that get configuration
	// directly from this host; default 8. The distribution tree assigns 4 to it; the
	// rest lets it take over the nodes of a failed control host at once. A higher
	// value uses more bandwidth of this host.
	Children int `json:"children" validate:"min=4,max=256"`
	// FirstLevel is the number of nodes per data centre that the distribution tree
	// assigns to the control hosts; default 4. A higher value uses less bandwidth of
	// the nodes and more of the control hosts. It must be the same in all processes.
	FirstLevel int `json:"first_level" validate:"min=1,max=256"`
	// Snapshots is the highest number of configuration snapshots that are sent
	// concurrently; default 8. A higher value serves many restarting nodes sooner,
	// but takes processor time from commits.
	Snapshots int `json:"snapshots" validate:"min=1,max=256"`
	// Handshakes is the highest number of handshakes of nodes that are served
	// concurrently; default 64. A higher value lets a fleet connect sooner where there
	// is processor time, a lower one leaves more of it to elections and commits.
	Handshakes int `json:"handshakes" validate:"min=1,max=65536"`
	// SnapshotEntries is the number of log entries between two snapshots on disk;
	// default 10000. A higher value makes restarts slower, a lower one causes more
	// disk writes.
	SnapshotEntries int `json:"snapshot_entries" validate:"min=10,max=1000000"`
	// QuietSnapshotBytes is the size of the log entries with configuration after which a
	// snapshot is also written in the next pause between changes; default 0, which
	// writes none then. A value of a few KiB makes restarts faster where entries are
	// whole configurations; each snapshot costs as much as the state is large.
	QuietSnapshotBytes int64 `json:"quiet_snapshot_bytes" validate:"min=0,max=67108864"`
}

// DefaultControl returns settings with the defaults of all fields that have one.
func DefaultControl() Control {
	return Control{
		Epoch:       1,
		ClaimGroups: 4, Tolerate: tolerance.Losses{Hosts: 1},
		Timeouts: ControlTimeouts{
			Election: time.Second, Heartbeat: 150 * time.Millisecond, EndpointLease: 2 * time.Second,
			Propose: 3 * time.Second, Watch: 25 * time.Second, Request: 10 * time.Second, Shutdown: 10 * time.Second,
		},
		Limits: ControlLimits{
			RequestBytes: 1 << 20, Requests: 512, Children: 8, FirstLevel: distribute.DefaultFirstLevel, Snapshots: 8, Handshakes: defaultHandshakes, SnapshotEntries: 10_000,
		},
	}
}

// check validates the rules that involve several fields.
func (c *Control) check() error {
	if err := c.Process.check(); err != nil {
		return err
	}
	if err := c.checkOperators(); err != nil {
		return err
	}
	self := -1
	voters := 0
	for i, h := range c.ControlHosts {
		if h.Host == c.Host {
			self = i
		}
		if h.Voter {
			voters++
		}
	}
	switch {
	case self < 0:
		return invalid("control_hosts", "does not name this host %q", c.Host)
	case c.ControlHosts[self].DataCentre != c.DataCentre:
		return invalid(controlHostField(self, "data_centre"), "%q, but data_centre is %q",
			c.ControlHosts[self].DataCentre, c.DataCentre)
	case voters == 0 && !c.AutoJoin:
		return invalid("control_hosts", "no host is a voter")
	case c.Timeouts.Heartbeat*3 > c.Timeouts.Election:
		return invalid("timeouts.heartbeat", "%s is more than a third of election %s", c.Timeouts.Heartbeat, c.Timeouts.Election)
	case c.Timeouts.Propose > c.Timeouts.Request:
		return invalid("timeouts.propose", "%s is more than request %s", c.Timeouts.Propose, c.Timeouts.Request)
	}
	return c.checkDataCentres()
}

// Warnings returns what the settings promise and the listed voters cannot keep. With
// AutoJoin, hosts join that the settings do not list.
func (c *Control) Warnings() []string {
	if c.AutoJoin {
		return nil
	}
	var voters []tolerance.Voter
	for _, h := range c.ControlHosts {
		if h.Voter {
			voters = append(voters, tolerance.Voter{Host: h.Host, DataCentre: h.DataCentre})
		}
	}
	if survived := tolerance.Survived(voters); !survived.Covers(c.Tolerate) {
		return []string{fmt.Sprintf("tolerate: the %d voters survive fewer losses (%s) than stated (%s)", len(voters), survived, c.Tolerate)}
	}
	return nil
}

// checkOperators requires operators and a certificate, unless the network is closed
// and no operators are listed: another HTTP handler then serves operators.
func (c *Control) checkOperators() error {
	switch {
	case c.ClosedNetwork && len(c.Operators) == 0:
		return nil
	case len(c.Operators) == 0:
		return invalid("operators", "is required")
	case c.OperatorTLS.Certificate == "":
		return invalid("operator_tls.certificate", "is required")
	case c.OperatorTLS.Key == "":
		return invalid("operator_tls.key", "is required")
	}
	return nil
}

func (c *Control) checkDataCentres() error {
	known := map[model.DataCentre]bool{}
	for _, dc := range c.DataCentres {
		known[dc] = true
	}
	if !known[c.DataCentre] {
		return invalid("data_centre", "%q is not in data_centres", c.DataCentre)
	}
	for i, h := range c.ControlHosts {
		if h.DataCentre != "" && !known[h.DataCentre] {
			return invalid(controlHostField(i, "data_centre"), "%q is not in data_centres", h.DataCentre)
		}
	}
	return nil
}

// filePaths returns the settings that hold file names, which may be relative to the
// folder of the settings file.
func (c *Control) filePaths() []*string {
	return append(c.Process.filePaths(), &c.DataDir, &c.OperatorTLS.Certificate, &c.OperatorTLS.Key)
}
