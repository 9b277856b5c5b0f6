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

// errUsage is returned when flags or environment lack something.
var errUsage = errors.New("usage")

// globals are the settings of the tool.
type globals struct {
	Servers []string      `help:"URLs of control hosts, separated by commas." env:"BALSAMTRAIL_SERVERS" placeholder:"URL"`
	Token   string        `help:"Operator token." env:"BALSAMTRAIL_TOKEN" placeholder:"TOKEN"`
	CA      string        `help:"PEM file of the authority that signs the servers' certificates." name:"ca" env:"BALSAMTRAIL_CA" placeholder:"FILE"`
	Output  string        `help:"Form of the output: ${enum}." enum:"table,json" default:"table" short:"o"`
	Timeout time.Duration `help:"Longest time for all tries of one request." default:"30s"`
}

// cli is the command line.
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
	Audit       auditCmd       `cmd:"" help:"List who changed what and when."`
	Check       checkCmd       `cmd:"" help:"Check notes and settings without a server."`
	DevCA       devCACmd       `cmd:"" name:"dev-ca" help:"Make certificates for development."`
	Version     versionCmd     `cmd:"" help:"Print the version."`
}

// env is what commands run with.
type env struct {
	*globals
	stdout, stderr io.Writer
	// open is the client in use, if any.
	openClient *operator.Client
}

func (e *env) close() {
	if e.openClient != nil {
		e.openClient.Close()
	}
}

// client returns a client of the control hosts in flags and environment.
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
	e.openClient, err = operator.NewClient(operator.ClientConfig{Servers: e.Servers, Token: e.Token, CA: pool, Total: e.Timeout})
	return e.openClient, err
}

// pool returns the authorities of --ca, or nil for those of the system.
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

// freshness warns of an answer that may lack accepted changes.
func (e *env) warnUnconfirmed(r operator.Read) {
	if !r.Confirmed {
		printLine(e.stderr, "balsamtrail: %s could not confirm the leader; its answer at position %s may be old", r.Host, r.Position)
	}
}

// write is part of each command that changes something.
type writeFlags struct {
	OperationID string `help:"Id of the operation; a repeated command with the same id is decided once." name:"operation-id" placeholder:"ID"`
}

func (w *writeFlags) operationID() model.OperationID {
	if w.OperationID == "" {
		w.OperationID = string(operator.NewOperationID())
	}
	return model.OperationID(w.OperationID)
}

// failed adds the operation id to the error of a write.
func (w *writeFlags) wrapError(err error) error {
	if err == nil {
		return nil
	}
	return &operationError{err: err, id: model.OperationID(w.OperationID)}
}
