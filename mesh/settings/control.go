package settings

import (
	"time"

	"balsamtrail.org/mesh/distribute"
	"balsamtrail.org/mesh/model"
)

// Control holds the settings of a control host.
type Control struct {
	Process
	// Epoch is the first part of every position; default 1. It is raised, on all
	// control hosts alike, only to rebuild the group after the loss of its quorum.
	Epoch uint64 `json:"epoch" validate:"min=1"`
	// DataDir is the folder for log, snapshots and votes; no other process may use it.
	DataDir string `json:"data_dir" validate:"required"`
	// Listen holds the addresses that the process listens on.
	Listen ControlListen `json:"listen"`
	// DataCentres lists the data centres of the mesh. Taking out one that is not
	// in the list is refused, which catches a misspelt name.
	DataCentres []model.DataCentre `json:"data_centres" validate:"required,min=1,max=1024,unique,dive,name"`
	// OperatorTLS names the certificate of the operator interface.
	OperatorTLS OperatorTLS `json:"operator_tls"`
	// Operators lists who may use the operator interface. It may be empty on a
	// closed network, where another front end serves operators.
	Operators []Operator `json:"operators" validate:"max=1000,unique=Name,unique=TokenSHA256,dive"`
	// AutoJoin makes a host that is not a member of the control group ask the
	// other control hosts to add it, and the leader remove a voter that is silent
	// while more than TargetVoters vote. Default false: operators change members.
	AutoJoin bool `json:"auto_join"`
	// TargetVoters is the number of voters that AutoJoin keeps at least; default
	// 3, which survive the loss of one.
	TargetVoters int `json:"target_voters" validate:"min=1,max=15"`
	// ClaimGroups is the number of replicated groups that hold idempotency
	// claims; default 4. More spread the load of writes over more leaders and
	// cost one log each. It must be the same on all control hosts and cannot be
	// changed while claims are kept. 0 is for meshes whose writes have no keys.
	ClaimGroups int `json:"claim_groups" validate:"min=0,max=64"`
	// Timeouts holds the time limits.
	Timeouts ControlTimeouts `json:"timeouts"`
	// Limits holds the size limits.
	Limits ControlLimits `json:"limits"`
}

// ControlListen holds the listen addresses of a control host.
type ControlListen struct {
	// Peer is the UDP address for control streams.
	Peer string `json:"peer" validate:"required,listen"`
	// Operator is the TCP address of the operator interface (HTTPS).
	Operator string `json:"operator" validate:"required,listen"`
	// Admin is the TCP address for metrics without TLS and token; empty, the
	// default, serves them with the operator interface only.
	Admin string `json:"admin" validate:"omitempty,listen"`
}

// OperatorTLS names the PEM files of the operator interface.
type OperatorTLS struct {
	// Certificate is the file of the server certificate that operators verify.
	Certificate string `json:"certificate"`
	// Key is the file of its private key.
	Key string `json:"key"`
}

// Operator is one operator with the digest of its bearer token.
type Operator struct {
	// Name stands in audit records.
	Name model.OperatorName `json:"name" validate:"required,name"`
	// TokenSHA256 is the SHA-256 digest of the token in 64 hexadecimal digits;
	// the token itself is not stored.
	TokenSHA256 string `json:"token_sha256" validate:"required,len=64,hexadecimal,lowercase"`
}

// ControlTimeouts holds the time limits of a control host.
type ControlTimeouts struct {
	// Election is the silence of a leader after which another is elected, and
	// the length of the leader's lease; default 1s. A shorter one restores writes
	// sooner and elects needlessly when a disk or the network stalls.
	Election time.Duration `json:"election" validate:"min=100ms,max=1m"`
	// Heartbeat is the interval of the leader's messages; default 150ms. A
	// shorter one costs messages; it must be at most a third of Election.
	Heartbeat time.Duration `json:"heartbeat" validate:"min=10ms,max=20s"`
	// EndpointLease is how long a node counts as alive after its last renewal;
	// default 2s. A shorter one finds a crash sooner and drops nodes whose host
	// is merely slow. It must be the same on all control hosts.
	EndpointLease time.Duration `json:"endpoint_lease" validate:"min=1s,max=1m"`
	// Propose is how long an operator's write waits for a quorum; default 3s.
	// A longer one hides an election, a shorter one reports it to the operator. It must be
	// at most Request.
	Propose time.Duration `json:"propose" validate:"min=100ms,max=30s"`
	// Watch is the longest wait of one long poll; default 25s. A longer one
	// costs fewer requests and may be cut by middleboxes.
	Watch time.Duration `json:"watch" validate:"min=1s,max=5m"`
	// Request bounds reading and answering an operator's request that does not
	// wait; default 10s. A shorter one frees connections of slow clients sooner.
	Request time.Duration `json:"request" validate:"min=500ms,max=1m"`
	// Shutdown bounds a graceful shutdown; default 10s. A longer one lets slower
	// requests end, a shorter one returns the host sooner.
	Shutdown time.Duration `json:"shutdown" validate:"min=100ms,max=5m"`
}

// ControlLimits holds the size limits of a control host.
type ControlLimits struct {
	// RequestBytes bounds the body of an operator's request; default 1048576
	// bytes. A greater one admits greater notes and costs memory for each request.
	RequestBytes int64 `json:"request_bytes" validate:"min=4096,max=4194304"`
	// Requests bounds the operator requests served together, of which long polls
	// may take half; default 512. Beyond it requests are refused with 503.
	Requests int `json:"requests" validate:"min=8,max=65536"`
	// Children bounds the nodes of one data centre that this host serves
	// directly; default 8. The tree gives it 4; more take over those of a lost
	// control host at once and cost bytes at the source.
	Children int `json:"children" validate:"min=4,max=256"`
	// FirstLevel is the number of nodes of a data centre that the tree gives to the
	// control hosts; default 4. A greater one spares the links of nodes and costs
	// the control hosts bytes. It must be the same on all processes.
	FirstLevel int `json:"first_level" validate:"min=1,max=256"`
	// Snapshots bounds the snapshots sent together; default 8. More end a storm
	// of restarts sooner and take processor time from commits.
	Snapshots int `json:"snapshots" validate:"min=1,max=256"`
	// SnapshotEntries is the number of log entries between two snapshots on
	// disk; default 10000. More make restarts slower, fewer cost writes.
	SnapshotEntries int `json:"snapshot_entries" validate:"min=10,max=1000000"`
}

// DefaultControl returns the defaults of the fields that have one.
func DefaultControl() Control {
	return Control{
		Epoch:       1,
		ClaimGroups: 4, TargetVoters: 3,
		Timeouts: ControlTimeouts{
			Election: time.Second, Heartbeat: 150 * time.Millisecond, EndpointLease: 2 * time.Second,
			Propose: 3 * time.Second, Watch: 25 * time.Second, Request: 10 * time.Second, Shutdown: 10 * time.Second,
		},
		Limits: ControlLimits{
			RequestBytes: 1 << 20, Requests: 512, Children: 8, FirstLevel: distribute.DefaultFirstLevel, Snapshots: 8, SnapshotEntries: 10_000,
		},
	}
}

// check checks what concerns several fields.
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

// checkOperators checks what the operator interface needs unless another front
// end serves operators.
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

// filePaths lists the file names that may be relative to the settings file.
func (c *Control) filePaths() []*string {
	return append(c.Process.filePaths(), &c.DataDir, &c.OperatorTLS.Certificate, &c.OperatorTLS.Key)
}
