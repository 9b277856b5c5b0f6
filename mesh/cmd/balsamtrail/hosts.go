package main

import (
	"context"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

type dataCentreCmd struct {
	Out    dcOutCmd    `cmd:"" help:"Take a data centre out of service."`
	Return dcReturnCmd `cmd:"" help:"Return a data centre to service."`
	List   dcListCmd   `cmd:"" help:"List the data centres."`
}

type dcOutCmd struct {
	writeFlags
	Name string `arg:"" help:"Data centre."`
}

// Help implements kong.HelpProvider.
func (dcOutCmd) Help() string {
	return `Within a few seconds the data centre gets no new requests; requests in progress finish.

Example:
  balsamtrail data-centre out burgdorf`
}

// Run takes the data centre out of service.
func (c *dcOutCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	r, err := cl.TakeOut(ctx, c.operationID(), model.DataCentre(c.Name))
	return e.printResult(c.wrapError(err), r)
}

type dcReturnCmd struct {
	writeFlags
	Name string `arg:"" help:"Data centre."`
}

// Help implements kong.HelpProvider.
func (dcReturnCmd) Help() string {
	return `The data centre gets a growing share of the requests until its backend servers are warmed up.

Example:
  balsamtrail data-centre return burgdorf`
}

// Run starts the return of the data centre to service.
func (c *dcReturnCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	r, err := cl.Return(ctx, c.operationID(), model.DataCentre(c.Name))
	return e.printResult(c.wrapError(err), r)
}

type dcListCmd struct{}

// Help implements kong.HelpProvider.
func (dcListCmd) Help() string {
	return `Example:
  balsamtrail data-centre list`
}

// Run lists the data centres.
func (c *dcListCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.DataCentres(ctx)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	return e.print(a, func(t *table) {
		t.row("DATA CENTRE", "STATE", "SERVING", "DRAINING")
		for _, d := range a.DataCentres {
			t.row(d.Name, d.State, d.Serving, d.Draining)
		}
	})
}

type controlHostCmd struct {
	Add    hostAddCmd    `cmd:"" help:"Add a control host."`
	Remove hostRemoveCmd `cmd:"" help:"Remove a control host."`
	List   hostListCmd   `cmd:"" help:"List the control hosts."`
}

type hostAddCmd struct {
	writeFlags
	Host       string `arg:"" help:"Identity of the new control host."`
	DataCentre string `help:"Its data centre." required:""`
	Peer       string `help:"UDP address of its peer connections." required:""`
}

// Help implements kong.HelpProvider.
func (hostAddCmd) Help() string {
	return `The host must be running already. It receives the log without a vote until it has caught up.

Example:
  balsamtrail control-host add c4 --data-centre thun --peer 127.0.0.1:7004`
}

// Run adds the control host.
func (c *hostAddCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	h := operator.ControlHostChange{Host: model.HostID(c.Host), DataCentre: model.DataCentre(c.DataCentre), Peer: c.Peer}
	if err := cl.AddControlHost(ctx, c.operationID(), h); err != nil {
		return c.wrapError(err)
	}
	return e.print(h, func(t *table) { t.row("added control host " + c.Host) })
}

type hostRemoveCmd struct {
	writeFlags
	Host string `arg:"" help:"Identity of the control host."`
}

// Help implements kong.HelpProvider.
func (hostRemoveCmd) Help() string {
	return `If a control host has lost its disk, remove it before adding its replacement.

Example:
  balsamtrail control-host remove c2`
}

// Run removes the control host.
func (c *hostRemoveCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	if err := cl.RemoveControlHost(ctx, c.operationID(), model.HostID(c.Host)); err != nil {
		return c.wrapError(err)
	}
	return e.print(operator.ControlHostChange{Host: model.HostID(c.Host)}, func(t *table) { t.row("removed control host " + c.Host) })
}

type hostListCmd struct{}

// Help implements kong.HelpProvider.
func (hostListCmd) Help() string {
	return `Example:
  balsamtrail control-host list`
}

// Run lists the control hosts.
func (c *hostListCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.ControlHosts(ctx)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	return e.print(a, func(t *table) {
		t.row("HOST", "DATA CENTRE", "ADDRESS", "ROLE", "LAST CONTACT", "BEHIND")
		for _, h := range a.ControlHosts {
			t.row(h.Host, h.DataCentre, h.Peer, h.Role, formatTime(h.LastContact), h.Behind)
		}
	})
}

type nodesCmd struct {
	Service string `help:"List the nodes of this service only." placeholder:"NAME"`
}

// Help implements kong.HelpProvider.
func (nodesCmd) Help() string {
	return `Example:
  balsamtrail nodes --service ledger`
}

// Run lists the nodes.
func (c *nodesCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.Nodes(ctx, model.ServiceName(c.Service))
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	return e.print(a, func(t *table) {
		t.row("HOST", "DATA CENTRE", "SERVICE", "VERSION", "STATE", "ADDRESS")
		for _, n := range a.Nodes {
			t.row(n.Host, n.DataCentre, n.Service, n.Version, n.State, n.CallAddress)
		}
	})
}

type auditCmd struct {
	After uint64 `help:"List the records with sequences above this one." default:"0"`
	Limit int    `help:"Maximum number of records to list." default:"100"`
}

// Help implements kong.HelpProvider.
func (auditCmd) Help() string {
	return `Lists the retained records from the oldest to the newest.

Example:
  balsamtrail audit --after 120`
}

// Run lists audit records.
func (c *auditCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.Audit(ctx, c.After, c.Limit)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	return e.print(a, func(t *table) {
		t.row("SEQ", "ACCEPTED", "OPERATOR", "ACTION", "NOTE", "IN FORCE", "DONE", "REVERSED", "CHANGES")
		for _, r := range a.Records {
			t.row(r.Sequence, formatTime(r.Accepted), r.Operator, r.Action, r.Number, formatTime(r.InForce), formatTime(r.Done), formatTime(r.Reversed), r.Changes)
		}
	})
}
