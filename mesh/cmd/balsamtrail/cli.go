package main

import (
	"crypto/x509"
	"errors"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

// errUsage is returned when arguments, flags or environment variables are missing
// or invalid.
var errUsage = errors.New("usage")

// globals holds the flags of all commands.
type globals struct {
	Servers []string      `help:"URLs of control hosts, separated by commas." env:"BALSAMTRAIL_SERVERS" placeholder:"URL"`
	Token   string        `help:"Operator token." env:"BALSAMTRAIL_TOKEN" placeholder:"TOKEN"`
	CA      string        `help:"PEM file of the CA that signs the control hosts' certificates." name:"ca" env:"BALSAMTRAIL_CA" placeholder:"FILE"`
	Output  string        `help:"Output format: ${enum}." enum:"table,json" default:"table" short:"o"`
	Timeout time.Duration `help:"Maximum time for one request, retries included." default:"30s"`
}

// cli is the command line: global flags and commands.
type cli struct {
	globals

	Publish     publishCmd     `cmd:"" help:"Publish a release note."`
	Amend       amendCmd       `cmd:"" help:"Replace a published note."`
	Withdraw    withdrawCmd    `cmd:"" help:"Withdraw a published note."`
	List        listCmd        `cmd:"" help:"List notes, newest first."`
	Show        showCmd        `cmd:"" help:"Show a note with its times."`
	Diff        diffCmd        `cmd:"" help:"Show what a note file would change."`
	Status      statusCmd      `cmd:"" help:"Show the state of the mesh or of a move."`
	DataCentre  dataCentreCmd  `cmd:"" help:"Take data centres out of service and back."`
	ControlHost controlHostCmd `cmd:"" help:"Add, remove and list control hosts."`
	Nodes       nodesCmd       `cmd:"" help:"List nodes and their backend servers."`
	Audit       auditCmd       `cmd:"" help:"List audit records: who changed what and when."`
	Explain     explainCmd     `cmd:"" help:"Show where a node would send a request and why."`
	Check       checkCmd       `cmd:"" help:"Check notes and settings without a server."`
	DevCA       devCACmd       `cmd:"" name:"dev-ca" help:"Create certificates for development."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
}

// env holds the global flags, the output streams and the client of the command
// that runs.
type env struct {
	*globals
	stdout, stderr io.Writer
	// openClient is the client that newClient returned, to be closed by close; nil
	// if there is none.
	openClient *operator.Client
}

func (e *env) close() {
	if e.openClient != nil {
		e.openClient.Close()
	}
}

// newClient returns a client for the control hosts set by flag or environment.
func (e *env) newClient() (*operator.Client, error) {
	if len(e.Servers) == 0 {
		return nil, eris.Wrap(errUsage, "no control host is named: set --servers or BALSAMTRAIL_SERVERS")
	}
	if e.Token == "" {
		return nil, eris.Wrap(errUsage, "no token is set: set --token or BALSAMTRAIL_TOKEN")
	}
	pool, err := e.caPool()
	if err != nil {
		return nil, err
	}
	e.openClient, err = operator.NewClient(operator.ClientConfig{Servers: e.Servers, Token: e.Token, CA: pool, TotalTimeout: e.Timeout})
	return e.openClient, err
}

// caPool returns the CA certificates in the file set by --ca, or nil for the
// system's CAs.
func (e *env) caPool() (*x509.CertPool, error) {
	if e.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(e.CA)
	if err != nil {
		return nil, eris.Wrapf(errUsage, "--ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Wrapf(errUsage, "--ca: %s holds no certificate", e.CA)
	}
	return pool, nil
}

// warnUnconfirmed warns if an answer may lack accepted changes because no quorum
// confirmed the leader.
func (e *env) warnUnconfirmed(r operator.Read) {
	if !r.Confirmed {
		printLine(e.stderr, "balsamtrail: %s could not confirm the leader; its answer at position %s may be old", r.Host, r.Position)
	}
}

// writeFlags holds the flags of every command that changes something.
type writeFlags struct {
	OperationID string `help:"ID of the operation. A command repeated with the same ID takes effect once." name:"operation-id" placeholder:"ID"`
}

// operationID returns the operation ID and generates one if the flag is not set.
func (w *writeFlags) operationID() model.OperationID {
	if w.OperationID == "" {
		w.OperationID = string(operator.NewOperationID())
	}
	return model.OperationID(w.OperationID)
}

// wrapError adds the operation ID to the error of a write; nil stays nil.
func (w *writeFlags) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return &operationError{err: err, id: model.OperationID(w.OperationID)}
}
